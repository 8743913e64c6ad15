package intake

import (
	"container/list"
	"time"
)

// minServiceTime is for how long a request in progress keeps its place while others wait for
// one: most tasks end within it.
const minServiceTime = time.Second

// phase is what a connection is doing. Its place in the list of its phase orders it by time.
type phase uint8

const (
	// waiting is without a complete request: idle, receiving one, or sending an answer.
	waiting phase = iota
	// queued has a complete request that waits for a place. The connection is also waiting:
	// it can make room for a new connection.
	queued
	// pipelining has a request in progress and sent the next one before the answer.
	pipelining
	// working has one request in progress.
	working
	phases
)

// places decides which connections stay open and which requests are in progress. Both are
// limited; the connections' limit is higher, so that there is always one that can make room
// for a new connection. It is a state machine without a clock and not safe for concurrent use.
type places struct {
	// connections and requests are the limits, pipelining that of requests in progress whose
	// clients have sent further ones.
	connections, requests, pipelining int
	// lists hold the connections of each phase, the longest in it first. Queued connections
	// are in the waiting list too.
	lists [phases]list.List
}

const (
	// waitingShare is the divisor of the connection limit that gives the connections that are
	// kept free of requests in progress.
	waitingShare = 4
	// pipeliningShare is the divisor of the limit of requests that gives that of clients that
	// pipeline. They always have a next request, and would take all capacity for jobs.
	pipeliningShare = 8
)

func newPlaces(connections int) *places {
	requests := max(connections-max(connections/waitingShare, 1), 1)
	return &places{connections: connections, requests: requests, pipelining: max(requests/pipeliningShare, 1)}
}

func (p *places) open() int {
	return p.lists[waiting].Len() + p.inProgress()
}

func (p *places) inProgress() int { return p.lists[pipelining].Len() + p.lists[working].Len() }

// admit returns the connection that has to be closed for a new one, or nil, and whether
// there is room for the new one.
func (p *places) admit() (evicted *connection, ok bool) {
	if p.connections <= 0 || p.open() < p.connections {
		return nil, true
	}
	front := p.lists[waiting].Front()
	if front == nil {
		return nil, false
	}
	return front.Value.(*connection), true
}

// next returns the queued connection whose request may begin now, and the one that has to be
// closed for it, or nil. Without a place for it, it returns the time at which there will be one
// at the latest, which is zero if nothing is queued.
func (p *places) next(now time.Time) (begins, evicted *connection, at time.Time) {
	front := p.lists[queued].Front()
	if front == nil {
		return nil, nil, time.Time{}
	}
	begins = front.Value.(*connection)
	if p.connections <= 0 || p.inProgress() < p.requests {
		return begins, nil, time.Time{}
	}
	if front := p.lists[pipelining].Front(); front != nil {
		return begins, front.Value.(*connection), time.Time{}
	}
	longest := p.lists[working].Front().Value.(*connection)
	if at := longest.since.Add(minServiceTime); now.Before(at) {
		return nil, nil, at
	}
	return begins, longest, time.Time{}
}

// surplus returns the connection that has to be closed as too many clients pipeline, or nil.
func (p *places) surplus() *connection {
	if p.connections <= 0 || p.lists[pipelining].Len() <= p.pipelining {
		return nil
	}
	return p.lists[pipelining].Front().Value.(*connection)
}

// enter moves a connection to a phase, or to the end of its list if it is in it already.
func (p *places) enter(e *connection, to phase, now time.Time) {
	p.leave(e)
	e.phase, e.since = to, now
	if to == queued {
		e.queue = p.lists[queued].PushBack(e)
		to = waiting
	}
	e.place = p.lists[to].PushBack(e)
}

// leave removes a connection.
func (p *places) leave(e *connection) {
	if e.place == nil {
		return
	}
	if e.queue != nil {
		p.lists[queued].Remove(e.queue)
		e.queue = nil
	}
	list := e.phase
	if list == queued {
		list = waiting
	}
	p.lists[list].Remove(e.place)
	e.place = nil
}
