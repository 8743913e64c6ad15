package dispatch

import (
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// policyHooks are the optional interfaces that the policies implement; nil
// stands for those that they don't.
type policyHooks struct {
	gated    GatedQueue
	progress ProgressObserver
	shares   ShareEstimator
	backlog  BacklogObserver
	jobs     JobObserver
	callers  CallerCounter
}

// hookPolicies finds the optional interfaces and introduces the owner.
func (c *Core) hookPolicies() {
	c.hooks.gated, _ = c.queue.(GatedQueue)
	c.hooks.progress, _ = c.queue.(ProgressObserver)
	c.hooks.shares, _ = c.queue.(ShareEstimator)
	c.hooks.backlog, _ = c.placement.(BacklogObserver)
	c.hooks.callers, _ = c.queue.(CallerCounter)
	c.hooks.jobs, _ = c.admission.(JobObserver)
	if z, ok := c.placement.(ZoneObserver); ok {
		z.SetZone(c.opts.Zone)
	}
}

// next takes the task to start next out of the queue.
func (c *Core) next() *QueuedTask {
	if c.hooks.gated != nil {
		return c.hooks.gated.NextThrough(c.now, (*gate)(c))
	}
	return c.queue.Next(c.now, c.canRun)
}

// tellBacklog tells the placement how many tasks want the credits. The other
// owners are taken to have as many.
func (c *Core) reportBacklog(n int) {
	if c.hooks.backlog != nil {
		c.hooks.backlog.SetBacklog(n * max(c.service.Owners, 1))
	}
}

// roomFreed tells the queue that a caller's and team's start has ended.
func (c *Core) notifyStartEnded(caller *usage) {
	if c.hooks.gated != nil && caller != nil {
		c.hooks.gated.RoomFreed(caller.key.team, caller.key.caller)
	}
}

// progressed tells the queue that the task's job has fewer tasks left.
func (c *Core) notifyProgress(t *task) {
	if c.hooks.progress != nil {
		c.hooks.progress.Progressed(&t.queued)
	}
}

// waitingCallers is the number of callers by which several owners share credits.
func (c *Core) waitingCallers() int {
	if c.hooks.callers == nil {
		return 0
	}
	return c.hooks.callers.Callers()
}

// slotShare is this owner's part of the slots when several share the service.
func (c *Core) slotShare() int {
	slots := c.placement.Slots()
	return (slots + max(c.service.Owners, 1) - 1) / max(c.service.Owners, 1)
}

// jobEnded tells the admission what became of a job. A job that was moved to
// another owner, or never admitted, is of no interest to it.
func (c *Core) notifyJobEnded(j *job, end JobEnd) {
	if c.hooks.jobs != nil {
		c.hooks.jobs.JobEnded(c.now, j.key, end)
	}
}

// jobEndOf says what a job's answer tells the admission.
func jobEndOf(a *message.JobAnswer, reason verdict.Reason) JobEnd {
	switch {
	case reason == verdict.ReasonDeadline:
		return JobLate
	case a.Failed:
		return JobOther
	default:
		return JobComplete
	}
}

// gate is the core as its queue sees it.
type gate Core

// NeedMet reports whether a free credit that meets the need is worth using.
func (g *gate) NeedMet(need Need, backlog int) bool {
	(*Core)(g).reportBacklog(backlog)
	return g.placement.CanRun(g.now, need)
}

// TeamHasRoom reports whether the task's team is within its concurrency.
func (g *gate) TeamHasRoom(q *QueuedTask) bool { return !q.Handle.(*task).job.team.full() }

// CallerHasRoom reports whether the task's caller is within its concurrency.
func (g *gate) CallerHasRoom(q *QueuedTask) bool { return !q.Handle.(*task).job.caller.full() }
