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
	// announced holds, per announced service, when its core last got a stamp.
	announced map[string]time.Time
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
	// serving counts the sessions by service and agent's name.
	serving map[servedService]int
}

// servedService names an agent that serves a service.
type servedService struct{ service, agent string }

func newSessions(e *Entry, silence time.Duration) *sessions {
	return &sessions{
		entry:     e,
		directory: membership.NewDirectory(silence),
		byID:      map[dispatch.Session]*agentSession{},
		byConn:    map[transport.Conn]*agentSession{},
		serving:   map[servedService]int{},
	}
}

func (s *sessions) connected(c transport.Conn) {
	s.mu.Lock()
	s.next++
	session := &agentSession{id: s.next, conn: c, announced: map[string]time.Time{}}
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
	for service := range session.announced {
		s.count(service, c.Peer().Name, -1)
	}
	s.mu.Unlock()
	for service := range session.announced {
		s.entry.loop(service).post(dispatch.AgentDisconnected{Session: session.id})
	}
}

// received handles a message from an agent. Calls for one connection come one
// at a time, so announced needs no lock of its own.
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
		s.heartbeat(session, m)
	case *message.Announce:
		s.announce(session, m)
	default:
		s.forward(session, m)
	}
}

func (s *sessions) heartbeat(session *agentSession, m *message.Heartbeat) {
	now := time.Now()
	for service := range session.announced {
		session.announced[service] = now
		s.entry.loop(service).post(dispatch.AgentMessage{Session: session.id, Message: m})
	}
	if !m.Configuration {
		return
	}
	s.mu.Lock()
	actions := s.directory.Step(time.Now(), membership.Subscribed{
		Session:    membership.Session(session.id),
		Generation: m.Generation,
		Changed:    m.Services != nil,
		Services:   m.Services,
	})
	s.mu.Unlock()
	s.perform(actions)
}

func (s *sessions) announce(session *agentSession, m *message.Announce) {
	loop := s.entry.loop(m.Service)
	if _, ok := session.announced[m.Service]; !ok {
		session.announced[m.Service] = time.Now()
		peer := session.conn.Peer()
		s.mu.Lock()
		s.count(m.Service, peer.Name, 1)
		s.mu.Unlock()
		loop.post(dispatch.AgentConnected{
			Session:     session.id,
			Agent:       peer.Name,
			Incarnation: peer.Incarnation,
			Zone:        peer.Zone,
		})
		// The core knows the session by now, so that it does not miss a
		// registration that is read from the log at this moment.
		if s.entry.replica.RegisterAgent(m.Service, peer.Name) {
			loop.post(dispatch.AgentRegistered{Agent: peer.Name})
		}
	}
	loop.post(dispatch.AgentMessage{Session: session.id, Message: m})
}

func (s *sessions) forward(session *agentSession, m message.Message) {
	service, stamp := serviceOf(m)
	if _, ok := session.announced[service]; !ok {
		s.entry.metrics.Add("agent.message.unexpected", 1)
		return
	}
	s.entry.loop(service).post(dispatch.AgentMessage{Session: session.id, Message: m})
	if stamp > 0 {
		s.shareStamp(session, service, stamp)
	}
}

// stampInterval is how often the cores of a session's other services get the
// stamps of a busy one. It must be well below the agents' acceptance window.
const stampInterval = 250 * time.Millisecond

// shareStamp passes a stamp on to the session's other services: an agent sends
// no heartbeats while other stamped messages leave, whatever their service.
func (s *sessions) shareStamp(session *agentSession, service string, stamp message.Sequence) {
	now := time.Now()
	session.announced[service] = now
	for other, last := range session.announced {
		if now.Sub(last) < stampInterval {
			continue
		}
		session.announced[other] = now
		beat := &message.Heartbeat{Sequence: stamp}
		s.entry.loop(other).post(dispatch.AgentMessage{Session: session.id, Message: beat})
	}
}

// serviceOf returns the service that an agent's message concerns, and its stamp
// if it carries one.
func serviceOf(m message.Message) (string, message.Sequence) {
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

// send sends a message to an agent. It returns false when a start has found the
// queue full; the other messages in it are not lost for that. Any other failure
// needs no answer: the end of the session, which always follows, tells the cores.
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

// size is the number of connected agents.
func (s *sessions) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Len()
}

// count adds to the sessions of an agent that serve a service; s.mu is held.
func (s *sessions) count(service, agent string, n int) {
	key := servedService{service, agent}
	s.serving[key] += n
	if s.serving[key] == 0 {
		delete(s.serving, key)
	}
}

// serves reports whether an agent that serves a service is connected.
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
