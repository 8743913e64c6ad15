package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"

	"marjoramlug.example/marjoramlug/message"
)

// memoryBasePort is the initial value of Memory.lastPort: Memory assigns the ports
// after it in order to listeners on port 0.
const memoryBasePort = 20000

// Memory is a network within one process. Messages are encoded and decoded as on
// a real network. Create it with NewMemory; the zero value is not usable.
type Memory struct {
	mu sync.Mutex
	// lastPort is the last port assigned for port 0.
	lastPort  int
	listeners map[string]*memoryListener
}

// NewMemory returns an in-process network without listeners.
func NewMemory() *Memory {
	return &Memory{lastPort: memoryBasePort, listeners: map[string]*memoryListener{}}
}

// Listen implements Network.
func (n *Memory) Listen(address string, self message.Hello, h Handler) (Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		n.lastPort++
		address = net.JoinHostPort(host, strconv.Itoa(n.lastPort))
	}
	if _, taken := n.listeners[address]; taken {
		return nil, fmt.Errorf("listen %s: address already in use", address)
	}
	l := &memoryListener{network: n, address: address, acceptedConns: newAcceptedConns(self, h)}
	n.listeners[address] = l
	return l, nil
}

// Dial implements Network.
func (n *Memory) Dial(ctx context.Context, address string, self message.Hello, h Handler) (Conn, error) {
	n.mu.Lock()
	listener := n.listeners[address]
	n.mu.Unlock()
	if listener == nil {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	near, far := newMemoryStreams()
	go listener.acceptedConns.serve(far, authorizer{})
	return dialStream(ctx, near, self, h, authorizer{})
}

// dialStream performs the handshake on a new stream, calls h.Connected and starts
// the connection. It aborts the stream when ctx is done before the handshake ends.
func dialStream(ctx context.Context, s stream, self message.Hello, h Handler, auth authorizer) (Conn, error) {
	stop := context.AfterFunc(ctx, s.Abort)
	l, err := dialHandshake(s, self, h, auth)
	if !stop() {
		s.Abort()
		return nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, err
	}
	h.Connected(l)
	go l.run()
	return l, nil
}

type memoryListener struct {
	network       *Memory
	address       string
	acceptedConns *acceptedConns
}

// Address implements Listener.
func (l *memoryListener) Address() string { return l.address }

// Close implements Listener.
func (l *memoryListener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.network.mu.Unlock()
	l.acceptedConns.close()
	return nil
}

// memoryStream is one end of a pair of pipes, one for each direction.
type memoryStream struct {
	*io.PipeReader
	*io.PipeWriter
}

func newMemoryStreams() (near, far *memoryStream) {
	nearIn, farOut := io.Pipe()
	farIn, nearOut := io.Pipe()
	return &memoryStream{nearIn, nearOut}, &memoryStream{farIn, farOut}
}

// CloseWrite implements stream.
func (s *memoryStream) CloseWrite() error { return s.PipeWriter.Close() }

// Abort implements stream.
func (s *memoryStream) Abort() {
	_ = s.PipeReader.CloseWithError(ErrClosed)
	_ = s.PipeWriter.CloseWithError(ErrClosed)
}
