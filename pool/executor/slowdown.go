package executor

import (
	"math"
	"slices"
	"time"
)

const (
	// minSlowdownRuns is the minimum number of runs from which a slowdown is
	// computed: estimates of single jobs are off by 40 %.
	minSlowdownRuns = 3
	// certainSlowdown is the ratio from which fewer runs will do: no error of an
	// estimate explains it.
	certainSlowdown = 4
	// minSlowdownAge is the minimum age of a run that enters the slowdown: a few
	// percent of the duration of the shortest common task.
	minSlowdownAge = 20 * time.Millisecond
	// slowdownStep is the factor by which the slowdown must change to be reported
	// again.
	slowdownStep = 1.25
	// maxSlowdown bounds the ratio of a run without progress.
	maxSlowdown = 10
)

// slowdown returns the median, over the current runs, of the projected duration
// divided by the estimated one; 0 when fewer than minSlowdownRuns runs have
// usable progress and one of them is below certainSlowdown. It exposes a slow
// endpoint long before its runs are overdue.
func (c *Core) slowdown() float64 {
	var ratios []float64
	for _, r := range c.runs.All() {
		age := r.percentAt - r.acceptedAt
		if r.state != runAlive || r.estimate <= 0 || r.percentAt == 0 || age < minSlowdownAge {
			continue
		}
		done := max(r.percent/100, 0.5/100)
		ratios = append(ratios, min(float64(age)/done/float64(r.estimate), maxSlowdown))
	}
	slices.Sort(ratios)
	if len(ratios) == 0 || len(ratios) < minSlowdownRuns && ratios[0] < certainSlowdown {
		return 0
	}
	return ratios[len(ratios)/2]
}

// slowdownChanged reports whether the slowdown differs from the last reported one
// by more than a factor of slowdownStep.
func slowdownChanged(slowdown, reported float64) bool {
	if slowdown == 0 || reported == 0 {
		return slowdown != reported
	}
	return math.Abs(math.Log(slowdown/reported)) > math.Log(slowdownStep)
}
