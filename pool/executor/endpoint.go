package executor

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
)

// endpoint is the state of the endpoint as known to the core.
type endpoint struct {
	name string
	// incarnation is the start time of the endpoint's process in Unix milliseconds;
	// seq is the sequence number of its newest announcement.
	incarnation int64
	seq         int64
	service     string
	capacity    message.Resources
	// capacityUnknown is set from a long pause of this process until the next
	// announcement.
	capacityUnknown bool
	labels          []string
	zone            string
	// coldUntil is the time at which the endpoint is expected to run at full speed.
	coldUntil time.Duration
	leaving   bool
	// left is set when the endpoint has announced its end and its process may still have
	// runs.
	left    bool
	present bool
	// crashed is set when nothing listened at the endpoint's address.
	crashed bool
	// version rises with each change that is reported to entries.
	version uint64
	// adoption numbers the incarnations of endpoints that this process has adopted.
	adoption uint64

	// fence is the fencing token of all calls. It only rises, also across
	// incarnations of the endpoint, so that no order for an earlier incarnation is
	// carried out after the first poll of a later one.
	fence int64
	// fenceStep is the amount by which the fence rises when the endpoint has seen a
	// higher one.
	fenceStep int64
	// clock is the endpoint's clock in milliseconds, as read at clockAt or shortly
	// before.
	clock   int64
	clockAt time.Duration
	// leaseEnd is the latest end of all requested leases by the endpoint's clock.
	leaseEnd int64
	// answeredAt is the time of the endpoint's last answer, or of its adoption.
	answeredAt time.Duration

	// seenEnd is the highest sequence number of a processed end, ackedEnd the
	// highest one that a poll has acknowledged.
	seenEnd, ackedEnd int64
	// waitingPoll is the poll in flight that may wait for an end, promptPoll the
	// one that may not; 0 when there is none.
	waitingPoll, promptPoll CallID
	// waitingPollAck and promptPollAck are the sequence numbers that these polls
	// acknowledge.
	waitingPollAck, promptPollAck int64
	// wantPromptPoll requests a poll under the current fence that does not wait.
	wantPromptPoll bool
	// pollFailed is the time of the last failed poll, pollFailures the number of
	// consecutive failed polls, pollFailedSince the time of the first of them.
	pollFailed, pollFailedSince time.Duration
	pollFailures                int
	// waitingPollSent and promptPollSent are the times at which these polls were sent.
	waitingPollSent, promptPollSent time.Duration
	roundTrip                       roundTrip
	// reconciled is set once a poll of this process has shown that only its own runs
	// are alive.
	reconciled bool
	// mismatched is set while another incarnation answers at the endpoint's address.
	mismatched bool
	// unknownRuns holds the time at which each unknown run was last sent a stop.
	unknownRuns kernel.OrderedMap[message.RunRef, time.Duration]
}

// ready reports whether the endpoint takes new tasks.
func (c *Core) ready() bool {
	e := &c.endpoint
	return e.present && e.reconciled && !c.startsBarred() && !e.capacityUnknown && !e.leaving && !e.mismatched && !c.stopping && c.now-e.answeredAt < unreachableAfter
}

func (c *Core) describe(en *entry) *message.PoolEndpoint {
	e := &c.endpoint
	return &message.PoolEndpoint{
		Name: e.name, Adoption: e.adoption, Service: e.service, Capacity: e.capacity, Labels: e.labels,
		Ready: c.ready() && en.releasedAt == 0, Zone: c.zone(), ColdMillis: max(e.coldUntil-c.now, 0).Milliseconds(),
	}
}

func (c *Core) endpointChanged() { c.endpoint.version++ }

// updateReadiness notifies entries when the endpoint begins or ceases to accept
// tasks, also when only the passing of time has caused the change.
func (c *Core) updateReadiness() {
	if ready := c.ready(); ready != c.wasReady {
		c.wasReady = ready
		c.endpointChanged()
		what := "endpoint takes no tasks"
		if ready {
			what = "endpoint takes tasks"
		}
		c.emit(Note{What: what, Subject: c.endpoint.name, Detail: c.endpoint.service})
	}
}

