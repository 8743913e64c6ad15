package scheduler

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// A job that this entry, the origin, would refuse is forwarded as a whole to another one,
// the host, that has free capacity for it. See docs/design/load-sharing.md.

const (
	// hopDelay is the time that forwarding adds to a job: the way to the host and that of
	// its answer, across zones.
	hopDelay = 4 * time.Millisecond
	// maxForwards is the number of peers that a job is sent to in turn.
	maxForwards = 2
	// maxReportWait is how long a job waits for reports of peers before it is refused.
	maxReportWait = 30 * time.Millisecond
	// forwardRunNumbers is the number of run numbers reserved for each entry that has the
	// job in turn: endpoints reject numbers that are not higher than the last one.
	forwardRunNumbers = 1 << 10
)

// forwardState is a job's state with regard to other entries.
type forwardState struct {
	// away is the peer that the job was last forwarded to, until the peer has said that it
	// has not run. request is its number there.
	away    *peer
	request uint64
	sentAt  time.Duration
	// count is the number of times that the job was forwarded, refusedBy the last peer
	// that has refused it.
	count     int
	refusedBy string
	// awaitsReport is set while the job waits for reports of peers, at most until
	// awaitUntil.
	awaitsReport bool
	awaitUntil   time.Duration
	// answer is the peer's answer.
	answer *message.JobAnswer
	// origin is the name of the entry that the job came from, if any.
	origin string
}

// refuse refuses a job, unless it can be forwarded or may be after a peer's report.
func (c *Core) refuse(j *job, cause string) {
	if c.mayForward(j) {
		ranked := c.rankPeers(j)
		if c.tryForward(j, ranked, cause) || c.awaitReports(j, ranked) {
			return
		}
	}
	c.finish(j, JobRefused, cause)
}

// refuseNow refuses a job, unless a peer is known to have free capacity for it.
func (c *Core) refuseNow(j *job, cause string) {
	if !c.mayForward(j) || !c.tryForward(j, c.rankPeers(j), cause) {
		c.finish(j, JobRefused, cause)
	}
}

// forwardWaiting forwards a job that has waited for half of the time that it has, if a peer
// has free capacity for it. The estimated wait does not tell whether it will be late: it
// leaves out that running tasks use all capacity.
func (c *Core) forwardWaiting(j *job) {
	if c.now < j.received+(j.latestStart()-j.received)/2 || !c.mayForward(j) {
		return
	}
	ranked := c.rankPeers(j)
	if !c.tryForward(j, ranked, "it has waited for half of its time") {
		j.forward.awaitsReport = c.askPeers(ranked)
	}
}

func (c *Core) tryForward(j *job, ranked []*peer, cause string) bool {
	p := c.choosePeer(j, ranked)
	if p != nil {
		c.forwardTo(j, p, cause)
	}
	return p != nil
}

// mayForward reports whether a job can be forwarded at all: nothing of it has run or may
// still run, and no crash is blamed on it or its queue.
func (c *Core) mayForward(j *job) bool {
	return c.opts.LoadSharingPeers > 0 && len(c.peerList) >= c.opts.LoadSharingPeers && !c.stopping &&
		j.forward.away == nil && j.forward.origin == "" && j.forward.count < maxForwards &&
		j.runs == 0 && j.waiting == len(j.tasks) && c.remainingRuns[j.ID] == 0 &&
		j.suspect == nil && !j.queue.deadly && !j.mayRunElsewhere && j.Label == ""
}

// awaitReports asks peers for their free capacity, and reports whether the job should wait
// for it.
func (c *Core) awaitReports(j *job, ranked []*peer) bool {
	f := &j.forward
	if f.awaitUntil == 0 {
		f.awaitUntil = c.now + maxReportWait
	}
	f.awaitsReport = c.now < f.awaitUntil && float64(j.expectedRunTime()) <= c.runTimeLimit(j)-float64(hopDelay) && c.askPeers(ranked)
	if f.awaitsReport {
		j.reviewAt = min(c.now+askTimeout, f.awaitUntil)
	}
	return f.awaitsReport
}

