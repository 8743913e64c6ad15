// Package membership tracks the agents that are connected to an entry: their
// incarnations, services and liveness. It reads no clock and does no I/O; the
// daemon passes it events and carries out the actions that it returns.
package membership

import (
	"slices"
	"time"
)

// Session identifies one connection to an agent. The daemon never reuses a
// number.
type Session uint64

// Event is an input of the directory.
type Event interface{ event() }

// Connected begins a session.
type Connected struct {
	Session     Session
	Agent       string
	Incarnation uint64
	Zone        string
}

// MessageReceived reports that a message was received on a session.
type MessageReceived struct{ Session Session }

// Subscribed reports that the agent uses this entry as its source of
// configuration and holds the view of the given generation. It arrives with each
// heartbeat of such an agent. When ServicesChanged is set, Services lists the
// services that the agent serves.
type Subscribed struct {
	Session         Session
	Generation      uint64
	ServicesChanged bool
	Services        []string
}

// Disconnected ends a session.
type Disconnected struct{ Session Session }

// ViewChanged reports that views are now of the given generation.
type ViewChanged struct{ Generation uint64 }

// Tick reports that time has passed.
type Tick struct{}

func (Connected) event()       {}
func (MessageReceived) event() {}
func (Subscribed) event()      {}
func (Disconnected) event()    {}
func (ViewChanged) event()     {}
func (Tick) event()            {}

// Action is an output of the directory.
type Action interface{ action() }

// SendView requests that the newest view of the given services be sent.
type SendView struct {
	Session  Session
	Services []string
}

// CloseSession requests that a session be closed, because its agent is
// unresponsive or has opened a newer session.
type CloseSession struct {
	Session Session
	// Replaced is set when the same agent has a newer session.
	Replaced bool
}

func (SendView) action()     {}
func (CloseSession) action() {}

// Agent is a connected agent.
type Agent struct {
	Session     Session
	Name        string
	Incarnation uint64
	Zone        string
	// Services lists the services that the agent serves, as it last reported them
	// to this entry.
	Services []string

	// lastReceived is when the last message was received.
	lastReceived time.Time
	// subscribed is set once the agent has requested views from this entry.
	// sentGeneration is the generation of the last view sent to it.
	subscribed     bool
	sentGeneration uint64
}

// Directory holds the agents of one entry.
//
// Invariant: byName holds exactly one session per agent name, the newest.
type Directory struct {
	heartbeatTimeout time.Duration
	generation       uint64
	sessions         map[Session]*Agent
	byName           map[string]Session
}

// NewDirectory returns a directory that closes the session of an agent from which
// no message was received for the heartbeat timeout.
func NewDirectory(heartbeatTimeout time.Duration) *Directory {
	return &Directory{
		heartbeatTimeout: heartbeatTimeout,
		sessions:         map[Session]*Agent{},
		byName:           map[string]Session{},
	}
}

// Step applies an event and returns the actions to carry out.
func (d *Directory) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Connected:
		return d.connected(now, ev)
	case MessageReceived:
		d.messageReceived(now, ev.Session)
	case Subscribed:
		return d.updateSubscription(now, ev)
	case Disconnected:
		d.removeSession(ev.Session)
	case ViewChanged:
		return d.viewChanged(ev.Generation)
	case Tick:
		return d.closeUnresponsive(now)
	}
	return nil
}

// Get returns the agent of a session, and whether the session exists.
func (d *Directory) Get(s Session) (Agent, bool) {
	a, ok := d.sessions[s]
	if !ok {
		return Agent{}, false
	}
	return *a, true
}

// Len returns the number of sessions.
func (d *Directory) Len() int { return len(d.sessions) }

func (d *Directory) connected(now time.Time, ev Connected) []Action {
	var actions []Action
	if old, ok := d.byName[ev.Agent]; ok {
		actions = append(actions, CloseSession{Session: old, Replaced: true})
		d.removeSession(old)
	}
	d.sessions[ev.Session] = &Agent{
		Session:      ev.Session,
		Name:         ev.Agent,
		Incarnation:  ev.Incarnation,
		Zone:         ev.Zone,
		lastReceived: now,
	}
	d.byName[ev.Agent] = ev.Session
	return actions
}

func (d *Directory) messageReceived(now time.Time, s Session) {
	if a, ok := d.sessions[s]; ok {
		a.lastReceived = now
	}
}

// updateSubscription sends a view if it is the first subscription, if the services
// have changed, or if the newest view that the agent holds or was sent is of an
// older generation. Otherwise nothing is sent: while the generation is unchanged,
// the few bytes of the heartbeats are the only traffic.
func (d *Directory) updateSubscription(now time.Time, ev Subscribed) []Action {
	a, ok := d.sessions[ev.Session]
	if !ok {
		return nil
	}
	a.lastReceived = now
	first := !a.subscribed
	a.subscribed = true
	if ev.ServicesChanged {
		a.Services = slices.Clone(ev.Services)
	}
	if !first && !ev.ServicesChanged && max(ev.Generation, a.sentGeneration) >= d.generation {
		return nil
	}
	a.sentGeneration = d.generation
	return []Action{SendView{Session: a.Session, Services: a.Services}}
}

func (d *Directory) viewChanged(generation uint64) []Action {
	d.generation = max(d.generation, generation)
	var actions []Action
	for _, s := range d.sortedSessions() {
		a := d.sessions[s]
		if !a.subscribed || a.sentGeneration >= d.generation {
			continue
		}
		a.sentGeneration = d.generation
		actions = append(actions, SendView{Session: s, Services: a.Services})
	}
	return actions
}

func (d *Directory) closeUnresponsive(now time.Time) []Action {
	var actions []Action
	for _, s := range d.sortedSessions() {
		if now.Sub(d.sessions[s].lastReceived) >= d.heartbeatTimeout {
			actions = append(actions, CloseSession{Session: s})
			d.removeSession(s)
		}
	}
	return actions
}

func (d *Directory) removeSession(s Session) {
	a, ok := d.sessions[s]
	if !ok {
		return
	}
	delete(d.sessions, s)
	if d.byName[a.Name] == s {
		delete(d.byName, a.Name)
	}
}

// sortedSessions returns the sessions in ascending order, so that the order of
// actions does not depend on the map's iteration order.
func (d *Directory) sortedSessions() []Session {
	sessions := make([]Session, 0, len(d.sessions))
	for s := range d.sessions {
		sessions = append(sessions, s)
	}
	slices.Sort(sessions)
	return sessions
}
