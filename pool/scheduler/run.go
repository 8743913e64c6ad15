package scheduler

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// refusalDelay is the delay before a refused task is offered again, a few
	// round trips. A refusal for lack of capacity needs no delay, as the
	// agent's report contains its current free capacity.
	refusalDelay = 5 * time.Millisecond
	// runNumberSkip is added to the number of a run that an endpoint refused as
	// outdated; it exceeds the number of runs that any entry uses for one task.
	runNumberSkip = 1 << 20
	// A run is overdue after overdueFactor times its expected run time plus
	// overdueSlack; this limit exceeds the error of the estimates.
	overdueFactor = 4
	overdueSlack  = 150 * time.Millisecond
)

// stop ends a run. A start that has not been sent is withdrawn; otherwise the
// agent is ordered to stop the run, whose capacity and task are released when
// its end is known.
func (c *Core) stop(r *run) {
	if r.stopped {
		return
	}
	if c.withdraw(r) {
		return
	}
	r.stopped = true
	if r.agent.session != 0 {
		r.agent.stops = append(r.agent.stops, r.ref)
	}
}

// withdraw cancels a start that has not been sent and reports whether there was
// one.
func (c *Core) withdraw(r *run) bool {
	runStart := r.agent.starts[r.ref.Job]
	if runStart == nil {
		return false
	}
	at := slices.Index(runStart.Runs, message.TaskRun{Task: r.ref.Task, Number: r.ref.Number})
	if at < 0 {
		return false
	}
	runStart.Runs = slices.Delete(runStart.Runs, at, at+1)
	if len(runStart.Runs) == 0 {
		delete(r.agent.starts, r.ref.Job)
		r.agent.startOrder = slices.DeleteFunc(r.agent.startOrder, func(id string) bool { return id == r.ref.Job })
	}
	r.agent.pendingNeed = r.agent.pendingNeed.Minus(runStart.Need)
	c.endRun(r, message.RunEnd{Run: r.ref, Outcome: message.RunRefused, Cause: message.CauseStale})
	return true
}

// endRun removes an ended run and applies its outcome to the task, the job and
// the agent.
func (c *Core) endRun(r *run, end message.RunEnd) {
	r.agent.runs.Delete(r.ref)
	c.counters.Ended[end.Outcome]++
	if end.Outcome == message.RunRefused {
		c.counters.Refused[knownCause(end.Cause)]++
	}
	j := r.job
	if j.answered {
		c.remainingRuns[j.ID]--
		if c.remainingRuns[j.ID] <= 0 {
			delete(c.remainingRuns, j.ID)
		}
		return
	}
	t := &j.tasks[r.task]
	t.run = nil
	switch end.Outcome {
	case message.RunDone:
		c.taskDone(j, t, r, end)
		return
	case message.RunFailed:
		if c.taskFailed(j, t, r) {
			return
		}
	case message.RunStopped:
		if r.stoppedAsOverdue {
			c.avoid(t, r.agent)
		}
	case message.RunStalled:
		c.counters.StalledRuns++
		c.avoid(t, r.agent)
		c.recordFailure(r.agent, j.ID)
	case message.RunLost:
		j.lost++
	case message.RunRefused:
		j.runs--
		c.shareStarted(j, -1)
		c.refused(t, r, knownCause(end.Cause))
	}
	t.state = taskWaiting
	j.waiting++
	c.waiting++
}

// knownCause returns the cause, or CauseUnreachable for one of a later release.
func knownCause(cause message.RunCause) message.RunCause {
	if cause > message.CauseEvacuated {
		return message.CauseUnreachable
	}
	return cause
}

func (c *Core) taskDone(j *job, t *task, r *run, end message.RunEnd) {
	t.state = taskDone
	j.done++
	r.agent.recordSuccess()
	c.learnSpeed(r, time.Duration(end.Millis)*time.Millisecond)
	switch {
	case j.done == len(j.tasks):
		c.finish(j, JobCompleted, "")
	case j.suspect != nil:
		c.clearTask(j.suspect, r.task)
	}
}

// taskFailed records a failed run and reports whether the job has failed with
// it.
func (c *Core) taskFailed(j *job, t *task, r *run) bool {
	j.failed++
	t.failures++
	c.avoid(t, r.agent)
	c.recordFailure(r.agent, j.ID)
	if t.failures < j.Attempts {
		return false
	}
	// The task has no run any more, but it must not count as waiting either.
	t.state = taskDone
	c.finish(j, JobFailed, "a task has failed as often as it may")
	return true
}

// avoid excludes an agent for a task and reports whether another agent is left;
// if none is, the task may run on all agents again.
func (c *Core) avoid(t *task, a *agent) bool {
	t.avoid = append(t.avoid, a)
	if slices.ContainsFunc(c.agentList, func(o *agent) bool { return !o.evacuation.active && !slices.Contains(t.avoid, o) }) {
		return true
	}
	t.avoid = nil
	return false
}

func (c *Core) refused(t *task, r *run, cause message.RunCause) {
	switch cause {
	case message.CauseStaleNumber:
		t.nextRun += runNumberSkip
	case message.CauseOverloaded, message.CauseInvalid:
		c.recordFailure(r.agent, r.job.ID)
		if !c.avoid(t, r.agent) {
			t.notBefore = c.now + refusalDelay
		}
	case message.CauseIsolated:
		r.agent.isolatedAt = c.now
	case message.CauseUnreachable, message.CauseLeaving, message.CauseEvacuated:
		t.notBefore = c.now + refusalDelay
	}
}

// stopOverdueRuns stops runs that take far longer than expected, so that their
// tasks can run elsewhere.
func (c *Core) stopOverdueRuns(j *job) {
	for i := range j.tasks {
		r := j.tasks[i].run
		if r == nil || r.stopped || r.lostAt > 0 || r.expected == 0 {
			continue
		}
		if c.now-r.started > overdueFactor*r.expected+overdueSlack {
			r.stoppedAsOverdue = true
			c.counters.StalledRuns++
			c.recordFailure(r.agent, j.ID)
			c.stop(r)
		}
	}
}
