package scheduler

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"

	"github.com/cespare/xxhash/v2"
)

const (
	// endMargin allows for clock differences and for the delivery of the last
	// messages.
	endMargin = 50 * time.Millisecond
	// ackDelay is how long an acknowledgement waits to be sent along with
	// orders, as most are under load. The delay is safe: the agent repeats
	// unacknowledged ends only on a new session.
	ackDelay = 40 * time.Millisecond
	// clockErrorDivisor divides a lease to get the allowance for clock error:
	// on a clock that is 2 % slow a lease lasts one fiftieth longer.
	clockErrorDivisor = 50
	// failuresToPause is the number of consecutive failed jobs after which an
	// agent is paused: two can occur by chance where one task in 500 fails.
	failuresToPause = 3
	// firstPause and maxPause bound the pauses, which double. A pause costs
	// capacity; a task on a failing agent costs a job its objective.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
)

// agent is the entry's view of an agent and its endpoint.
type agent struct {
	name string
	// hash orders agents for the isolation of jobs.
	hash        uint64
	incarnation uint64
	session     Session
	// lastHeard is the time of the last message, excused the time since then that does
	// not count as silence.
	lastHeard, excused time.Duration
	lastSent           time.Duration

	endpoint *message.PoolEndpoint
	// free is the free capacity last reported; unacked lists the needs of the
	// starts that the last report does not account for.
	free    message.Resources
	unacked []unackedOrder
	// pendingNeed is the sum of the resources of starts that are not sent yet.
	pendingNeed message.Resources
	seq         uint64
	// reportTimestamp is the timestamp of the agent's last report, in
	// microseconds on the agent's clock. It rises with each report and is
	// returned in orders, which the agent refuses if it is too old.
	reportTimestamp int64
	starts          map[string]*message.RunStart
	// startOrder lists the job IDs of starts in the order of their insertion,
	// so that messages are deterministic.
	startOrder []string
	stops      []message.RunRef
	demand     message.RunDemand
	// messageDue is set if a message must be sent even if it contains no order.
	messageDue bool

	evacuation agentEvacuation
	cold       slowStart

	runs kernel.OrderedMap[message.RunRef, *run]
	// slowdown is the median, over the agent's current runs, of the projected
	// duration divided by the caller's estimate. The agent computes it from
	// their progress; 0 if unknown. It arrived at slowdownAt.
	slowdown   float64
	slowdownAt time.Duration
	// overrun is the geometric mean of the ratios of the age of the current
	// runs to their expected run time, each at least 1.
	overrun float64

	// logSlowness is the moving average of the logarithm of run time over
	// expected run time; speedKnownAt is the time of the last news on it.
	logSlowness  float64
	speedKnownAt time.Duration
	// confined is set if confined jobs, of any entry, use the endpoint; confinedMilliCPU
	// is what they use. Both are from the last report.
	confined         bool
	confinedMilliCPU int64
	// isolatedAt is the last time at which the agent refused a suspect beside another
	// entry's.
	isolatedAt time.Duration
	// failures counts consecutive failed jobs; lastFailedJob is the last one's ID.
	failures      int
	lastFailedJob string
	// pause is the length of the agent's last pause, paused the time at which
	// it ends.
	pause  time.Duration
	paused time.Duration
}

type unackedOrder struct {
	seq      uint64
	need     message.Resources
	confined bool
}

// run is a run whose end is not confirmed.
type run struct {
	ref   message.RunRef
	job   *job
	task  int
	agent *agent
	// incarnation is the incarnation of the agent that the start was sent to.
	incarnation uint64
	// lostAt, if set, is the time at which the run counts as lost: by then it
	// has certainly ended. It is set while the agent is unreachable or has not
	// yet listed its runs.
	lostAt  time.Duration
	started time.Duration
	// expected is the expected run time on this agent. The reported slowdown is
	// left out: it would raise the expectation where runs stall, so that they
	// would not become overdue.
	expected time.Duration
	stopped  bool
	// stoppedAsOverdue is set if the run was stopped for taking too long.
	stoppedAsOverdue bool
}

func (a *agent) isReady() bool {
	return a.session != 0 && a.endpoint != nil && a.endpoint.Ready && !a.evacuation.active
}

// freeCapacity returns the resources that this entry may still order: the free
// capacity last reported less the unacknowledged and pending starts, and less what
// is withheld from a cold endpoint that runs a task already.
func (a *agent) freeCapacity() message.Resources {
	free := a.free.Minus(a.pendingNeed)
	if a.runs.Len() > 0 {
		free = free.Minus(a.cold.withheld)
	}
	for _, u := range a.unacked {
		free = free.Minus(u.need)
	}
	return free
}

// usedByOthers returns what jobs that are not confined use, in thousandths of a core.
func (a *agent) usedByOthers() int64 {
	used := a.endpoint.Capacity.MilliCPU - a.free.MilliCPU - a.confinedMilliCPU
	for _, u := range a.unacked {
		if !u.confined {
			used += u.need.MilliCPU
		}
	}
	return max(used, 0)
}

func (c *Core) connect(ev AgentConnected) {
	a := c.agents[ev.Agent]
	if a == nil {
		a = &agent{name: ev.Agent, hash: xxhash.Sum64String(ev.Agent), starts: map[string]*message.RunStart{}}
		c.agents[ev.Agent] = a
		c.agentList = append(c.agentList, a)
	}
	if a.session != 0 {
		c.emit(Disconnect{Session: a.session})
		c.disconnect(a.session, "connected again")
	}
	a.session, a.lastHeard, a.excused, a.lastSent = ev.Session, c.now, 0, 0
	if a.incarnation != ev.Incarnation {
		a.incarnation = ev.Incarnation
		a.endpoint = nil
	}
	a.seq, a.reportTimestamp, a.unacked, a.free = 0, 0, nil, message.Resources{}
	a.demand, a.messageDue = message.RunDemand{}, true
	c.openEvacuation(a, ev.Zone)
	clear(a.starts)
	a.startOrder, a.stops, a.pendingNeed = nil, nil, message.Resources{}
	for _, r := range a.runs.All() {
		if r.stopped {
			a.stops = append(a.stops, r.ref)
		}
		if r.lostAt == 0 {
			r.lostAt = c.now + c.runEndTimeout()
		}
	}
	c.sessions[ev.Session] = a
	c.emit(Note{What: "agent connected", Subject: a.name})
}

func (c *Core) disconnect(id Session, cause string) {
	a := c.sessions[id]
	if a == nil {
		return
	}
	delete(c.sessions, id)
	a.session, a.endpoint = 0, nil
	for _, r := range a.runs.All() {
		r.lostAt = c.now + c.runEndTimeout()
	}
	c.emit(Note{What: "agent disconnected", Subject: a.name, Detail: cause})
}

// runEndTimeout returns the time after the loss of contact with an agent by
// which its runs have certainly ended: the agent stops them when it receives
// nothing from the entry, and the endpoint kills them when it receives nothing
// from the agent.
func (c *Core) runEndTimeout() time.Duration {
	endAfterTimeout := c.opts.HeartbeatTimeout + c.opts.StopTime
	endAfterLease := c.opts.Lease + c.opts.Lease/clockErrorDivisor + c.opts.StopTime
	return max(endAfterTimeout, endAfterLease) + endMargin
}

// checkAgents closes the sessions of unresponsive agents, ends the runs that
// can't be alive any more, and updates the agents' overruns and the median
// slowness.
func (c *Core) checkAgents() {
	for _, a := range c.agentList {
		if a.session != 0 && c.now-a.lastHeard-a.excused > c.opts.HeartbeatTimeout {
			c.emit(Disconnect{Session: a.session})
			c.disconnect(a.session, "silent")
		}
		c.endUnreachableRuns(a)
		a.cold.advance(a, c.now)
		a.overrun = c.estimateOverrun(a)
	}
	c.fleet.learn(c.agentList)
	c.observeOthersWork()
}

// excuseSilence does not count a pause of this process as silence of agents and peers: what
// they have sent meanwhile may be handled only after the first step. A process that is
// paused again and again excuses no more than one heartbeat timeout.
func (c *Core) excuseSilence(pause time.Duration) {
	for _, a := range c.agentList {
		a.excused = min(a.excused+pause, c.opts.HeartbeatTimeout)
	}
	for _, p := range c.peerList {
		p.excused = min(p.excused+pause, c.opts.HeartbeatTimeout)
	}
}

// endUnreachableRuns ends the runs whose lostAt has passed as lost.
func (c *Core) endUnreachableRuns(a *agent) {
	for _, r := range a.runs.All() {
		if r.lostAt > 0 && c.now >= r.lostAt {
			c.endRun(r, message.RunEnd{Run: r.ref, Outcome: message.RunLost})
		}
	}
}

// endRunsOfEarlierIncarnations ends the runs that an earlier incarnation of the
// agent has started: the current one has stopped all runs that it found.
func (c *Core) endRunsOfEarlierIncarnations(a *agent) {
	for _, r := range a.runs.All() {
		if r.incarnation != a.incarnation {
			c.endRun(r, message.RunEnd{Run: r.ref, Outcome: message.RunLost})
		}
	}
}

