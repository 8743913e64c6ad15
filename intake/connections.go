package intake

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// SocketBufferBytes is the size of the buffers of an accepted connection, for what is
// received and not read and for what is sent and not acknowledged. The kernel doubles it
// for its own overhead. Its defaults would let each client fill several MB.
const SocketBufferBytes = 16 << 10

// Connections limits the open connections of one server. When the limit is reached, the
// connection that has been without a complete request for the longest time is closed.
type Connections struct {
	net.Listener
	limit int
	// closed is called for each connection that is closed to make room, or refused
	// because all others have a request in progress.
	closed func(remote net.Addr, refused bool)

	mu   sync.Mutex
	open map[net.Conn]*connection
	// waiting holds the connections without a complete request, the longest waiting first.
	waiting list.List
}

type connection struct {
	conn  net.Conn
	owner *Connections
	// place is the connection's place in waiting, nil while a request is in progress.
	place *list.Element
}

// Listen listens on a TCP address for at most limit connections; 0 sets no limit.
func Listen(address string, limit int, closed func(remote net.Addr, refused bool)) (*Connections, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, SocketBufferBytes)
			if err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, SocketBufferBytes)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConnections(listener, limit, closed), nil
}

func newConnections(listener net.Listener, limit int, closed func(net.Addr, bool)) *Connections {
	return &Connections{Listener: listener, limit: limit, closed: closed, open: map[net.Conn]*connection{}}
}

// Accept implements net.Listener.
func (c *Connections) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c.admit(conn) {
			return conn, nil
		}
		_ = conn.Close()
		c.closed(conn.RemoteAddr(), true)
	}
}

// admit registers a connection and closes another one if there are too many. It returns
// false if none can be closed.
func (c *Connections) admit(conn net.Conn) bool {
	c.mu.Lock()
	var evicted net.Conn
	if c.limit > 0 && len(c.open) >= c.limit {
		front := c.waiting.Front()
		if front == nil {
			c.mu.Unlock()
			return false
		}
		evicted = front.Value.(*connection).conn
		c.remove(evicted)
	}
	entry := &connection{conn: conn, owner: c}
	entry.place = c.waiting.PushBack(entry)
	c.open[conn] = entry
	c.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close()
		c.closed(evicted.RemoteAddr(), false)
	}
	return true
}

func (c *Connections) remove(conn net.Conn) {
	if entry := c.open[conn]; entry != nil {
		if entry.place != nil {
			c.waiting.Remove(entry.place)
			entry.place = nil
		}
		delete(c.open, conn)
	}
}

type connectionKey struct{}

// Track makes a server report its connections, in addition to its own callbacks.
func (c *Connections) Track(server *http.Server) {
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		c.mu.Lock()
		entry := c.open[conn]
		c.mu.Unlock()
		ctx = context.WithValue(ctx, connectionKey{}, entry)
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateClosed, http.StateHijacked:
			c.mu.Lock()
			c.remove(conn)
			c.mu.Unlock()
		case http.StateActive, http.StateIdle:
			// A client that sends a request is served before those that have sent nothing for longer.
			c.mu.Lock()
			entry := c.open[conn]
			c.mu.Unlock()
			entry.wait()
		}
		if connState != nil {
			connState(conn, state)
		}
	}
}

// connectionOf returns the connection of a request, or nil.
func connectionOf(r *http.Request) *connection {
	entry, _ := r.Context().Value(connectionKey{}).(*connection)
	return entry
}

// wait notes that the connection is without a complete request from now on.
func (e *connection) wait() {
	if e == nil {
		return
	}
	c := e.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[e.conn] != e {
		return
	}
	if e.place != nil {
		c.waiting.MoveToBack(e.place)
		return
	}
	e.place = c.waiting.PushBack(e)
}

// work notes that a complete request is in progress.
func (e *connection) work() {
	if e == nil {
		return
	}
	c := e.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.place != nil {
		c.waiting.Remove(e.place)
		e.place = nil
	}
}
