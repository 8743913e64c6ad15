package transport

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

var errTooManyConnections = errors.New("too many connections")

// peerPlaces limits the connections that a listener accepts. When all places are taken, the
// connection that has been without a valid message for the longest time makes room: a process
// that starts is not kept out by peers that complete handshakes or send a Hello, and nothing else.
type peerPlaces struct {
	limit int

	mu   sync.Mutex
	open int
	// unused holds the connections without a valid message after the Hello, the oldest first.
	unused list.List
}

// peerPlace is the place of one connection. Its fields belong to the lock of its owner.
type peerPlace struct {
	owner *peerPlaces
	// element is in owner.unused; nil from the first message on.
	element *list.Element
	// isUsed avoids the lock for further messages.
	isUsed atomic.Bool
	// conn is nil until the handshake is complete: quic-go ends handshakes by itself only.
	conn *quic.Conn
	// left is set when the connection no longer counts.
	left bool
}

type peerPlaceKey struct{}

// peerPlaceOf returns the place of an accepted connection, or nil.
func peerPlaceOf(conn *quic.Conn) *peerPlace {
	p, _ := conn.Context().Value(peerPlaceKey{}).(*peerPlace)
	return p
}

// isBusy reports whether peers have to prove their address before a handshake.
func (p *peerPlaces) isBusy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open >= p.limit/2
}

// admit gives a new connection a place until ctx is done, and returns the connection that has to
// be closed for it, or nil. It returns errTooManyConnections if there is none.
func (p *peerPlaces) admit(ctx context.Context) (admitted context.Context, evicted *quic.Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit {
		oldest := p.oldest()
		if oldest == nil {
			return nil, nil, errTooManyConnections
		}
		evicted = oldest.conn
		oldest.leave()
	}
	place := &peerPlace{owner: p}
	place.element = p.unused.PushBack(place)
	p.open++
	context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		place.leave()
	})
	return context.WithValue(ctx, peerPlaceKey{}, place), evicted, nil
}

// oldest returns the place that may be taken away, or nil.
func (p *peerPlaces) oldest() *peerPlace {
	for e := p.unused.Front(); e != nil; e = e.Next() {
		if place := e.Value.(*peerPlace); place.conn != nil {
			return place
		}
	}
	return nil
}

// leave gives the place back.
func (p *peerPlace) leave() {
	if p.left {
		return
	}
	p.left = true
	p.owner.open--
	p.forget()
}

func (p *peerPlace) forget() {
	if p.element != nil {
		p.owner.unused.Remove(p.element)
		p.element = nil
	}
}

// handshaken notes that the connection's handshake is complete.
func (p *peerPlace) handshaken(conn *quic.Conn) {
	if p == nil {
		return
	}
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	p.conn = conn
}

// used notes that the peer has sent a valid message: the connection keeps its place.
func (p *peerPlace) used() {
	if p == nil || p.isUsed.Swap(true) {
		return
	}
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	p.forget()
}
