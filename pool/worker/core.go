// Package worker decides for one endpoint whose tasks run under leases: which
// orders of entries are carried out, which room each entry may use, when a
// lease is renewed and when a run has ended for sure. It reads no clock, opens
// no socket and starts no goroutine: Step takes the time and an event and
// returns actions.
package worker

import (
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
)

// Options are the times that the core needs.
type Options struct {
	// Lease is how long a run lives at most without a renewal.
	Lease time.Duration
	// Silence is how long an entry may say nothing before its runs are stopped.
	Silence time.Duration
	// FirstFence is the fence of the first calls. It rises from one process of an
	// agent to the next, over all lives of its endpoint: the time of day in
	// milliseconds. An endpoint that has seen a higher one says so.
	FirstFence int64
}

const (
	// CallTimeout bounds a call to an endpoint on the same machine, besides what
	// the call may wait for by itself. Answers take a millisecond, on a machine
	// whose processor time is used up to a tenth of a second. A call that is given
	// up too soon costs one look; one that is awaited costs a task its objective.
	CallTimeout = 75 * time.Millisecond
	// Heartbeat is the longest pause between two reports to an entry. A fifth of
	// the silence that ends a session, so that a lost packet and its repetition
	// fit in between.
	Heartbeat = 100 * time.Millisecond
	// reportPause spaces reports that only tell of changed room to an entry that
	// does not wait for any: a sixth of the shortest usual task.
	reportPause = 40 * time.Millisecond
	// maxReportAge is how old the report may be on which an order was decided. It
	// equals the silence after which the entry counts as lost, so that no order of
	// a lost entry is accepted later.
	maxReportAge = 400 * time.Millisecond
	// offerTime is how long freed room is kept for the entry that it was offered
	// to: several times the way there and back.
	offerTime = 8 * time.Millisecond
	// leaseMargin covers what an endpoint's clock may run slow (2 %) and the time
	// that an endpoint takes to kill what has lapsed.
	leaseMargin = 100 * time.Millisecond
	// minClockRate is the least rate of an endpoint's clock: 2 % slow.
	minClockRate = 0.98
	// pollWait is how long an endpoint may wait for an end before it answers a
	// look. While a look is not answered no end is seen, so it is about the run
	// time of a short task; it also renews a lease of a second several times.
	pollWait = 100 * time.Millisecond
	// unreachableAfter is the time without an answer after which an endpoint gets
	// no new tasks: one look and its timeout.
	unreachableAfter = 600 * time.Millisecond
	// endedRetention is how long an ended run is known, so that a look that was
	// overtaken does not take it for a stranger. Looks time out long before.
	endedRetention = 10 * time.Second
	// droppedRetention is how long an entry's life that was given up is remembered: an
	// entry that was held up for longer has given up its jobs long ago.
	droppedRetention = 10 * time.Minute
	// stopRepeat is the pause after which an unanswered stop is sent again.
	stopRepeat = 150 * time.Millisecond
	// releaseTime is how long an entry has been told to order nothing before its
	// session is closed: several times the way there and back.
	releaseTime = 500 * time.Millisecond
	// surplusTime is how long a session counts as surplus after it was last said to
	// be, several times the second after which that is repeated.
	surplusTime = 3 * time.Second
	// maxStarts bounds how often a start is sent under a raised fence.
	maxStarts = 3
)

// Core decides for one endpoint. It is not safe for concurrent use.
//
// Invariants:
//   - The needs of all runs that may be alive at the endpoint fit its capacity
//     together; a run counts from before its start is sent until its end is known.
//   - A run is reported refused only when the endpoint can't start it any more.
//   - The runs of an entry that is silent for Options.Silence are stopped, and no
//     order that it decided before is accepted.
//   - Each end is reported until the entry has acknowledged it.
type Core struct {
	opts      Options
	now       time.Duration
	firstStep time.Duration
	actions   []Action

	endpoint endpoint
	runs     kernel.OrderedMap[message.RunRef, *run]
	// ended remembers runs that have ended, and when, in that order.
	ended      map[message.RunRef]time.Duration
	endedOrder []message.RunRef
	used       message.Resources

	owners   kernel.OrderedMap[ownerKey, *owner]
	sessions map[Session]*owner
	// dropped holds the lives of entries that were silent for too long, and when
	// they were given up.
	dropped  map[ownerKey]time.Duration
	calls    uint64
	stopping bool
	drained  bool
	// wasReady is what entries were last told.
	wasReady bool
	counters Counters
}

// Counters counts decisions since the start.
type Counters struct {
	Accepted int64
	Refused  [message.CauseInvalid + 1]int64
	Ended    [message.RunRefused + 1]int64
	// Orphaned counts runs that were stopped because their entry was silent.
	Orphaned int64
	// Foreign counts runs that were found at the endpoint and stopped.
	Foreign int64
	// Resyncs counts looks under a raised fence.
	Resyncs int64
	Offers  int64
}

// New returns a core without endpoint and sessions.
func New(opts Options) *Core {
	return &Core{
		opts:     opts,
		ended:    map[message.RunRef]time.Duration{},
		sessions: map[Session]*owner{},
		dropped:  map[ownerKey]time.Duration{},
	}
}

// Counters returns the decisions counted so far.
func (c *Core) Counters() Counters { return c.counters }

// Runs is the number of runs that may be alive.
func (c *Core) Runs() int { return c.runs.Len() }

// Step advances the core to the given time since boot, applies an event and
// returns what is to be done, in order. The time includes what the machine
// spent suspended.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	if c.firstStep == 0 {
		c.firstStep = now
	}
	c.now = max(c.now, now)
	c.actions = nil
	// Silent entries go first: after a pause of this process nothing may renew
	// the leases of their runs.
	c.dropUnresponsiveOwners()
	c.expireLeases()
	c.handle(ev)
	c.repeatStops()
	c.pollEndpoint()
	c.updateReadiness()
	c.reinstate()
	c.offerCapacity()
	c.sendReports()
	c.checkDrained()
	return c.actions
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case SessionOpened:
		c.openSession(ev)
	case SessionClosed:
		c.closeSession(ev.Session)
	case SessionSurplus:
		c.release(ev.Session)
	case OrdersReceived:
		c.handleOrders(ev.Session, ev.Orders)
	case EndpointSeen:
		c.endpointAnnounced(ev)
	case EndpointLeft:
		c.endpointLeft(ev.Name)
	case StartAnswered:
		c.startAnswered(ev)
	case StopAnswered:
		c.stopAnswered(ev)
	case LookAnswered:
		c.pollAnswered(ev)
	case StopRequested:
		c.stopping = true
	case Tick:
	}
}

// finish reports once that nothing is left after StopRequested.
func (c *Core) checkDrained() {
	if !c.stopping || c.drained || c.runs.Len() > 0 || c.endpoint.hasUnackedEnds() {
		return
	}
	for _, o := range c.owners.All() {
		if len(o.ends) > 0 && o.session != 0 {
			return
		}
	}
	c.drained = true
	c.emit(Drained{})
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) nextCall() CallID {
	c.calls++
	return CallID(c.calls)
}
