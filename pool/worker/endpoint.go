package worker

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
)

// endpoint is what is known of the endpoint.
type endpoint struct {
	name        string
	incarnation int64
	seq         int64
	service     string
	capacity    message.Resources
	labels      []string
	leaving     bool
	present     bool
	// version rises with each change that entries are told of.
	version uint64
	// adoption numbers the lives of endpoints that this process has known.
	adoption uint64

	// fence is the fence of all calls. It only rises, also over lives of the
	// endpoint, so that no order that was meant for an earlier life is carried out
	// after the first look at a later one.
	fence int64
	// fenceStep is what the fence rises by when the endpoint has seen a higher one.
	fenceStep int64
	// clock is the endpoint's clock as read at clockAt or shortly before.
	clock   int64
	clockAt time.Duration
	// until is the latest end of a lease that was asked for, by that clock.
	leaseEnd int64
	// answered is when the endpoint last answered, or was first seen.
	answeredAt time.Duration

	// seen is the highest number of an end taken note of, told the highest one
	// that a look has acknowledged.
	seenEnd, ackedEnd int64
	// poll is the look in flight that may wait, resync the one that may not.
	poll, resync CallID
	// pollAck and resyncSeen are the numbers that these looks acknowledge.
	pollAck, resyncAck int64
	// wantResync asks for a look under the present fence, at once.
	wantResync   bool
	pollFailed   time.Duration
	pollFailures int
	// reconciled says that a look of this process has shown that only its own runs
	// are alive.
	reconciled bool
	// mismatched says that another life answered at the endpoint's address.
	mismatched  bool
	unknownRuns kernel.OrderedMap[message.RunRef, time.Duration]
}

// ready reports whether the endpoint takes new tasks.
func (c *Core) ready() bool {
	e := &c.endpoint
	return e.present && e.reconciled && !e.leaving && !e.mismatched && !c.stopping && c.now-e.answeredAt < unreachableAfter
}

func (c *Core) describe(o *owner) *message.PoolEndpoint {
	e := &c.endpoint
	return &message.PoolEndpoint{
		Name: e.name, Life: e.adoption, Service: e.service, Capacity: e.capacity, Labels: e.labels,
		Ready: c.ready() && o.releasedAt == 0,
	}
}

func (c *Core) endpointChanged() { c.endpoint.version++ }

// updateReadiness tells entries when the endpoint has begun or ceased to take
// tasks, also by the time that has passed.
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

func (c *Core) endpointAnnounced(ev EndpointSeen) {
	e := &c.endpoint
	switch {
	case ev.Born < e.incarnation, e.name == ev.Name && e.incarnation == ev.Born && ev.Seq <= e.seq:
		return
	case !e.present || e.name != ev.Name || ev.Born > e.incarnation:
		c.adopt(ev)
	}
	e.seq = ev.Seq
	if !sameEndpoint(e, ev) {
		e.service, e.capacity, e.labels, e.leaving = ev.Service, ev.Capacity, ev.Labels, ev.Leaving
		c.endpointChanged()
		c.emit(Note{What: "endpoint changed", Subject: e.name, Detail: ev.Service})
	}
}

func sameEndpoint(e *endpoint, ev EndpointSeen) bool {
	return e.service == ev.Service && e.capacity == ev.Capacity && e.leaving == ev.Leaving && slices.Equal(e.labels, ev.Labels)
}

// adopt begins with a life of an endpoint that this process does not know. Of
// an earlier life nothing runs any more.
func (c *Core) adopt(ev EndpointSeen) {
	c.loseRuns()
	old := c.endpoint
	c.endpoint = endpoint{
		name: ev.Name, incarnation: ev.Born, present: true,
		version: old.version + 1, adoption: old.adoption + 1,
		clock: ev.ClockMillis, clockAt: c.now, answeredAt: c.now,
		fence: max(old.fence+1, c.fenceNow()), wantResync: true, fenceStep: firstFenceStep,
		// A start that was meant for the earlier life may have brought a lease.
		leaseEnd: ev.ClockMillis + c.opts.Lease.Milliseconds(),
	}
	c.emit(Note{What: "endpoint adopted", Subject: ev.Name, Detail: ev.Service})
}

