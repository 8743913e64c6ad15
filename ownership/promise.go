package ownership

import (
	"slices"
	"time"
)

// asksPerLease is how often a member asks for a promise within one lease.
const asksPerLease = 6

// possibleGuardians returns every member that the log may hold as this
// member's guardian: the one in the state and those named in renewals that may
// yet appear. An empty name among them stands for anyone.
func (c *Core) possibleGuardians() []MemberID {
	m, ok := c.state.members[c.self.ID]
	if !ok {
		return nil
	}
	list := []MemberID{m.Guardian}
	for _, r := range c.lease.unconfirmed {
		if !slices.Contains(list, r.guardian) {
			list = append(list, r.guardian)
		}
	}
	return list
}

// askPromisesIfDue asks the possible guardians for an extension when half of
// the lease has passed without a renewal.
func (c *Core) askPromisesIfDue(now time.Time) {
	if c.status != statusMember || now.Before(c.lease.askAt) {
		return
	}
	if due := c.lease.until.Add(-c.options.TTL / 2); now.Before(due) {
		c.lease.askAt = due
		return
	}
	guardians := c.possibleGuardians()
	if slices.Contains(guardians, "") {
		return
	}
	sentAt := now.UnixNano()
	c.lease.forgetRequests(now.Add(-c.options.TTL))
	c.lease.requests[sentAt] = now
	c.lease.askAt = now.Add(c.options.TTL / asksPerLease)
	for _, id := range guardians {
		if peer, ok := c.state.Member(id); ok {
			c.emit(AskPromise{Peer: peer, Joined: c.joined, SentAt: sentAt})
		}
	}
}

func (l *lease) forgetRequests(before time.Time) {
	for key, at := range l.requests {
		if at.Before(before) {
			delete(l.requests, key)
		}
	}
}

// receivePromise extends the lease by the promises of all possible guardians. An
// extension counts from before the oldest request needed was sent.
func (c *Core) receivePromise(now time.Time, ev PromiseReceived) {
	at, ok := c.lease.requests[ev.SentAt]
	if !ok || !ev.Granted || c.status != statusMember {
		return
	}
	if at.After(c.lease.promises[ev.From]) {
		c.lease.promises[ev.From] = at
	}
	guardians := c.possibleGuardians()
	oldest := c.lease.promises[guardians[0]]
	for _, id := range guardians[1:] {
		if granted := c.lease.promises[id]; granted.Before(oldest) {
			oldest = granted
		}
	}
	if !oldest.IsZero() {
		c.extend(oldest.Add(c.options.TTL))
	}
}

// answerPromise grants a peer's request on three conditions:
//   - No removal of the peer by this member may be in the log.
//   - The peer knows of the join under which its ID is a member. A copy of a
//     join may take effect after the removal; the ID is then a member again, but
//     the peer, which may not have read of its removal, acts for the old one.
//   - This member's own lease holds. Its successor as the guardian waits a whole
//     lease from reading this member's removal, which covers every promise given.
func (c *Core) answerPromise(now time.Time, ev PromiseRequested) {
	m, known := c.state.members[ev.From]
	granted := known && m.Joined == ev.Joined && c.status == statusMember &&
		now.Before(c.lease.until) && !c.peerLeases.removing(ev.From)
	if granted {
		c.peerLeases.setPromised(ev.From, now.Add(c.options.guardWait()))
	}
	c.emit(AnswerPromise{To: ev.From, SentAt: ev.SentAt, Granted: granted})
}
