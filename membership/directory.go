// Package membership keeps what an entry knows of the agents that are
// connected to it: incarnations, services, liveness. It holds no clock and no
// connection; the daemon feeds it events and carries out its actions.
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

// Heard says that a message arrived on a session.
type Heard struct{ Session Session }

// Subscribed says that the agent uses this entry for configuration, holds the
// view of the given generation and, when Changed is set, serves Services.
type Subscribed struct {
	Session    Session
	Generation uint64
	Changed    bool
	Services   []string
}

// Disconnected ends a session.
type Disconnected struct{ Session Session }

// ViewChanged says that a newer view exists.
type ViewChanged struct{ Generation uint64 }

// Tick lets time pass.
type Tick struct{}

func (Connected) event()    {}
func (Heard) event()        {}
func (Subscribed) event()   {}
func (Disconnected) event() {}
func (ViewChanged) event()  {}
func (Tick) event()         {}

// Action is an output of the directory.
type Action interface{ action() }

// SendView asks for the newest view of the given services to be sent.
type SendView struct {
	Session  Session
	Services []string
}

// CloseSession asks for a session to be closed: its agent has been silent for
// too long or has connected anew.
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
	// Services is what the agent serves, as far as it has told this entry.
	Services []string

	lastReceived time.Time
	// subscribed is set once the agent has asked this entry for views, and sent
	// is the generation of the last one sent to it.
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

// NewDirectory returns a directory that gives up an agent after it has been
// silent for the given duration.
func NewDirectory(heartbeatTimeout time.Duration) *Directory {
	return &Directory{
		heartbeatTimeout: heartbeatTimeout,
		sessions:         map[Session]*Agent{},
		byName:           map[string]Session{},
	}
}

// Step applies one event.
func (d *Directory) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Connected:
		return d.connected(now, ev)
	case Heard:
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

// Get returns the agent of a session.
func (d *Directory) Get(s Session) (Agent, bool) {
	a, ok := d.sessions[s]
	if !ok {
		return Agent{}, false
	}
	return *a, true
}

// Len is the number of sessions.
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

// updateSubscription answers with a view when the agent's is older or concerns other
// services. An unchanged generation costs the heartbeat's few bytes alone.
func (d *Directory) updateSubscription(now time.Time, ev Subscribed) []Action {
	a, ok := d.sessions[ev.Session]
	if !ok {
		return nil
	}
	a.lastReceived = now
	first := !a.subscribed
	a.subscribed = true
	if ev.Changed {
		a.Services = slices.Clone(ev.Services)
	}
	if !first && !ev.Changed && max(ev.Generation, a.sentGeneration) >= d.generation {
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

// sorted returns the sessions in order, so that actions do not depend on the
// map's order.
func (d *Directory) sortedSessions() []Session {
	sessions := make([]Session, 0, len(d.sessions))
	for s := range d.sessions {
		sessions = append(sessions, s)
	}
	slices.Sort(sessions)
	return sessions
}
