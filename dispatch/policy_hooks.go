package dispatch

import (
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// policyHooks holds the optional interfaces of the policies; those that a policy
// does not implement are nil.
type policyHooks struct {
	gated    GatedQueue
	progress ProgressObserver
	shares   ShareEstimator
	backlog  BacklogSetter
	jobs     JobObserver
	callers  CallerCounter
}

// hookPolicies sets the optional interfaces and passes the owner's zone to the
// placement.
func (c *Core) hookPolicies() {
	c.hooks.gated, _ = c.queue.(GatedQueue)
	c.hooks.progress, _ = c.queue.(ProgressObserver)
	c.hooks.shares, _ = c.queue.(ShareEstimator)
	c.hooks.backlog, _ = c.placement.(BacklogSetter)
	c.hooks.callers, _ = c.queue.(CallerCounter)
	c.hooks.jobs, _ = c.admission.(JobObserver)
	if z, ok := c.placement.(ZoneSetter); ok {
		z.SetZone(c.opts.Zone)
	}
}

// next removes and returns the task to start next, or nil.
func (c *Core) next() *QueuedTask {
	if c.hooks.gated != nil {
		return c.hooks.gated.NextGated(c.now, (*gate)(c))
	}
	return c.queue.Next(c.now, c.canRun)
}

// reportBacklog reports to the placement how many tasks need the credits. It
// assumes that each of the other owners has as many.
func (c *Core) reportBacklog(n int) {
	if c.hooks.backlog != nil {
		c.hooks.backlog.SetBacklog(n * max(c.service.Owners, 1))
	}
}

// notifyRunEnded notifies the queue that a run of the caller has ended.
func (c *Core) notifyRunEnded(caller *usage) {
	if c.hooks.gated != nil && caller != nil {
		c.hooks.gated.RunEnded(caller.key.team, caller.key.caller)
	}
}

// notifyProgress notifies the queue that the task's job has fewer tasks left.
func (c *Core) notifyProgress(t *task) {
	if c.hooks.progress != nil {
		c.hooks.progress.Progressed(&t.queued)
	}
}

// waitingCallers returns the number of callers with waiting tasks. Agents weight
// the owners of a service by it when they share credits among them.
func (c *Core) waitingCallers() int {
	if c.hooks.callers == nil {
		return 0
	}
	return c.hooks.callers.Callers()
}

// slotShare returns this owner's part of all slots, rounded up, when several
// owners share the service.
func (c *Core) slotShare() int {
	slots := c.placement.Slots()
	return (slots + max(c.service.Owners, 1) - 1) / max(c.service.Owners, 1)
}

// notifyJobEnded reports the end of a job to the admission. A job that moved to
// another owner, or was refused after a takeover, is reported as JobOther.
func (c *Core) notifyJobEnded(j *job, end JobEnd) {
	if c.hooks.jobs != nil {
		c.hooks.jobs.JobEnded(c.now, j.key, end)
	}
}

// jobEndOf returns the JobEnd for a job's answer.
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

// gate implements Gate for the core's queue.
type gate Core

// NeedMet reports whether a free credit that meets the need is worth using.
func (g *gate) NeedMet(need Need, backlog int) bool {
	(*Core)(g).reportBacklog(backlog)
	return g.placement.CanRun(g.now, need)
}

// TeamBelowLimit reports whether the task's team is below its concurrency limit.
func (g *gate) TeamBelowLimit(q *QueuedTask) bool { return !q.Handle.(*task).job.team.atLimit() }

// CallerBelowLimit reports whether the task's caller is below its concurrency limit.
func (g *gate) CallerBelowLimit(q *QueuedTask) bool { return !q.Handle.(*task).job.caller.atLimit() }