func (c *Core) endpointAnnounced(ev EndpointAnnounced) {
	e := &c.endpoint
	switch {
	case ev.EndpointIncarnation < e.incarnation, e.name == ev.Name && e.incarnation == ev.EndpointIncarnation && (ev.Seq <= e.seq || e.left):
		return
	case !e.present || e.name != ev.Name || ev.EndpointIncarnation > e.incarnation:
		c.adopt(ev)
	}
	e.seq, e.capacityUnknown = ev.Seq, false
	if c.updateCold(ev.ColdLeft) {
		c.endpointChanged()
	}
	if !sameEndpoint(e, ev) {
		e.service, e.capacity, e.labels, e.zone, e.leaving = ev.Service, ev.Capacity, ev.Labels, ev.Zone, ev.Leaving
		c.endpointChanged()
		c.emit(Note{What: "endpoint changed", Subject: e.name, Detail: ev.Service})
	}
}

func sameEndpoint(e *endpoint, ev EndpointAnnounced) bool {
	return e.service == ev.Service && e.capacity == ev.Capacity && e.zone == ev.Zone && e.leaving == ev.Leaving &&
		slices.Equal(e.labels, ev.Labels)
}

// adopt replaces the endpoint by an incarnation that is new to this process. The
// runs of earlier incarnations have ended; starts that the new incarnation may have
// accepted are kept (see loseRuns).
func (c *Core) adopt(ev EndpointAnnounced) {
	c.recordCrash()
	c.loseRuns()
	old := c.endpoint
	c.endpoint = endpoint{
		name: ev.Name, incarnation: ev.EndpointIncarnation, present: true,
		version: old.version + 1, adoption: old.adoption + 1,
		clock: ev.ClockMillis, clockAt: c.now, answeredAt: c.now,
		fence: max(old.fence+1, c.fenceNow()), wantPromptPoll: true, fenceStep: firstFenceStep, roundTrip: old.roundTrip,
		// The new incarnation may have accepted a start sent to the earlier one,
		// whose lease is then still valid.
		leaseEnd: ev.ClockMillis + c.opts.Lease.Milliseconds(),
	}
	c.emit(Note{What: "endpoint adopted", Subject: ev.Name, Detail: ev.Service})
}

// endpointLeft handles the announcement of an endpoint that it ends. Its process may take a
// moment to end its runs, which count as alive until a call finds nothing listening, or
// their leases, which are no longer renewed, have expired.
func (c *Core) endpointLeft(name string) {
	e := &c.endpoint
	if !e.present || e.left || e.name != name {
		return
	}
	e.left, e.leaving, e.wantPromptPoll = true, true, true
	c.endpointChanged()
	c.removeLeftEndpoint()
}

// removeLeftEndpoint removes an endpoint that has left, once all its runs have ended.
func (c *Core) removeLeftEndpoint() {
	e := &c.endpoint
	if e.left && (c.runs.Len() == 0 || e.leasesExpired(c.now)) {
		c.removeEndpoint("endpoint left")
	}
}

// endpointCrashed handles a call, sent at the given time, that found nothing listening
// at the endpoint's address: the endpoint's process has ended, and with it all its
// runs.
func (c *Core) endpointCrashed(callSent time.Duration) {
	if !c.endpoint.present {
		return
	}
	c.recordCrash()
	for _, r := range c.runs.All() {
		if r.endedBefore(callSent) {
			c.end(r, message.RunLost)
		}
	}
	c.removeEndpoint("endpoint unreachable")
	c.endpoint.crashed = true
}

// endedBefore reports whether a run has certainly ended if nothing listened at the
// endpoint's address at some time after callSent: the process that had it was known to
// live before, or had closed the connection on which the start was sent. An earlier
// incarnation can't have accepted it later, and a later one was never sent it.
func (r *run) endedBefore(callSent time.Duration) bool {
	switch r.state {
	case runAlive:
		return r.aliveAt <= callSent
	case runUnconfirmed:
		return r.broken && !r.unanswered
	}
	return false
}

// endpointRestarted handles an answer that shows a later incarnation of the endpoint.
func (c *Core) endpointRestarted() {
	c.recordCrash()
	c.removeEndpoint("endpoint began a new life")
}

func (c *Core) removeEndpoint(what string) {
	c.emit(Note{What: what, Subject: c.endpoint.name})
	c.loseRuns()
	e := &c.endpoint
	// name, incarnation and seq are kept, so that a delayed announcement of this
	// incarnation is not adopted again.
	e.reconciled, e.present, e.left = false, false, false
	e.waitingPoll, e.promptPoll, e.wantPromptPoll = 0, 0, false
	c.endpointChanged()
}

