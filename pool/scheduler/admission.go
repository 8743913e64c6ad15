package scheduler

import "time"

const (
	// refusalShare is the part of its objective within which a job that can't be
	// served is refused: a quarter, so that the caller can still go elsewhere.
	refusalShare = 4
	// lateShare is how many times its objective a late answer may take and still
	// be of use to the caller.
	lateShare = 3
	// lateWorth is how many times more an answer in time is worth than a late one,
	// by the users' sheets.
	lateWorth = 5
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// minRate keeps the estimate of a wait finite, in thousandths of a core.
	minRate = 1000
)

// review decides whether a job of which nothing has started goes on waiting.
func (c *Core) review(j *job) {
	j.reviewAt = c.now + j.objective()/refusalShare
	if !c.anyEligible(j) {
		c.finish(j, JobRefused, "no endpoint takes tasks")
		return
	}
	wait := c.waitAhead(j)
	usefulUntil := j.received + lateShare*j.objective() - j.estimate()
	if !j.late {
		if c.now+wait <= j.latestStart() {
			return
		}
		// It can't be served in time; what is left is a late answer, which comes
		// after all that can still be in time.
		usefulUntil = min(usefulUntil, j.Deadline-j.estimate())
	}
	if c.now+lateFactor*wait > usefulUntil {
		c.finish(j, JobRefused, "the wait would be "+wait.Round(time.Millisecond).String())
	}
}

// lateFactor is what the wait of a late job is multiplied with, as jobs that
// come meanwhile go before it.
const lateFactor = 2

// waitAhead estimates how long what goes before a job keeps this entry busy.
func (c *Core) waitAhead(j *job) time.Duration {
	work := 0.0
	rank := c.rank(j)
	for _, other := range c.order {
		if other.over || other == j || other.waiting == 0 {
			continue
		}
		if r := c.rank(other); r < rank || r == rank && other.received <= j.received {
			work += other.work(other.waiting)
		}
	}
	return c.timeFor(work)
}

// timeFor is how long this entry takes to start work at its present rate.
func (c *Core) timeFor(work float64) time.Duration {
	return time.Duration(work / max(c.started.rate(c.now), minRate) * float64(time.Second))
}

// retryAfter is when a refused caller may hope for room.
func (c *Core) retryAfter() time.Duration {
	work := 0.0
	for _, j := range c.order {
		if !j.over {
			work += j.work(j.waiting)
		}
	}
	return min(max(c.timeFor(work), minRetryAfter), maxRetryAfter)
}
