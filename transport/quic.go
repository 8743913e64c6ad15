package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/telemetry"
)

const (
	// protocolName is the ALPN protocol, negotiated in the TLS handshake.
	protocolName = "marjoramlug/1"
	// idleTimeout is the time without packets after which a connection to an
	// unresponsive peer ends.
	idleTimeout = 3 * time.Second
	// keepAlivePeriod is the time without packets after which a connection sends a
	// keep-alive packet. It is longer than the heartbeat interval, so that a
	// connection with heartbeats sends no keep-alive packets besides.
	keepAlivePeriod = 1400 * time.Millisecond
	// closeCode is the QUIC application error code of a regular close.
	closeCode = quic.ApplicationErrorCode(0)
)

// QUIC is the network between processes. Each pair of peers has one Conn, which is
// a QUIC connection with one bidirectional stream.
type QUIC struct {
	identity identity
	config   *quic.Config
	metrics  *telemetry.Registry
	limits   Limits

	mu sync.Mutex
	// dialer is the socket shared by all outgoing connections.
	dialer *quic.Transport
}

// Option configures a QUIC network.
type Option func(*QUIC)

// WithMetrics sets the registry that counts refused peers and dropped messages.
func WithMetrics(r *telemetry.Registry) Option { return func(n *QUIC) { n.metrics = r } }

// NewQUIC returns a network that uses mutual TLS with the given settings. Without
// TLS settings it uses a self-signed certificate created at start and does not
// authenticate peers.
func NewQUIC(t settings.TLS, options ...Option) (*QUIC, error) {
	id, err := newIdentity(t)
	if err != nil {
		return nil, err
	}
	n := &QUIC{identity: id, config: quicConfig()}
	for _, option := range options {
		option(n)
	}
	return n, nil
}

// Reload replaces the credentials for new connections; open connections are not
// affected. On an error the previous credentials stay in use.
func (n *QUIC) Reload(t settings.TLS) error { return n.identity.reload(t) }

// authorizer returns the authorizer for the peer of a connection.
func (n *QUIC) authorizer(conn *quic.Conn) authorizer {
	return authorizer{metrics: n.metrics, verify: n.identity.verifier(conn), place: peerPlaceOf(conn)}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    1,
		MaxIncomingUniStreams: -1,
	}
}

// Listen implements Network.
func (n *QUIC) Listen(address string, self message.Hello, h Handler) (Listener, error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	n.limit(transport)
	listener, err := transport.Listen(n.identity.serverConfig(), n.config)
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen %s: %w", address, err)
	}
	l := &quicListener{network: n, socket: socket, transport: transport, listener: listener, acceptedConns: newAcceptedConns(self, h)}
	l.acceptedConns.frames = n.frames()
	l.acceptedConns.frameEvicted = func(peer message.Hello) { n.refused(peer.Name, "frames", counterFramesRefused) }
	l.wg.Add(1)
	go l.acceptLoop()
	return l, nil
}

// Dial implements Network.
func (n *QUIC) Dial(ctx context.Context, address string, self message.Hello, h Handler) (Conn, error) {
	dialer, err := n.dialTransport()
	if err != nil {
		return nil, err
	}
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	conn, err := dialer.Dial(ctx, remote, n.identity.clientConfig(), n.config)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	qs, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(closeCode, "")
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return dialStream(ctx, &quicStream{Stream: qs, conn: conn}, self, h, n.authorizer(conn))
}

// Close closes all outgoing connections and their socket.
func (n *QUIC) Close() error {
	n.mu.Lock()
	dialer := n.dialer
	n.dialer = nil
	n.mu.Unlock()
	if dialer == nil {
		return nil
	}
	err := dialer.Close()
	_ = dialer.Conn.Close()
	return err
}

func (n *QUIC) dialTransport() (*quic.Transport, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dialer == nil {
		socket, err := listenUDP(":0")
		if err != nil {
			return nil, err
		}
		n.dialer = &quic.Transport{Conn: socket}
	}
	return n.dialer, nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", address, err)
	}
	return net.ListenUDP("udp", local)
}

type quicListener struct {
	network       *QUIC
	socket        *net.UDPConn
	transport     *quic.Transport
	listener      *quic.Listener
	acceptedConns *acceptedConns
	wg            sync.WaitGroup
}

// Address implements Listener.
func (l *quicListener) Address() string { return l.socket.LocalAddr().String() }

// Close implements Listener.
func (l *quicListener) Close() error {
	err := l.listener.Close()
	l.acceptedConns.close()
	_ = l.transport.Close()
	_ = l.socket.Close()
	l.wg.Wait()
	return err
}

func (l *quicListener) acceptLoop() {
	defer l.wg.Done()
	for {
		conn, err := l.listener.Accept(context.Background())
		if err != nil {
			return
		}
		l.wg.Add(1)
		go l.serve(conn)
	}
}

func (l *quicListener) serve(conn *quic.Conn) {
	defer l.wg.Done()
	peerPlaceOf(conn).handshaken(conn)
	ctx, cancel := context.WithTimeout(conn.Context(), handshakeTimeout)
	defer cancel()
	qs, err := conn.AcceptStream(ctx)
	if err != nil {
		_ = conn.CloseWithError(closeCode, "")
		return
	}
	l.acceptedConns.serve(&quicStream{Stream: qs, conn: conn}, l.network.authorizer(conn))
}

// quicStream is the single stream of a QUIC connection.
type quicStream struct {
	*quic.Stream
	conn *quic.Conn
}

// CloseWrite implements stream.
func (s *quicStream) CloseWrite() error { return s.Close() }

// Abort implements stream.
func (s *quicStream) Abort() { _ = s.conn.CloseWithError(closeCode, "") }
