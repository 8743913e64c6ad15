package dispatch

import "marjoramlug.example/marjoramlug/message"

// outbox collects the cancellations and journal requests for one agent, so that
// many cancellations at once, or a takeover of many shards, cost one message per
// agent.
type outbox struct {
	// listed is true while the session is in Core.outbox.
	listed          bool
	cancels         []message.StartID
	journalRequests []message.ShardEpoch
}

// post adds a session to the list of those whose outbox the next flush sends.
func (c *Core) post(s *session) {
	if s.out.listed {
		return
	}
	s.out.listed = true
	c.outbox = append(c.outbox, s)
}

// flush sends the contents of the outboxes, immediately or after
// Options.BatchDelay.
func (c *Core) flush() {
	if len(c.outbox) == 0 || c.flushTimer != nil {
		return
	}
	if c.opts.BatchDelay > 0 {
		c.flushTimer = c.timers.add(c.now.Add(c.opts.BatchDelay), c.flushNow)
		return
	}
	c.flushNow()
}

func (c *Core) flushNow() {
	c.flushTimer = nil
	for _, s := range c.outbox {
		out := s.out
		s.out = outbox{}
		if s.agent.session != s {
			continue
		}
		c.sendJournalRequest(s, out.journalRequests)
		c.sendCancels(s, out.cancels)
	}
	c.outbox = c.outbox[:0]
}

// sendCancels cancels those of the starts that have not ended since.
func (c *Core) sendCancels(s *session, ids []message.StartID) {
	running := ids[:0]
	for _, id := range ids {
		if c.starts[id] != nil {
			running = append(running, id)
		}
	}
	if len(running) == 0 {
		return
	}
	c.counters.Wasted.add(message.KindCancel)
	c.send(s, &message.Cancel{Service: c.opts.Service, Starts: running})
}

func (c *Core) sendJournalRequest(s *session, shards []message.ShardEpoch) {
	owned := shards[:0]
	for _, se := range shards {
		if sh := &c.shards[se.Shard]; sh.owned && sh.epoch == se.Epoch {
			owned = append(owned, se)
		}
	}
	if len(owned) > 0 {
		s.pendingJournals++
		c.send(s, &message.JournalRequest{Service: c.opts.Service, Shards: owned})
	}
}
