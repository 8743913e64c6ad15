package pool

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/scheduler"
	"marjoramlug.example/marjoramlug/verdict"
)

// client submits a job and, when its connection breaks, submits it again at
// another entry.
type client struct {
	job        string
	entry      int
	waiter     scheduler.Waiter
	deadline   time.Duration
	resubmitAt time.Duration
	answers    int
	started    bool
	done       bool
	// sent and lastStartAt give the time that the last of its tasks waited.
	sent, lastStartAt time.Duration
	// completedAt is the time of the answer that the job has completed; 0 if there
	// was none.
	completedAt time.Duration
	submissions int
}

// submit adds a client that submits a new job.
func (sim *simulation) submit(entry, tasks int, cpu int64, estimate time.Duration) {
	sim.jobs++
	c := &client{job: fmt.Sprintf("job-%d", sim.jobs), entry: entry, deadline: sim.now + 4*time.Second, sent: sim.now}
	sim.clients = append(sim.clients, c)
	sim.send(c, tasks, cpu, estimate)
}

func (sim *simulation) send(c *client, tasks int, cpu int64, estimate time.Duration) {
	sim.waiters++
	c.waiter, c.answers, c.started = scheduler.Waiter(sim.waiters), 0, false
	c.submissions++
	e := sim.entries[c.entry]
	e.inbox = append(e.inbox, scheduler.JobSubmitted{Waiter: c.waiter, Job: &scheduler.Job{
		ID: c.job, Queue: "q", Service: "s", Tasks: tasks, Need: message.Resources{MilliCPU: cpu},
		Estimate: estimate, Stretch: 1.6, Slack: 60 * time.Millisecond, Attempts: 3,
		Deadline: sim.now + 4*time.Second, FirstRun: int64(sim.now/time.Millisecond)*16 + 16,
	}})
}

// disconnectClient ends a client's connection; the client submits again at
// another entry.
func (sim *simulation) disconnectClient(c *client) {
	if c.done || c.resubmitAt != 0 {
		return
	}
	sim.entries[c.entry].inbox = append(sim.entries[c.entry].inbox, scheduler.WaiterDisconnected{Waiter: c.waiter})
	c.resubmitAt = sim.now + resubmitDelay
}

func (sim *simulation) stepClients() {
	for _, c := range sim.clients {
		switch {
		case c.done:
		case c.resubmitAt != 0 && sim.now >= c.resubmitAt:
			c.resubmitAt = 0
			c.entry = (c.entry + 1) % len(sim.entries)
			if c.submissions > 4 {
				c.done = true
				continue
			}
			sim.send(c, 2, 6000, 100*time.Millisecond)
		case c.resubmitAt == 0 && sim.now >= c.deadline+time.Second:
			sim.disconnectClient(c)
			c.done = true
		}
	}
}

func (sim *simulation) handleAnswer(a scheduler.Answer) {
	for _, c := range sim.clients {
		if c.waiter != a.Waiter {
			continue
		}
		c.answers++
		if c.answers > 1 {
			sim.fail("%s got two answers", c.job)
		}
		if !a.Answer.Failed {
			sim.completed++
			c.completedAt = sim.now
		}
		if a.Answer.Verdict == verdict.NotRun {
			sim.refused++
			if c.started && c.submissions == 1 {
				sim.fail("%s was refused as not run, though a task of it had started", c.job)
			}
		}
		if c.resubmitAt == 0 {
			c.done = true
		}
	}
}
