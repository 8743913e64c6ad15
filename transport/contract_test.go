package transport

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
)

// recorder is a Handler that passes events to a test through channels.
type recorder struct {
	connected    chan Conn
	received     chan message.Message
	disconnected chan error
}

func newRecorder() *recorder {
	return &recorder{make(chan Conn, 4096), make(chan message.Message, 4096), make(chan error, 4096)}
}

func (r *recorder) Connected(c Conn)                   { r.connected <- c }
func (r *recorder) Received(_ Conn, m message.Message) { r.received <- m }
func (r *recorder) Disconnected(_ Conn, cause error)   { r.disconnected <- cause }

var (
	entryHello = message.Hello{Role: message.RoleEntry, Name: "entry-1", Incarnation: 7, Zone: "a"}
	agentHello = message.Hello{Role: message.RoleAgent, Name: "agent-1", Incarnation: 9, Zone: "b"}
)

// forEachNetwork runs a contract test on each Network implementation.
func forEachNetwork(t *testing.T, test func(*testing.T, Network)) {
	t.Run("memory", func(t *testing.T) { test(t, NewMemory()) })
	t.Run("quic", func(t *testing.T) {
		n, err := NewQUIC(settings.TLS{})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		test(t, n)
	})
	t.Run("quic with mutual TLS", func(t *testing.T) { test(t, newMutualNetwork(t)) })
}

// connectPair returns both ends of a new connection, and their handlers.
func connectPair(t *testing.T, n Network) (dialed, accepted Conn, dialer, server *recorder) {
	t.Helper()
	dialer, server = newRecorder(), newRecorder()
	l, err := n.Listen("127.0.0.1:0", entryHello, server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	dialed, err = n.Dial(t.Context(), l.Address(), agentHello, dialer)
	if err != nil {
		t.Fatal(err)
	}
	return dialed, <-server.connected, dialer, server
}

func TestHelloExchange(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, n Network) {
		is := is.New(t)
		dialed, accepted, dialer, _ := connectPair(t, n)
		is.Equal(dialed.Peer(), entryHello)
		is.Equal(accepted.Peer(), agentHello)
		is.Equal(len(dialer.connected), 1) // Connected is called before Dial returns
	})
}

func TestMessagesArriveInOrderInBothDirections(t *testing.T) {
	const messages = 2000
	forEachNetwork(t, func(t *testing.T, n Network) {
		is := is.New(t)
		dialed, accepted, dialer, server := connectPair(t, n)
		for i := range messages {
			is.NoErr(dialed.Send(&message.Heartbeat{Sequence: message.Sequence(i)}))
			is.NoErr(accepted.Send(&message.Demand{Queued: i}))
		}
		for i := range messages {
			is.Equal((<-server.received).(*message.Heartbeat).Sequence, message.Sequence(i))
			is.Equal((<-dialer.received).(*message.Demand).Queued, i)
		}
	})
}

func TestLargeMessageArrivesWhole(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, n Network) {
		is := is.New(t)
		_, accepted, dialer, _ := connectPair(t, n)
		body := []byte(strings.Repeat("x", 3<<20))
		is.NoErr(accepted.Send(&message.Start{Task: message.Task{Body: body}}))
		is.Equal(len((<-dialer.received).(*message.Start).Task.Body), len(body))
	})
}

func TestRoleRestrictsMessageKinds(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, n Network) {
		is := is.New(t)
		dialed, accepted, dialer, server := connectPair(t, n)
		is.NoErr(dialed.Send(&message.Start{})) // only entries send Start
		is.NoErr(dialed.Send(&message.Submit{}))
		is.NoErr(dialed.Send(&message.Heartbeat{}))
		is.Equal((<-server.received).Kind(), message.KindHeartbeat)
		is.NoErr(accepted.Send(&message.Result{})) // only agents send Result
		is.NoErr(accepted.Send(&message.Demand{}))
		is.Equal((<-dialer.received).Kind(), message.KindDemand)
	})
}

func TestCloseDisconnectsBothPeers(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, n Network) {
		is := is.New(t)
		dialed, accepted, dialer, server := connectPair(t, n)
		accepted.Close()
		is.True(errors.Is(<-server.disconnected, ErrClosed))
		<-dialer.disconnected
		is.True(errors.Is(dialed.Send(&message.Heartbeat{}), ErrClosed))
	})
}

func TestShutdownDeliversQueuedMessages(t *testing.T) {
	const messages = 1000
	forEachNetwork(t, func(t *testing.T, n Network) {
		is := is.New(t)
		dialed, _, _, server := connectPair(t, n)
		for i := range messages {
			is.NoErr(dialed.Send(&message.Heartbeat{Sequence: message.Sequence(i)}))
		}
		is.NoErr(Shutdown(t.Context(), dialed))
		<-server.disconnected
		is.Equal(len(server.received), messages)
	})
}

func TestListenerCloseEndsAcceptedConnections(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, n Network) {
		is := is.New(t)
		dialer, server := newRecorder(), newRecorder()
		l, err := n.Listen("127.0.0.1:0", entryHello, server)
		is.NoErr(err)
		_, err = n.Dial(t.Context(), l.Address(), agentHello, dialer)
		is.NoErr(err)
		<-server.connected
		is.NoErr(l.Close())
		is.Equal(len(server.disconnected), 1)
		<-dialer.disconnected
	})
}

func TestDialFailsWhenContextIsCancelled(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, n Network) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := n.Dial(ctx, "127.0.0.1:1", agentHello, newRecorder())
		is.True(err != nil)
	})
}
