package scheduler

import "time"

const (
	// firstReview is the time after which a job without a started run is reviewed
	// for the first time: free capacity is reported and ordered within a few round
	// trips, and a caller that is refused at once can still go elsewhere.
	firstReview = 10 * time.Millisecond
	// reviewsPerObjective is how often per objective a waiting job is reviewed
	// after that.
	reviewsPerObjective = 8
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
	// minRateShare is the share of the start rate that jobs get at least, however
	// much arrives that ranks before them: a burst of such jobs ends.
	minRateShare = 0.2
	// waitMargin multiplies the estimated wait of a job that can still be in time:
	// callers' estimates are off by 40 %, and tasks of several jobs share what
	// becomes free.
	waitMargin = 2
	// settleTime is the time after which an entry knows the free capacity that it
	// has: agents connect and report within some 100 ms of its start, of the end of a
	// pause, or of the return of a service's endpoints.
	settleTime = 500 * time.Millisecond
)

// review ends a waiting job that can't be served. A job without a started run is
// refused if no endpoint takes tasks, if it can't meet its objective any more, or,
// if it is late already, if its answer would come too late to be of use. Other jobs
// are ended if their last task can't be completed before the caller's deadline.
func (c *Core) review(j *job) {
	j.reviewAt = c.now + j.objective()/reviewsPerObjective
	if j.isConfined() && c.now-c.settlingSince > settleTime {
		c.reviewConfined(j)
		return
	}
	if j.runs > 0 {
		if wait := c.estimateWait(j); c.now+wait+j.expectedRunTime() > j.Deadline {
			c.finish(j, JobExpired, "the wait for the last tasks would be "+wait.Round(time.Millisecond).String())
		}
		return
	}
	if c.anyEligible(j) {
		j.queue.eligibleAt = c.now
	} else if j.late || c.allEvacuated(j) && c.now-c.settlingSince > settleTime || c.now-max(j.queue.eligibleAt, c.settlingSince) > settleTime {
		c.refuse(j, "no endpoint takes tasks")
		return
	}
	wait := c.estimateWait(j)
	var hopeless bool
	if j.late {
		latestStart := min(j.received+usefulObjectiveFactor*j.objective(), j.Deadline) - j.expectedRunTime()
		hopeless = c.now+wait > latestStart
	} else {
		hopeless = c.now-c.settlingSince > settleTime && c.now+waitMargin*wait > j.latestStart()
	}
	if hopeless {
		c.refuse(j, "the wait would be "+wait.Round(time.Millisecond).String())
		return
	}
	c.forwardWaiting(j)
}

// estimateWait estimates how long this entry takes to start the tasks that rank
// before the job: those that wait now, and those that arrive in the meantime. Confined
// jobs wait for other endpoints.
func (c *Core) estimateWait(j *job) time.Duration {
	work := c.workBefore(j, false)
	if work == 0 {
		return 0
	}
	rate := c.startRate()
	return duration(work / max(rate-c.loadBefore(j), minRateShare*rate))
}

// workBefore returns the work, in thousandths of a core times seconds, of the waiting
// tasks of other jobs that rank before a job: of the confined jobs or of the rest.
func (c *Core) workBefore(j *job, confined bool) float64 {
	if c.sharing != nil && !confined {
		return c.sharedWorkBefore(j)
	}
	work := 0.0
	rank := c.rank(j)
	for _, other := range c.jobOrder {
		if other.answered || other == j || other.waiting == 0 || other.isConfined() != confined {
			continue
		}
		if r := c.rank(other); r < rank || r == rank && other.received <= j.received {
			work += other.work(other.waiting)
		}
	}
	return work
}

// loadBefore returns the offered load, in thousandths of a core, of the jobs that
// rank before a job whenever they arrive: those of queues with a lower rank, and
// all if the job is late.
func (c *Core) loadBefore(j *job) float64 {
	if c.sharing != nil {
		return c.sharedLoadBefore(j)
	}
	load := 0.0
	own := j.queue.offeredLoad.rate(c.now)
	for _, q := range c.queueList {
		if q.deadly {
			continue
		}
		offered := q.offeredLoad.rate(c.now)
		lower := q.urgent && !j.Urgent || q.urgent == j.Urgent && offered < own
		if j.late || q != j.queue && lower {
			load += offered
		}
	}
	return load
}

// startRate returns the rate at which this entry starts work, in thousandths of a
// core. While capacity is short, work starts at the rate at which running work
// ends, which is known before starts have been counted for long.
func (c *Core) startRate() float64 {
	if c.sharing != nil {
		return c.sharedStartRate()
	}
	return c.measureStartRate()
}

// measureStartRate computes startRate. Runs in evacuated zones free no capacity for others.
func (c *Core) measureStartRate() float64 {
	running := 0.0
	for _, a := range c.agentList {
		if a.evacuation.active {
			continue
		}
		for _, r := range a.runs.All() {
			running += float64(r.job.Need.MilliCPU) / a.slowness()
		}
	}
	return max(c.started.rate(c.now), running, minStartRateMilliCPU)
}

// retryAfter returns the time after which the caller of a refused job may expect
// free capacity.
func (c *Core) retryAfter(j *job) time.Duration {
	if c.sharing != nil {
		return c.sharedRetryAfter(j)
	}
	work := 0.0
	for _, j := range c.jobOrder {
		if !j.answered {
			work += j.work(j.waiting)
		}
	}
	return min(max(duration(work/c.startRate()), minRetryAfter), maxRetryAfter)
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
