package deadline

import (
	"math"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
)

const (
	// initialFactor is assumed before any job has ended.
	initialFactor = 1.2
	// lateFactor is by how much a late job raises its kind's factor.
	lateFactor = 3
	// targetOnTimeShare is the share of the jobs taken that should meet their deadlines.
	targetOnTimeShare = 0.99
	// maxFactor keeps one bad stretch from closing the service.
	maxFactor = 10
	// factorTimeConstant is the time constant with which a raised factor returns to the
	// first, so that a kind of which nothing is taken any more is tried again.
	factorTimeConstant = 4 * time.Minute
	// maxPending bounds the memory for jobs under way.
	maxPending = 200_000
)

// jobKind groups jobs whose estimates err alike.
type jobKind struct {
	urgent bool
	// size is the order of magnitude of the number of tasks, in powers of four.
	size int
}

// pendingJob is a job that was taken although it has to wait.
type pendingJob struct {
	jobKind  jobKind
	admitted time.Time
}

// factor is the learned correction of a kind.
type factor struct {
	value   float64
	updated time.Time
	// raised is when the value was last raised. Jobs taken before that say
	// nothing about the new value.
	raised time.Time
}

// waitCalibration learns by what factor the expected waits must be raised so that
// nearly all jobs of a kind meet their deadlines. It moves up by a step with
// each late job and down by a small part of the step with each punctual one,
// and so settles where the share of late ones is the one aimed at.
type waitCalibration struct {
	factors map[jobKind]*factor
	pending map[message.JobKey]pendingJob
}

func newWaitCalibration() waitCalibration {
	return waitCalibration{factors: map[jobKind]*factor{}, pending: map[message.JobKey]pendingJob{}}
}

func (c *waitCalibration) factorOf(k jobKind) *factor {
	f := c.factors[k]
	if f == nil {
		f = &factor{value: initialFactor}
		c.factors[k] = f
	}
	return f
}

// now returns the value after its decay towards the first.
func (f *factor) now(now time.Time) float64 {
	decay := math.Exp(-now.Sub(f.updated).Seconds() / factorTimeConstant.Seconds())
	f.value = initialFactor + (f.value-initialFactor)*decay
	f.updated = now
	return f.value
}

// track remembers a job that was taken with a deadline although it waits.
func (c *waitCalibration) track(now time.Time, key message.JobKey, e estimate) {
	if e.wait > 0 && len(c.pending) < maxPending {
		c.pending[key] = pendingJob{jobKind: e.jobKind(), admitted: now}
	}
}

// ended learns from the end of a job.
func (c *waitCalibration) ended(now time.Time, key message.JobKey, end dispatch.JobEnd) {
	p, ok := c.pending[key]
	if !ok {
		return
	}
	delete(c.pending, key)
	f := c.factorOf(p.jobKind)
	if end == dispatch.JobOther || !p.admitted.After(f.raised) {
		return
	}
	value := f.now(now)
	if end == dispatch.JobLate {
		f.raised = now
		value *= lateFactor
	} else {
		value /= 1 + (lateFactor-1)*(1-targetOnTimeShare)
	}
	f.value = min(max(value, 1), maxFactor)
}