// forwardTo sends a job to a peer. Until the peer has answered, the job has no waiting
// tasks here.
func (c *Core) forwardTo(j *job, p *peer, cause string) {
	c.deduct(p, j)
	c.lastRequest++
	f := &j.forward
	f.away, f.request, f.sentAt, f.awaitsReport = p, c.lastRequest, c.now, false
	f.count++
	c.waiting -= j.waiting
	j.waiting = 0
	c.removeFromBacklog(j)
	c.shareForwarded(j, len(j.tasks))
	j.FirstRun += forwardRunNumbers
	p.jobs.Set(f.request, j)
	p.pending.Jobs = append(p.pending.Jobs, message.ForwardedJob{
		Request: f.request, ID: j.ID, Queue: j.Queue, Service: j.Service, Urgent: j.Urgent, Payload: j.Payload,
		Tasks: len(j.tasks), Need: j.Need, EstimateMicros: j.Estimate.Microseconds(), Stretch: j.Stretch,
		SlackMicros: j.Slack.Microseconds(), AgeMicros: (c.now - j.received).Microseconds(),
		DeadlineMicros: (j.Deadline - overhead - c.now).Microseconds(), Spread: j.Spread, Attempts: j.Attempts,
		FirstRun: j.FirstRun, Priority: j.Priority, Caller: j.Caller,
	})
	c.noteForward(ForwardSent, j.Job, p.name, cause, 0)
}

// forwardAnswered takes in a peer's answer to a job.
func (c *Core) forwardAnswered(p *peer, a *message.ForwardAnswer) {
	j := p.jobs.Get(a.Request)
	if j == nil {
		return
	}
	p.jobs.Delete(a.Request)
	f := &j.forward
	if a.Answer.Failed && a.Answer.Verdict == verdict.NotRun && a.Answer.Reason != verdict.ReasonCancelled {
		c.noteForward(ForwardRefused, j.Job, p.name, a.Answer.Detail, c.now-f.sentAt)
		c.takeBack(j)
		return
	}
	c.noteForward(ForwardAccepted, j.Job, p.name, a.Answer.Detail, c.now-f.sentAt)
	f.answer = &a.Answer
	c.finish(j, outcomeOf(&a.Answer), a.Answer.Detail)
}

// outcomeOf returns the outcome of a job that a peer has answered.
func outcomeOf(a *message.JobAnswer) Outcome {
	switch {
	case !a.Failed:
		return JobCompleted
	case a.Reason == verdict.ReasonTaskFailed:
		return JobFailed
	case a.Reason == verdict.ReasonDeadline:
		return JobExpired
	case a.Reason == verdict.ReasonCancelled:
		return JobCancelled
	}
	return JobInterrupted
}

// takeBack queues a job again that a peer has not run and will not run.
func (c *Core) takeBack(j *job) {
	j.forward.refusedBy = j.forward.away.name
	j.forward.away = nil
	j.FirstRun += forwardRunNumbers
	j.waiting = len(j.tasks)
	c.waiting += j.waiting
	c.shareForwarded(j, -j.waiting)
	j.reviewAt = c.now
}

// recall orders the peer that has a job to drop it.
func (c *Core) recall(j *job) {
	p := j.forward.away
	if !p.jobs.Has(j.forward.request) {
		return
	}
	p.jobs.Delete(j.forward.request)
	sent := len(p.pending.Jobs)
	p.pending.Jobs = slices.DeleteFunc(p.pending.Jobs, func(f message.ForwardedJob) bool { return f.Request == j.forward.request })
	if len(p.pending.Jobs) == sent {
		p.pending.Cancels = append(p.pending.Cancels, j.forward.request)
	}
}

// loseForwarded answers the jobs that a peer has, which may have run.
func (c *Core) loseForwarded(p *peer, cause string) {
	for _, j := range p.jobs.All() {
		c.noteForward(ForwardLost, j.Job, p.name, cause, c.now-j.forward.sentAt)
		c.finish(j, JobInterrupted, "lost contact with the entry that runs it: "+cause)
	}
}

// checkForwarded ends a job that a peer has at its deadline.
func (c *Core) checkForwarded(j *job) {
	if c.now >= j.Deadline {
		c.finish(j, JobExpired, "no answer from the entry that runs it before the deadline")
	}
}

func (c *Core) noteForward(what ForwardEvent, j *Job, peer, detail string, took time.Duration) {
	c.emit(ForwardNote{What: what, Job: j, Peer: peer, Detail: detail, Took: took})
}

// runTimeLimit returns how long a task of the job may be predicted to run, in nanoseconds,
// if it starts now: so that the job meets its objective or, if it is late, its answer is
// still of use.
func (c *Core) runTimeLimit(j *job) float64 {
	objective := j.objective()
	if c.now > j.latestStart() {
		objective *= usefulObjectiveFactor
	}
	return float64(min(j.received+objective, j.Deadline)-overhead-c.now) * fitMargin
}
