// Package executor implements an agent's decisions for one endpoint, which runs
// tasks under leases: which orders of entries are accepted, how much free
// capacity each entry may use, when leases are renewed and when a run is known
// to have ended. It reads no clock, opens no socket and starts no goroutine:
// Step takes the time and an event and returns actions.
package executor

import (
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
)

// Options configures a Core.
type Options struct {
	// Lease is how long a run may continue without a renewal of its lease.
	Lease time.Duration
	// HeartbeatTimeout is how long an entry may send nothing before it is dropped and
	// its runs are stopped.
	HeartbeatTimeout time.Duration
	// FirstFence is the fencing token of the first calls: the time of day in Unix
	// milliseconds, so that it rises from one process of an agent to the next,
	// across all incarnations of the endpoint. An endpoint that has seen a higher
	// token rejects the call.
	FirstFence int64
	// Zone is the agent's availability zone, for endpoints that announce none.
	Zone string
	// EvacuationRequired is set where the operator evacuates zones: the endpoint takes no
	// tasks before the agent has learned which ones.
	EvacuationRequired bool
}

const (
	// Heartbeat is the longest interval between two reports to an entry. It is a
	// quarter of the default heartbeat timeout, after which the entry ends the
	// session; this leaves time for a lost packet and its retransmission.
	Heartbeat = 100 * time.Millisecond
	// minReportInterval is the minimum interval between reports that carry only a
	// change of the slowdown, or of free capacity to an entry that does not wait
	// for any. It is a sixth of the duration of the shortest common task.
	minReportInterval = 40 * time.Millisecond
	// maxReportAge is the maximum age of the report on which an order is based. It
	// equals the heartbeat timeout after which an entry is dropped, so that no
	// order of a dropped entry is accepted later.
	maxReportAge = 400 * time.Millisecond
	// offerTime is how long free capacity stays reserved for the entry that it was
	// offered to: several round trips.
	offerTime = 8 * time.Millisecond
	// leaseMargin is added to the end of a lease for the time that the endpoint
	// takes to kill a run whose lease has expired.
	leaseMargin = 100 * time.Millisecond
	// minClockRate is the lowest assumed rate of an endpoint's clock: 2 % slow.
	minClockRate = 0.98
	// pollWait is how long an endpoint may wait for the end of a run before it
	// answers a poll. When a poll or its answer is lost, no end is seen until the
	// poll times out; pollWait is therefore only about the duration of a short task.
	// It is also short enough to renew a lease of 1 s several times.
	pollWait = 100 * time.Millisecond
	// lossyPollWait is pollWait while calls go unanswered: the time without news of
	// ended runs that a lost poll then costs is a quarter of a short task.
	lossyPollWait = 15 * time.Millisecond
	// unreachableAfter is the time without an answer after which an endpoint gets
	// no new tasks: several polls and their timeouts.
	unreachableAfter = 600 * time.Millisecond
	// endedRetention is how long an ended run is remembered, so that a poll answer
	// that arrives out of order does not make it an unknown run. Polls time out
	// long before.
	endedRetention = 10 * time.Second
	// droppedRetention is how long a dropped incarnation of an entry is remembered.
	// An entry that was paused for longer has abandoned its jobs long before.
	droppedRetention = 10 * time.Minute
	// capacityAge is the pause of this process after which the endpoint's capacity may have
	// changed unnoticed: longer than the usual interval between announcements.
	capacityAge = 2 * time.Second
	// stopRepeat is the interval after which an accepted stop is sent again while
	// the end of its run has not been listed.
	stopRepeat = 150 * time.Millisecond
	// releaseTime is the minimum time between the report that an entry may send no
	// more starts and the end of its session: several round trips.
	releaseTime = 500 * time.Millisecond
	// surplusTime is how long a session counts as surplus after the last
	// SessionSurplus: several times the 1 s after which that event is repeated.
	surplusTime = 3 * time.Second
	// maxStarts is the maximum number of times that the start of one run is sent.
	// It is sent again when it was not answered, or rejected because of an old fence
	// or an expired lease.
	maxStarts = 4
)

