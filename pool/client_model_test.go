package pool

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/scheduler"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// patience is how long a client waits for an answer.
	patience = 1500 * time.Millisecond
	// firstRetransmission is TCP's first retransmission timeout; it doubles.
	firstRetransmission = 200 * time.Millisecond
)

// client submits a job and, when its connection breaks or it has waited too long, submits
// it again at another entry.
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
	// patientUntil is the time at which the client gives up its current submission.
	patientUntil time.Duration
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
	// The connection has been open for some time.
	connectedAt := max(sim.now-time.Second, 0)
	sim.transmit(c.entry, c.waiter, scheduler.JobSubmitted{Waiter: c.waiter, Job: &scheduler.Job{
		ID: c.job, Queue: "q", Service: "s", Tasks: tasks, Need: message.Resources{MilliCPU: cpu},
		Estimate: estimate, Stretch: 1.6, Slack: 60 * time.Millisecond, Attempts: 3,
		Deadline: sim.now + 4*time.Second, FirstRun: int64(sim.now/time.Millisecond)*16 + 16, ConnectedAt: connectedAt,
	}})
	c.patientUntil = sim.now + patience
}

// transmission is an event of a client's connection on its way to an entry. An entry that
// is frozen, or cut off from its clients, takes no packets: TCP sends them again.
type transmission struct {
	waiter scheduler.Waiter
	event  scheduler.Event
	// next is the time of the next attempt, timeout the time from it to the one after.
	next, timeout time.Duration
}

func (sim *simulation) transmit(entry int, w scheduler.Waiter, event scheduler.Event) {
	e := sim.entries[entry]
	e.transmissions = append(e.transmissions, &transmission{waiter: w, event: event, next: sim.now, timeout: firstRetransmission})
}

// deliverTransmissions delivers what arrives at the entries, in the order in which each
// connection sent it. The end of a connection follows its last data after a round trip.
func (sim *simulation) deliverTransmissions() {
	for _, e := range sim.entries {
		var left []*transmission
		held := map[scheduler.Waiter]bool{}
		for _, t := range e.transmissions {
			switch {
			case held[t.waiter]:
				t.next = sim.now + tick
			case sim.now < t.next:
			case sim.now < max(e.frozenUntil, e.clientsCutUntil):
				t.next += t.timeout
				t.timeout *= 2
			default:
				e.inbox = append(e.inbox, t.event)
				held[t.waiter] = true
				continue
			}
			held[t.waiter] = true
			left = append(left, t)
		}
		e.transmissions = left
	}
}

// disconnectClient ends a client's connection; the client submits again at
// another entry.
func (sim *simulation) disconnectClient(c *client) {
	if c.done || c.resubmitAt != 0 {
		return
	}
	sim.transmit(c.entry, c.waiter, scheduler.WaiterDisconnected{Waiter: c.waiter})
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
		case c.resubmitAt == 0 && sim.now >= c.patientUntil && c.submissions == 1:
			sim.disconnectClient(c)
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
		if a.Answer.Reason == verdict.ReasonUnavailable && c.resubmitAt == 0 {
			c.resubmitAt = sim.now + resubmitDelay
		}
		if c.resubmitAt == 0 {
			c.done = true
		}
	}
}
