package worker

import (
	"math"
	"slices"
	"time"
)

const (
	// minPaceRuns is the least number of runs from which a pace is told: estimates of
	// single jobs are off by 40 %.
	minPaceRuns = 3
	// minPaceAge is the least age of a run that tells: a few percent of the shortest
	// usual task.
	minPaceAge = 20 * time.Millisecond
	// paceStep is the factor by which the pace must change to be told.
	paceStep = 1.25
	// maxPace bounds what a run without progress says.
	maxPace = 10
)

// pace is the median of how many times longer than estimated the present runs
// take; 0 when too few tell. It shows a slow endpoint long before its runs are
// overdue.
func (c *Core) pace() float64 {
	var ratios []float64
	for _, r := range c.runs.All() {
		age := r.percentAt - r.acceptedAt
		if r.state != runAlive || r.estimate <= 0 || r.percentAt == 0 || age < minPaceAge {
			continue
		}
		done := max(r.percent/100, 0.5/100)
		ratios = append(ratios, min(float64(age)/done/float64(r.estimate), maxPace))
	}
	if len(ratios) < minPaceRuns {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// paceChanged reports whether a pace differs from the one told by enough.
func paceChanged(pace, reported float64) bool {
	if pace == 0 || reported == 0 {
		return pace != reported
	}
	return math.Abs(math.Log(pace/reported)) > math.Log(paceStep)
}
