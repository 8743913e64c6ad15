package emulator

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/pool/executor"
	"marjoramlug.example/marjoramlug/pool/scheduler"
	"marjoramlug.example/marjoramlug/pool/subset"
)

const (
	// service is the name of the only service.
	service = "service"
	// The timing of the pool's settings.
	lease            = time.Second
	heartbeatTimeout = 400 * time.Millisecond
	stopTime         = 50 * time.Millisecond
	resubmitDelay    = 1300 * time.Millisecond
	maxWaiting       = 5000
	// entryTick and agentTick are the intervals at which the nodes advance their
	// cores without other events.
	entryTick = 10 * time.Millisecond
	agentTick = 25 * time.Millisecond
	// eventBatch is the number of events that an entry processes in one step.
	eventBatch = 256
	// stepCost and eventCost are the processor time of a step of an entry and of each
	// event in it, on one core.
	stepCost  = 60 * time.Microsecond
	eventCost = 60 * time.Microsecond
	// maxReconnectDelay is the longest time that an agent takes to connect to an
	// entry.
	maxReconnectDelay = 200 * time.Millisecond
	// surplusInterval is the interval at which agents look for sessions with entries
	// that they don't have to serve.
	surplusInterval = time.Second
)

// entryNode is an entry: its core and the events that wait for its processor.
type entryNode struct {
	sim    *simulation
	name   string
	cores  float64
	weight float64
	core   *scheduler.Core
	// life numbers the incarnations of the process; alive is false between two.
	life  uint64
	alive bool
	inbox []scheduler.Event
	// planned is set while a step is planned; busyUntil is the end of the last one.
	planned   bool
	busyUntil time.Duration
	busy      time.Duration
}

func (n *entryNode) boot() {
	n.life++
	n.alive, n.inbox, n.planned = true, nil, false
	n.core = scheduler.New(scheduler.Options{
		HeartbeatTimeout: heartbeatTimeout, Lease: lease, StopTime: stopTime, ResubmitDelay: resubmitDelay, MaxWaiting: maxWaiting,
	})
}

func (n *entryNode) deliver(ev scheduler.Event) {
	if !n.alive {
		return
	}
	n.inbox = append(n.inbox, ev)
	n.plan()
}

func (n *entryNode) plan() {
	if n.planned || len(n.inbox) == 0 {
		return
	}
	n.planned = true
	life := n.life
	n.sim.clock.at(n.busyUntil, func() {
		if n.life == life && n.alive {
			n.step()
		}
	})
}

// step processes the events that wait. What it decides leaves when the processor has
// done the work.
func (n *entryNode) step() {
	n.planned = false
	batch := n.inbox[:min(len(n.inbox), eventBatch)]
	n.inbox = n.inbox[len(batch):]
	took := time.Duration(float64(stepCost+time.Duration(len(batch))*eventCost) / n.cores)
	n.busyUntil = n.sim.clock.now + took
	n.busy += took
	life := n.life
	for _, action := range n.core.Step(n.sim.clock.now, batch...) {
		n.sim.clock.at(n.busyUntil, func() {
			if n.life == life && n.alive {
				n.perform(action)
			}
		})
	}
	n.plan()
}

func (n *entryNode) perform(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.SendOrders:
		n.sim.result.Messages++
		n.sim.links[uint64(action.Session)].toAgent(executor.OrdersReceived{
			Session: executor.Session(action.Session), Orders: action.Orders,
		})
	case scheduler.Disconnect:
		n.sim.links[uint64(action.Session)].close()
	case scheduler.Answer:
		n.sim.answered(action)
	}
}

// kill ends the process; the connections of its callers break.
func (n *entryNode) kill(down time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	n.life++
	n.sim.entryDied(n)
	n.sim.clock.after(down, func() {
		n.boot()
		n.sim.reconnect()
	})
}

// agentNode is an agent and its endpoint.
type agentNode struct {
	sim      *simulation
	name     string
	core     *executor.Core
	endpoint *endpoint
	life     uint64
	alive    bool
	// preference lists the entries in the order in which the agent works for them.
	preference []*entryNode
	sessions   map[*entryNode]*link
	connecting map[*entryNode]bool
}

func (a *agentNode) boot() {
	a.life++
	a.alive = true
	a.sessions, a.connecting = map[*entryNode]*link{}, map[*entryNode]bool{}
	a.core = executor.New(executor.Options{
		Lease: lease, HeartbeatTimeout: heartbeatTimeout, FirstFence: a.sim.clock.now.Milliseconds() + 1,
	})
	a.endpoint.announce()
}

func (a *agentNode) kill(down time.Duration) {
	if !a.alive {
		return
	}
	a.alive = false
	a.life++
	for _, l := range a.sessions {
		l.dead = true
	}
	a.sim.clock.after(down, func() {
		a.boot()
		a.sim.reconnect()
	})
}

