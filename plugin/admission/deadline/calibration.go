package deadline

import (
	"math"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
)

const (
	// initialFactor is a kind's factor before any of its jobs has ended.
	initialFactor = 1.2
	// lateStep is what a kind's factor is multiplied by when one of its jobs is
	// late.
	lateStep = 3
	// targetOnTimeShare is the share of the admitted jobs that should meet their
	// deadlines.
	targetOnTimeShare = 0.99
	// maxFactor keeps a series of late jobs from making the service refuse all jobs.
	maxFactor = 10
	// factorTimeConstant is the time constant with which a raised factor decays to
	// the initial one, so that a kind of which no job is admitted any more is tried
	// again.
	factorTimeConstant = 4 * time.Minute
	// maxPending bounds the number of jobs tracked, and so their memory.
	maxPending = 200_000
)

// jobKind groups jobs whose estimates have similar errors.
type jobKind struct {
	urgent bool
	// size is the order of magnitude of the number of tasks, in powers of four.
	size int
}

// pendingJob is a job that was admitted although it has to wait.
type pendingJob struct {
	jobKind  jobKind
	admitted time.Time
}

// factor is the learned correction factor of a kind.
type factor struct {
	value   float64
	updated time.Time
	// raised is when the value was last raised. Jobs admitted before then give no
	// information about the new value.
	raised time.Time
}

// waitCalibration learns the factor by which the estimated waits must be raised
// so that nearly all jobs of a kind meet their deadlines. Each late job raises
// the factor by a step and each job in time lowers it by a small part of the
// step, so that it converges where the share of late jobs is the intended one.
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

// now updates the value by its decay towards the initial one, and returns it.
func (f *factor) now(now time.Time) float64 {
	decay := math.Exp(-now.Sub(f.updated).Seconds() / factorTimeConstant.Seconds())
	f.value = initialFactor + (f.value-initialFactor)*decay
	f.updated = now
	return f.value
}

// track remembers a job that was admitted with a deadline although it has to wait.
func (c *waitCalibration) track(now time.Time, key message.JobKey, e estimate) {
	if e.wait > 0 && len(c.pending) < maxPending {
		c.pending[key] = pendingJob{jobKind: e.jobKind(), admitted: now}
	}
}

// ended corrects the factor of a job's kind by how the job ended.
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
		value *= lateStep
	} else {
		value /= 1 + (lateStep-1)*(1-targetOnTimeShare)
	}
	f.value = min(max(value, 1), maxFactor)
}