// loseRuns ends the runs of an incarnation of the endpoint that has ended. Runs
// that a later incarnation may have accepted are kept until its first poll shows
// whether they are alive: those whose start is in flight or was not answered, and
// those accepted so recently that it is uncertain which incarnation accepted them.
func (c *Core) loseRuns() {
	for _, r := range c.runs.All() {
		switch {
		case r.state == runStarting, r.state == runInNextIncarnation:
		case r.state == runUnconfirmed, c.now-r.acceptedAt < youngRunAge:
			r.state = runInNextIncarnation
			r.conclusiveFrom = CallID(c.calls + 1)
		default:
			c.end(r, message.RunLost)
		}
	}
}

// youngRunAge is longer than any call to an endpoint takes, so that an older run
// belongs to the incarnation that was current when it was ordered.
const youngRunAge = 500 * time.Millisecond

// isLaterIncarnation reports whether an answer with this clock and incarnation can
// only come from a later incarnation of the endpoint.
func (e *endpoint) isLaterIncarnation(clock Clock, incarnation int64) bool {
	return clock.Known && clock.Millis < e.clock-clockResetMillis || e.incarnation > 0 && incarnation > e.incarnation
}

// clockResetMillis is longer than the delay of any answer: a clock that is further
// behind has been reset.
const clockResetMillis = 1000

// estimatedClock returns an estimate of the endpoint's clock in milliseconds.
func (e *endpoint) estimatedClock(now time.Duration) int64 {
	return e.clock + (now - e.clockAt).Milliseconds()
}

// recordAnswer records the time of an answer and the endpoint's clock in it.
func (e *endpoint) recordAnswer(now time.Duration, clock Clock) {
	if !clock.Known {
		return
	}
	e.answeredAt = now
	if clock.Millis > e.clock {
		e.clock, e.clockAt = clock.Millis, now
	}
}

// renew returns the end of a lease that begins now, by the endpoint's clock in
// milliseconds, and records it in leaseEnd.
func (e *endpoint) renew(now time.Duration, lease time.Duration) int64 {
	leaseEnd := e.estimatedClock(now) + lease.Milliseconds()
	e.leaseEnd = max(e.leaseEnd, leaseEnd)
	return leaseEnd
}

// leasesExpired reports whether all requested leases have certainly expired.
func (e *endpoint) leasesExpired(now time.Duration) bool {
	left := float64(e.leaseEnd-e.clock) / minClockRate * float64(time.Millisecond)
	return now-e.clockAt > time.Duration(left)+leaseMargin
}

// firstFenceStep is the first amount, in milliseconds, by which the fence rises
// when the endpoint has seen a higher one: more than clocks are usually set back
// by. It doubles each time.
const firstFenceStep = 10_000

// fenceNow returns the fence that corresponds to the current time.
func (c *Core) fenceNow() int64 { return c.opts.FirstFence + (c.now - c.firstStep).Milliseconds() }

// raiseFence raises the fence. Once the endpoint has seen a call under it, it
// rejects all earlier calls that reach it later.
func (c *Core) raiseFence() { c.endpoint.fence = max(c.endpoint.fence+1, c.fenceNow()) }

// raiseFenceAndPoll raises the fence and requests a poll under it.
func (c *Core) raiseFenceAndPoll() {
	c.raiseFence()
	c.endpoint.wantPromptPoll = true
}

// exceedSeenFence raises the fence after the endpoint has rejected a call because
// it has seen a higher one. An earlier process of the agent has used it, and the
// time of day was set back between the two processes.
func (c *Core) exceedSeenFence() {
	e := &c.endpoint
	e.fence += e.fenceStep
	e.fenceStep *= 2
	e.wantPromptPoll = true
}

func (e *endpoint) hasUnackedEnds() bool { return e.present && e.seenEnd > e.ackedEnd }

// expireLeases ends the runs whose leases have expired while the endpoint did not
// answer. A run whose start was never answered is kept, because the endpoint may
// still carry the start out.
func (c *Core) expireLeases() {
	e := &c.endpoint
	if c.runs.Len() == 0 || !e.leasesExpired(c.now) {
		return
	}
	lost := 0
	for _, r := range c.runs.All() {
		if r.state == runAlive || r.state == runInNextIncarnation && r.acceptedAt > 0 {
			c.end(r, message.RunLost)
			lost++
		}
	}
	if lost > 0 {
		e.wantPromptPoll = e.present
		c.emit(Note{What: "leases lapsed", Subject: e.name})
	}
}
