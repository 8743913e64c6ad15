package entry

import (
	"errors"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/membership"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/transport"
)

// agentSession is one agent's connection.
type agentSession struct {
	id   dispatch.Session
	conn transport.Conn
	// lastSequenceAt maps each announced service to the time when its core last
	// received a sequence number.
	lastSequenceAt map[string]time.Time
}

// sessions holds the agents' connections and routes what they send to the
// loops of their services.
type sessions struct {
	entry *Entry

	mu        sync.Mutex
	next      dispatch.Session
	directory *membership.Directory
	byID      map[dispatch.Session]*agentSession
	byConn    map[transport.Conn]*agentSession
	// serving counts the sessions by service and agent name.
	serving map[servedService]int
}

// servedService identifies a service and an agent that serves it.
type servedService struct{ service, agent string }

func newSessions(e *Entry, agentTimeout time.Duration) *sessions {
	return &sessions{
		entry:     e,
		directory: membership.NewDirectory(agentTimeout),
		byID:      map[dispatch.Session]*agentSession{},
		byConn:    map[transport.Conn]*agentSession{},
		serving:   map[servedService]int{},
	}
}

func (s *sessions) connected(c transport.Conn) {
	s.mu.Lock()
	s.next++
	session := &agentSession{id: s.next, conn: c, lastSequenceAt: map[string]time.Time{}}
	s.byID[session.id] = session
	s.byConn[c] = session
	peer := c.Peer()
	actions := s.directory.Step(time.Now(), membership.Connected{
		Session:     membership.Session(session.id),
		Agent:       peer.Name,
		Incarnation: peer.Incarnation,
		Zone:        peer.Zone,
	})
	s.mu.Unlock()
	s.perform(actions)
}

func (s *sessions) disconnected(c transport.Conn) {
	s.mu.Lock()
	session, ok := s.byConn[c]
	if !ok {
		s.mu.Unlock()
		return
	}
	delete(s.byConn, c)
	delete(s.byID, session.id)
	s.directory.Step(time.Now(), membership.Disconnected{Session: membership.Session(session.id)})
	for service := range session.lastSequenceAt {
		s.addServing(service, c.Peer().Name, -1)
	}
	s.mu.Unlock()
	for service := range session.lastSequenceAt {
		s.entry.loop(service).post(dispatch.AgentDisconnected{Session: session.id})
	}
}

// received handles a message from an agent. Calls for one connection come one
// at a time, so lastSequenceAt needs no lock of its own.
func (s *sessions) received(c transport.Conn, m message.Message) {
	s.mu.Lock()
	session, ok := s.byConn[c]
	if ok {
		s.directory.Step(time.Now(), membership.MessageReceived{Session: membership.Session(session.id)})
	}
	s.mu.Unlock()
	if !ok {
		return
	}
	switch m := m.(type) {
	case *message.Heartbeat:
		s.handleHeartbeat(session, m)
	case *message.Announce:
		s.handleAnnounce(session, m)
	default:
		s.forward(session, m)
	}
}

func (s *sessions) handleHeartbeat(session *agentSession, m *message.Heartbeat) {
	now := time.Now()
	for service := range session.lastSequenceAt {
		session.lastSequenceAt[service] = now
		s.entry.loop(service).post(dispatch.AgentMessage{Session: session.id, Message: m})
	}
	if !m.RequestView {
		return
	}
	s.mu.Lock()
	actions := s.directory.Step(time.Now(), membership.Subscribed{
		Session:         membership.Session(session.id),
		Generation:      m.Generation,
		ServicesChanged: m.Services != nil,
		Services:        m.Services,
	})
	s.mu.Unlock()
	s.perform(actions)
}

func (s *sessions) handleAnnounce(session *agentSession, m *message.Announce) {
	loop := s.entry.loop(m.Service)
	if _, ok := session.lastSequenceAt[m.Service]; !ok {
		session.lastSequenceAt[m.Service] = time.Now()
		peer := session.conn.Peer()
		s.mu.Lock()
		s.addServing(m.Service, peer.Name, 1)
		s.mu.Unlock()
		loop.post(dispatch.AgentConnected{
			Session:     session.id,
			Agent:       peer.Name,
			Incarnation: peer.Incarnation,
			Zone:        peer.Zone,
		})
		// AgentConnected is posted before the registration is requested, so that
		// the core does not miss a registration that is read from the log
		// concurrently.
		if s.entry.replica.RegisterAgent(m.Service, peer.Name) {
			loop.post(dispatch.AgentRegistered{Agent: peer.Name})
		}
	}
	loop.post(dispatch.AgentMessage{Session: session.id, Message: m})
}

