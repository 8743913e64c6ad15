package ownership

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// Options are the durations of the lease protocol. All members must use the
// same values.
type Options struct {
	// TTL is the duration of a lease.
	TTL time.Duration
	// Drift is the maximum by which two clocks may diverge while one of them
	// measures TTL plus AcceptWindow.
	Drift time.Duration
	// AcceptWindow is how long after sending a message an agent accepts starts
	// that carry the message's sequence number.
	AcceptWindow time.Duration
	// OrphanTimeout is how long promises alone can extend a member's lease after
	// its last renewal in the log.
	OrphanTimeout time.Duration
}

func (o Options) renewInterval() time.Duration { return o.TTL / renewalsPerLease }

// guardWait is how long a guardian waits after reading a renewal, or after
// granting a promise, before it removes the member.
func (o Options) guardWait() time.Duration { return o.TTL + o.Drift }

// acceptWait is how long agents may still accept a predecessor's starts, measured
// from when the new owner read that the predecessor has stopped.
func (o Options) acceptWait() time.Duration { return o.AcceptWindow + o.Drift }

// orphanWait is OrphanTimeout plus the maximum clock drift over that time.
func (o Options) orphanWait() time.Duration {
	leases := (o.OrphanTimeout + o.TTL - 1) / o.TTL
	return o.OrphanTimeout + leases*o.Drift
}

// renewalsPerLease is the number of renewals that a member sends per TTL.
const renewalsPerLease = 3

// status is the member's status according to the log and its own requests.
type status uint8

const (
	statusNonMember status = iota
	statusMember
	statusLeaving
	statusLeft
	statusExpelled
)

// Core decides for one member which shards it may act for as the owner, and when
// it removes other members. It reads no clock and does no I/O: Step takes the
// current time and an event, and returns actions. A Core is not safe for
// concurrent use.
type Core struct {
	self    Member
	options Options
	state   *State
	status  status
	// joined is the offset of the join record that made this core a member.
	joined sharedlog.Offset

	lease      lease
	peerLeases peerLeases
	// owned holds the shards whose owner in the state is this member. pending
	// holds those among them that are not yet acquired.
	owned   map[Shard]*ownedShard
	pending map[Shard]*ownedShard

	// caughtUp is set once a read has reached the end of the log.
	caughtUp bool
	// healthySince is the time since which no read or append has failed, or zero
	// if the last one failed.
	healthySince time.Time
	lastAppend   AppendID
	actions      []Action
}

// New returns the core of a member that has not read the log yet.
func New(self Member, o Options) *Core {
	return &Core{
		self:       self,
		options:    o,
		state:      NewState(),
		lease:      newLease(),
		peerLeases: newPeerLeases(),
		owned:      make(map[Shard]*ownedShard),
		pending:    make(map[Shard]*ownedShard),
	}
}

// Self returns the member that the core decides for.
func (c *Core) Self() Member { return c.self }

// State returns the state as of the last record applied. It must not be used
// after the next call of Step.
func (c *Core) State() *State { return c.state }

// IsMember reports whether the member's join is in effect.
func (c *Core) IsMember() bool { return c.status == statusMember || c.status == statusLeaving }

// LeaseUntil returns the end of the member's lease, until which it may start
// tasks. It is zero when there is no lease.
func (c *Core) LeaseUntil() time.Time { return c.lease.until }

// MayAct reports whether the member may act as the owner of a shard under an
// epoch at the given time.
func (c *Core) MayAct(now time.Time, shard Shard, epoch message.Epoch) bool {
	o, ok := c.owned[shard]
	return ok && o.acquired && o.epoch == epoch && now.Before(c.lease.until)
}

// Step handles an event and returns the actions to carry out, in order.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = nil
	switch ev := ev.(type) {
	case LogRecord:
		c.apply(now, ev)
	case StateLoaded:
		c.load(now, ev.State)
	case CaughtUp:
		c.reachedEnd(now, ev.Began)
	case ReadFailed:
		c.healthySince = time.Time{}
	case AppendDone:
		c.lease.renewalEnded(ev.ID)
	case AppendFailed:
		c.appendFailed(ev.ID)
	case AppendUnknown:
		c.appendUnknown(now, ev.ID)
	case PromiseRequested:
		c.answerPromise(now, ev)
	case PromiseReceived:
		c.receivePromise(now, ev)
	case LeaveRequested:
		c.leave()
	case RejoinRequested:
		c.rejoin(ev.Self)
	case Tick:
	}
	c.renewIfDue(now)
	c.askPromisesIfDue(now)
	c.acquireCleared(now)
	c.wake(now)
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) append(r Record) AppendID {
	c.lastAppend++
	c.emit(Append{ID: c.lastAppend, Record: r})
	return c.lastAppend
}

