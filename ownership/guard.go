package ownership

import (
	"time"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// guards is what a member knows of the other members' leases.
type guards struct {
	// readAt is when the record was read that last renewed a member's lease or
	// changed its guardian.
	readAt map[MemberID]time.Time
	// promised is until when a member is not removed.
	promised map[MemberID]time.Time
	// removals holds the removals that were sent and may be in the log.
	removals map[MemberID]removal
}

// removal is a removal that was sent. It may appear in the log at any time
// until the member has renewed.
type removal struct {
	attempt
	seen sharedlog.Offset
	// lost says that the answer of an earlier attempt was lost.
	lost bool
}

func newGuards() guards {
	return guards{
		readAt:   make(map[MemberID]time.Time),
		promised: make(map[MemberID]time.Time),
		removals: make(map[MemberID]removal),
	}
}

func (g *guards) read(now time.Time, s *State, ids []MemberID) {
	for _, id := range ids {
		g.readAt[id] = now
	}
	for id, r := range g.removals {
		if m, ok := s.members[id]; !ok || m.Renewed != r.seen {
			delete(g.removals, id)
		}
	}
	g.forgetGone(s)
}

func (g *guards) readAll(now time.Time, s *State) {
	ids := make([]MemberID, 0, len(s.members))
	for id := range s.members {
		ids = append(ids, id)
	}
	g.read(now, s, ids)
}

func (g *guards) forgetGone(s *State) {
	if len(g.readAt) == len(s.members) {
		return
	}
	for id := range g.readAt {
		if _, ok := s.members[id]; !ok {
			delete(g.readAt, id)
			delete(g.promised, id)
		}
	}
}

// forgetRemovals drops the removals of a member that is expelled: none of them
// takes effect under its next ID.
func (g *guards) forgetRemovals() { clear(g.removals) }

func (g *guards) removing(id MemberID) bool {
	_, ok := g.removals[id]
	return ok
}

func (g *guards) promise(id MemberID, until time.Time) { g.promised[id] = until }

// appendFailed forgets a removal that will never appear in the log.
func (g *guards) appendFailed(id AppendID) {
	for member, r := range g.removals {
		if r.id != id {
			continue
		}
		if !r.lost {
			delete(g.removals, member)
			continue
		}
		r.attempt = attempt{}
		g.removals[member] = r
	}
}

func (g *guards) appendUnknown(now time.Time, id AppendID) {
	for member, r := range g.removals {
		if r.id == id {
			r.unknownAt = now
			r.lost = true
			g.removals[member] = r
		}
	}
}

// resolve marks lost removals for sending again. They still bar promises.
func (g *guards) resolve(began time.Time) {
	for member, r := range g.removals {
		if r.resolvedBy(began) {
			r.attempt = attempt{}
			g.removals[member] = r
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
	for _, m := range c.state.sorted() {
		id := m.Member.ID
		if id == c.self.ID || c.guards.removals[id].open() {
			continue
		}
		guarded := m.Guardian == "" || m.Guardian == c.self.ID
		if guarded && c.lapsed(began, id) {
			c.remove(m, false)
		} else if c.orphaned(began, id) {
			c.remove(m, true)
		}
	}
}

// lapsed reports whether a whole lease has passed since this member read the
// last renewal or became the guardian, and since its last promise.
func (c *Core) lapsed(now time.Time, id MemberID) bool {
	due := c.guards.readAt[id].Add(c.options.guardWait())
	return !now.Before(due) && !now.Before(c.guards.promised[id])
}

// orphaned reports whether a member has not renewed for OrphanTimeout in a log
// that could be read and written. A log that was down resets the count, so that
// its return does not remove everybody.
func (c *Core) orphaned(now time.Time, id MemberID) bool {
	since := c.guards.readAt[id]
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
	c.guards.removals[m.Member.ID] = removal{
		attempt: attempt{id: id},
		seen:    m.Renewed,
		lost:    c.guards.removals[m.Member.ID].lost,
	}
}
