package scheduler

import "time"

const (
	// reviewsPerObjective is how often per objective a job without a started
	// run is reviewed: a job that can't be served is refused within a quarter
	// of its objective, so that the caller can still submit elsewhere.
	reviewsPerObjective = 4
	// usefulObjectiveFactor is the multiple of its objective after which a late
	// answer is of no more use to the caller.
	usefulObjectiveFactor = 3
	// onTimeValueRatio is the value of an answer in time relative to a late
	// one, as given by the users.
	onTimeValueRatio = 5
	// minRetryAfter and maxRetryAfter bound the retry delay sent to refused
	// callers.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// minStartRateMilliCPU is the lower bound of the start rate, in thousandths
	// of a core; it keeps the estimated wait finite.
	minStartRateMilliCPU = 1000
)

// review refuses a job without a started run if no endpoint takes tasks or the
// estimated wait is too long.
func (c *Core) review(j *job) {
	j.reviewAt = c.now + j.objective()/reviewsPerObjective
	if !c.anyEligible(j) {
		c.finish(j, JobRefused, "no endpoint takes tasks")
		return
	}
	wait := c.estimateWait(j)
	latestUsefulStart := j.received + usefulObjectiveFactor*j.objective() - j.expectedRunTime()
	if !j.late {
		if c.now+wait <= j.latestStart() {
			return
		}
		// The objective can't be met any more. A late answer may still be
		// useful, but late jobs start after all jobs that can be in time.
		latestUsefulStart = min(latestUsefulStart, j.Deadline-j.expectedRunTime())
	}
	if c.now+lateWaitFactor*wait > latestUsefulStart {
		c.finish(j, JobRefused, "the wait would be "+wait.Round(time.Millisecond).String())
	}
}

// lateWaitFactor multiplies the estimated wait of a late job, as jobs that
// arrive in the meantime start before it.
const lateWaitFactor = 2

// estimateWait estimates how long this entry takes to start the tasks that rank
// before the job.
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

// timeToStart returns how long this entry takes to start work at its current
// rate. The work is given in thousandths of a core times seconds.
func (c *Core) timeToStart(work float64) time.Duration {
	return time.Duration(work / max(c.started.rate(c.now), minStartRateMilliCPU) * float64(time.Second))
}

// retryAfter returns the time after which a refused caller may expect free
// capacity.
func (c *Core) retryAfter() time.Duration {
	work := 0.0
	for _, j := range c.jobOrder {
		if !j.answered {
			work += j.work(j.waiting)
		}
	}
	return min(max(c.timeToStart(work), minRetryAfter), maxRetryAfter)
}
