package pool

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/executor"
	"marjoramlug.example/marjoramlug/pool/scheduler"
)

// The simulation consists of entries, agents and endpoints, and a network
// between them that delays messages and cuts connections. Time advances in
// steps of tick.
const (
	tick             = 5 * time.Millisecond
	lease            = time.Second
	stopTime         = 50 * time.Millisecond
	heartbeatTimeout = 400 * time.Millisecond
	resubmitDelay    = 1300 * time.Millisecond
	// wallClockOffset is the wall clock time at the start of a simulation.
	wallClockOffset = 1e6 * time.Second
)

// chooser draws numbers, from rapid or from a seeded source.
type chooser interface {
	// intn draws a number from [0, n).
	intn(n int, label string) int
}

type simulation struct {
	now       time.Duration
	draw      chooser
	entries   []*modelEntry
	agents    []*modelAgent
	links     kernel.OrderedMap[[2]int, *link]
	clients   []*client
	sessions  uint64
	waiters   uint64
	jobs      int
	violation string
	// peers is set if entries forward jobs.
	peers  *peerModel
	traced bool
	// lateAcrossIncarnations lets a late order reach a later incarnation of its
	// endpoint.
	lateAcrossIncarnations bool
	// noFailures lets no run fail on its own.
	noFailures bool
	// evacuations, if set, gives the agents zones, which the operator evacuates.
	evacuations                *evacuationModel
	starts, completed, refused int
}

// modelEntry is an entry's core and the events in transit to it.
type modelEntry struct {
	core        *scheduler.Core
	incarnation uint64
	frozenUntil time.Duration
	// clientsCutUntil is the end of a cut between the entry and its clients.
	clientsCutUntil time.Duration
	inbox           []scheduler.Event
	// transmissions are the events of clients' connections in transit.
	transmissions []*transmission
}

// modelAgent is an agent's core, its endpoint, and the calls between them.
type modelAgent struct {
	name        string
	core        *executor.Core
	incarnation uint64
	frozenUntil time.Duration
	inbox       []executor.Event
	endpoint    *modelEndpoint
	calls       []pendingCall
	// unansweredPercent is the share of calls, in percent, that get no answer;
	// half of them are executed seconds later, the others in time.
	unansweredPercent int
}

type pendingCall struct {
	at         time.Duration
	call       executor.Action
	unanswered bool
	// timeout marks the end of the wait for an answer that does not come.
	timeout          bool
	agentIncarnation uint64
	// endpointIncarnation is the incarnation of the endpoint that the call was
	// sent to.
	endpointIncarnation int64
}

// link is the connection between an entry and an agent.
type link struct {
	session                            uint64
	toAgent, toEntry                   []delayed
	cutUntil                           time.Duration
	oneWay                             bool
	entryIncarnation, agentIncarnation uint64
	reopenAt                           time.Duration
}

type delayed struct {
	at time.Duration
	m  message.Message
}

func newSimulation(draw chooser, entries, agents int) *simulation {
	sim := &simulation{draw: draw}
	for i := range entries {
		sim.entries = append(sim.entries, &modelEntry{})
		sim.bootEntry(i)
	}
	for i := range agents {
		a := &modelAgent{name: fmt.Sprintf("agent-%d", i), endpoint: newModelEndpoint(i)}
		sim.agents = append(sim.agents, a)
		sim.bootAgent(i)
	}
	sim.connect()
	return sim
}

func (sim *simulation) bootEntry(i int) {
	e := sim.entries[i]
	sim.sessions++
	e.incarnation, e.inbox, e.transmissions, e.frozenUntil = sim.sessions, nil, nil, 0
	opts := scheduler.Options{
		HeartbeatTimeout: heartbeatTimeout, Lease: lease, StopTime: stopTime, ResubmitDelay: resubmitDelay, MaxWaiting: 1000,
	}
	if sim.peers != nil {
		opts.LoadSharingPeers = 1
	}
	e.core = scheduler.New(opts)
	e.core.Step(max(sim.now, tick), scheduler.Tick{})
}

func (sim *simulation) bootAgent(i int) {
	a := sim.agents[i]
	sim.sessions++
	a.incarnation, a.inbox, a.frozenUntil = sim.sessions, nil, 0
	a.core = executor.New(executor.Options{
		Lease: lease, HeartbeatTimeout: heartbeatTimeout, FirstFence: (sim.now + wallClockOffset).Milliseconds(),
		Zone: zoneOf(i), EvacuationRequired: sim.evacuations != nil,
	})
}

