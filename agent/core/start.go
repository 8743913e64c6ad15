package core

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// refusal is the reason why a start is not accepted.
type refusal struct {
	reason  verdict.Reason
	counter Counter
	detail  string
}

// handleStart accepts or refuses a start. Its credit is spent in both cases, so
// that a copy of a refused start can't be accepted later. Copies of an accepted
// start are ignored.
func (c *Core) handleStart(now time.Time, s *session, m *message.Start) {
	if c.journal.starts[m.ID] != nil {
		c.count(StartDuplicate)
		return
	}
	r := c.checkStart(now, s, m)
	c.removeCredit(s, m.Credit)
	if o := s.ownerStates[m.Service]; o != nil {
		c.updateDemand(m.Service, o, m.Queued, m.Urgent, m.Callers)
		o.lastStart = now
	}
	if r != nil {
		c.refusedStarts.add(now, m.ID)
		c.count(r.counter)
		c.sendRefusal(now, s, m, r)
		return
	}
	c.accept(now, s, m)
	if sv := c.services[m.Service]; s.ownerStates[m.Service] != nil {
		c.reclaim(now, s, sv)
		c.distribute(now, sv)
	}
}

// checkStart checks the rules for accepting a start and returns nil if all hold: it
// was not refused before, its credit is live and belongs to its endpoint, its
// sequence number is recent, its epoch is not below the highest known and its
// endpoint is not leaving.
func (c *Core) checkStart(now time.Time, s *session, m *message.Start) *refusal {
	if c.refusedStarts.has(m.ID) {
		return &refusal{verdict.ReasonCreditExpired, StartRefusedBefore, "the start was refused before"}
	}
	key := EndpointKey{m.Service, m.Endpoint}
	if granted, live := s.credits[m.Credit]; !live || granted != key {
		if ep := c.endpoint(key); ep == nil || ep.info.Leaving {
			return &refusal{verdict.ReasonLeaving, StartLeaving, "the endpoint is leaving"}
		}
		return &refusal{verdict.ReasonCreditExpired, StartNoCredit, "the credit is not live"}
	}
	if !s.sequences.sentWithin(m.Sequence, now, c.opts.AcceptWindow) {
		return &refusal{verdict.ReasonCreditExpired, StartStaleSequence, "the stamp is too old"}
	}
	if fenceEpoch := c.fences[shardKey{m.Service, m.Shard}].epoch; m.Epoch < fenceEpoch {
		detail := fmt.Sprintf("epoch %d is below %d", m.Epoch, fenceEpoch)
		return &refusal{verdict.ReasonStaleEpoch, StartStaleEpoch, detail}
	}
	if ep := c.endpoint(key); ep == nil || ep.info.Leaving {
		return &refusal{verdict.ReasonLeaving, StartLeaving, "the endpoint is leaving"}
	}
	return nil
}

func (c *Core) accept(now time.Time, s *session, m *message.Start) {
	ep := c.endpoint(EndpointKey{m.Service, m.Endpoint})
	ep.running++
	c.journal.add(now, m)
	c.fences[shardKey{m.Service, m.Shard}] = fence{m.Epoch, s.entryIncarnation()}
	c.count(StartAccepted)
	c.emit(Run{
		ID: m.ID, Endpoint: ep.key, Address: ep.address, Connections: ep.info.Connections,
		Team: m.Job.Team, Task: m.Task, Timeout: c.timeout(m.Task),
	})
}

func (c *Core) timeout(t message.Task) time.Duration {
	if t.TimeoutMillis > 0 {
		return time.Duration(t.TimeoutMillis) * time.Millisecond
	}
	return c.opts.TaskTimeout
}

// sendRefusal answers a start with NotRun. If the start spent a live credit, the
// credit's slot is free and is granted again; if the new credit goes to the sender of
// the start, the answer carries it.
func (c *Core) sendRefusal(now time.Time, s *session, m *message.Start, r *refusal) {
	result := message.TaskResult{
		Verdict: verdict.NotRun, Reason: r.reason, Detail: r.detail, Endpoint: m.Endpoint,
	}
	c.sendResult(now, s, m.Service, m.ID, result)
}

// handleTaskEnded frees the slot and reports the result to the current owner of the
// shard.
func (c *Core) handleTaskEnded(now time.Time, ended TaskEnded) {
	e := c.journal.starts[ended.ID]
	if e == nil || e.State != message.StartRunning {
		return
	}
	ended.Result.Endpoint = e.Endpoint
	c.journal.end(now, e, ended.Result)
	removed := c.releaseSlot(EndpointKey{e.service, e.Endpoint})
	c.deliverResult(now, e)
	if removed {
		c.reconcile(now)
	}
}

// deliverResult sends a result to the owner of the shard if there is a session to
// it; otherwise the result waits in the journal.
func (c *Core) deliverResult(now time.Time, e *acceptedStart) {
	s := c.sessionWith(c.fences[shardKey{e.service, e.Shard}].owner)
	if s != nil {
		c.sendResult(now, s, e.service, e.ID, e.Result)
		c.journal.markSent(e)
		c.count(ResultSent)
		return
	}
	c.count(ResultKept)
	if sv := c.services[e.service]; sv != nil {
		c.distribute(now, sv)
	}
}

// releaseSlot frees the slot of an ended task and reports whether the endpoint was
// removed with it.
func (c *Core) releaseSlot(key EndpointKey) bool {
	ep := c.endpoint(key)
	if ep == nil {
		return false
	}
	ep.running--
	return c.removeIfIdle(ep)
}

// sendResult allocates the free slots of the service and sends the result together
// with the receiver's new credits; other owners get theirs in separate messages.
func (c *Core) sendResult(now time.Time, s *session, service string, id message.StartID, r message.TaskResult) {
	granted := grants{}
	if sv := c.services[service]; sv != nil {
		granted = c.allocate(sv)
	}
	c.send(s, &message.Result{Service: service, ID: id, Sequence: c.nextSequence(now, s), Result: r, Grants: granted[s]})
	delete(granted, s)
	c.sendGrants(now, service, granted)
}

// handleCancel cancels running starts of shards that the sender owns; their results
// follow as usual.
func (c *Core) handleCancel(s *session, m *message.Cancel) {
	for _, id := range m.Starts {
		e := c.journal.starts[id]
		if e == nil || e.State != message.StartRunning || e.cancelled {
			c.count(CancelIgnored)
			continue
		}
		if c.fences[shardKey{e.service, e.Shard}].owner != s.entryIncarnation() {
			c.count(CancelIgnored)
			continue
		}
		e.cancelled = true
		c.count(CancelApplied)
		c.emit(CancelRun{id})
	}
}

func (s *session) entryIncarnation() entryIncarnation {
	return entryIncarnation{s.peer.Name, s.peer.Incarnation}
}
