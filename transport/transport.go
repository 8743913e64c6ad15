// Package transport connects the system's processes by long-lived QUIC
// connections that carry typed messages. Messages that are ready at the same time
// are sent with one write. A connection begins with an exchange of Hello messages.
package transport

import (
	"context"
	"errors"

	"marjoramlug.example/marjoramlug/message"
)

// Conn is an established connection to a peer. It is safe for concurrent use.
type Conn interface {
	// Send queues a message without blocking. It returns ErrClosed once the
	// connection has ended, ErrFull when the send queue is full and ErrTooLarge
	// when the message exceeds the maximum frame size; in all these cases the
	// message was not sent. A nil error does not guarantee delivery.
	Send(m message.Message) error
	// Peer returns the Hello that the peer sent.
	Peer() message.Hello
	// Close ends the connection immediately. Queued messages may be lost.
	Close()
}

// Handler receives the events of connections. Calls for one connection are made
// sequentially: Connected, any number of Received, Disconnected.
type Handler interface {
	Connected(c Conn)
	Received(c Conn, m message.Message)
	Disconnected(c Conn, cause error)
}

// Network opens and accepts connections. It is implemented by QUIC and, for tests
// and embedded use, by Memory.
type Network interface {
	// Listen accepts connections on address until the listener is closed.
	Listen(address string, self message.Hello, h Handler) (Listener, error)
	// Dial opens a connection and exchanges Hello messages. It returns after the
	// call of h.Connected.
	Dial(ctx context.Context, address string, self message.Hello, h Handler) (Conn, error)
}

// Listener accepts connections.
type Listener interface {
	// Address returns the bound address, with the port assigned for port 0.
	Address() string
	// Close stops accepting and closes the accepted connections.
	Close() error
}

var (
	// ErrClosed means that the connection has ended.
	ErrClosed = errors.New("connection closed")
	// ErrFull means that the send queue is full because the peer reads too slowly.
	ErrFull = errors.New("send queue full")
	// ErrTooLarge means that a message exceeds the maximum frame size.
	ErrTooLarge = errors.New("message too large")
)