// advance simulates one tick.
func (sim *simulation) advance() {
	sim.now += tick
	for _, a := range sim.agents {
		a.endpoint.advance(sim)
		sim.executeCalls(a)
	}
	sim.connect()
	sim.deliver()
	sim.advancePeers()
	sim.deliverTransmissions()
	sim.followEvacuations()
	for i, a := range sim.agents {
		if sim.now >= a.frozenUntil {
			sim.stepAgent(i)
		}
	}
	for i, e := range sim.entries {
		if sim.now >= e.frozenUntil {
			sim.stepEntry(i)
		}
	}
	sim.stepClients()
	sim.check()
}

func (sim *simulation) stepAgent(i int) {
	a := sim.agents[i]
	if int(sim.now/tick)%100 == i {
		a.inbox = append(a.inbox, a.endpoint.announcement())
	}
	inbox := append(a.inbox, executor.Tick{})
	a.inbox = nil
	for _, ev := range inbox {
		sim.evacuations.delivered(sim.now, i, a, ev)
		for _, action := range a.core.Step(sim.now, ev) {
			sim.executeAgentAction(i, action)
		}
	}
}

// trace prints an event if the simulation is traced, with -day.
func (sim *simulation) trace(format string, args ...any) {
	if sim.traced {
		fmt.Printf("%v "+format+"\n", append([]any{sim.now}, args...)...)
	}
}

func (sim *simulation) executeAgentAction(i int, action executor.Action) {
	if report, ok := action.(executor.SendReport); ok {
		sim.trace("agent %d reports %+v", i, *report.Report)
	} else {
		sim.trace("agent %d %T%+v", i, action, action)
	}
	a := sim.agents[i]
	if start, ok := action.(executor.StartCall); ok {
		sim.checkEvacuated(i, start)
	}
	switch action := action.(type) {
	case executor.StartCall, executor.StopCall, executor.PollCall:
		p := pendingCall{at: sim.now + sim.delay(), call: action, agentIncarnation: a.incarnation, endpointIncarnation: a.endpoint.endpointIncarnation}
		if a.unansweredPercent > 0 && sim.draw.intn(100, "late") < a.unansweredPercent {
			p.unanswered = true
			a.calls = append(a.calls, pendingCall{at: sim.now + timeoutOf(action), call: action, timeout: true, agentIncarnation: a.incarnation})
			if sim.draw.intn(2, "lost") == 0 {
				p.at += 2*time.Second + time.Duration(sim.draw.intn(2000, "later"))*time.Millisecond
			}
		}
		a.calls = append(a.calls, p)
	case executor.SendReport:
		for key, l := range sim.links.All() {
			if key[1] == i && l.session == uint64(action.Session) {
				l.toEntry = append(l.toEntry, delayed{sim.now + sim.delay(), clone(action.Report)})
			}
		}
	case executor.CloseSession:
		sim.closeLink(uint64(action.Session))
	}
}

// timeoutOf returns how long an agent waits for the answer to a call.
func timeoutOf(call executor.Action) time.Duration {
	switch c := call.(type) {
	case executor.StartCall:
		return c.Timeout
	case executor.StopCall:
		return c.Timeout
	case executor.PollCall:
		return c.Timeout
	}
	return 0
}

func (sim *simulation) delay() time.Duration {
	return time.Duration(sim.draw.intn(3, "delay")) * tick
}

func (sim *simulation) stepEntry(i int) {
	e := sim.entries[i]
	inbox := append([]scheduler.Event{scheduler.Tick{}}, e.inbox...)
	e.inbox = nil
	for _, ev := range inbox {
		for _, action := range e.core.Step(sim.now, ev) {
			sim.executeEntryAction(i, action)
		}
	}
}

func (sim *simulation) executeEntryAction(i int, action scheduler.Action) {
	if orders, ok := action.(scheduler.SendOrders); ok {
		sim.trace("entry %d orders %+v", i, *orders.Orders)
	} else {
		sim.trace("entry %d %T%+v", i, action, action)
	}
	e := sim.entries[i]
	switch action := action.(type) {
	case scheduler.SendOrders:
		for key, l := range sim.links.All() {
			if key[0] == i && l.session == uint64(action.Session) {
				orders := clone(action.Orders)
				sim.evacuations.ordersSent(sim.now, orders, e.core)
				l.toAgent = append(l.toAgent, delayed{sim.now + sim.delay(), orders})
			}
		}
	case scheduler.Disconnect:
		sim.closeLink(uint64(action.Session))
	case scheduler.Answer:
		sim.handleAnswer(action)
	case scheduler.ShareEvacuation:
		sim.shareEvacuation(i)
	case scheduler.SendForwardOrders, scheduler.SendForwardReport, scheduler.ForwardNote:
		sim.executeForwardAction(i, action)
	case scheduler.ShareCrashes:
		for other := range sim.entries {
			if other != i {
				sim.entries[other].inbox = append(sim.entries[other].inbox, scheduler.CrashesShared{
					Notice: clone(action.Notice).(*message.CrashNotice),
				})
			}
		}
	}
}

