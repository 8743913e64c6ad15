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
	// CompletedInterval is the interval at which an entry reports its completed jobs to
	// the other entries. Late duplicates of a submission arrive 1 s or more later.
	CompletedInterval = 100 * time.Millisecond
	// searchTimeout bounds the search for a job at other entries.
	searchTimeout = 500 * time.Millisecond
	// maxCompletedBatch is the maximum number of jobs in one message; further jobs
	// that complete in the same interval are not reported.
	maxCompletedBatch = 4096
)

// peers holds the connections to other entries. Each entry dials all others and
// sends its reports and requests on the dialled connections. On the accepted ones it
// receives the reports and requests of other entries and sends its answers.
type peers struct {
	entry  *Entry
	dialer *dialer

	// links numbers the dialled and the accepted connections.
	links *sessions

	mu    sync.Mutex
	conns map[transport.Conn]bool
	// waitingJobs holds the number of waiting jobs by entry and queue, as last
	// reported by the other entries.
	waitingJobs map[string]map[string]int
	// unsentCompleted lists the completed jobs that have not been reported yet.
	unsentCompleted message.CompletedJobs
	request         uint64
	// pending holds the channel for the answers to each open search.
	pending map[uint64]chan *message.JobSearchReply
}

func newPeers(e *Entry) *peers {
	p := &peers{
		entry: e, links: newSessions(), conns: map[transport.Conn]bool{}, waitingJobs: map[string]map[string]int{},
		pending: map[uint64]chan *message.JobSearchReply{},
	}
	p.dialer = newDialer(e.opts.Network, e.self, dialled{p})
	return p
}

// dialled receives the events of the connections that this entry has opened.
type dialled struct{ peers *peers }

// Connected implements transport.Handler.
func (d dialled) Connected(c transport.Conn) {
	d.peers.mu.Lock()
	d.peers.conns[c] = true
	d.peers.mu.Unlock()
	d.peers.sendState(c)
	d.peers.dialledPeer(c)
}

// Received implements transport.Handler.
func (d dialled) Received(c transport.Conn, m message.Message) {
	if report, ok := m.(*message.ForwardReport); ok {
		d.peers.reported(c, report)
		return
	}
	d.peers.received(c, m)
}

