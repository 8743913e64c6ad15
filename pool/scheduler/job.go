package scheduler

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// job is a submitted job. It stays in Core.jobOrder for a short time after its
// answer.
type job struct {
	*Job
	queue    *queue
	received time.Duration
	share    share
	waiters  []Waiter
	tasks    []task
	// waiting and done count tasks; runs counts the runs ordered and not
	// refused.
	waiting, done, runs int
	failed, lost        int
	firstStart          time.Duration
	answered            bool
	// late is set once the objective can't be met any more.
	late bool
	// reviewAt is the time of the next review of a job with waiting tasks.
	reviewAt time.Duration
	// suspect is set if endpoints have crashed under tasks of the job.
	suspect *suspect
	// mayRunElsewhere is set if the caller may have submitted the job at another entry
	// before this one read it.
	mayRunElsewhere bool
	forward         forwardState
}

type taskState uint8

const (
	taskWaiting taskState = iota
	taskRunning
	taskDone
)

type task struct {
	state    taskState
	failures int
	// nextRun is the offset of the next run's number from Job.FirstRun.
	nextRun int64
	// avoid lists the agents on which the task has failed, stalled or been
	// refused.
	avoid []*agent
	run   *run
	// notBefore delays the next start after a refusal.
	notBefore time.Duration
}

// expectedRunTime returns the expected run time of a task on an average
// endpoint: the caller's estimate corrected by the queue's bias.
func (j *job) expectedRunTime() time.Duration {
	return time.Duration(float64(j.Estimate) * j.queue.bias())
}

// work returns the work of the given number of tasks, in thousandths of a core
// times seconds.
func (j *job) work(tasks int) float64 {
	return float64(j.Need.MilliCPU) * float64(tasks) * j.expectedRunTime().Seconds()
}

// objective returns the time that the job should take. It is based on the run
// time on a healthy endpoint, so that slow endpoints don't extend it.
func (j *job) objective() time.Duration {
	return time.Duration(j.Stretch*j.queue.fleet.medianSlowness*float64(j.expectedRunTime())) + j.Slack
}

// latestStart returns the time by which a task must start to meet the objective
// on an average endpoint.
func (j *job) latestStart() time.Duration {
	return j.received + j.objective() - j.expectedRunTime() - overhead
}

func (c *Core) submit(w Waiter, in *Job) { c.submitFrom(w, in, "", c.now) }

// submitFrom submits a job that the named entry has forwarded, or a caller's own if that is
// empty, and that its first entry has received at the given time.
func (c *Core) submitFrom(w Waiter, in *Job, origin string, received time.Duration) {
	if _, done := c.completed[in.ID]; done {
		c.answer(w, message.JobAnswer{Verdict: verdict.Ran})
		c.counters.Jobs[JobRepeated]++
		c.emit(JobEnded{Job: in, Outcome: JobRepeated, Cause: "completed before"})
		return
	}
	if j := c.jobs[in.ID]; j != nil {
		j.waiters = append(j.waiters, w)
		j.ConnectedAt = max(j.ConnectedAt, in.ConnectedAt)
		c.waiters[w] = j
		return
	}
	j := &job{Job: in, queue: c.queueOf(in.Queue), received: received, waiters: []Waiter{w}, waiting: in.Tasks}
	j.forward.origin = origin
	j.tasks = make([]task, in.Tasks)
	j.queue.urgent, j.queue.service = in.Urgent, in.Service
	j.queue.offeredLoad.add(c.now, j.work(in.Tasks))
	c.shareSubmitted(j)
	j.reviewAt = c.now + firstReview
	c.jobs[in.ID] = j
	c.waiters[w] = j
	c.waiting += in.Tasks
	c.jobOrder = append(c.jobOrder, j)
	j.suspect = c.suspects.Get(in.ID)
	old := c.mayBeResubmitted(in.ConnectedAt)
	j.mayRunElsewhere = old || c.mayHaveLeft(in)
	switch {
	case old:
		c.finish(j, JobInterrupted, "the request may be older than an outage of this entry")
	case j.mayRunElsewhere:
		c.finish(j, JobInterrupted, "the request waited too long for the scheduler")
	case j.suspect != nil && j.suspect.givenUp:
		c.finishGivenUp(j, "endpoints crashed under an earlier submission")
	case c.stopping:
		c.finish(j, JobRefused, "this entry is stopping")
	case c.now >= in.Deadline:
		c.finish(j, JobRefused, "it arrived after its deadline")
	case c.waiting > c.opts.MaxWaiting:
		c.refuseNow(j, "too many tasks wait")
	case !c.someEndpointFits(j):
		c.refuseNow(j, "no endpoint can run it")
	}
}

func (c *Core) dropWaiter(w Waiter) {
	j := c.waiters[w]
	if j == nil {
		return
	}
	delete(c.waiters, w)
	for i := range j.waiters {
		if j.waiters[i] == w {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	if len(j.waiters) == 0 {
		c.finish(j, JobAbandoned, "the caller's connection ended")
	}
}

// finish answers a job and stops its remaining runs.
func (c *Core) finish(j *job, outcome Outcome, cause string) {
	if j.answered {
		return
	}
	j.answered = true
	delete(c.jobs, j.ID)
	c.waiting -= j.waiting
	if j.forward.away != nil {
		c.recall(j)
	}
	beyondShare := c.shareEnded(j, outcome)
	unplaced, unended := j.waiting, 0
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil {
			unended++
			c.remainingRuns[j.ID]++
			c.stop(r)
		}
	}
	answer := c.answerFor(j, outcome, cause)
	if j.forward.answer != nil {
		answer = *j.forward.answer
	}
	for _, w := range j.waiters {
		delete(c.waiters, w)
		c.answer(w, answer)
	}
	c.counters.Jobs[outcome]++
	ended := JobEnded{
		Job: j.Job, Outcome: outcome, Cause: cause, Age: c.now - j.received, Objective: j.objective(),
		Runs: j.runs, Failed: j.failed, Lost: j.lost,
		Unplaced: unplaced, Unended: unended, WaitingTasks: c.waiting, BeyondShare: beyondShare,
		Origin: j.forward.origin,
	}
	if j.forward.away != nil {
		ended.Host = j.forward.away.name
	}
	if j.runs > 0 {
		ended.Waited = j.firstStart - j.received
	}
	if j.suspect != nil {
		ended.Crashes, ended.Blame = j.suspect.mostCrashes(), j.suspect.blame
	}
	if outcome == JobCompleted {
		ended.QueueBlamed = j.queue.blame >= leastBlame
		c.rememberCompleted(j.ID)
		if j.forward.away == nil {
			// Otherwise the host reports it.
			j.queue.jobSurvived(j.work(len(j.tasks)))
		}
		c.acquit(j.ID)
		if ended.Age > ended.Objective {
			c.counters.Late++
		}
	}
	c.emit(ended)
}

func (c *Core) answerFor(j *job, outcome Outcome, cause string) message.JobAnswer {
	answer := message.JobAnswer{Failed: true, Detail: cause, Verdict: verdict.MayHaveRun}
	if j.runs == 0 && j.suspect == nil && !j.mayRunElsewhere && j.forward.away == nil {
		answer.Verdict = verdict.NotRun
	}
	switch outcome {
	case JobCompleted, JobRepeated:
		return message.JobAnswer{Verdict: verdict.Ran}
	case JobFailed:
		answer.Verdict, answer.Reason = verdict.Ran, verdict.ReasonTaskFailed
	case JobRefused:
		answer.Reason = verdict.ReasonQueueFull
		retryAfter := c.retryAfter(j)
		if j.isConfined() {
			retryAfter = max(retryAfter, crashOutage)
		}
		answer.RetryAfterMillis = retryAfter.Milliseconds()
	case JobExpired:
		answer.Reason = verdict.ReasonDeadline
	case JobCancelled, JobAbandoned:
		answer.Reason = verdict.ReasonCancelled
	case JobInterrupted:
		answer.Reason = verdict.ReasonUnavailable
	}
	return answer
}

// checkJob ends a job at its deadline, marks it late when it can't meet its
// objective, and reviews it when a review is due.
func (c *Core) checkJob(j *job) {
	if j.forward.away != nil {
		c.checkForwarded(j)
		return
	}
	if c.now >= j.Deadline {
		if j.runs == 0 {
			c.finish(j, JobRefused, "no room before the deadline")
			return
		}
		c.finish(j, JobExpired, fmt.Sprintf("%d of %d tasks done at the deadline", j.done, len(j.tasks)))
		return
	}
	if !j.late && j.waiting > 0 && c.now > j.latestStart() {
		j.late = true
		j.reviewAt = c.now
	}
	if j.waiting > 0 && c.now >= j.reviewAt {
		c.review(j)
	}
	c.stopOverdueRuns(j)
}

// interrupt ends all open jobs as interrupted.
func (c *Core) interrupt(cause string) {
	for _, j := range c.jobOrder {
		c.finish(j, JobInterrupted, cause)
	}
}
