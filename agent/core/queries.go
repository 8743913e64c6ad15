package core

import (
	"marjoramlug.example/marjoramlug/message"
)

const (
	// maxJournalPartBytes is the maximum size of the entries in one Journal message,
	// a part of the journal. A larger entry gets a part of its own.
	maxJournalPartBytes = 256 << 10
	// startOverheadBytes is the size that is assumed for a journal entry in addition
	// to its answer.
	startOverheadBytes = 128
)

// handleJournalRequest raises the fencing epochs of the requested shards, makes the
// sender the receiver of their results and sends it their journal entries. Shards
// for which a higher epoch is known are omitted; if none is left, nothing is sent.
func (c *Core) handleJournalRequest(s *session, m *message.JournalRequest) {
	c.count(JournalRequested)
	requested := map[int]bool{}
	var shards []message.ShardEpoch
	for _, se := range m.Shards {
		key := shardKey{m.Service, se.Shard}
		if se.Epoch < c.fences[key].epoch {
			c.count(JournalRequestStale)
			continue
		}
		c.fences[key] = fence{se.Epoch, s.entryIncarnation()}
		requested[se.Shard] = true
		shards = append(shards, se)
	}
	if len(shards) == 0 && len(m.Shards) > 0 {
		return
	}
	part := &message.Journal{Service: m.Service, Shards: shards, CompleteSince: c.journal.completeSince}
	size := 0
	for _, e := range c.journal.forShards(m.Service, requested) {
		if size > 0 && size+journaledSize(e) > maxJournalPartBytes {
			part.More = true
			c.send(s, part)
			part = &message.Journal{Service: m.Service, Shards: shards, CompleteSince: c.journal.completeSince}
			size = 0
		}
		size += journaledSize(e)
		part.Entries = append(part.Entries, c.report(e))
	}
	c.send(s, part)
}

func journaledSize(e *acceptedStart) int { return startOverheadBytes + int(e.answerBytes) }

// report returns the journal entry of a start for a message to an owner and marks
// its result, if there is one, as sent.
func (c *Core) report(e *acceptedStart) message.JournalEntry {
	if e.State == message.StartEnded {
		c.journal.markSent(e)
	}
	return e.JournalEntry
}

// handleInquiry reports the state of starts whose outcome an owner waits for.
// A start that is not listed in the reply was never accepted, unless it may have
// been evicted (see EvictedUntil), and will not be: a copy that is still queued
// somewhere names a credit of an earlier session, which is void.
func (c *Core) handleInquiry(s *session, m *message.Inquiry) {
	c.count(InquiryAnswered)
	reply := &message.InquiryReply{Service: m.Service, Asked: m.Starts, EvictedUntil: c.journal.evictedUntil}
	for _, id := range m.Starts {
		if e := c.journal.starts[id]; e != nil {
			reply.Entries = append(reply.Entries, c.report(e))
		}
	}
	c.send(s, reply)
}