// Disconnected implements transport.Handler.
func (d dialled) Disconnected(c transport.Conn, _ error) {
	d.peers.mu.Lock()
	delete(d.peers.conns, c)
	// The other entry's reports on its own connection bring the number again.
	delete(d.peers.waitingJobs, c.Peer().Name)
	d.peers.mu.Unlock()
	d.peers.entry.post(entryEvent{event: scheduler.PeerDisconnected{Peer: scheduler.PeerSession(d.peers.links.remove(c))}})
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

// disconnected handles the end of a connection that another entry had opened.
func (p *peers) disconnected(c transport.Conn) {
	p.mu.Lock()
	delete(p.waitingJobs, c.Peer().Name)
	p.mu.Unlock()
	p.entry.post(entryEvent{event: scheduler.OriginDisconnected{Origin: scheduler.PeerSession(p.links.remove(c))}})
}

func (p *peers) received(c transport.Conn, m message.Message) {
	switch m := m.(type) {
	case *message.CompletedJobs:
		p.entry.post(entryEvent{event: CompletedEvent(m)})
	case *message.EntryState:
		p.mu.Lock()
		p.waitingJobs[c.Peer().Name] = m.Waiting
		p.mu.Unlock()
		if m.Evacuation != nil {
			p.entry.post(entryEvent{event: scheduler.EvacuationLearned{State: *m.Evacuation, Source: c.Peer().Name}})
		}
		if len(m.Loads) > 0 && p.entry.settings.Sharing.Floor > 0 {
			p.entry.post(entryEvent{event: scheduler.LoadsShared{Entry: c.Peer().Name, Loads: m.Loads}})
		}
	case *message.ForwardOrders:
		p.forwardReceived(c, m)
	case *message.CrashNotice:
		p.entry.post(entryEvent{event: scheduler.CrashesShared{Notice: m}})
	case *message.JobSearch:
		p.answer(c, m)
	case *message.JobSearchReply:
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

// sendState tells an entry that may have just started what is known of evacuated zones
// and of crashes.
func (p *peers) sendState(c transport.Conn) {
	p.entry.post(entryEvent{query: func(core *scheduler.Core) {
		// A failed send is ignored: the heartbeat timeout closes the connection, and
		// the next one begins with the state again.
		_ = c.Send(entryState(core))
		if notice := core.RecentCrashes(); len(notice.Crashes) > 0 {
			_ = c.Send(notice)
		}
	}})
}

func (p *peers) answer(c transport.Conn, m *message.JobSearch) {
	p.entry.post(entryEvent{query: func(core *scheduler.Core) {
		known, started := core.Status(m.Job)
		if known && m.Cancel {
			go p.entry.post(entryEvent{event: scheduler.CancelRequested{ID: m.Job}})
		}
		// A failed send is ignored: the heartbeat timeout closes an unresponsive
		// connection, and the requester's timeout covers the missing answer.
		_ = c.Send(&message.JobSearchReply{Request: m.Request, Known: known, Started: started})
	}})
}

// search asks all other entries whether they know a job and, with cancel, to cancel
// it. It returns the first reply from an entry that knows the job, or a zero
// JobSearchReply.
func (p *peers) search(ctx context.Context, id string, cancel bool) message.JobSearchReply {
	ctx, stop := context.WithTimeout(ctx, searchTimeout)
	defer stop()
	p.mu.Lock()
	p.request++
	request := p.request
	found := make(chan *message.JobSearchReply, len(p.conns)+1)
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
			return message.JobSearchReply{}
		}
	}
	return message.JobSearchReply{}
}

// waiting returns the number of waiting jobs of a queue that the other entries last
// reported.
func (p *peers) waiting(queue string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, counts := range p.waitingJobs {
		n += counts[queue]
	}
	return n
}

func (p *peers) jobCompleted(j scheduler.JobEnded) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unsentCompleted.Jobs) < maxCompletedBatch {
		AddCompleted(&p.unsentCompleted, j)
	}
}

// AddCompleted adds a completed job to a message to other entries.
func AddCompleted(m *message.CompletedJobs, j scheduler.JobEnded) {
	m.Jobs = append(m.Jobs, j.Job.ID)
	if !j.QueueBlamed {
		return
	}
	if m.BlamedQueues == nil {
		m.BlamedQueues = map[string]int{}
	}
	m.BlamedQueues[j.Job.Queue]++
}

// CompletedEvent returns the event for a message of another entry.
func CompletedEvent(m *message.CompletedJobs) scheduler.JobsCompletedElsewhere {
	return scheduler.JobsCompletedElsewhere{IDs: m.Jobs, BlamedQueues: m.BlamedQueues}
}

func entryState(core *scheduler.Core) *message.EntryState {
	return &message.EntryState{Waiting: core.WaitingJobs(), Evacuation: core.Evacuation(), Loads: core.QueueLoads()}
}

// broadcast sends a message to all other entries. A connection that fails to send
// is closed; its entry misses this message and receives later ones after the
// reconnect.
func (p *peers) broadcast(m message.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if err := c.Send(m); err != nil {
			go c.Close()
		}
	}
}

func (p *peers) broadcastCompleted() {
	for kernel.Sleep(p.entry.ctx, CompletedInterval) {
		p.mu.Lock()
		unsentCompleted := p.unsentCompleted
		p.unsentCompleted = message.CompletedJobs{}
		p.mu.Unlock()
		if len(unsentCompleted.Jobs) > 0 {
			p.broadcast(&unsentCompleted)
		}
	}
}
