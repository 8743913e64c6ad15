package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/transport"
)

const (
	// dialTimeout bounds one attempt to connect: many round trips, and shorter than
	// the time within which a restarted entry should be reconnected.
	dialTimeout = time.Second
	// firstRedial and maxRedial bound the exponential backoff between attempts.
	firstRedial = 50 * time.Millisecond
	maxRedial   = time.Second
)

// dialer maintains connections to the most preferred of the listed addresses that
// are reachable.
type dialer struct {
	network transport.Network
	self    message.Hello
	handler transport.Handler

	mu sync.Mutex
	// limit is the number of connections wanted; 0 wants one to each address.
	limit int
	// order lists the addresses by preference; failing holds those to which the last
	// attempt to connect failed.
	order   []string
	failing map[string]bool
	// cancels holds, for each address, the function that ends maintain. ended holds,
	// for each open connection, a channel that is closed when the connection has
	// ended.
	cancels map[string]context.CancelFunc
	ended   map[transport.Conn]chan struct{}
	// open holds the connection to each address.
	open map[string]transport.Conn
}

func newDialer(network transport.Network, self message.Hello, handler transport.Handler) *dialer {
	return &dialer{
		network: network, self: self, handler: handler,
		cancels: map[string]context.CancelFunc{}, ended: map[transport.Conn]chan struct{}{}, failing: map[string]bool{},
		open: map[string]transport.Conn{},
	}
}

// set replaces the addresses, ordered by preference, and the number of wanted
// connections; 0 wants one to each address. Connections to other addresses are
// closed.
func (d *dialer) set(ctx context.Context, addresses []string, limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.order, d.limit = addresses, limit
	wanted := map[string]bool{}
	for _, address := range addresses {
		wanted[address] = true
		if d.cancels[address] != nil {
			continue
		}
		addressCtx, cancel := context.WithCancel(ctx)
		d.cancels[address] = cancel
		go d.maintain(addressCtx, address)
	}
	for address, cancel := range d.cancels {
		if !wanted[address] {
			cancel()
			delete(d.cancels, address)
			delete(d.failing, address)
		}
	}
}

// isWanted reports whether an address is among the first limit reachable ones. An
// address that is no longer among them keeps its connection.
func (d *dialer) isWanted(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	preferred := 0
	for _, other := range d.order {
		if other == address {
			break
		}
		if !d.failing[other] {
			preferred++
		}
	}
	return d.limit == 0 || preferred < d.limit
}

func (d *dialer) setFailing(address string, failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing[address] = failing
}

func (d *dialer) setOpen(address string, c transport.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c == nil {
		delete(d.open, address)
		return
	}
	d.open[address] = c
}

// surplus lists the open connections to addresses that are not wanted.
func (d *dialer) surplus() []transport.Conn {
	d.mu.Lock()
	open := maps.Clone(d.open)
	d.mu.Unlock()
	var list []transport.Conn
	for address, c := range open {
		if !d.isWanted(address) {
			list = append(list, c)
		}
	}
	return list
}

// maintain keeps a connection to an address while the address is wanted, until ctx
// is done.
func (d *dialer) maintain(ctx context.Context, address string) {
	pause := firstRedial
	for ctx.Err() == nil {
		if !d.isWanted(address) {
			if !kernel.Sleep(ctx, maxRedial/2) {
				return
			}
			continue
		}
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		c, err := d.network.Dial(dialCtx, address, d.self, d)
		cancel()
		d.setFailing(address, err != nil)
		if err == nil {
			pause = firstRedial
			d.setOpen(address, c)
			d.awaitEnd(ctx, c)
			d.setOpen(address, nil)
		}
		if !kernel.Sleep(ctx, pause/2+rand.N(pause/2)) {
			return
		}
		pause = min(2*pause, maxRedial)
	}
}

// awaitEnd returns when the connection has ended, and closes it when ctx is done.
func (d *dialer) awaitEnd(ctx context.Context, c transport.Conn) {
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
