package ownership

import (
	"slices"
	"time"
)

// lease is the member's own lease and the requests sent to extend it.
type lease struct {
	until time.Time
	// seq is the sequence number of the last join or renewal.
	seq uint64
	// unconfirmed holds the join and the renewals that may still appear in the
	// log, newest last. A record is dropped when it or a newer one has been read
	// back, or when its append has failed.
	unconfirmed []renewal
	// confirmed is the newest renewal that has been read back from the log.
	confirmed renewal
	// renewing is the append of the last join or renewal; the next renewal waits for
	// its outcome.
	renewing pendingAppend
	// leave is the append of the leave record.
	leave pendingAppend
	// renewAt is when the next renewal is due.
	renewAt time.Time
	// promises holds, for each peer, when the newest request that the peer has
	// granted was sent.
	promises map[MemberID]time.Time
	// requests holds when each promise request was sent, by its SentAt.
	requests map[int64]time.Time
	// askAt is when the next promise request is due.
	askAt time.Time
}

// renewal is a join or renewal that was sent.
type renewal struct {
	id       AppendID
	seq      uint64
	guardian MemberID
	// at is when the core decided to send it, which is before it was sent.
	at time.Time
}

// pendingAppend is an append of a record that must not be sent again yet. The zero
// value means that there is none.
type pendingAppend struct {
	id AppendID
	// unknownAt is when the answer was lost. A read that began later and reached
	// the end of the log shows whether the record must be sent again.
	unknownAt time.Time
}

func (a pendingAppend) isSet() bool { return a.id != 0 }

func newLease() lease {
	return lease{promises: make(map[MemberID]time.Time), requests: make(map[int64]time.Time)}
}

// setLease sets the end of the lease.
func (c *Core) setLease(until time.Time) {
	if until.Equal(c.lease.until) {
		return
	}
	c.lease.until = until
	c.emit(LeaseChanged{Until: until})
}

// extend moves the end of the lease forward, but never beyond OrphanTimeout
// after the last confirmed renewal, as any member may remove this one after that.
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
// is measured from before the renewal was sent.
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

// renewIfDue sends a join or a renewal if one is due.
func (c *Core) renewIfDue(now time.Time) {
	if !c.caughtUp || c.lease.renewing.isSet() || now.Before(c.lease.renewAt) {
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

// chooseGuardian returns the guardian to name in the next renewal: the next
// member of the group. While an earlier renewal may still appear in the log, its
// guardian is named again, because an extension needs the promise of every
// possible guardian.
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

// renewalEnded allows the next renewal to be sent, if id is the append of the last
// join or renewal.
func (l *lease) renewalEnded(id AppendID) {
	if l.renewing.id == id {
		l.renewing = pendingAppend{}
	}
}

// dropFailedRecord drops a record whose append failed: it will never appear in the
// log.
func (l *lease) dropFailedRecord(id AppendID) {
	l.renewalEnded(id)
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(r renewal) bool { return r.id == id })
	if l.leave.id == id {
		l.leave = pendingAppend{}
	}
}

// appendUnknown records that the answer to an append was lost at now.
func (l *lease) appendUnknown(now time.Time, id AppendID) {
	if l.renewing.id == id {
		l.renewing.unknownAt = now
	}
	if l.leave.id == id {
		l.leave.unknownAt = now
	}
}

// resolve allows records to be sent again whose answer was lost before the given time.
// It is called when a read that began at that time has reached the end of the log.
func (l *lease) resolve(began time.Time) {
	if l.renewing.resolvedBy(began) {
		l.renewing = pendingAppend{}
	}
	if l.leave.resolvedBy(began) {
		l.leave = pendingAppend{}
	}
}

// resolvedBy reports whether the answer was lost before a read that began at the
// given time, so that this read shows the outcome.
func (a pendingAppend) resolvedBy(began time.Time) bool {
	return !a.unknownAt.IsZero() && !began.Before(a.unknownAt)
}
