package pool

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/scheduler"
	"marjoramlug.example/marjoramlug/verdict"
)

// client submits a job and, when its connection breaks, submits it again
// elsewhere.
type client struct {
	job     string
	entry   int
	waiter  scheduler.Waiter
	giveUp  time.Duration
	again   time.Duration
	answers int
	started bool
	done    bool
	// sent and lastStart tell how long the last of its tasks waited.
	sent, lastStart time.Duration
	tries           int
}

// submit lets a new client submit a job.
func (w *world) submit(entry, tasks int, cpu int64, estimate time.Duration) {
	w.jobs++
	c := &client{job: fmt.Sprintf("job-%d", w.jobs), entry: entry, giveUp: w.now + 4*time.Second, sent: w.now}
	w.clients = append(w.clients, c)
	w.send(c, tasks, cpu, estimate)
}

func (w *world) send(c *client, tasks int, cpu int64, estimate time.Duration) {
	w.waiters++
	c.waiter, c.answers, c.started = scheduler.Waiter(w.waiters), 0, false
	c.tries++
	e := w.entries[c.entry]
	e.inbox = append(e.inbox, scheduler.JobSubmitted{Waiter: c.waiter, Job: &scheduler.Job{
		ID: c.job, Queue: "q", Service: "s", Tasks: tasks, Need: message.Resources{MilliCPU: cpu},
		Estimate: estimate, Stretch: 1.6, Slack: 60 * time.Millisecond, Attempts: 3,
		Deadline: w.now + 4*time.Second, FirstRun: int64(w.now/time.Millisecond)*16 + 16,
	}})
}

// breakOff ends a client's connection; it submits again elsewhere.
func (w *world) breakOff(c *client) {
	if c.done || c.again != 0 {
		return
	}
	w.entries[c.entry].inbox = append(w.entries[c.entry].inbox, scheduler.WaiterGone{Waiter: c.waiter})
	c.again = w.now + retransmit
}

func (w *world) playClients() {
	for _, c := range w.clients {
		switch {
		case c.done:
		case c.again != 0 && w.now >= c.again:
			c.again = 0
			c.entry = (c.entry + 1) % len(w.entries)
			if c.tries > 4 {
				c.done = true
				continue
			}
			w.send(c, 2, 6000, 100*time.Millisecond)
		case c.again == 0 && w.now >= c.giveUp+time.Second:
			w.breakOff(c)
			c.done = true
		}
	}
}

func (w *world) answered(a scheduler.Answer) {
	for _, c := range w.clients {
		if c.waiter != a.Waiter {
			continue
		}
		c.answers++
		if c.answers > 1 {
			w.fail("%s got two answers", c.job)
		}
		if !a.Answer.Failed {
			w.completed++
		}
		if a.Answer.Verdict == verdict.NotRun {
			w.refused++
			if c.started && c.tries == 1 {
				w.fail("%s was refused as not run, though a task of it had started", c.job)
			}
		}
		if c.again == 0 {
			c.done = true
		}
	}
}
