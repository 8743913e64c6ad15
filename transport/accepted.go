package transport

import (
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/intake"
	"marjoramlug.example/marjoramlug/message"
)

// acceptedConns tracks the open connections that a listener has accepted.
type acceptedConns struct {
	self    message.Hello
	handler Handler
	// frames is the memory for frames that are being received; nil sets no bound.
	// frameEvicted is called when a connection is closed for want of it.
	frames       *intake.Budget
	frameEvicted func(peer message.Hello)

	mu     sync.Mutex
	closed bool
	links  map[*link]struct{}
	wg     sync.WaitGroup
}

func newAcceptedConns(self message.Hello, h Handler) *acceptedConns {
	return &acceptedConns{self: self, handler: h, links: map[*link]struct{}{}}
}

// serve performs the handshake on a newly accepted stream and then runs the
// connection until it ends.
func (a *acceptedConns) serve(s stream, auth authorizer) {
	timer := time.AfterFunc(handshakeTimeout, s.Abort)
	l, err := acceptHandshake(s, a.self, a.handler, auth)
	if !timer.Stop() || err != nil {
		s.Abort()
		return
	}
	if !a.add(l) {
		s.Abort()
		return
	}
	defer a.remove(l)
	l.frames, l.frameEvicted = a.frames, a.frameEvicted
	a.handler.Connected(l)
	l.run()
}

func (a *acceptedConns) add(l *link) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.links[l] = struct{}{}
	a.wg.Add(1)
	return true
}

func (a *acceptedConns) remove(l *link) {
	a.mu.Lock()
	delete(a.links, l)
	a.mu.Unlock()
	a.wg.Done()
}

// close closes all connections and waits for their last handler calls.
func (a *acceptedConns) close() {
	a.mu.Lock()
	a.closed = true
	links := make([]*link, 0, len(a.links))
	for l := range a.links {
		links = append(links, l)
	}
	a.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	a.wg.Wait()
}
