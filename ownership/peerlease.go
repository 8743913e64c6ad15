package ownership

import (
	"time"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// peerLeases tracks the other members' leases and the removals sent for them.
type peerLeases struct {
	// readAt holds when this member read the record that last renewed a member's
	// lease or changed its guardian.
	readAt map[MemberID]time.Time
	// promisedUntil holds, for each member, the time until which this member has
	// promised not to remove it.
	promisedUntil map[MemberID]time.Time
	// removals holds, by member to be removed, the removals that were sent and that
	// are in the log or may still appear there.
	removals map[MemberID]removal
}

// removal is a removal record that was sent. It may appear in the log, and take
// effect, at any time until the member renews.
type removal struct {
	pendingAppend
	// seen is the offset of the renewal that the removal names.
	seen sharedlog.Offset
	// answerLost is set when the answer to this or an earlier append of the
	// removal was lost.
	answerLost bool
}

func newPeerLeases() peerLeases {
	return peerLeases{
		readAt:        make(map[MemberID]time.Time),
		promisedUntil: make(map[MemberID]time.Time),
		removals:      make(map[MemberID]removal),
	}
}

// update records that a record which renewed the leases or changed the guardians
// of the given members was read at now. It drops removals that can no longer take
// effect.
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

// updateAll records that the leases of all members were read at now.
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

// forgetRemovals drops the removals that this member sent before it was expelled.
// They name its old ID as their writer, which is no longer a member, so they have no
// effect.
func (p *peerLeases) forgetRemovals() { clear(p.removals) }

// removing reports whether a removal of the member is in the log or may still appear
// there.
func (p *peerLeases) removing(id MemberID) bool {
	_, ok := p.removals[id]
	return ok
}

func (p *peerLeases) setPromised(id MemberID, until time.Time) { p.promisedUntil[id] = until }

// appendFailed drops a removal whose append failed. If the answer to an earlier
// append was lost, that one may still appear in the log, so the removal stays and is
// sent again.
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

// appendUnknown records that the answer to a removal's append was lost at now.
func (p *peerLeases) appendUnknown(now time.Time, id AppendID) {
	for member, r := range p.removals {
		if r.id == id {
			r.unknownAt = now
			r.answerLost = true
			p.removals[member] = r
		}
	}
}

// resolve allows removals to be sent again whose answer was lost before the given
// time, as lease.resolve does for records of this member. They still prevent this
// member from granting promises to the members concerned.
func (p *peerLeases) resolve(began time.Time) {
	for member, r := range p.removals {
		if r.resolvedBy(began) {
			r.pendingAppend = pendingAppend{}
			p.removals[member] = r
		}
	}
}

// removeIfDue sends removals of orphaned members, and of the members that this one
// may remove as a guardian and whose leases have expired on every clock within the
// drift bound. It is called when a read that began at the given time has reached
// the end of the log, so that no earlier renewal is missed.
func (c *Core) removeIfDue(began time.Time) {
	if c.status != statusMember {
		return
	}
	for _, m := range c.state.sortedMemberships() {
		id := m.Member.ID
		if id == c.self.ID || c.peerLeases.removals[id].isSet() {
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

// leaseExpired reports whether a whole lease, including drift, has passed since
// this member read the last renewal or became the guardian, and since it last
// granted a promise.
func (c *Core) leaseExpired(now time.Time, id MemberID) bool {
	due := c.peerLeases.readAt[id].Add(c.options.guardWait())
	return !now.Before(due) && !now.Before(c.peerLeases.promisedUntil[id])
}

// orphaned reports whether a member has not renewed for OrphanTimeout while the
// log could be read and written. A log outage restarts the period; otherwise all
// members would be removed as soon as the log is available again.
func (c *Core) orphaned(now time.Time, id MemberID) bool {
	since := c.peerLeases.readAt[id]
	if c.healthySince.After(since) {
		since = c.healthySince
	}
	return !now.Before(since.Add(c.options.orphanWait()))
}

// remove sends a removal of a member.
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
