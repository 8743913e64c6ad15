package executor

import "time"

const (
	// minStallTime is the minimum time without progress after which a run counts as
	// stalled. Progress is reported in whole percent, so a task of 1 s progresses
	// every 10 ms. With a lower value, runs on a machine that pauses briefly would
	// count as stalled.
	minStallTime = 60 * time.Millisecond
	// stallShare is the fraction of its estimated duration within which a run has to
	// progress: a run that needs longer for one percent would take 25 times its
	// estimate.
	stallShare = 0.25
	// fullProgress is the percent at which a run only has to report its end.
	fullProgress = 100
)

// hasStalled records the progress of a run and reports whether it has made none
// for too long. Time is measured by the endpoint's clock, because answers may be
// queued before this process reads them.
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