func (a *agentNode) deliver(ev executor.Event) {
	if !a.alive {
		return
	}
	for _, action := range a.core.Step(a.sim.clock.now, ev) {
		a.perform(action)
	}
}

func (a *agentNode) perform(action executor.Action) {
	e := a.endpoint
	switch c := action.(type) {
	case executor.StartCall:
		e.call(c.Timeout, func() executor.Event { return e.start(c) },
			executor.StartAnswered{Call: c.Call, Run: c.Run, Result: executor.StartNoAnswer})
	case executor.StopCall:
		e.call(c.Timeout, func() executor.Event { return e.stop(c) }, executor.StopAnswered{Call: c.Call, Run: c.Run})
	case executor.PollCall:
		e.poll(c)
	case executor.SendReport:
		a.sim.result.Messages++
		a.sim.links[uint64(c.Session)].toEntry(scheduler.AgentReported{Session: scheduler.Session(c.Session), Report: c.Report})
	case executor.CloseSession:
		a.sim.links[uint64(c.Session)].close()
	}
}

// wanted returns the entries that the agent works for: the first reachable ones of
// its preference.
func (a *agentNode) wanted() []*entryNode {
	limit := subset.Limit(len(a.preference), a.sim.experiment.Fleet.Fanout)
	var list []*entryNode
	for _, n := range a.preference {
		if n.alive && (limit == 0 || len(list) < limit) {
			list = append(list, n)
		}
	}
	return list
}

// link is a session between an entry and an agent. Messages arrive in the order in
// which they were sent.
type link struct {
	sim                  *simulation
	id                   uint64
	entry                *entryNode
	agent                *agentNode
	entryLife, agentLife uint64
	// dead is set when one end has died or closed the session.
	dead                       bool
	agentArrival, entryArrival time.Duration
}

func (l *link) usable() bool {
	return !l.dead && l.entry.alive && l.agent.alive && l.entry.life == l.entryLife && l.agent.life == l.agentLife
}

func (l *link) toAgent(ev executor.Event) {
	l.agentArrival = max(l.agentArrival, l.sim.clock.now+l.sim.delay())
	l.sim.clock.at(l.agentArrival, func() {
		if l.usable() {
			l.agent.deliver(ev)
		}
	})
}

func (l *link) toEntry(ev scheduler.Event) {
	l.entryArrival = max(l.entryArrival, l.sim.clock.now+l.sim.delay())
	l.sim.clock.at(l.entryArrival, func() {
		if l.usable() {
			l.entry.deliver(ev)
		}
	})
}

// close ends the session at both ends that still have it.
func (l *link) close() {
	if l.dead {
		return
	}
	l.dead = true
	if l.agent.life == l.agentLife {
		delete(l.agent.sessions, l.entry)
		l.agent.deliver(executor.SessionClosed{Session: executor.Session(l.id)})
	}
	if l.entry.life == l.entryLife {
		l.entry.deliver(scheduler.AgentDisconnected{Session: scheduler.Session(l.id)})
	}
	l.sim.reconnect()
}

// reconnect opens the sessions that agents want and don't have.
func (s *simulation) reconnect() {
	for _, a := range s.agents {
		if !a.alive {
			continue
		}
		for _, n := range a.wanted() {
			if l := a.sessions[n]; l != nil && l.usable() || a.connecting[n] {
				continue
			}
			s.connect(a, n)
		}
	}
}

func (s *simulation) connect(a *agentNode, n *entryNode) {
	a.connecting[n] = true
	life := a.life
	s.clock.after(time.Duration(s.random.Float64()*float64(maxReconnectDelay)), func() {
		if a.life != life {
			return
		}
		delete(a.connecting, n)
		if !n.alive {
			return
		}
		s.sessions++
		l := &link{sim: s, id: s.sessions, entry: n, agent: a, entryLife: n.life, agentLife: a.life}
		s.links[l.id] = l
		a.sessions[n] = l
		n.deliver(scheduler.AgentConnected{Session: scheduler.Session(l.id), Agent: a.name, Incarnation: a.life})
		a.deliver(executor.SessionOpened{Session: executor.Session(l.id), Entry: n.name, Incarnation: n.life})
	})
}

// releaseSurplus tells agents of sessions with entries that they don't have to serve.
func (s *simulation) releaseSurplus() {
	for _, a := range s.agents {
		if !a.alive {
			continue
		}
		wanted := map[*entryNode]bool{}
		for _, n := range a.wanted() {
			wanted[n] = true
		}
		for _, n := range a.preference {
			if l := a.sessions[n]; l != nil && l.usable() && !wanted[n] {
				a.deliver(executor.SessionSurplus{Session: executor.Session(l.id)})
			}
		}
	}
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }
