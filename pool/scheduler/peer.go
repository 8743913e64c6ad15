package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
)

const (
	// reportValidity is the age up to which a peer's report of free capacity is used: the
	// run time of short tasks, after which most of what was free is used otherwise.
	reportValidity = 100 * time.Millisecond
	// askInterval is the minimum interval between two requests to one peer. It doubles up
	// to maxAskInterval with each report without room for a job that waits, so that entries that are
	// all short of it spend little processor time on requests.
	askInterval    = 50 * time.Millisecond
	maxAskInterval = 400 * time.Millisecond
	// askTimeout is the time in which a peer answers a request, several round trips
	// between zones. silentAskInterval is the interval between requests to a peer that has
	// not answered the last one: it may be of an older release.
	askTimeout        = 15 * time.Millisecond
	silentAskInterval = time.Second
	// asksPerZone is the number of peers of the own zone, and of others, that are asked
	// at a time.
	asksPerZone = 2
	// echoInterval is the minimum interval between two answers to a host's reports.
	echoInterval = 50 * time.Millisecond
)

// PeerSession identifies a connection to another entry; numbers are never reused.
type PeerSession uint64

// peer is this entry's view, as an origin, of another entry to which it can forward jobs.
type peer struct {
	session PeerSession
	name    string
	// sameZone is set if the peer is in the zone of this entry.
	sameZone bool
	hash     uint64
	// lastHeard is the time of the last report, excused the time since then in which this
	// process was paused.
	lastHeard, excused time.Duration
	// askedAt is the time of the last request for a report, answered whether a report has
	// come since.
	askedAt  time.Duration
	answered bool
	// askPause is the present interval between requests.
	askPause time.Duration
	lastSent time.Duration
	// reportTimestamp is the newest timestamp of the peer's clock.
	reportTimestamp int64
	echoDue         bool
	// free is the free capacity last reported less what was forwarded since.
	free []message.FreeCapacity
	// jobs holds the jobs that the peer has, by request.
	jobs    kernel.OrderedMap[uint64, *job]
	pending message.ForwardOrders
}

func (c *Core) connectPeer(ev PeerConnected) {
	p := &peer{
		session: ev.Peer, name: ev.Name, sameZone: ev.Zone == c.opts.Zone, hash: xxhash.Sum64String(ev.Name),
		lastHeard: c.now, answered: true, askPause: askInterval,
	}
	c.peers[ev.Peer] = p
	c.peerList = append(c.peerList, p)
}

func (c *Core) disconnectPeer(id PeerSession) {
	p := c.peers[id]
	if p == nil {
		return
	}
	delete(c.peers, id)
	c.peerList = slices.DeleteFunc(c.peerList, func(other *peer) bool { return other == p })
	c.loseForwarded(p, "connection ended")
}

// handlePeerReport takes in a report. Jobs that wait for free capacity of peers are reviewed
// again at once.
func (c *Core) handlePeerReport(id PeerSession, report *message.ForwardReport) {
	p := c.peers[id]
	if p == nil {
		return
	}
	p.lastHeard, p.excused, p.answered = c.now, 0, true
	p.reportTimestamp, p.echoDue, p.free = report.Timestamp, true, report.Free
	for i := range report.Answers {
		c.forwardAnswered(p, &report.Answers[i])
	}
	awaited, useful := false, false
	for _, j := range c.jobOrder {
		if j.forward.awaitsReport && !j.answered {
			j.reviewAt = c.now
			tasks := int64(len(j.tasks))
			awaited, useful = true, useful || c.tasksInTime(p, j, tasks) == tasks
		}
	}
	switch {
	case useful:
		p.askPause = askInterval
	case awaited:
		p.askPause = min(2*p.askPause, maxAskInterval)
	}
}

// checkPeers gives up the peers that have jobs and send nothing. This entry echoes nothing
// of theirs any more, so that they drop the jobs.
func (c *Core) checkPeers() {
	for _, p := range c.peerList {
		if p.jobs.Len() > 0 && c.now-p.lastHeard-p.excused > c.opts.HeartbeatTimeout {
			p.free = nil
			c.loseForwarded(p, "silent")
		}
	}
}

// tasksInTime returns how many tasks of a job the free capacity last reported by the peer
// can start at once, up to limit, so that they are in time.
func (c *Core) tasksInTime(p *peer, j *job, limit int64) int64 {
	n := int64(0)
	c.eachInTime(p, j, func(e *message.FreeEndpoint) bool {
		n += j.copies(e.Free, limit-n)
		return n < limit
	})
	return n
}