func (c *Core) endpointLeft(name string) {
	if !c.endpoint.present || c.endpoint.name != name {
		return
	}
	c.removeEndpoint("endpoint left")
}

// crash is called when nobody listens at the endpoint's address: its process
// has ended, and all that it ran.
func (c *Core) endpointCrashed() {
	if c.endpoint.present {
		c.removeEndpoint("endpoint unreachable")
	}
}

func (c *Core) removeEndpoint(what string) {
	c.emit(Note{What: what, Subject: c.endpoint.name})
	c.loseRuns()
	e := &c.endpoint
	// Name, birth and number stay, so that a delayed announcement of this life does
	// not bring it back.
	e.reconciled, e.present = false, false
	e.poll, e.resync, e.wantResync = 0, 0, false
	c.endpointChanged()
}

// loseRuns ends the runs of a life of the endpoint that is over. Those that a
// later life may have taken stay until its first look tells: starts on their
// way, and starts so young that the life that took them is not known for sure.
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
// belongs to the life that was known when it was ordered.
const youngRunAge = 500 * time.Millisecond

// isLaterIncarnation reports whether an answer can only come from a later life of the
// endpoint.
func (e *endpoint) isLaterIncarnation(clock Clock, incarnation int64) bool {
	return clock.Known && clock.Millis < e.clock-clockResetMillis || e.incarnation > 0 && incarnation > e.incarnation
}

// clockResetMillis is more than any answer is delayed, in milliseconds: a clock
// that is further behind began anew.
const clockResetMillis = 1000

// estimatedClock estimates the endpoint's clock.
func (e *endpoint) estimatedClock(now time.Duration) int64 {
	return e.clock + (now - e.clockAt).Milliseconds()
}

// heard takes note of an answer.
func (e *endpoint) recordAnswer(now time.Duration, clock Clock) {
	if !clock.Known {
		return
	}
	e.answeredAt = now
	if clock.Millis > e.clock {
		e.clock, e.clockAt = clock.Millis, now
	}
}

// renew returns the end of a lease that begins now, and remembers it.
func (e *endpoint) renew(now time.Duration, lease time.Duration) int64 {
	leaseEnd := e.estimatedClock(now) + lease.Milliseconds()
	e.leaseEnd = max(e.leaseEnd, leaseEnd)
	return leaseEnd
}

// leasesExpired reports whether every lease that was asked for has passed for sure.
func (e *endpoint) leasesExpired(now time.Duration) bool {
	left := float64(e.leaseEnd-e.clock) / minClockRate * float64(time.Millisecond)
	return now-e.clockAt > time.Duration(left)+leaseMargin
}

// firstFenceStep is what the fence rises by first when the endpoint has seen a
// higher one, in milliseconds: more than clocks are usually set back by. It
// doubles each time.
const firstFenceStep = 10_000

// fenceNow is the fence that goes with the present time.
func (c *Core) fenceNow() int64 { return c.opts.FirstFence + (c.now - c.firstStep).Milliseconds() }

// raiseFence makes the endpoint turn down all calls sent so far that have not
// reached it.
func (c *Core) raiseFence() {
	e := &c.endpoint
	e.fence = max(e.fence+1, c.fenceNow())
	e.wantResync = true
}

// exceedSeenFence follows an answer that the endpoint has seen a higher fence: one
// of an earlier process, when the time of day was set back between them.
func (c *Core) exceedSeenFence() {
	e := &c.endpoint
	e.fence += e.fenceStep
	e.fenceStep *= 2
	e.wantResync = true
}

func (e *endpoint) hasUnackedEnds() bool { return e.present && e.seenEnd > e.ackedEnd }

// expireLeases ends the runs whose leases have passed while the endpoint did not
// answer. A start that was never answered stays: the endpoint might still
// carry it out.
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
		e.wantResync = e.present
		c.emit(Note{What: "leases lapsed", Subject: e.name})
	}
}
