package executor

import "time"

const (
	// maxCallTimeout is the longest wait for the answer to a call, in addition to
	// the time that a poll may wait. Answers take 2 ms, and up to 100 ms on a machine
	// with saturated CPUs.
	maxCallTimeout = 75 * time.Millisecond
	// minCallTimeout is the shortest one. One answer in a hundred takes 20 ms, and a
	// call that was given up costs a connection.
	minCallTimeout = 25 * time.Millisecond
	// lossyCallTimeout replaces minCallTimeout while calls go unanswered: several
	// times the usual answer, and a tenth of the time in which a short task has to be
	// completed.
	lossyCallTimeout = 10 * time.Millisecond
	// lossyShare is the share of unanswered calls above which an endpoint counts as
	// leaving calls unanswered. Answers that come late make up less.
	lossyShare = 0.04
	// lossWeight is the weight of a call in the moving average of that share.
	lossWeight = 1.0 / 16
	// maxDoublings takes the shortest timeout beyond the longest one.
	maxDoublings = 3

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
	// loss is the moving average of the share of unanswered calls.
	loss float64
}

// answered records an answer that took the given time.
func (r *roundTrip) answered(took time.Duration) {
	r.unanswered = 0
	r.loss -= lossWeight * r.loss
	if r.smoothed == 0 {
		r.smoothed, r.deviation = took, took/2
		return
	}
	difference := took - r.smoothed
	r.smoothed += time.Duration(smoothedWeight * float64(difference))
	r.deviation += time.Duration(deviationWeight * float64(max(difference, -difference)-r.deviation))
}

// timedOut records an unanswered call.
func (r *roundTrip) timedOut() {
	r.unanswered++
	r.loss += lossWeight * (1 - r.loss)
}

// timeout returns how long to wait for the answer to a call.
func (r *roundTrip) timeout() time.Duration {
	if r.smoothed == 0 {
		return maxCallTimeout
	}
	shortest := minCallTimeout
	if r.lossy() {
		shortest = lossyCallTimeout
	}
	wait := max(r.smoothed+deviationsToWait*r.deviation, shortest)
	return min(wait<<min(r.unanswered, maxDoublings), maxCallTimeout)
}

// lossy reports whether the endpoint leaves calls unanswered.
func (r *roundTrip) lossy() bool { return r.loss > lossyShare }
