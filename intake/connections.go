package intake

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marjoramlug.example/marjoramlug/kernel"
)

// Closing is why a connection is closed because of a limit.
type Closing uint8

const (
	// ClosedWaiting makes room for a new connection: it has been without a request in
	// progress for the longest time.
	ClosedWaiting Closing = iota
	// ClosedInProgress makes room for another request: its own has been in progress for the
	// longest time, or its client has sent further requests before the answer.
	ClosedInProgress
	// ClosedRefused is a new connection for which no other can be closed.
	ClosedRefused
)

// String returns the suffix of the counter.
func (c Closing) String() string {
	switch c {
	case ClosedWaiting:
		return "evicted"
	case ClosedInProgress:
		return "evicted_in_progress"
	}
	return "refused"
}

// Connections limits the open connections of one server and the requests that are in progress
// on them. When a limit is reached, the connection whose client loses least is closed; see
// places for the order.
type Connections struct {
	net.Listener
	// pacer bounds the processor time for new connections. They don't wait behind requests, as
	// they come one after the other.
	pacer *Pacer
	// closed is called for each connection that is closed because of a limit.
	closed func(remote net.Addr, why Closing)
	// queue belongs to the goroutine that accepts.
	queue acceptQueue

	mu     sync.Mutex
	places *places
	// timer is set while a queued request waits for the end of another one's service time.
	timer *time.Timer
}

// connection is an accepted connection. Its mutable fields belong to its owner's lock.
type connection struct {
	net.Conn
	owner *Connections
	// openedAfter is a time since boot before the connection was opened, acceptedAt the one at
	// which it was accepted.
	openedAfter, acceptedAt time.Duration
	// place and queue are the connection's elements in the lists of owner.places, place is nil
	// once it is closed; since is when it entered its phase.
	place, queue *list.Element
	phase        phase
	since        time.Time
	// begun is signalled when a queued request may begin.
	begun chan struct{}
	// asked is set when something has been received since the last write: a request that
	// begins without it was sent before the answer to the one before it.
	asked bool
	// evict ends the contexts of the connection's requests.
	evict context.CancelFunc
}

// listen listens on a TCP address. bufferBytes is the size of the buffers of an accepted
// connection, for what is received and not read and for what is sent and not acknowledged. The
// kernel doubles it for its own overhead. Its defaults would let each client fill several MB.
func listen(address string, bufferBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
			if err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", address)
}

func newConnections(listener net.Listener, limit int, pacer *Pacer, closed func(net.Addr, Closing)) *Connections {
	return &Connections{Listener: listener, pacer: pacer, closed: closed, queue: newAcceptQueue(listener), places: newPlaces(limit)}
}

// Accept implements net.Listener.
func (c *Connections) Accept() (net.Conn, error) {
	for {
		c.queue.observe()
		conn, err := c.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// ObserveQueue was called. Calls until the deadline is cleared are served by the
			// observation after that.
			if err := c.setAcceptDeadline(time.Time{}); err != nil {
				return nil, err
			}
			c.queue.reobserve()
			continue
		}
		if err != nil {
			return nil, err
		}
		openedAfter, acceptedAt := c.queue.accepted(), kernel.SinceBoot()
		c.pacer.Take()
		if admitted := c.admit(conn); admitted != nil {
			admitted.openedAfter, admitted.acceptedAt = openedAfter, acceptedAt
			return admitted, nil
		}
		_ = conn.Close()
		c.closed(conn.RemoteAddr(), ClosedRefused)
	}
}

// ObserveQueue interrupts Accept to look at the listener's queue: OpenedAfter of connections that
// are opened after that is later than this call. While Accept waits, it can't tell when the next
// connection is opened.
func (c *Connections) ObserveQueue() {
	// A listener that is closed accepts nothing any more.
	_ = c.setAcceptDeadline(time.Unix(1, 0))
}

// setAcceptDeadline sets the time from which on Accept of the listener fails.
func (c *Connections) setAcceptDeadline(t time.Time) error {
	if listener, ok := c.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return listener.SetDeadline(t)
	}
	return nil
}

// OpenedAfter returns a time since boot before the opening of a connection of a Connections: the
// latest one that the order of the listener's queue proves.
func OpenedAfter(conn net.Conn) time.Duration { return conn.(*connection).openedAfter }

// AcceptedAt returns the time since boot at which a connection left the listener's queue.
func AcceptedAt(conn net.Conn) time.Duration { return conn.(*connection).acceptedAt }