// deduct takes the tasks of a job from the free capacity of a peer.
func (c *Core) deduct(p *peer, j *job) {
	left := int64(len(j.tasks))
	c.eachInTime(p, j, func(e *message.FreeEndpoint) bool {
		n := j.copies(e.Free, left)
		e.Free = e.Free.Minus(j.Need.Times(n))
		left -= n
		return left > 0
	})
}

// eachInTime calls visit for the endpoints of a peer on which a task of a job would be in
// time, until visit returns false.
func (c *Core) eachInTime(p *peer, j *job, visit func(*message.FreeEndpoint) bool) {
	if c.now-p.lastHeard > reportValidity {
		return
	}
	limit := c.runTimeLimit(j) - float64(hopDelay)
	for i := range p.free {
		if p.free[i].Service != j.Service {
			continue
		}
		for k := range p.free[i].Endpoints {
			e := &p.free[i].Endpoints[k]
			slow := float64(j.expectedRunTime()) * float64(e.SlownessPermille) / 1000
			if slow <= limit && !visit(e) {
				return
			}
		}
	}
}

// copies returns how many tasks of the job fit into the free capacity of one endpoint.
func (j *job) copies(free message.Resources, limit int64) int64 {
	if j.Spread > 0 {
		limit = min(limit, int64(j.Spread))
	}
	return j.Need.Copies(free, limit)
}

// rankPeers returns the peers by preference of a job: those of the own zone first, and
// among these in an order of the job's own, so that jobs spread over the peers.
func (c *Core) rankPeers(j *job) []*peer {
	id := xxhash.Sum64String(j.ID)
	weight := func(p *peer) uint64 {
		const mix = 0x9E3779B97F4A7C15
		w := (id ^ p.hash) * mix
		return (w ^ w>>32) * mix
	}
	list := slices.Clone(c.peerList)
	slices.SortFunc(list, func(a, b *peer) int {
		if a.sameZone != b.sameZone {
			if a.sameZone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.name, b.name))
	})
	return list
}

// choosePeer returns a peer that has free capacity for the whole job, or nil: of the first
// two by preference in one zone, the one that has more left.
func (c *Core) choosePeer(j *job, ranked []*peer) *peer {
	tasks := int64(len(j.tasks))
	var first *peer
	for _, p := range ranked {
		if j.forward.refusedBy == p.name || c.tasksInTime(p, j, tasks) < tasks {
			continue
		}
		if first == nil {
			first = p
			continue
		}
		const plenty = 1 << 16
		if p.sameZone == first.sameZone && c.tasksInTime(p, j, plenty) > c.tasksInTime(first, j, plenty) {
			return p
		}
		return first
	}
	return first
}

// askPeers asks peers for their free capacity and reports whether an answer may come.
func (c *Core) askPeers(ranked []*peer) bool {
	expected := false
	asked := map[bool]int{}
	for _, p := range ranked {
		sinceAsked := c.now - p.askedAt
		switch {
		case p.askedAt > 0 && !p.answered && sinceAsked < askTimeout:
			asked[p.sameZone]++
			expected = true
		case p.askedAt > 0 && !p.answered && sinceAsked < silentAskInterval:
		case p.reportTimestamp > 0 && c.now-p.lastHeard < p.askPause || p.askedAt > 0 && sinceAsked < p.askPause:
			// The last report has said that there is no room.
		case asked[p.sameZone] < asksPerZone:
			asked[p.sameZone]++
			p.askedAt, p.answered, p.pending.Ask = c.now, false, true
			expected = true
		}
	}
	return expected
}

// flushPeers sends the pending orders to peers, and echoes and heartbeats to those that
// have jobs of this entry.
func (c *Core) flushPeers() {
	for _, p := range c.peerList {
		sinceLastSent := c.now - p.lastSent
		heartbeatDue := p.jobs.Len() > 0 && (sinceLastSent >= Heartbeat || p.echoDue && sinceLastSent >= echoInterval)
		if !heartbeatDue && !p.pending.Ask && len(p.pending.Jobs) == 0 && len(p.pending.Cancels) == 0 {
			continue
		}
		orders := p.pending
		orders.ReportTimestamp = p.reportTimestamp
		p.pending, p.lastSent, p.echoDue = message.ForwardOrders{}, c.now, false
		c.emit(SendForwardOrders{Peer: p.session, Orders: &orders})
	}
}