// Core makes the decisions for one endpoint. It is not safe for concurrent use.
//
// Invariants:
//   - The summed needs of all runs that may be alive at the endpoint fit its
//     capacity; a run counts from before its start is sent until its end is known.
//     After a long pause of this process the capacity is unknown until it is announced.
//   - No start is sent while the endpoint's zone is evacuated or, with
//     Options.EvacuationRequired, not known not to be.
//   - A run is reported as refused only when the endpoint can no longer start it.
//   - The runs of an entry that sends nothing for Options.HeartbeatTimeout are
//     stopped, and no order that it decided on before is accepted.
//   - Each end is reported until the entry has acknowledged it.
type Core struct {
	opts      Options
	now       time.Duration
	firstStep time.Duration
	actions   []Action

	endpoint endpoint
	runs     kernel.OrderedMap[message.RunRef, *run]
	// ended holds the time at which recent runs ended; endedOrder lists them in
	// that order.
	ended      map[message.RunRef]time.Duration
	endedOrder []message.RunRef
	used       message.Resources
	// confinement is the part of used that confined jobs have.
	confinement confinement
	// crashes holds the recent crashes of the endpoint, by rising version.
	crashes      []crash
	crashVersion uint64

	entries  kernel.OrderedMap[entryKey, *entry]
	sessions map[Session]*entry
	// dropped holds the time at which incarnations of entries were dropped.
	dropped  map[entryKey]time.Duration
	calls    uint64
	stopping bool
	drained  bool
	// wasReady is the readiness that entries were last notified of.
	wasReady   bool
	evacuation evacuationState
	counters   Counters
}

// Counters counts decisions since the start of the process.
type Counters struct {
	Accepted int64
	Refused  [message.CauseEvacuated + 1]int64
	Ended    [message.RunRefused + 1]int64
	// Orphaned counts runs that were stopped because their entry was dropped.
	Orphaned int64
	// UnknownRuns counts runs that the endpoint listed, that this process did not
	// start and that it stopped.
	UnknownRuns int64
	// PromptPolls counts polls that do not wait for an end, sent after a change of
	// the fence or when the state of runs was uncertain.
	PromptPolls int64
	// RepeatedStarts counts starts sent again because they were not answered.
	RepeatedStarts int64
	// Offers counts offers of free capacity.
	Offers int64
	// Crashes counts crashes of the endpoint while runs were on it, CrashedRuns these
	// runs.
	Crashes, CrashedRuns int64
	// EvacuatedStarts counts starts sent while the zone was evacuated: always 0.
	EvacuatedStarts int64
}

// New returns a core that has no endpoint and no sessions.
func New(opts Options) *Core {
	return &Core{
		opts:     opts,
		ended:    map[message.RunRef]time.Duration{},
		sessions: map[Session]*entry{},
		dropped:  map[entryKey]time.Duration{},
	}
}

// Counters returns the current values of the counters.
func (c *Core) Counters() Counters { return c.counters }

// Runs returns the number of runs that may be alive.
func (c *Core) Runs() int { return c.runs.Len() }

// Step advances the core to now, applies an event and returns the actions to
// carry out, in order. now is the time since boot, including the time that the
// machine spent suspended.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	if c.firstStep == 0 {
		c.firstStep = now
	}
	if c.now > 0 && now-c.now > capacityAge {
		c.endpoint.capacityUnknown = true
		c.evacuation.confirmed, c.evacuation.resumedAt = false, now
	}
	c.now = max(c.now, now)
	c.actions = nil
	// Unresponsive entries are dropped first: after a pause of this process nothing
	// may renew the leases of their runs.
	c.dropUnresponsiveEntries()
	c.expireLeases()
	c.handle(ev)
	c.repeatStops()
	c.removeLeftEndpoint()
	c.trackEvacuation()
	c.pollEndpoint()
	c.updateReadiness()
	c.updateConfinement()
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
	case EndpointAnnounced:
		c.endpointAnnounced(ev)
	case EndpointLeft:
		c.endpointLeft(ev.Name)
	case StartAnswered:
		c.startAnswered(ev)
	case StopAnswered:
		c.stopAnswered(ev)
	case PollAnswered:
		c.pollAnswered(ev)
	case EvacuationLearned:
		c.learnEvacuation(ev)
	case StopRequested:
		c.stopping = true
	case Tick:
	}
}

// checkDrained emits Drained once, when no run and no unacknowledged end is left
// after StopRequested. Ends of entries without a session are not waited for.
func (c *Core) checkDrained() {
	if !c.stopping || c.drained || c.runs.Len() > 0 || c.endpoint.hasUnackedEnds() {
		return
	}
	for _, en := range c.entries.All() {
		if len(en.ends) > 0 && en.session != 0 {
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
