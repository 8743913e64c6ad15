package node

import (
	"context"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/scheduler"
	"marjoramlug.example/marjoramlug/transport"
)

const (
	// gossipInterval is how often entries tell each other which jobs have
	// completed. Late copies of a submission come a second or more later.
	endedInterval = 100 * time.Millisecond
	// searchTimeout bounds the question to other entries about a job.
	searchTimeout = 500 * time.Millisecond
	// gossipBatch bounds the jobs in one message.
	maxEndedBatch = 4096
)

// peers holds the connections to other entries. Each entry dials all others
// and uses the connections that it has dialled to speak, those that it has
// accepted to listen and to answer.
type peers struct {
	entry  *Entry
	dialer *dialer

	mu          sync.Mutex
	conns       map[transport.Conn]bool
	waitingJobs map[string]map[string]int
	unsentEnded []string
	request     uint64
	pending     map[uint64]chan *message.JobFound
}

func newPeers(e *Entry) *peers {
	p := &peers{
		entry: e, conns: map[transport.Conn]bool{}, waitingJobs: map[string]map[string]int{},
		pending: map[uint64]chan *message.JobFound{},
	}
	p.dialer = newDialer(e.opts.Network, e.self, dialled{p})
	return p
}

// dialled receives the events of the connections that this entry has opened.
type dialled struct{ peers *peers }

// Connected implements transport.Handler.
func (d dialled) Connected(c transport.Conn) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	d.peers.conns[c] = true
}

// Received implements transport.Handler.
func (d dialled) Received(c transport.Conn, m message.Message) { d.peers.received(c, m) }

// Disconnected implements transport.Handler.
func (d dialled) Disconnected(c transport.Conn, _ error) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	delete(d.peers.conns, c)
}

func (p *peers) set(addresses []string) {
	others := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if address != p.entry.settings.Advertise {
			others = append(others, address)
		}
	}
	p.dialer.set(p.entry.ctx, others, 0)
}

// disconnected concerns connections that other entries opened.
func (p *peers) disconnected(c transport.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waitingJobs, c.Peer().Name)
}

func (p *peers) received(c transport.Conn, m message.Message) {
	switch m := m.(type) {
	case *message.EndedJobs:
		p.entry.post(entryEvent{event: scheduler.JobsEndedElsewhere{IDs: m.Jobs}})
	case *message.EntryState:
		p.mu.Lock()
		p.waitingJobs[c.Peer().Name] = m.Waiting
		p.mu.Unlock()
	case *message.JobSearch:
		p.answer(c, m)
	case *message.JobFound:
		p.mu.Lock()
		found := p.pending[m.Request]
		p.mu.Unlock()
		if found != nil {
			select {
			case found <- m:
			default:
			}
		}
	}
}

func (p *peers) answer(c transport.Conn, m *message.JobSearch) {
	p.entry.post(entryEvent{query: func(core *scheduler.Core) {
		known, started := core.Status(m.Job)
		if known && m.Cancel {
			go p.entry.post(entryEvent{event: scheduler.JobCancelled{ID: m.Job}})
		}
		// A connection that takes no message is closed by its own heartbeat; the
		// asker's time limit covers the missing answer.
		_ = c.Send(&message.JobFound{Request: m.Request, Known: known, Started: started})
	}})
}

// search asks all other entries about a job.
func (p *peers) search(ctx context.Context, id string, cancel bool) message.JobFound {
	ctx, stop := context.WithTimeout(ctx, searchTimeout)
	defer stop()
	p.mu.Lock()
	p.request++
	request := p.request
	found := make(chan *message.JobFound, len(p.conns)+1)
	p.pending[request] = found
	asked := 0
	for c := range p.conns {
		if c.Send(&message.JobSearch{Request: request, Job: id, Cancel: cancel}) == nil {
			asked++
		}
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, request)
		p.mu.Unlock()
	}()
	for range asked {
		select {
		case f := <-found:
			if f.Known {
				return *f
			}
		case <-ctx.Done():
			return message.JobFound{}
		}
	}
	return message.JobFound{}
}

// waiting sums what the other entries last told.
func (p *peers) waiting(queue string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, counts := range p.waitingJobs {
		n += counts[queue]
	}
	return n
}

func (p *peers) jobCompleted(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unsentEnded) < maxEndedBatch {
		p.unsentEnded = append(p.unsentEnded, id)
	}
}

func (p *peers) broadcastState(waiting map[string]int) {
	p.broadcast(&message.EntryState{Waiting: waiting})
}

// tell sends a message to all other entries. One that takes no message learns
// of the next state.
func (p *peers) broadcast(m message.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if err := c.Send(m); err != nil {
			go c.Close()
		}
	}
}

func (p *peers) broadcastEnded() {
	for kernel.Sleep(p.entry.ctx, endedInterval) {
		p.mu.Lock()
		unsentEnded := p.unsentEnded
		p.unsentEnded = nil
		p.mu.Unlock()
		if len(unsentEnded) > 0 {
			p.broadcast(&message.EndedJobs{Jobs: unsentEnded})
		}
	}
}
