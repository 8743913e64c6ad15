package worker

import (
	"maps"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// ownerKey is one life of an entry.
type ownerKey struct {
	entry       string
	incarnation uint64
}

// owner is an entry whose runs are here. It outlives a lost connection for
// Options.Silence.
type owner struct {
	key       ownerKey
	session   Session
	lastHeard time.Duration
	// orders is the newest RunOrders.Seq of the session.
	orders uint64
	demand message.RunDemand

	// released is since when the entry is told to order nothing, so that its
	// session can be closed; 0 while it may order.
	releasedAt time.Duration
	// surplus is when the session was last said to be surplus.
	surplusAt time.Duration
	// endsDropped says that ends of the entry's runs were given up with it.
	endsDropped bool

	reportSeq int64
	lastSent  time.Duration
	synced    bool
	// told is the endpoint's version that the entry was told.
	sentVersion uint64
	free        message.Resources
	pace        float64
	// ends holds what the entry has not acknowledged; sent counts those that have
	// been reported on this session.
	ends []pendingEnd
	sent int

	offered      message.Resources
	offeredUntil time.Duration
	lastOffer    time.Duration
}

// pendingEnd is an end and the stamp of the report that first carried it on
// the present session.
type pendingEnd struct {
	end       message.RunEnd
	reportSeq int64
}

func (c *Core) openSession(ev SessionOpened) {
	key := ownerKey{ev.Entry, ev.Incarnation}
	for other, o := range c.owners.All() {
		if other.entry == ev.Entry && other.incarnation != ev.Incarnation {
			c.dropOwner(o, "another life of the entry connected")
		}
	}
	o := c.owners.Get(key)
	if o == nil {
		o = &owner{key: key}
		c.owners.Set(key, o)
		c.reclaimRuns(o)
	}
	if o.session != 0 {
		delete(c.sessions, o.session)
		c.emit(CloseSession{Session: o.session, Reason: "the entry connected again"})
	}
	o.session, o.lastHeard, o.orders, o.synced, o.sent, o.sentVersion = ev.Session, c.now, 0, false, 0, 0
	o.demand, o.offered = message.RunDemand{}, message.Resources{}
	c.sessions[ev.Session] = o
}

// reclaimRuns gives an entry that was given up the runs that are still being
// stopped, so that it hears of their ends.
func (c *Core) reclaimRuns(o *owner) {
	_, o.endsDropped = c.dropped[o.key]
	for _, r := range c.runs.All() {
		if r.owner == nil && r.key == o.key {
			r.owner = o
		}
	}
}

func (c *Core) closeSession(id Session) {
	if o := c.sessions[id]; o != nil {
		delete(c.sessions, id)
		o.session = 0
	}
}

// dropUnresponsiveOwners stops the runs of entries that have said nothing for too
// long.
func (c *Core) dropUnresponsiveOwners() {
	for _, o := range c.owners.All() {
		if c.now-o.lastHeard >= c.opts.Silence {
			c.dropOwner(o, "silent")
		}
	}
}

// recordDropped remembers a life of an entry, and forgets those of long ago.
func (c *Core) recordDropped(key ownerKey) {
	maps.DeleteFunc(c.dropped, func(_ ownerKey, at time.Duration) bool { return c.now-at > droppedRetention })
	c.dropped[key] = c.now
}

func (c *Core) dropOwner(o *owner, reason string) {
	c.owners.Delete(o.key)
	c.recordDropped(o.key)
	if o.session != 0 {
		delete(c.sessions, o.session)
		c.emit(CloseSession{Session: o.session, Reason: reason})
	}
	stopped := 0
	for _, r := range c.runs.All() {
		if r.owner == o {
			r.owner = nil
			c.stop(r)
			stopped++
		}
	}
	c.counters.Orphaned += int64(stopped)
	c.emit(Note{What: "entry lost", Subject: o.key.entry, Detail: reason})
}

// release closes a session that is not needed, in two steps: the entry is told
// that it may order nothing, and when nothing of it is left here the session
// ends. What it orders meanwhile is refused.
func (c *Core) release(id Session) {
	o := c.sessions[id]
	if o == nil {
		return
	}
	o.surplusAt = c.now
	switch {
	case o.releasedAt == 0:
		o.releasedAt, o.sentVersion = c.now, 0
	case c.now-o.releasedAt >= releaseTime && !c.hasOutstanding(o):
		delete(c.sessions, id)
		c.owners.Delete(o.key)
		c.emit(CloseSession{Session: id, Reason: "the entry has other agents"})
		c.emit(Note{What: "entry released", Subject: o.key.entry})
	}
}

// reinstate lets entries order again that are no longer said to be surplus.
func (c *Core) reinstate() {
	for _, o := range c.owners.All() {
		if o.releasedAt != 0 && c.now-o.surplusAt > surplusTime {
			o.releasedAt, o.sentVersion = 0, 0
		}
	}
}

// hasOutstanding reports whether a run of an entry is here, or an end that it has not
// acknowledged.
func (c *Core) hasOutstanding(o *owner) bool {
	if len(o.ends) > 0 {
		return true
	}
	for _, r := range c.runs.All() {
		if r.owner == o {
			return true
		}
	}
	return false
}

// handleOrders carries out a message of an entry.
func (c *Core) handleOrders(id Session, orders *message.RunOrders) {
	o := c.sessions[id]
	if o == nil {
		return
	}
	o.lastHeard = c.now
	o.orders = orders.Seq
	o.acknowledge(orders.Stamp)
	if orders.Demand != nil {
		o.demand = *orders.Demand
	}
	for _, ref := range orders.Stops {
		if r := c.runs.Get(ref); r != nil && r.owner == o {
			c.stop(r)
		}
	}
	fresh := c.now-time.Duration(orders.Stamp)*time.Microsecond < maxReportAge
	for i := range orders.Starts {
		c.handleStart(o, &orders.Starts[i], fresh)
	}
}

// acknowledge forgets the ends that were reported up to a stamp.
func (o *owner) acknowledge(reportSeq int64) {
	n := 0
	for n < o.sent && o.ends[n].reportSeq <= reportSeq {
		n++
	}
	o.ends = o.ends[n:]
	o.sent -= n
}

func (o *owner) addEnd(e message.RunEnd) { o.ends = append(o.ends, pendingEnd{end: e}) }

// report sends what has changed, ends at once and the rest at intervals.
func (c *Core) sendReports() {
	pace := c.pace()
	for _, o := range c.owners.All() {
		if o.session == 0 {
			continue
		}
		free := c.freeFor(o)
		pause := c.now - o.lastSent
		useful := o.demand.Count > 0 && o.demand.Need.Fits(free)
		switch {
		case !o.synced, o.sent < len(o.ends), o.sentVersion != c.endpoint.version:
		case free != o.free && (useful || pause >= reportPause):
		case paceChanged(pace, o.pace) && pause >= reportPause:
		case pause >= Heartbeat:
		default:
			continue
		}
		c.sendReport(o, free, pace)
	}
}

func (c *Core) sendReport(o *owner, free message.Resources, pace float64) {
	o.reportSeq = max(o.reportSeq+1, int64(c.now/time.Microsecond))
	r := &message.RunReport{Stamp: o.reportSeq, Orders: o.orders, Free: free, Pace: pace}
	for i := o.sent; i < len(o.ends); i++ {
		o.ends[i].reportSeq = o.reportSeq
		r.Ends = append(r.Ends, o.ends[i].end)
	}
	o.sent = len(o.ends)
	if !o.synced {
		r.Sync, o.synced, r.Complete = true, true, !o.endsDropped
		for ref, run := range c.runs.All() {
			if run.owner == o {
				r.Live = append(r.Live, ref)
			}
		}
	}
	if o.sentVersion != c.endpoint.version || r.Sync {
		r.Endpoint = c.describe(o)
		o.sentVersion = c.endpoint.version
	}
	o.free, o.pace, o.lastSent = free, pace, c.now
	c.emit(SendReport{Session: o.session, Report: r})
}
