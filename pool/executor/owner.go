package executor

import (
	"maps"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// ownerKey identifies one incarnation of an entry.
type ownerKey struct {
	entry       string
	incarnation uint64
}

// owner is an entry that owns runs at the endpoint. It is kept for
// Options.HeartbeatTimeout after its connection was lost.
type owner struct {
	key       ownerKey
	session   Session
	lastHeard time.Duration
	// orders is the newest RunOrders.Seq received on the session.
	orders uint64
	demand message.RunDemand

	// releasedAt is the time since which the entry may send no starts, so that its
	// session can be closed; 0 while it may.
	releasedAt time.Duration
	// surplusAt is the time of the session's last SessionSurplus.
	surplusAt time.Duration
	// endsDropped is set when unacknowledged ends may have been discarded, because
	// the entry was dropped earlier.
	endsDropped bool

	// reportTimestamp is the timestamp of the last report, in microseconds on this
	// agent's clock. It rises with each report. Orders carry the timestamp of the
	// report on which they are based, and expire when it is maxReportAge old.
	reportTimestamp int64
	lastSent        time.Duration
	// synced is set once the full state was reported on this session.
	synced bool
	// sentVersion, free and pace are the endpoint's version, the free capacity and
	// the pace that were last reported to the entry.
	sentVersion uint64
	free        message.Resources
	pace        float64
	// ends holds the ends that the entry has not acknowledged; sent is the number of
	// them that have been reported on this session.
	ends []pendingEnd
	sent int

	offered      message.Resources
	offeredUntil time.Duration
	lastOffer    time.Duration
}

// pendingEnd is an end and the timestamp of the report that first carried it on the
// current session.
type pendingEnd struct {
	end             message.RunEnd
	reportTimestamp int64
}

func (c *Core) openSession(ev SessionOpened) {
	key := ownerKey{ev.Entry, ev.Incarnation}
	for other, o := range c.owners.All() {
		if other.entry == ev.Entry && other.incarnation != ev.Incarnation {
			c.dropOwner(o, "another incarnation of the entry connected")
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

// reclaimRuns assigns the runs of a dropped entry that are still being stopped to
// the entry again, so that their ends are reported to it.
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

// dropUnresponsiveOwners drops the entries that have sent nothing for the
// heartbeat timeout and stops their runs.
func (c *Core) dropUnresponsiveOwners() {
	for _, o := range c.owners.All() {
		if c.now-o.lastHeard >= c.opts.HeartbeatTimeout {
			c.dropOwner(o, "silent")
		}
	}
}

// recordDropped remembers a dropped incarnation of an entry and discards records
// older than droppedRetention.
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

// release closes a surplus session in two steps. The entry is first notified that
// it may send no starts; after releaseTime, the session is closed once no run and
// no unacknowledged end of the entry is left. Starts that arrive in the meantime
// are refused.
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

// reinstate accepts starts again from released entries whose sessions are no
// longer surplus.
func (c *Core) reinstate() {
	for _, o := range c.owners.All() {
		if o.releasedAt != 0 && c.now-o.surplusAt > surplusTime {
			o.releasedAt, o.sentVersion = 0, 0
		}
	}
}

// hasOutstanding reports whether an entry has runs here or ends that it has not
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

// handleOrders processes a message of an entry: its acknowledgement, its demand,
// its stops and its starts, in this order.
func (c *Core) handleOrders(id Session, orders *message.RunOrders) {
	o := c.sessions[id]
	if o == nil {
		return
	}
	o.lastHeard = c.now
	o.orders = orders.Seq
	o.acknowledge(orders.ReportTimestamp)
	if orders.Demand != nil {
		o.demand = *orders.Demand
	}
	for _, ref := range orders.Stops {
		if r := c.runs.Get(ref); r != nil && r.owner == o {
			c.stop(r)
		}
	}
	fresh := c.now-time.Duration(orders.ReportTimestamp)*time.Microsecond < maxReportAge
	for i := range orders.Starts {
		c.handleStart(o, &orders.Starts[i], fresh)
	}
}

// acknowledge discards the ends that were first reported up to a report's
// timestamp.
func (o *owner) acknowledge(reportTimestamp int64) {
	n := 0
	for n < o.sent && o.ends[n].reportTimestamp <= reportTimestamp {
		n++
	}
	o.ends = o.ends[n:]
	o.sent -= n
}

func (o *owner) addEnd(e message.RunEnd) { o.ends = append(o.ends, pendingEnd{end: e}) }

// sendReports reports changes to the entries: ends, changes of the endpoint and
// free capacity that an entry waits for at once, the rest at intervals.
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
	o.reportTimestamp = max(o.reportTimestamp+1, int64(c.now/time.Microsecond))
	r := &message.RunReport{Timestamp: o.reportTimestamp, OrdersSeq: o.orders, Free: free, Slowdown: pace}
	for i := o.sent; i < len(o.ends); i++ {
		o.ends[i].reportTimestamp = o.reportTimestamp
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
