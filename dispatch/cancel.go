package dispatch

import (
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// cancel ends a job on its caller's request. Unknown and ended jobs are
// ignored.
func (c *Core) cancel(key message.JobKey) {
	j := c.jobs[key]
	if j == nil {
		return
	}
	c.counters.Cancels++
	c.endEarly(j, message.TaskResult{Reason: verdict.ReasonCancelled, Detail: "the job was cancelled"})
}

// expire ends a job at its deadline.
func (c *Core) expire(j *job) {
	c.counters.Deadlines++
	c.endEarly(j, message.TaskResult{Reason: verdict.ReasonDeadline, Detail: "the deadline has passed"})
}

// endEarly ends a job whose tasks have not all ended. Queued tasks are removed
// without a message; running ones are cancelled with one message per agent.
func (c *Core) endEarly(j *job, r message.TaskResult) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskEnded {
			c.abandon(t, r)
		}
	}
	c.endJob(j, r.Reason)
}

// abandon ends a task without waiting for its result.
func (c *Core) abandon(t *task, r message.TaskResult) {
	r.Verdict = verdict.MayHaveRun
	switch t.state {
	case taskQueued:
		c.queue.Remove(&t.queued)
		c.unqueue(t)
		if !t.mayHaveRun {
			r.Verdict = verdict.NotRun
		}
	case taskRunning:
		c.cancelTask(t)
	}
	t.end(r)
}

// cancelTask stops a running task's start, or the starts of earlier owners.
func (c *Core) cancelTask(t *task) {
	if t.recovered == nil {
		st := t.start
		st.detach()
		c.cancelStart(st)
		return
	}
	for _, st := range t.recovered.running {
		st.recovered = nil
		c.cancelStart(st)
	}
	t.recovered = nil
}

func (c *Core) cancelStart(st *start) {
	if s := st.agent.session; s != nil {
		s.out.cancels = append(s.out.cancels, st.id)
		c.post(s)
	}
}
