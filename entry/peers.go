package entry

import (
	"context"
	"errors"
	"sync"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/transport"
)

// peers holds this entry's outgoing connections to other entries, one per
// address, opened on first use.
type peers struct {
	entry *Entry

	mu    sync.Mutex
	conns map[string]transport.Conn
	dials map[string]*dial
}

// dial is one connection attempt, shared by all callers that wait for it. conn
// and err are valid once done is closed.
type dial struct {
	done chan struct{}
	conn transport.Conn
	err  error
}

func newPeers(e *Entry) *peers {
	return &peers{entry: e, conns: map[string]transport.Conn{}, dials: map[string]*dial{}}
}

// conn returns the connection to the entry at address, opening it if needed.
func (p *peers) conn(ctx context.Context, address string) (transport.Conn, error) {
	p.mu.Lock()
	if c, ok := p.conns[address]; ok {
		p.mu.Unlock()
		return c, nil
	}
	d, ok := p.dials[address]
	if !ok {
		d = &dial{done: make(chan struct{})}
		p.dials[address] = d
		go p.open(address, d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *peers) open(address string, d *dial) {
	ctx, cancel := context.WithTimeout(p.entry.ctx, dialTimeout)
	defer cancel()
	d.conn, d.err = p.entry.network.Dial(ctx, address, p.entry.hello(), p.entry)
	p.mu.Lock()
	delete(p.dials, address)
	if d.err == nil {
		p.conns[address] = d.conn
	}
	p.mu.Unlock()
	close(d.done)
}

// connClosed removes a connection that has ended.
func (p *peers) connClosed(c transport.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, other := range p.conns {
		if other == c {
			delete(p.conns, address)
		}
	}
}

// send sends a message on an outgoing connection and removes the connection if
// it has ended. A connection whose send queue is full is kept, because requests
// on it still wait for their answers.
func (p *peers) send(c transport.Conn, m message.Message) error {
	err := p.entry.send(c, m)
	if errors.Is(err, transport.ErrClosed) {
		p.connClosed(c)
	}
	return err
}

// Send implements replica.Peers: it sends a message to another entry without
// waiting for a connection that is still being opened. A connection that turns
// out to have ended is removed, so that the next call opens another.
func (p *peers) Send(_ ownership.MemberID, address string, m message.Message) error {
	p.mu.Lock()
	c, ok := p.conns[address]
	p.mu.Unlock()
	if ok {
		return p.send(c, m)
	}
	go func() {
		ctx, cancel := context.WithTimeout(p.entry.ctx, dialTimeout)
		defer cancel()
		if c, err := p.conn(ctx, address); err == nil {
			_ = p.send(c, m)
		}
	}()
	return nil
}

func (p *peers) close() {
	p.mu.Lock()
	conns := make([]transport.Conn, 0, len(p.conns))
	for _, c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}
