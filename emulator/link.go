package emulator

import (
	"time"

	"marjoramlug.example/marjoramlug/pool/executor"
	"marjoramlug.example/marjoramlug/pool/scheduler"
)

const (
	// maxReconnectDelay is the longest time that an agent takes to connect to an
	// entry.
	maxReconnectDelay = 200 * time.Millisecond
	// surplusInterval is the interval at which agents look for sessions with entries
	// that they don't have to serve.
	surplusInterval = time.Second
)

// link is a session between an entry and an agent. Messages arrive in the order in
// which they were sent.
type link struct {
	sim                  *simulation
	id                   uint64
	entry                *entryNode
	agent                *agentNode
	entryLife, agentLife uint64
	// dead is set when one end has died or closed the session.
	dead bool
	// agentArrival and entryArrival are the arrivals of the last messages.
	agentArrival, entryArrival time.Duration
}

func (l *link) usable() bool {
	return !l.dead && l.entry.alive && l.agent.alive && l.entry.life == l.entryLife && l.agent.life == l.agentLife
}

func (l *link) toAgent(ev executor.Event) {
	l.send(&l.agentArrival, func() { l.agent.deliver(ev) })
}

func (l *link) toEntry(ev scheduler.Event) {
	l.send(&l.entryArrival, func() { l.entry.deliver(ev) })
}

// send delivers a message after the network's delay, and not before the last one in
// the same direction.
func (l *link) send(arrival *time.Duration, deliver func()) {
	*arrival = max(*arrival, l.sim.clock.now+l.sim.delay())
	l.sim.clock.at(*arrival, func() {
		if l.usable() {
			deliver()
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
