package scheduler

import "time"

const (
	// reviewsPerObjective is the part of its objective within which a job that can't be
	// served is refused: a quarter, so that the caller can still go elsewhere.
	reviewsPerObjective = 4
	// usefulObjectiveFactor is how many times its objective a late answer may take and still
	// be of use to the caller.
	usefulObjectiveFactor = 3
	// onTimeValueRatio is how many times more an answer in time is worth than a late one,
	// by the users' sheets.
	onTimeValueRatio = 5
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// minRate keeps the estimate of a wait finite, in thousandths of a core.
	minStartRateMilliCPU = 1000
)

// review decides whether a job of which nothing has started goes on waiting.
func (c *Core) review(j *job) {
	j.reviewAt = c.now + j.objective()/reviewsPerObjective
	if !c.anyEligible(j) {
		c.finish(j, JobRefused, "no endpoint takes tasks")
		return
	}
	wait := c.estimateWait(j)
	usefulUntil := j.received + usefulObjectiveFactor*j.objective() - j.estimate()
	if !j.late {
		if c.now+wait <= j.latestStart() {
			return
		}
		// It can't be served in time; what is left is a late answer, which comes
		// after all that can still be in time.
		usefulUntil = min(usefulUntil, j.Deadline-j.estimate())
	}
	if c.now+lateWaitFactor*wait > usefulUntil {
		c.finish(j, JobRefused, "the wait would be "+wait.Round(time.Millisecond).String())
	}
}

// lateWaitFactor is what the wait of a late job is multiplied with, as jobs that
// come meanwhile go before it.
const lateWaitFactor = 2

// estimateWait estimates how long what goes before a job keeps this entry busy.
func (c *Core) estimateWait(j *job) time.Duration {
	work := 0.0
	rank := c.rank(j)
	for _, other := range c.jobOrder {
		if other.answered || other == j || other.waiting == 0 {
			continue
		}
		if r := c.rank(other); r < rank || r == rank && other.received <= j.received {
			work += other.work(other.waiting)
		}
	}
	return c.timeToStart(work)
}

// timeToStart is how long this entry takes to start work at its present rate.
func (c *Core) timeToStart(work float64) time.Duration {
	return time.Duration(work / max(c.started.rate(c.now), minStartRateMilliCPU) * float64(time.Second))
}

// retryAfter is when a refused caller may hope for room.
func (c *Core) retryAfter() time.Duration {
	work := 0.0
	for _, j := range c.jobOrder {
		if !j.answered {
			work += j.work(j.waiting)
		}
	}
	return min(max(c.timeToStart(work), minRetryAfter), maxRetryAfter)
}
