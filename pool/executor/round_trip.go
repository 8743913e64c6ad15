package executor

import "time"

const (
	// MaxCallTimeout is the longest wait for the answer to a call, in addition to
	// the time that a poll may wait. Answers take 2 ms, and up to 100 ms on a machine
	// with saturated CPUs.
	MaxCallTimeout = 75 * time.Millisecond
	// minCallTimeout is the shortest one: a third of the time that a short task may
	// wait without missing its latency objective, and several times the usual answer.
	minCallTimeout = 10 * time.Millisecond
	// The weights of a sample in the moving averages and of the deviation in the
	// timeout are those of TCP's retransmission timer (RFC 6298).
	smoothedWeight   = 0.125
	deviationWeight  = 0.25
	deviationsToWait = 4
)

// roundTrip estimates how long calls to an endpoint take, for their timeout.
type roundTrip struct {
	smoothed, deviation time.Duration
	// unanswered counts the unanswered calls since the last answer; each one
	// doubles the timeout.
	unanswered int
	// lastUnanswered is the time of the last unanswered call.
	lastUnanswered time.Duration
}

// answered records an answer that took the given time.
func (r *roundTrip) answered(took time.Duration) {
	r.unanswered = 0
	if r.smoothed == 0 {
		r.smoothed, r.deviation = took, took/2
		return
	}
	difference := took - r.smoothed
	r.smoothed += time.Duration(smoothedWeight * float64(difference))
	r.deviation += time.Duration(deviationWeight * float64(max(difference, -difference)-r.deviation))
}

// timedOut records an unanswered call.
func (r *roundTrip) timedOut(now time.Duration) {
	r.unanswered++
	r.lastUnanswered = now
}

// timeout returns how long to wait for the answer to a call.
func (r *roundTrip) timeout() time.Duration {
	if r.smoothed == 0 {
		return MaxCallTimeout
	}
	wait := max(r.smoothed+deviationsToWait*r.deviation, minCallTimeout)
	for range r.unanswered {
		if wait >= MaxCallTimeout {
			break
		}
		wait *= 2
	}
	return min(wait, MaxCallTimeout)
}

// lossy reports whether a call has gone unanswered recently.
func (r *roundTrip) lossy(now time.Duration) bool {
	return r.lastUnanswered > 0 && now-r.lastUnanswered < lossyTime
}
