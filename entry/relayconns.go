package entry

import (
	"sync"

	"marjoramlug.example/marjoramlug/transport"
)

// relayConns assigns relay IDs to the connections on which other entries send
// callers' requests to this one. ID 0 (localRelay) is this entry itself.
type relayConns struct {
	mu     sync.Mutex
	next   uint64
	byID   map[uint64]transport.Conn
	byConn map[transport.Conn]uint64
}

func newRelayConns() *relayConns {
	return &relayConns{next: localRelay, byID: map[uint64]transport.Conn{}, byConn: map[transport.Conn]uint64{}}
}

func (r *relayConns) add(c transport.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	r.byID[r.next] = c
	r.byConn[c] = r.next
}

func (r *relayConns) remove(c transport.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, r.byConn[c])
	delete(r.byConn, c)
}

func (r *relayConns) conn(id uint64) (transport.Conn, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.byID[id]
	return c, ok
}

func (r *relayConns) id(c transport.Conn) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byConn[c]
}