func (s *sessions) forward(session *agentSession, m message.Message) {
	service, sequence := serviceAndSequence(m)
	if _, ok := session.lastSequenceAt[service]; !ok {
		s.entry.metrics.Add("agent.message.unexpected", 1)
		return
	}
	s.entry.loop(service).post(dispatch.AgentMessage{Session: session.id, Message: m})
	if sequence > 0 {
		s.shareSequence(session, service, sequence)
	}
}

// sequenceShareInterval is the time without a sequence number on a session after
// which a core is sent the next one that arrives there for another service. It must
// be well below the agents' accept window, because agents refuse starts that name an
// older number.
const sequenceShareInterval = 250 * time.Millisecond

// shareSequence forwards a sequence number to the cores of the session's other
// services as a heartbeat: an agent sends no heartbeats while it sends other
// messages with sequence numbers, whatever their service.
func (s *sessions) shareSequence(session *agentSession, service string, sequence message.Sequence) {
	now := time.Now()
	session.lastSequenceAt[service] = now
	for other, last := range session.lastSequenceAt {
		if now.Sub(last) < sequenceShareInterval {
			continue
		}
		session.lastSequenceAt[other] = now
		heartbeat := &message.Heartbeat{Sequence: sequence}
		s.entry.loop(other).post(dispatch.AgentMessage{Session: session.id, Message: heartbeat})
	}
}

// serviceAndSequence returns the service that an agent's message concerns, and its
// sequence number, or 0 if it carries none.
func serviceAndSequence(m message.Message) (string, message.Sequence) {
	switch m := m.(type) {
	case *message.Credits:
		return m.Service, m.Sequence
	case *message.Withdraw:
		return m.Service, m.Sequence
	case *message.Result:
		return m.Service, m.Sequence
	case *message.Journal:
		return m.Service, 0
	case *message.InquiryReply:
		return m.Service, 0
	}
	return "", 0
}

// send sends a message to an agent. It returns false when the message is a start
// and the send queue is full; the session stays open, so that the queued messages
// are not lost. Any other failure closes the session and returns true: the cores
// are notified by the disconnect that follows.
func (s *sessions) send(id dispatch.Session, m message.Message) bool {
	s.mu.Lock()
	session, ok := s.byID[id]
	s.mu.Unlock()
	if !ok {
		return true
	}
	err := s.entry.send(session.conn, m)
	if errors.Is(err, transport.ErrFull) && m.Kind() == message.KindStart {
		s.entry.metrics.Add("agent.start.queue_full", 1)
		return false
	}
	if err != nil {
		s.entry.metrics.Add("agent.send.failed", 1)
		session.conn.Close()
	}
	return true
}

func (s *sessions) viewChanged(generation uint64) {
	s.mu.Lock()
	actions := s.directory.Step(time.Now(), membership.ViewChanged{Generation: generation})
	s.mu.Unlock()
	s.perform(actions)
}

func (s *sessions) tick() {
	s.mu.Lock()
	actions := s.directory.Step(time.Now(), membership.Tick{})
	s.mu.Unlock()
	s.perform(actions)
}

// agentCount returns the number of connected agents.
func (s *sessions) agentCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Len()
}

// addServing adds n to the number of sessions on which an agent serves a service.
// The caller holds s.mu.
func (s *sessions) addServing(service, agent string, n int) {
	key := servedService{service, agent}
	s.serving[key] += n
	if s.serving[key] == 0 {
		delete(s.serving, key)
	}
}

// serves reports whether the named agent is connected and serves the service.
func (s *sessions) serves(service, agent string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving[servedService{service, agent}] > 0
}

func (s *sessions) perform(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.SendView:
			s.sendView(dispatch.Session(action.Session), action.Services)
		case membership.CloseSession:
			s.close(dispatch.Session(action.Session))
		}
	}
}

func (s *sessions) sendView(id dispatch.Session, services []string) {
	s.mu.Lock()
	session, ok := s.byID[id]
	s.mu.Unlock()
	if ok {
		s.send(id, s.entry.view(services, session.conn.Peer().Zone))
	}
}

func (s *sessions) close(id dispatch.Session) {
	s.mu.Lock()
	session, ok := s.byID[id]
	s.mu.Unlock()
	if ok {
		session.conn.Close()
	}
}