func (c *Core) handleReport(id Session, report *message.RunReport) {
	a := c.sessions[id]
	if a == nil {
		return
	}
	a.lastHeard, a.excused = c.now, 0
	a.reportTimestamp = report.Timestamp
	a.free = report.Free
	a.confined, a.confinedMilliCPU = report.Confined, report.ConfinedMilliCPU
	a.slowdown, a.slowdownAt = report.Slowdown, c.now
	if report.Slowdown > 0 {
		a.limitSlowness(report.Slowdown, maxSlowdownDeviation)
		a.speedKnownAt = c.now
		a.cold.measured = a.cold.active
	}
	if report.Evacuation != nil {
		c.learnEvacuation(*report.Evacuation, a.name)
	}
	a.unacked = slices.DeleteFunc(a.unacked, func(u unackedOrder) bool { return u.seq <= report.OrdersSeq })
	if report.Endpoint != nil {
		c.updateEndpoint(a, report.Endpoint)
	}
	// Crashes come before the ends that they cause, so that a suspect is known as such
	// when it waits again.
	c.recordCrashes(report.Crashes, true)
	for i := range report.Ends {
		if r := a.runs.Get(report.Ends[i].Run); r != nil {
			c.endRun(r, report.Ends[i])
		}
	}
	if len(report.Ends) > 0 {
		a.messageDue = true
	}
	if report.Sync {
		c.sync(a, report)
	}
}

func (c *Core) updateEndpoint(a *agent, e *message.PoolEndpoint) {
	if a.endpoint == nil || a.endpoint.Ready != e.Ready || a.endpoint.Name != e.Name {
		c.emit(Note{What: "endpoint", Subject: a.name, Detail: readiness(e)})
	}
	if a.endpoint != nil && (a.endpoint.Name != e.Name || a.endpoint.Adoption != e.Adoption) {
		// The new incarnation may run on another kind of machine.
		a.logSlowness, a.failures, a.pause, a.paused = 0, 0, 0, 0
		a.cold = slowStart{}
	}
	a.endpoint = e
	c.markEvacuated(a)
	a.cold.update(a, e, c.now)
	if e.Ready {
		c.endRunsOfEarlierIncarnations(a)
	}
}

func readiness(e *message.PoolEndpoint) string {
	if e.Ready {
		return "takes tasks"
	}
	return "takes no tasks"
}

// sync ends the runs that the agent does not list. If the report is complete,
// they were never started: their orders were lost with the last session, from
// which the agent accepts no more orders. Otherwise they may have run and count
// as lost. Runs of an earlier incarnation of the agent are skipped:
// endRunsOfEarlierIncarnations ends them once the endpoint takes tasks, as the
// new incarnation has stopped all runs that it found by then.
func (c *Core) sync(a *agent, report *message.RunReport) {
	end := message.RunEnd{Outcome: message.RunLost}
	if report.Complete {
		end = message.RunEnd{Outcome: message.RunRefused, Cause: message.CauseStale}
	}
	alive := make(map[message.RunRef]bool, len(report.Active))
	for _, ref := range report.Active {
		alive[ref] = true
	}
	for ref, r := range a.runs.All() {
		switch {
		case r.incarnation != a.incarnation:
		case alive[ref]:
			r.lostAt = 0
		default:
			end.Run = ref
			c.endRun(r, end)
		}
	}
}

// recordSuccess and recordFailure keep the agent's failure count. Failures of
// one job count once, as the job itself may be at fault.
func (a *agent) recordSuccess() {
	a.failures, a.pause, a.paused, a.lastFailedJob = 0, 0, 0, ""
}

func (c *Core) recordFailure(a *agent, job string) {
	if a.lastFailedJob == job {
		return
	}
	a.lastFailedJob = job
	a.failures++
	if a.failures < failuresToPause {
		return
	}
	a.pause = min(max(2*a.pause, firstPause), maxPause)
	a.paused = c.now + a.pause
	c.emit(Note{What: "agent paused", Subject: a.name, Job: job, Detail: a.pause.String()})
}

// flush sends the pending orders and heartbeats.
func (c *Core) flush() {
	for _, a := range c.agentList {
		if a.session == 0 {
			continue
		}
		sinceLastSent := c.now - a.lastSent
		due := len(a.startOrder) > 0 || len(a.stops) > 0 || sinceLastSent >= Heartbeat || c.evacuationDue(a) || a.messageDue && sinceLastSent >= ackDelay ||
			sinceLastSent >= demandInterval && c.demandChanged(a)
		if !due {
			continue
		}
		a.seq++
		orders := &message.RunOrders{Seq: a.seq, ReportTimestamp: a.reportTimestamp, Stops: a.stops}
		for _, id := range a.startOrder {
			start := a.starts[id]
			orders.Starts = append(orders.Starts, *start)
			a.unacked = append(a.unacked, unackedOrder{seq: a.seq, need: start.Need.Times(int64(len(start.Runs))), confined: start.Confined})
		}
		if demand := c.demandFor(a); a.demand != demand {
			a.demand, orders.Demand = demand, &demand
		}
		c.sendEvacuation(a, orders)
		clear(a.starts)
		a.startOrder, a.stops, a.messageDue, a.lastSent = nil, nil, false, c.now
		a.pendingNeed = message.Resources{}
		c.emit(SendOrders{Session: a.session, Orders: orders})
	}
}