// admit registers a connection and closes another one if there are too many. It returns nil
// if none can be closed.
func (c *Connections) admit(conn net.Conn) *connection {
	c.mu.Lock()
	evicted, ok := c.places.admit()
	if !ok {
		c.mu.Unlock()
		return nil
	}
	if evicted != nil {
		c.places.leave(evicted)
	}
	e := &connection{Conn: conn, owner: c, begun: make(chan struct{}, 1), evict: func() {}}
	c.places.enter(e, waiting, time.Now())
	c.mu.Unlock()
	c.close(evicted, ClosedWaiting)
	return e
}

// close closes a connection that has left its place; nil is none.
func (c *Connections) close(e *connection, why Closing) {
	if e == nil {
		return
	}
	c.mu.Lock()
	evict := e.evict
	c.mu.Unlock()
	evict()
	// The connection is of no further use, whatever the error.
	_ = e.Conn.Close()
	c.closed(e.RemoteAddr(), why)
}

type connectionKey struct{}

// Track makes a server report its connections, in addition to its own callbacks.
func (c *Connections) Track(server *http.Server) {
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		e := conn.(*connection)
		ctx, cancel := context.WithCancel(context.WithValue(ctx, connectionKey{}, e))
		c.mu.Lock()
		e.evict = cancel
		c.mu.Unlock()
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		e := conn.(*connection)
		switch state {
		case http.StateClosed, http.StateHijacked:
			e.remove()
		case http.StateActive:
			// A client that sends a request is served before those that have sent nothing for longer.
			// From the answer on, the gate's handler has noted that the connection waits.
			e.wait()
		}
		if connState != nil {
			connState(conn, state)
		}
	}
}

// connectionOf returns the connection of a request, or nil.
func connectionOf(r *http.Request) *connection {
	e, _ := r.Context().Value(connectionKey{}).(*connection)
	return e
}

// Read implements net.Conn. What is received before a request is answered belongs to the
// next one.
func (e *connection) Read(p []byte) (int, error) {
	n, err := e.Conn.Read(p)
	if n > 0 {
		c := e.owner
		c.mu.Lock()
		pipelined := e.place != nil && e.phase == working && e.asked
		e.asked = true
		if pipelined {
			c.places.enter(e, pipelining, time.Now())
			c.begin()
		}
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (e *connection) Write(p []byte) (int, error) {
	e.owner.mu.Lock()
	e.asked = false
	e.owner.mu.Unlock()
	return e.Conn.Write(p)
}

// CloseWrite shuts down the writing side, which net/http does before it closes a connection
// with unread requests.
func (e *connection) CloseWrite() error {
	if conn, ok := e.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// remove notes that the connection is closed.
func (e *connection) remove() {
	c := e.owner
	c.mu.Lock()
	c.places.leave(e)
	c.begin()
	evict := e.evict
	c.mu.Unlock()
	evict()
}

// wait notes that the connection is without a request in progress from now on.
func (e *connection) wait() {
	if e == nil {
		return
	}
	c := e.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.place != nil {
		c.places.enter(e, waiting, time.Now())
		c.begin()
	}
}

// work notes that a request is complete, and waits for a place for it. It returns ErrEvicted if
// the connection is closed instead.
func (e *connection) work(ctx context.Context) error {
	if e == nil {
		return nil
	}
	c := e.owner
	c.mu.Lock()
	if e.place == nil {
		c.mu.Unlock()
		return ErrEvicted
	}
	c.places.enter(e, queued, time.Now())
	c.begin()
	begun := e.phase != queued
	c.mu.Unlock()
	if begun {
		<-e.begun
		return nil
	}
	select {
	case <-e.begun:
		return nil
	case <-ctx.Done():
		e.wait()
		return ErrEvicted
	}
}

// begin begins the queued requests that there are places for, and closes the connections that
// have to give way. It is called after each change, with the lock held.
func (c *Connections) begin() {
	for {
		if surplus := c.places.surplus(); surplus != nil {
			c.evict(surplus)
		}
		now := time.Now()
		e, evicted, at := c.places.next(now)
		if e == nil {
			if !at.IsZero() && c.timer == nil {
				c.timer = time.AfterFunc(at.Sub(now), c.serviceTimeEnded)
			}
			return
		}
		if evicted != nil {
			c.evict(evicted)
		}
		to := working
		if !e.asked {
			to = pipelining
		}
		c.places.enter(e, to, now)
		select {
		case e.begun <- struct{}{}:
		default: // nobody waits for an earlier signal any more
		}
	}
}

// evict closes a connection with a request in progress.
func (c *Connections) evict(e *connection) {
	c.places.leave(e)
	// Closing takes the lock.
	go c.close(e, ClosedInProgress)
}

func (c *Connections) serviceTimeEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = nil
	c.begin()
}
