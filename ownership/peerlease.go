package ownership

import (
	"time"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// peerLeases is what a member knows of the other members' leases.
type peerLeases struct {
	// readAt is when the record was read that last renewed a member's lease or
	// changed its guardian.
	readAt map[MemberID]time.Time
	// promised is until when a member is not removed.
	promisedUntil map[MemberID]time.Time
	// removals holds the removals that were sent and may be in the log.
	removals map[MemberID]removal
}

// removal is a removal that was sent. It may appear in the log at any time
// until the member has renewed.
type removal struct {
	pendingAppend
	seen sharedlog.Offset
	// lost says that the answer of an earlier attempt was lost.
	answerLost bool
}

func newPeerLeases() peerLeases {
	return peerLeases{
		readAt:        make(map[MemberID]time.Time),
		promisedUntil: make(map[MemberID]time.Time),
		removals:      make(map[MemberID]removal),
	}
}

func (p *peerLeases) update(now time.Time, s *State, ids []MemberID) {
	for _, id := range ids {
		p.readAt[id] = now
	}
	for id, r := range p.removals {
		if m, ok := s.members[id]; !ok || m.Renewed != r.seen {
			delete(p.removals, id)
		}
	}
	p.forgetNonMembers(s)
}

func (p *peerLeases) updateAll(now time.Time, s *State) {
	ids := make([]MemberID, 0, len(s.members))
	for id := range s.members {
		ids = append(ids, id)
	}
	p.update(now, s, ids)
}

func (p *peerLeases) forgetNonMembers(s *State) {
	if len(p.readAt) == len(s.members) {
		return
	}
	for id := range p.readAt {
		if _, ok := s.members[id]; !ok {
			delete(p.readAt, id)
			delete(p.promisedUntil, id)
		}
	}
}

// forgetRemovals drops the removals of a member that is expelled: none of them
// takes effect under its next ID.
func (p *peerLeases) forgetRemovals() { clear(p.removals) }

func (p *peerLeases) removing(id MemberID) bool {
	_, ok := p.removals[id]
	return ok
}

func (p *peerLeases) setPromised(id MemberID, until time.Time) { p.promisedUntil[id] = until }

// appendFailed forgets a removal that will never appear in the log.
func (p *peerLeases) appendFailed(id AppendID) {
	for member, r := range p.removals {
		if r.id != id {
			continue
		}
		if !r.answerLost {
			delete(p.removals, member)
			continue
		}
		r.pendingAppend = pendingAppend{}
		p.removals[member] = r
	}
}

func (p *peerLeases) appendUnknown(now time.Time, id AppendID) {
	for member, r := range p.removals {
		if r.id == id {
			r.unknownAt = now
			r.answerLost = true
			p.removals[member] = r
		}
	}
}

// resolve marks lost removals for sending again. They still bar promises.
func (p *peerLeases) resolve(began time.Time) {
	for member, r := range p.removals {
		if r.resolvedBy(began) {
			r.pendingAppend = pendingAppend{}
			p.removals[member] = r
		}
	}
}

// removeIfDue removes the members whose leases have certainly ended. It is
// called when a read that began at the given time has found the end of the
// log, so that no renewal written before is overlooked.
func (c *Core) removeIfDue(began time.Time) {
	if c.status != statusMember {
		return
	}
	for _, m := range c.state.sortedMemberships() {
		id := m.Member.ID
		if id == c.self.ID || c.peerLeases.removals[id].inProgress() {
			continue
		}
		guarded := m.Guardian == "" || m.Guardian == c.self.ID
		if guarded && c.leaseExpired(began, id) {
			c.remove(m, false)
		} else if c.orphaned(began, id) {
			c.remove(m, true)
		}
	}
}

// leaseExpired reports whether a whole lease has passed since this member read the
// last renewal or became the guardian, and since its last promise.
func (c *Core) leaseExpired(now time.Time, id MemberID) bool {
	due := c.peerLeases.readAt[id].Add(c.options.guardWait())
	return !now.Before(due) && !now.Before(c.peerLeases.promisedUntil[id])
}

// orphaned reports whether a member has not renewed for OrphanTimeout in a log
// that could be read and written. A log that was down resets the count, so that
// its return does not remove everybody.
func (c *Core) orphaned(now time.Time, id MemberID) bool {
	since := c.peerLeases.readAt[id]
	if c.healthySince.After(since) {
		since = c.healthySince
	}
	return !now.Before(since.Add(c.options.orphanWait()))
}

func (c *Core) remove(m *membership, orphan bool) {
	id := c.append(Record{
		Type:   RecordRemove,
		Member: Member{ID: m.Member.ID},
		By:     string(c.self.ID),
		Seen:   m.Renewed,
		Orphan: orphan,
	})
	c.peerLeases.removals[m.Member.ID] = removal{
		pendingAppend: pendingAppend{id: id},
		seen:          m.Renewed,
		answerLost:    c.peerLeases.removals[m.Member.ID].answerLost,
	}
}
