package scheduler

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// refusalDelay is the pause before a task that an agent has refused is
	// offered again, unless the agent's report has told of room: some ways there
	// and back.
	refusalDelay = 5 * time.Millisecond
	// runNumberSkip is added to the number of a run that an endpoint took for an
	// outdated one: more than any entry uses for one task.
	runNumberSkip = 1 << 20
	// stalledFactor and rescueSlack set the time after which a run counts as stuck:
	// beyond what estimates are off by.
	stalledFactor = 4
	stalledSlack  = 150 * time.Millisecond
)

// stop ends a run; its room and its task are free when the agent reports the
// end.
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

// withdraw takes back a start that has not been sent.
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

// endRun takes note of the end of a run.
func (c *Core) endRun(r *run, end message.RunEnd) {
	r.agent.runs.Delete(r.ref)
	c.counters.Ended[end.Outcome]++
	if end.Outcome == message.RunRefused {
		c.counters.Refused[end.Cause]++
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
		if r.stoppedAsStalled {
			c.avoid(t, r.agent)
		}
	case message.RunStalled:
		c.counters.Rescued++
		c.avoid(t, r.agent)
		c.recordFailure(r.agent, j.ID)
	case message.RunLost:
		j.lost++
	case message.RunRefused:
		j.runs--
		c.refused(t, r, end.Cause)
	}
	t.state = taskWaiting
	j.waiting++
	c.waiting++
}

func (c *Core) taskDone(j *job, t *task, r *run, end message.RunEnd) {
	t.state = taskDone
	j.done++
	r.agent.recordSuccess()
	c.learnSpeed(r, time.Duration(end.Millis)*time.Millisecond)
	if j.done == len(j.tasks) {
		c.finish(j, JobCompleted, "")
	}
}

// taskFailed reports whether the job has failed with the task.
func (c *Core) taskFailed(j *job, t *task, r *run) bool {
	j.failed++
	t.failures++
	c.avoid(t, r.agent)
	c.recordFailure(r.agent, j.ID)
	if t.failures < j.Attempts {
		return false
	}
	// The task has no run any more, but it does not wait either.
	t.state = taskDone
	c.finish(j, JobFailed, "a task has failed as often as it may")
	return true
}

// avoid keeps a task off an agent and reports whether another is left; when
// none is, the task may go to all again.
func (c *Core) avoid(t *task, a *agent) bool {
	t.avoid = append(t.avoid, a)
	if len(t.avoid) < len(c.agentList) {
		return true
	}
	t.avoid = nil
	return false
}

func (c *Core) refused(t *task, r *run, cause message.RunCause) {
	switch cause {
	case message.CauseNumber:
		t.nextRun += runNumberSkip
	case message.CauseOverloaded, message.CauseInvalid:
		c.recordFailure(r.agent, r.job.ID)
		if !c.avoid(t, r.agent) {
			t.notBefore = c.now + refusalDelay
		}
	case message.CauseUnreachable, message.CauseLeaving:
		t.notBefore = c.now + refusalDelay
	}
}

// rescue stops runs that make no progress, so that they can run elsewhere.
func (c *Core) stopStalledRuns(j *job) {
	for i := range j.tasks {
		r := j.tasks[i].run
		if r == nil || r.stopped || r.endedBy > 0 || r.expected == 0 {
			continue
		}
		if c.now-r.started > stalledFactor*r.expected+stalledSlack {
			r.stoppedAsStalled = true
			c.counters.Rescued++
			c.recordFailure(r.agent, j.ID)
			c.stop(r)
		}
	}
}
