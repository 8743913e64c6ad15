package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/transport"
)

const (
	// dialTimeout bounds one attempt to connect: many times the way there and
	// back, and below the time in which a restarted entry should be found.
	dialTimeout = time.Second
	// firstRedial and maxRedial bound the pauses between attempts, which double.
	firstRedial = 50 * time.Millisecond
	maxRedial   = time.Second
)

// dialer keeps one connection to each listed address.
type dialer struct {
	network transport.Network
	self    message.Hello
	handler transport.Handler

	mu    sync.Mutex
	wg    sync.WaitGroup
	links map[string]context.CancelFunc
	ended map[transport.Conn]chan struct{}
}

func newDialer(network transport.Network, self message.Hello, handler transport.Handler) *dialer {
	return &dialer{
		network: network, self: self, handler: handler,
		links: map[string]context.CancelFunc{}, ended: map[transport.Conn]chan struct{}{},
	}
}

// set replaces the addresses. Connections to others are closed.
func (d *dialer) set(ctx context.Context, addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := map[string]bool{}
	for _, address := range addresses {
		wanted[address] = true
		if d.links[address] != nil {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		d.links[address] = cancel
		d.wg.Add(1)
		go d.keep(linkCtx, address)
	}
	for address, cancel := range d.links {
		if !wanted[address] {
			cancel()
			delete(d.links, address)
		}
	}
}

// keep connects to an address again and again until ctx ends.
func (d *dialer) keep(ctx context.Context, address string) {
	defer d.wg.Done()
	pause := firstRedial
	for ctx.Err() == nil {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		c, err := d.network.Dial(dialCtx, address, d.self, d)
		cancel()
		if err == nil {
			pause = firstRedial
			d.await(ctx, c)
		}
		if !kernel.Sleep(ctx, pause/2+rand.N(pause/2)) {
			return
		}
		pause = min(2*pause, maxRedial)
	}
}

// await returns when the connection has ended; it ends it when ctx ends.
func (d *dialer) await(ctx context.Context, c transport.Conn) {
	d.mu.Lock()
	ended := d.ended[c]
	d.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
		c.Close()
		<-ended
	}
}

// Connected implements transport.Handler.
func (d *dialer) Connected(c transport.Conn) {
	d.mu.Lock()
	d.ended[c] = make(chan struct{})
	d.mu.Unlock()
	d.handler.Connected(c)
}

// Received implements transport.Handler.
func (d *dialer) Received(c transport.Conn, m message.Message) { d.handler.Received(c, m) }

// Disconnected implements transport.Handler.
func (d *dialer) Disconnected(c transport.Conn, cause error) {
	d.handler.Disconnected(c, cause)
	d.mu.Lock()
	ended := d.ended[c]
	delete(d.ended, c)
	d.mu.Unlock()
	if ended != nil {
		close(ended)
	}
}
