package node

import (
	"sync"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/transport"
)

// sessions assigns numbers to connections and looks them up by number.
type sessions struct {
	mu     sync.Mutex
	last   uint64
	byID   map[uint64]transport.Conn
	byConn map[transport.Conn]uint64
}

func newSessions() *sessions {
	return &sessions{byID: map[uint64]transport.Conn{}, byConn: map[transport.Conn]uint64{}}
}

func (s *sessions) add(c transport.Conn) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.byID[s.last] = c
	s.byConn[c] = s.last
	return s.last
}

// remove deletes a connection and returns its number, or 0 when it has none.
func (s *sessions) remove(c transport.Conn) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.byConn[c]
	delete(s.byConn, c)
	delete(s.byID, id)
	return id
}

func (s *sessions) id(c transport.Conn) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byConn[c]
}

// send queues a message. A connection that cannot queue it is closed: the peers
// synchronize their state when the next connection is open.
func (s *sessions) send(id uint64, m message.Message) {
	s.mu.Lock()
	c := s.byID[id]
	s.mu.Unlock()
	if c == nil {
		return
	}
	if err := c.Send(m); err != nil {
		go c.Close()
	}
}

func (s *sessions) close(id uint64) {
	s.mu.Lock()
	c := s.byID[id]
	s.mu.Unlock()
	if c != nil {
		go c.Close()
	}
}

func (s *sessions) all() []transport.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]transport.Conn, 0, len(s.byID))
	for _, c := range s.byID {
		list = append(list, c)
	}
	return list
}
