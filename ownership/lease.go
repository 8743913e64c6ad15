package ownership

import (
	"slices"
	"time"
)

// lease is the member's own lease and what it has sent to extend it.
type lease struct {
	until time.Time
	seq   uint64
	// sent holds the renewals and the join that may still appear in the log,
	// newest last. One is dropped when the log holds it or a newer one, or when
	// the log has refused it for certain.
	unconfirmed []renewal
	// confirmed is the newest renewal that has been read back.
	confirmed renewal
	// renewing is the append in progress; the next renewal waits for its outcome.
	renewing pendingAppend
	leave    pendingAppend
	renewAt  time.Time
	// promises holds, by peer, when the newest request that it granted was sent.
	promises map[MemberID]time.Time
	requests map[int64]time.Time
	askAt    time.Time
}

// renewal is one join or renewal that was sent.
type renewal struct {
	id       AppendID
	seq      uint64
	guardian MemberID
	// at is when it was decided, thus before it was sent.
	at time.Time
}

// pendingAppend is an append whose outcome decides when to send again.
type pendingAppend struct {
	id AppendID
	// unknownAt is when its answer was lost. A read that began later shows
	// whether to send again.
	unknownAt time.Time
}

func (a pendingAppend) inProgress() bool { return a.id != 0 }

func newLease() lease {
	return lease{promises: make(map[MemberID]time.Time), requests: make(map[int64]time.Time)}
}

// setLease changes the lease's end.
func (c *Core) setLease(until time.Time) {
	if until.Equal(c.lease.until) {
		return
	}
	c.lease.until = until
	c.emit(LeaseChanged{Until: until})
}

// extend moves the lease's end forward, but never beyond OrphanTimeout after
// the last confirmed renewal: from then on anyone may remove the member.
func (c *Core) extend(until time.Time) {
	limit := c.lease.confirmed.at.Add(c.options.OrphanTimeout)
	if until.After(limit) {
		until = limit
	}
	if c.status == statusMember && until.After(c.lease.until) {
		c.setLease(until)
	}
}

// confirmRenewal extends the lease when the state holds a newer renewal. The lease
// counts from before the renewal was sent.
func (c *Core) confirmRenewal() {
	m, ok := c.state.members[c.self.ID]
	if !ok || m.Seq <= c.lease.confirmed.seq {
		return
	}
	i := slices.IndexFunc(c.lease.unconfirmed, func(r renewal) bool { return r.seq == m.Seq })
	if i < 0 {
		return
	}
	c.lease.confirmed = c.lease.unconfirmed[i]
	c.lease.unconfirmed = c.lease.unconfirmed[i+1:]
	c.extend(c.lease.confirmed.at.Add(c.options.TTL))
}

// renewIfDue joins or renews.
func (c *Core) renewIfDue(now time.Time) {
	if !c.caughtUp || c.lease.renewing.inProgress() || now.Before(c.lease.renewAt) {
		return
	}
	r := Record{Member: Member{ID: c.self.ID}, Applied: c.state.Applied()}
	switch c.status {
	case statusNonMember:
		r.Type = RecordJoin
		r.Member = c.self
	case statusMember:
		r.Type = RecordRenew
	default:
		return
	}
	c.lease.seq++
	r.Seq = c.lease.seq
	r.Guardian = c.chooseGuardian()
	id := c.append(r)
	c.lease.unconfirmed = append(c.lease.unconfirmed, renewal{id: id, seq: r.Seq, guardian: r.Guardian, at: now})
	c.lease.renewing = pendingAppend{id: id}
	c.lease.renewAt = now.Add(c.options.renewInterval())
}

// chooseGuardian names the next member in the group. While a sent renewal may
// yet appear in the log, its guardian is named again: a promise counts only
// when every possible guardian has given it.
func (c *Core) chooseGuardian() MemberID {
	for _, r := range slices.Backward(c.lease.unconfirmed) {
		if _, ok := c.state.Member(r.guardian); ok {
			return r.guardian
		}
	}
	if c.status == statusNonMember {
		return c.state.guardianForJoin(c.self)
	}
	return c.state.NextGuardian(c.self.ID)
}

// appendEnded notes that an append has an outcome.
func (l *lease) appendEnded(id AppendID) {
	if l.renewing.id == id {
		l.renewing = pendingAppend{}
	}
}

// appendRefused forgets a record that will never appear in the log.
func (l *lease) appendRefused(id AppendID) {
	l.appendEnded(id)
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(r renewal) bool { return r.id == id })
	if l.leave.id == id {
		l.leave = pendingAppend{}
	}
}

func (l *lease) appendUnknown(now time.Time, id AppendID) {
	if l.renewing.id == id {
		l.renewing.unknownAt = now
	}
	if l.leave.id == id {
		l.leave.unknownAt = now
	}
}

// resolve lets appends with lost answers be sent again once a read that began
// later has found the end of the log.
func (l *lease) resolve(began time.Time) {
	if l.renewing.resolvedBy(began) {
		l.renewing = pendingAppend{}
	}
	if l.leave.resolvedBy(began) {
		l.leave = pendingAppend{}
	}
}

func (a pendingAppend) resolvedBy(began time.Time) bool {
	return !a.unknownAt.IsZero() && !began.Before(a.unknownAt)
}
