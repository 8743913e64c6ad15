package core

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// session is one connection to an entry. Its credits and sequence numbers become
// invalid when it ends.
type session struct {
	id SessionID
	// address is the dialed address; the peer may advertise another.
	address string
	peer    message.Hello

	sequences      sequenceWindow
	lastSequenceAt time.Time

	// credits maps the live credits to their endpoints.
	credits map[message.CreditID]EndpointKey
	// ownerStates maps each service whose endpoints were announced to the peer to the
	// peer's state as an owner of that service.
	ownerStates map[string]*ownerState

	// lastViewRequest is when the last heartbeat that requests a view was sent.
	lastViewRequest time.Time
	// servicesSent reports whether the peer has the current set of services.
	servicesSent bool
	// unneededSince is when the session was first found not to be needed; zero
	// while it is needed.
	unneededSince time.Time
}

// ownerState is what the agent knows of an owner of one service: its demand and the
// number of its credits.
type ownerState struct {
	// queued is the number of waiting tasks that the owner last reported, urgent
	// the number of those that are urgent, and callers the number of callers among
	// which the owner divides its starts.
	queued, urgent, callers int
	// tag is the owner's virtual time: of the owners with demand of equal urgency,
	// the one with the smallest tag gets the next credit. Each credit advances it by
	// 1/callers.
	tag         float64
	liveCredits int
	// announced is the version of the service's endpoints that was last announced
	// to the owner.
	announced uint64
	lastStart time.Time
}

func newSession(e SessionOpened) *session {
	return &session{
		id:          e.Session,
		address:     e.Address,
		peer:        e.Peer,
		credits:     map[message.CreditID]EndpointKey{},
		ownerStates: map[string]*ownerState{},
		// The first sequence number is 1, so that 0 means none.
		sequences: sequenceWindow{first: 1},
	}
}

// reaches reports whether the session's peer is the entry at an address.
func (s *session) reaches(address string) bool {
	return s.address == address || (s.peer.Address != "" && s.peer.Address == address)
}

// nextSequence returns the sequence number of a message that is about to be sent.
func (c *Core) nextSequence(now time.Time, s *session) message.Sequence {
	s.lastSequenceAt = now
	return s.sequences.next(now, c.opts.AcceptWindow)
}

// handleSessionOpened adds a session. An older one to the same entry is closed
// first, so that a start in its buffers can't be accepted later.
func (c *Core) handleSessionOpened(now time.Time, e SessionOpened) {
	for _, old := range c.sessions {
		if old.peer.Name == e.Peer.Name {
			c.emit(Disconnect{old.id})
			c.handleSessionClosed(now, old.id)
			break
		}
	}
	c.count(SessionOpenedCount)
	s := newSession(e)
	c.sessions = append(c.sessions, s)
	c.addresses.opened(now, e.Address, e.Peer)
	c.reconcile(now)
}

func (c *Core) handleSessionClosed(now time.Time, id SessionID) {
	for i, s := range c.sessions {
		if s.id != id {
			continue
		}
		c.sessions = append(c.sessions[:i], c.sessions[i+1:]...)
		c.voidCredits(s)
		c.count(SessionClosedCount)
		c.addresses.closed(now, s.address)
		c.reconcile(now)
		return
	}
}

// voidCredits removes the credits of a session and frees their slots.
func (c *Core) voidCredits(s *session) {
	for id := range s.credits {
		c.removeCredit(s, id)
		c.count(CreditVoid)
	}
}

// removeCredit removes a live credit and frees its slot. It returns the endpoint of
// the credit and whether the credit was live.
func (c *Core) removeCredit(s *session, id message.CreditID) (EndpointKey, bool) {
	key, ok := s.credits[id]
	if !ok {
		return key, false
	}
	delete(s.credits, id)
	if o := s.ownerStates[key.Service]; o != nil {
		o.liveCredits--
	}
	if ep := c.endpoint(key); ep != nil {
		ep.liveCredits--
	}
	return key, true
}

func (c *Core) session(id SessionID) *session {
	for _, s := range c.sessions {
		if s.id == id {
			return s
		}
	}
	return nil
}

// sessionWith returns the open session to an incarnation of an entry, which may
// have reconnected, or nil.
func (c *Core) sessionWith(p entryIncarnation) *session {
	for _, s := range c.sessions {
		if s.peer.Name == p.name && s.peer.Incarnation == p.incarnation {
			return s
		}
	}
	return nil
}
