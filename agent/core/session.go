package core

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// session is one connection to an entry. Its credits and stamps end with it.
type session struct {
	id SessionID
	// address is the one that was dialed; the peer may advertise another.
	address string
	peer    message.Hello

	sequences      sequenceWindow
	lastSequenceAt time.Time

	// credits holds the live credits and the endpoints that they name.
	credits map[message.CreditID]EndpointKey
	// shares holds the services whose endpoints were announced to the peer.
	shares map[string]*share

	// lastConfigurationHeartbeat is when the last heartbeat to the configuration entry left.
	lastConfigurationHeartbeat time.Time
	// servicesSent tells whether the peer knows the present set of services.
	servicesSent bool
	// unneededSince is when the session was last found to have no duty.
	unneededSince time.Time
}

// share is what an owner holds and needs of one service.
type share struct {
	// queued is the number of waiting tasks that the owner last told, urgent the
	// number of those that are urgent, and callers the number of callers among
	// which the owner shares its starts.
	queued, urgent, callers int
	// tag is the virtual time at which the owner may get its next credit. Each
	// credit moves it on by the inverse of callers.
	tag float64
	// outstanding counts the owner's live credits.
	outstanding int
	// announced is the version of the service's endpoints that the owner knows.
	announced uint64
	lastStart time.Time
}

func newSession(e SessionOpened) *session {
	return &session{
		id:      e.Session,
		address: e.Address,
		peer:    e.Peer,
		credits: map[message.CreditID]EndpointKey{},
		shares:  map[string]*share{},
		// The first stamp is 1, so that 0 names none.
		sequences: sequenceWindow{first: 1},
	}
}

// reaches reports whether the session's peer is the entry at an address.
func (s *session) reaches(address string) bool {
	return s.address == address || (s.peer.Address != "" && s.peer.Address == address)
}

// nextSequence returns the stamp of a message that is about to leave.
func (c *Core) nextSequence(now time.Time, s *session) message.Stamp {
	s.lastSequenceAt = now
	return s.sequences.next(now, c.opts.AcceptWindow)
}

// handleSessionOpened takes a new session. An older one to the same entry ends
// first, so that a start that waits in its buffers can't be accepted later.
func (c *Core) handleSessionOpened(now time.Time, e SessionOpened) {
	for _, old := range c.sessions {
		if old.peer.Name == e.Peer.Name {
			c.emit(Disconnect{old.id})
			c.handleSessionClosed(now, old.id)
			break
		}
	}
	c.count(SessionCount)
	s := newSession(e)
	c.sessions = append(c.sessions, s)
	c.peers.opened(now, e.Address, e.Peer)
	c.reconcile(now)
}

func (c *Core) handleSessionClosed(now time.Time, id SessionID) {
	for i, s := range c.sessions {
		if s.id != id {
			continue
		}
		c.sessions = append(c.sessions[:i], c.sessions[i+1:]...)
		c.voidCredits(s)
		c.count(SessionLost)
		c.peers.closed(now, s.address)
		c.reconcile(now)
		return
	}
}

// voidCredits returns the slots of a session's credits to their endpoints.
func (c *Core) voidCredits(s *session) {
	for id := range s.credits {
		c.removeCredit(s, id)
		c.count(CreditVoid)
	}
}

// removeCredit ends a live credit and frees its slot.
func (c *Core) removeCredit(s *session, id message.CreditID) (EndpointKey, bool) {
	key, ok := s.credits[id]
	if !ok {
		return key, false
	}
	delete(s.credits, id)
	if sh := s.shares[key.Service]; sh != nil {
		sh.outstanding--
	}
	if ep := c.endpoint(key); ep != nil {
		ep.outstanding--
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

// sessionWith returns the session to a process that may have reconnected.
func (c *Core) sessionWith(p process) *session {
	for _, s := range c.sessions {
		if s.peer.Name == p.name && s.peer.Incarnation == p.incarnation {
			return s
		}
	}
	return nil
}
