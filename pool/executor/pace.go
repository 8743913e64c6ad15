package executor

import (
	"math"
	"slices"
	"time"
)

const (
	// minPaceRuns is the minimum number of runs from which a pace is computed:
	// estimates of single jobs are off by 40 %.
	minPaceRuns = 3
	// minPaceAge is the minimum age of a run that enters the pace: a few percent of
	// the duration of the shortest common task.
	minPaceAge = 20 * time.Millisecond
	// paceStep is the factor by which the pace must change to be reported again.
	paceStep = 1.25
	// maxPace bounds the ratio of a run without progress.
	maxPace = 10
)

// pace returns the median, over the current runs, of the projected duration
// divided by the estimated one; 0 when fewer than minPaceRuns runs have usable
// progress. It exposes a slow endpoint long before its runs are overdue.
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

// paceChanged reports whether pace differs from the last reported one by more
// than a factor of paceStep.
func paceChanged(pace, reported float64) bool {
	if pace == 0 || reported == 0 {
		return pace != reported
	}
	return math.Abs(math.Log(pace/reported)) > math.Log(paceStep)
}
