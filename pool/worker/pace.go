package worker

import (
	"math"
	"slices"
	"time"
)

const (
	// paceRuns is the least number of runs from which a pace is told: estimates of
	// single jobs are off by 40 %.
	paceRuns = 3
	// paceAge is the least age of a run that tells: a few percent of the shortest
	// usual task.
	paceAge = 20 * time.Millisecond
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
		age := r.percentAt - r.taken
		if r.state != runAlive || r.estimate <= 0 || r.percentAt == 0 || age < paceAge {
			continue
		}
		done := max(r.percent/100, 0.5/100)
		ratios = append(ratios, min(float64(age)/done/float64(r.estimate), maxPace))
	}
	if len(ratios) < paceRuns {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// paceChanged reports whether a pace differs from the one told by enough.
func paceChanged(pace, told float64) bool {
	if pace == 0 || told == 0 {
		return pace != told
	}
	return math.Abs(math.Log(pace/told)) > math.Log(paceStep)
}
