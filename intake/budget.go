// Package intake bounds what clients that are not trusted can make a process hold: the
// memory of requests that are being read, the time for which a request may stay incomplete,
// and the number of connections. When a limit is reached, the oldest incomplete request or
// the oldest connection without a complete request makes room, so that other clients are
// still served.
package intake

import (
	"container/list"
	"errors"
	"sync"
)

var (
	// ErrExhausted means that the budget has no room and no incomplete request to evict.
	ErrExhausted = errors.New("the memory for requests is exhausted")
	// ErrEvicted means that the request was incomplete for longer than all others when
	// the budget was exhausted.
	ErrEvicted = errors.New("incomplete while the memory for requests was exhausted")
	// ErrTimeout means that the request stayed incomplete for too long.
	ErrTimeout = errors.New("the request was not received in time")
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
)

// Budget is the memory for requests that are being read. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// incomplete holds the requests that may be evicted, the oldest first.
	incomplete list.List
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Request is the share of one request in a budget.
type Request struct {
	budget *Budget
	// place is the request's place among the incomplete ones, nil if it can't be evicted.
	place   *list.Element
	bytes   int64
	evict   func()
	evicted bool
}

// Begin reserves bytes for a new request. evict is called, with the budget locked, when the
// request has to make room; its bytes count as free from then on.
func (b *Budget) Begin(bytes int64, evict func()) (*Request, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &Request{budget: b, evict: evict}
	if err := b.makeRoom(r, bytes); err != nil {
		return nil, err
	}
	r.place = b.incomplete.PushBack(r)
	return r, nil
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// makeRoom reserves bytes for r and evicts older requests as needed. The oldest request
// is never helped by evicting younger ones.
func (b *Budget) makeRoom(r *Request, bytes int64) error {
	if r.bytes+bytes > b.limit {
		return ErrExhausted
	}
	for b.used+bytes > b.limit {
		front := b.incomplete.Front()
		if front == nil {
			return ErrExhausted
		}
		oldest := front.Value.(*Request)
		oldest.evicted = true
		oldest.release()
		if oldest == r {
			return ErrEvicted
		}
		oldest.evict()
	}
	b.used += bytes
	r.bytes += bytes
	return nil
}

// Reserve adds to the request's share.
func (r *Request) Reserve(bytes int64) error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.evicted {
		return ErrEvicted
	}
	return r.budget.makeRoom(r, bytes)
}

// Release returns the request's share and reports whether the request was evicted.
func (r *Request) Release() (evicted bool) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.release()
	return r.evicted
}

// Evicted reports whether the request was evicted.
func (r *Request) Evicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.evicted
}

func (r *Request) release() {
	r.leave()
	r.budget.used -= r.bytes
	r.bytes = 0
}

func (r *Request) leave() {
	if r.place != nil {
		r.budget.incomplete.Remove(r.place)
		r.place = nil
	}
}
