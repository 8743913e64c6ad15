package core

import (
	"marjoramlug.example/marjoramlug/message"
)

const (
	// journalPartBytes bounds the answers in one part of a journal.
	journalPartBytes = 256 << 10
	// entryOverheadBytes is what an entry counts for besides its answer.
	entryOverheadBytes = 128
)

// handleJournalRequest raises the fences of shards, directs their results to the
// sender and tells what is remembered of them. Shards for which a higher epoch
// is known are left out of the answer.
func (c *Core) handleJournalRequest(s *session, m *message.JournalRequest) {
	c.count(JournalAsked)
	requested := map[int]bool{}
	var shards []message.ShardEpoch
	for _, se := range m.Shards {
		key := shardKey{m.Service, se.Shard}
		if se.Epoch < c.fences[key].epoch {
			c.count(JournalStale)
			continue
		}
		c.fences[key] = fence{se.Epoch, s.process()}
		requested[se.Shard] = true
		shards = append(shards, se)
	}
	if len(shards) == 0 && len(m.Shards) > 0 {
		return
	}
	part := &message.Journal{Service: m.Service, Shards: shards, CompleteSince: c.journal.completeSince}
	size := 0
	for _, e := range c.journal.forShards(m.Service, requested) {
		if size > 0 && size+entrySize(e) > journalPartBytes {
			part.More = true
			c.send(s, part)
			part = &message.Journal{Service: m.Service, Shards: shards, CompleteSince: c.journal.completeSince}
			size = 0
		}
		size += entrySize(e)
		part.Entries = append(part.Entries, c.reportEntry(e))
	}
	c.send(s, part)
}

func entrySize(e *entry) int { return entryOverheadBytes + int(e.answerBytes) }

// reportEntry returns an entry for an owner, which thereby has its result.
func (c *Core) reportEntry(e *entry) message.JournalEntry {
	if e.State == message.TaskEnded {
		c.journal.markSent(e)
	}
	return e.JournalEntry
}

// handleInquiry tells what became of starts that an owner waits for. Starts that are
// not listed were never accepted: a start that still waits somewhere names a
// credit of an earlier session, and that is void.
func (c *Core) handleInquiry(s *session, m *message.Inquiry) {
	c.count(InquiryAnswered)
	reply := &message.InquiryReply{Service: m.Service, Asked: m.Starts, ForgottenUntil: c.journal.forgottenUntil}
	for _, id := range m.Starts {
		if e := c.journal.entries[id]; e != nil {
			reply.Known = append(reply.Known, c.reportEntry(e))
		}
	}
	c.send(s, reply)
}