// clone encodes and decodes a message, as a connection does.
func clone(m message.Message) message.Message {
	data, err := message.Append(nil, m)
	if err != nil {
		panic(err)
	}
	out, err := message.Decode(data)
	if err != nil {
		panic(err)
	}
	return out
}

// connect opens the links that are closed and not cut, and closes links of
// earlier incarnations.
func (sim *simulation) connect() {
	for e := range sim.entries {
		for a := range sim.agents {
			key := [2]int{e, a}
			if !sim.sees(e, a) {
				continue
			}
			l := sim.links.Get(key)
			if l == nil {
				l = &link{}
				sim.links.Set(key, l)
			}
			up := sim.now >= l.cutUntil && sim.now >= sim.entries[e].frozenUntil && sim.now >= sim.agents[a].frozenUntil
			stale := l.entryIncarnation != sim.entries[e].incarnation || l.agentIncarnation != sim.agents[a].incarnation
			if l.session != 0 && stale {
				sim.closeLink(l.session)
			}
			if l.session == 0 && up && sim.now >= l.reopenAt {
				sim.openLink(key, l)
			}
		}
	}
}

func (sim *simulation) openLink(key [2]int, l *link) {
	sim.sessions++
	l.session, l.entryIncarnation, l.agentIncarnation = sim.sessions, sim.entries[key[0]].incarnation, sim.agents[key[1]].incarnation
	sim.entries[key[0]].inbox = append(sim.entries[key[0]].inbox, scheduler.AgentConnected{
		Session: scheduler.Session(l.session), Agent: sim.agents[key[1]].name, Incarnation: l.agentIncarnation, Zone: zoneOf(key[1]),
	})
	sim.agents[key[1]].inbox = append(sim.agents[key[1]].inbox, executor.SessionOpened{
		Session: executor.Session(l.session), Entry: fmt.Sprintf("entry-%d", key[0]), Incarnation: l.entryIncarnation,
	})
}

func (sim *simulation) closeLink(session uint64) {
	for key, l := range sim.links.All() {
		if l.session != session || session == 0 {
			continue
		}
		if sim.entries[key[0]].incarnation == l.entryIncarnation {
			sim.entries[key[0]].inbox = append(sim.entries[key[0]].inbox, scheduler.AgentDisconnected{Session: scheduler.Session(session)})
		}
		if sim.agents[key[1]].incarnation == l.agentIncarnation && !l.oneWay {
			sim.agents[key[1]].inbox = append(sim.agents[key[1]].inbox, executor.SessionClosed{Session: executor.Session(session)})
		}
		l.session, l.toAgent, l.toEntry = 0, nil, nil
		l.reopenAt = sim.now + 10*tick
	}
}

// deliver passes on the messages that have arrived. A cut link holds messages
// back, a one-way cut only those to the entry.
func (sim *simulation) deliver() {
	for key, l := range sim.links.All() {
		cut := sim.now < l.cutUntil
		for len(l.toAgent) > 0 && l.toAgent[0].at <= sim.now && (!cut || l.oneWay) {
			sim.agents[key[1]].inbox = append(sim.agents[key[1]].inbox, executor.OrdersReceived{
				Session: executor.Session(l.session), Orders: l.toAgent[0].m.(*message.RunOrders),
			})
			l.toAgent = l.toAgent[1:]
		}
		for len(l.toEntry) > 0 && l.toEntry[0].at <= sim.now && !cut {
			sim.entries[key[0]].inbox = append(sim.entries[key[0]].inbox, scheduler.AgentReported{
				Session: scheduler.Session(l.session), Report: l.toEntry[0].m.(*message.RunReport),
			})
			l.toEntry = l.toEntry[1:]
		}
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

// check fails if two runs of one task overlap or an endpoint runs more than its
// capacity.
func (sim *simulation) check() {
	alive := map[string]string{}
	for _, a := range sim.agents {
		e := a.endpoint
		for _, r := range e.running.All() {
			task := fmt.Sprintf("%s.%d", r.ref.Job, r.ref.Task)
			if other := alive[task]; other != "" {
				sim.fail("%s runs at %s and at %s", task, other, a.name)
			}
			alive[task] = a.name
		}
		if used, capacity := e.used(), e.largestCapacity(0); used > capacity {
			sim.fail("%s runs %d of its %d thousandths of a core", a.name, used, capacity)
		}
	}
}

func (sim *simulation) recordStart(ref message.RunRef) {
	sim.starts++
	for _, c := range sim.clients {
		if c.job == ref.Job {
			c.started, c.lastStartAt = true, sim.now
		}
	}
}
