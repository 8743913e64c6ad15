package transport

import (
	"context"
	"net"

	"github.com/quic-go/quic-go"

	"marjoramlug.example/marjoramlug/intake"
)

const (
	// The flow-control windows of a limited network: what a peer may send before it is
	// read. The initial ones hold the messages of several round trips between the
	// processes of a pool; a peer that is read from gets the larger ones.
	initialStreamWindow     = 64 << 10
	maxStreamWindow         = 512 << 10
	initialConnectionWindow = 96 << 10
	maxConnectionWindow     = 768 << 10

	counterConnectionsRefused = "transport.connections.refused"
	counterConnectionsEvicted = "transport.connections.evicted"
	counterFramesRefused      = "transport.frames.refused"
)

// Limits bound what peers can make a listener hold.
type Limits struct {
	// Connections bounds the open connections, those in their handshake included. From
	// half of it on, peers must prove their address before a handshake begins. At the limit,
	// the connection that has been without a message for the longest time makes room.
	Connections int
	// FrameBytes bounds the memory for frames that are being received. The connection
	// whose frame has been incomplete for the longest time is closed to make room.
	FrameBytes int64
	// Refused, if set, is called for each connection that is refused or closed because of
	// a limit.
	Refused func(peer, reason string)
}

// WithLimits sets limits for the connections that a QUIC network accepts.
func WithLimits(l Limits) Option {
	return func(n *QUIC) {
		n.limits = l
		n.config.InitialStreamReceiveWindow, n.config.MaxStreamReceiveWindow = initialStreamWindow, maxStreamWindow
		n.config.InitialConnectionReceiveWindow, n.config.MaxConnectionReceiveWindow = initialConnectionWindow, maxConnectionWindow
	}
}

// limit applies the limits to a listening transport.
func (n *QUIC) limit(t *quic.Transport) {
	if n.limits.Connections <= 0 {
		return
	}
	places := &peerPlaces{limit: n.limits.Connections}
	t.VerifySourceAddress = func(net.Addr) bool { return places.isBusy() }
	t.ConnContext = func(ctx context.Context, peer *quic.ClientInfo) (context.Context, error) {
		admitted, evicted, err := places.admit(ctx)
		if err != nil {
			n.refused(peer.RemoteAddr.String(), "connections", counterConnectionsRefused)
			return nil, err
		}
		if evicted != nil {
			n.refused(evicted.RemoteAddr().String(), "unused", counterConnectionsEvicted)
			// Closing waits for the connection's goroutine.
			go func() { _ = evicted.CloseWithError(closeCode, "") }()
		}
		return admitted, nil
	}
}

func (n *QUIC) refused(peer, reason, counter string) {
	authorizer{metrics: n.metrics}.count(counter)
	if n.limits.Refused != nil {
		n.limits.Refused(peer, reason)
	}
}

// frames returns the budget for frames that are being received, or nil.
func (n *QUIC) frames() *intake.Budget {
	if n.limits.FrameBytes <= 0 {
		return nil
	}
	return intake.NewBudget(n.limits.FrameBytes)
}

// frameShare is the share of a connection's present frame in a budget.
type frameShare struct {
	budget  *intake.Budget
	request *intake.Request
	evict   func()
}

// reserve adds to the share. A small buffer is not counted, as every connection has one.
func (s *frameShare) reserve(bytes int) error {
	if s.budget == nil || bytes <= firstReadBytes {
		return nil
	}
	if s.request != nil {
		return s.request.Reserve(int64(bytes))
	}
	request, err := s.budget.Begin(int64(bytes), s.evict)
	s.request = request
	return err
}

// release returns the share and reports whether it was evicted.
func (s *frameShare) release() (evicted bool) {
	if s.request != nil {
		evicted = s.request.Release()
		s.request = nil
	}
	return evicted
}
