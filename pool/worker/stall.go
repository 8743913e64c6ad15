package worker

import "time"

const (
	// minStallTime is the least time without progress after which a run counts as
	// stalled. Progress is told in whole percent, so a task of a second moves on
	// every 10 ms; below this, tasks on a machine that is briefly held up would
	// count.
	minStallTime = 60 * time.Millisecond
	// stallShare is the part of its estimate in which a run has to move on: one
	// that needs longer for a percent would take 25 times its estimate.
	stallShare = 0.25
	// fullProgress is the percent at which a run only has to report its end.
	fullProgress = 100
)

// hasStalled takes note of how far a run has come and reports whether it has
// not moved on for too long. The endpoint's own clock counts, as answers may
// wait before this process reads them.
func (r *run) hasStalled(percent float64, clock Clock) bool {
	if !clock.Known {
		return false
	}
	if !r.progressSeen || percent != r.percent {
		r.progressSeen, r.progressClock = true, clock.Millis
		return false
	}
	limit := max(minStallTime, time.Duration(stallShare*float64(r.estimate)))
	return r.estimate > 0 && percent < fullProgress && clock.Millis-r.progressClock > limit.Milliseconds()
}