func (c *Core) apply(now time.Time, ev LogRecord) {
	var d Delta
	switch {
	case ev.Record != nil:
		d = c.state.Apply(ev.Offset, *ev.Record)
	case ev.Service != nil:
		d = c.state.applyServiceChange(ev.Offset, *ev.Service)
	default:
		c.state.Skip(ev.Offset)
	}
	c.applyDelta(now, d)
}

func (s *State) applyServiceChange(at sharedlog.Offset, ch ServiceChange) Delta {
	if ch.Deleted {
		return s.DeleteService(at, ch.Name)
	}
	return s.SetService(at, ch.Name, ch.Owners, ch.Region)
}

// applyDelta updates the core after the state has changed.
func (c *Core) applyDelta(now time.Time, d Delta) {
	c.peerLeases.update(now, c.state, d.Leases)
	c.updateStatus()
	c.confirmRenewal()
	for _, shard := range d.Shards {
		c.updateShard(now, shard)
	}
	if d.Members {
		c.emit(MembersChanged{})
	}
	if d.Owners {
		c.emit(OwnersChanged{})
	}
	if len(d.Agents) > 0 {
		c.emit(AgentsRegistered{Service: d.Service, Agents: d.Agents})
	}
}

// load replaces the state. Durations that are measured from reading a record
// are then measured from now.
func (c *Core) load(now time.Time, s *State) {
	c.state = s
	c.peerLeases.updateAll(now, s)
	c.updateStatus()
	c.confirmRenewal()
	for _, shard := range sortedShards(c.owned) {
		c.updateShard(now, shard)
	}
	for _, shard := range s.ownedBy(c.self.ID) {
		c.updateShard(now, shard)
	}
	c.emit(MembersChanged{})
	c.emit(OwnersChanged{})
}

// updateStatus derives the member's status from the state.
func (c *Core) updateStatus() {
	m, listed := c.state.members[c.self.ID]
	if listed && c.status == statusNonMember {
		c.joined = m.Joined
	}
	// After a removal, a delayed copy of the join may make the ID a member again.
	// This core does not act under that join.
	listed = listed && m.Joined == c.joined
	switch {
	case listed && c.status == statusNonMember:
		c.status = statusMember
		c.emit(Joined{})
	case !listed && c.status == statusMember:
		c.status = statusExpelled
		c.stopActing()
		c.emit(Expelled{})
	case !listed && c.status == statusLeaving:
		c.status = statusLeft
		c.emit(Left{})
	}
}

// stopActing releases all shards and ends the lease.
func (c *Core) stopActing() {
	for _, shard := range sortedShards(c.owned) {
		c.release(shard)
	}
	c.setLease(time.Time{})
}

// leave stops acting for all shards at once and permanently. The leave record is
// sent afterwards, so that the member has stopped by the time anyone reads it.
func (c *Core) leave() {
	switch c.status {
	case statusMember:
		c.status = statusLeaving
		c.stopActing()
		c.sendLeave()
	case statusNonMember, statusExpelled:
		c.status = statusLeft
		c.emit(Left{})
	}
}

func (c *Core) sendLeave() {
	c.lease.leave = pendingAppend{id: c.append(Record{
		Type: RecordLeave, Member: Member{ID: c.self.ID}, By: string(c.self.ID),
	})}
}

// rejoin resets an expelled core so that it joins again as another member.
func (c *Core) rejoin(self Member) {
	if c.status != statusExpelled {
		return
	}
	c.self = self
	c.status = statusNonMember
	c.lease = newLease()
	c.peerLeases.forgetRemovals()
}

// reachedEnd handles the steps that require the log to have been read to its end:
// joining, retrying appends whose answer was lost, and removing other members.
// began is when the read began.
func (c *Core) reachedEnd(now, began time.Time) {
	c.caughtUp = true
	if c.healthySince.IsZero() {
		c.healthySince = began
	}
	c.lease.resolve(began)
	c.peerLeases.resolve(began)
	if c.status == statusLeaving && !c.lease.leave.isSet() {
		c.sendLeave()
	}
	c.removeIfDue(began)
}

func (c *Core) appendFailed(id AppendID) {
	c.healthySince = time.Time{}
	c.lease.dropFailedRecord(id)
	c.peerLeases.appendFailed(id)
}

func (c *Core) appendUnknown(now time.Time, id AppendID) {
	c.healthySince = time.Time{}
	c.lease.appendUnknown(now, id)
	c.peerLeases.appendUnknown(now, id)
}
