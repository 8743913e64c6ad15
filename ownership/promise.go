package ownership

import (
	"slices"
	"time"
)

// asksPerLease is the number of promise requests that a member sends per TTL.
const asksPerLease = 6

// possibleGuardians returns every member that may be this member's guardian
// according to the log: the one in the state and those named in renewals that may
// still appear. An empty ID means that any member may act as the guardian.
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

// askPromisesIfDue requests an extension from all possible guardians once half
// of the lease has passed without a renewal.
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

// receivePromise extends the lease once all possible guardians have granted a
// promise. Of each of them, the newest request that it has granted counts; the
// extension is measured from when the oldest of these requests was sent.
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

// answerPromise grants a peer's request if three conditions hold:
//   - No removal of the peer that this member has sent can be in the log.
//   - The peer acts under the join by which its ID is currently a member. A
//     delayed copy of a join may take effect after the removal; the ID is then a
//     member again, but the peer may not have read its removal and still act
//     under the old join.
//   - This member's own lease is valid. If this member is removed, the next
//     guardian waits a whole lease from reading the removal, which covers every
//     promise granted before.
func (c *Core) answerPromise(now time.Time, ev PromiseRequested) {
	m, isMember := c.state.members[ev.From]
	granted := isMember && m.Joined == ev.Joined && c.status == statusMember &&
		now.Before(c.lease.until) && !c.peerLeases.removing(ev.From)
	if granted {
		c.peerLeases.setPromised(ev.From, now.Add(c.options.guardWait()))
	}
	c.emit(AnswerPromise{To: ev.From, SentAt: ev.SentAt, Granted: granted})
}
