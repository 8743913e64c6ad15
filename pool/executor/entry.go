package executor

import (
	"maps"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// entryKey identifies one incarnation of an entry.
type entryKey struct {
	name        string
	incarnation uint64
}

// entry is the state of one incarnation of an entry. It outlives the session: it is
// removed when the entry has sent nothing for Options.HeartbeatTimeout, when another
// incarnation of the entry connects, or when a surplus session is closed.
type entry struct {
	key       entryKey
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
	// sentVersion, free, slowdown and confined are the endpoint's version, the free
	// capacity, the slowdown and the confinement that were last reported to the entry.
	sentVersion uint64
	free        message.Resources
	slowdown    float64
	confined    bool
	// ends holds the ends that the entry has not acknowledged; sent is the number of
	// them that have been reported on this session.
	ends []pendingEnd
	sent int

	// sentCrash is the version of the last crash reported on this session.
	sentCrash  uint64
	evacuation entryEvacuation

	offered      message.Resources
	offeredUntil time.Duration
	// holding is set while the offer is smaller than a task of the demand, which waits
	// for the rest.
	holding   bool
	lastOffer time.Duration
}

// pendingEnd is an end and the timestamp of the report that first carried it on the
// current session.
type pendingEnd struct {
	end             message.RunEnd
	reportTimestamp int64
}

func (c *Core) openSession(ev SessionOpened) {
	key := entryKey{ev.Entry, ev.Incarnation}
	for other, en := range c.entries.All() {
		if other.name == ev.Entry && other.incarnation != ev.Incarnation {
			c.dropEntry(en, "another incarnation of the entry connected")
		}
	}
	en := c.entries.Get(key)
	if en == nil {
		en = &entry{key: key}
		c.entries.Set(key, en)
		c.reclaimRuns(en)
	}
	if en.session != 0 {
		delete(c.sessions, en.session)
		c.emit(CloseSession{Session: en.session, Reason: "the entry connected again"})
	}
	en.session, en.lastHeard, en.orders, en.synced, en.sent, en.sentVersion = ev.Session, c.now, 0, false, 0, 0
	en.sentCrash = 0
	en.evacuation = entryEvacuation{reported: -1}
	en.demand, en.offered = message.RunDemand{}, message.Resources{}
	c.sessions[ev.Session] = en
}

// reclaimRuns assigns the runs of a dropped entry that are still being stopped to
// the entry again, so that their ends are reported to it.
func (c *Core) reclaimRuns(en *entry) {
	_, en.endsDropped = c.dropped[en.key]
	for _, r := range c.runs.All() {
		if r.entry == nil && r.key == en.key {
			r.entry = en
		}
	}
}

func (c *Core) closeSession(id Session) {
	if en := c.sessions[id]; en != nil {
		delete(c.sessions, id)
		en.session = 0
	}
}

// dropUnresponsiveEntries drops the entries that have sent nothing for the
// heartbeat timeout and stops their runs.
func (c *Core) dropUnresponsiveEntries() {
	for _, en := range c.entries.All() {
		if c.now-en.lastHeard >= c.opts.HeartbeatTimeout {
			c.dropEntry(en, "silent")
		}
	}
}

// recordDropped remembers a dropped incarnation of an entry and discards records
// older than droppedRetention.
func (c *Core) recordDropped(key entryKey) {
	maps.DeleteFunc(c.dropped, func(_ entryKey, at time.Duration) bool { return c.now-at > droppedRetention })
	c.dropped[key] = c.now
}

func (c *Core) dropEntry(en *entry, reason string) {
	c.entries.Delete(en.key)
	c.recordDropped(en.key)
	if en.session != 0 {
		delete(c.sessions, en.session)
		c.emit(CloseSession{Session: en.session, Reason: reason})
	}
	stopped := 0
	for _, r := range c.runs.All() {
		if r.entry == en {
			r.entry = nil
			c.stop(r)
			stopped++
		}
	}
	c.counters.Orphaned += int64(stopped)
	c.emit(Note{What: "entry lost", Subject: en.key.name, Detail: reason})
}

// release closes a surplus session in two steps. The entry is first notified that
// it may send no starts; after releaseTime, the session is closed once no run and
// no unacknowledged end of the entry is left. Starts that arrive in the meantime
// are refused.
func (c *Core) release(id Session) {
	en := c.sessions[id]
	if en == nil {
		return
	}
	en.surplusAt = c.now
	switch {
	case en.releasedAt == 0:
		en.releasedAt, en.sentVersion = c.now, 0
	case c.now-en.releasedAt >= releaseTime && !c.hasOutstanding(en):
		delete(c.sessions, id)
		c.entries.Delete(en.key)
		c.emit(CloseSession{Session: id, Reason: "the entry has other agents"})
		c.emit(Note{What: "entry released", Subject: en.key.name})
	}
}

// reinstate accepts starts again from released entries whose sessions are no
// longer surplus.
func (c *Core) reinstate() {
	for _, en := range c.entries.All() {
		if en.releasedAt != 0 && c.now-en.surplusAt > surplusTime {
			en.releasedAt, en.sentVersion = 0, 0
		}
	}
}

// hasOutstanding reports whether an entry has runs here or ends that it has not
// acknowledged.
func (c *Core) hasOutstanding(en *entry) bool {
	if len(en.ends) > 0 {
		return true
	}
	for _, r := range c.runs.All() {
		if r.entry == en {
			return true
		}
	}
	return false
}

// handleOrders processes a message of an entry: its acknowledgement, its demand,
// its stops and its starts, in this order.
func (c *Core) handleOrders(id Session, orders *message.RunOrders) {
	en := c.sessions[id]
	if en == nil {
		return
	}
	en.lastHeard = c.now
	en.orders = orders.Seq
	en.acknowledge(orders.ReportTimestamp)
	c.learnEvacuationFrom(en, orders)
	if orders.Demand != nil {
		en.demand = *orders.Demand
	}
	for _, ref := range orders.Stops {
		if r := c.runs.Get(ref); r != nil && r.entry == en {
			c.stop(r)
		}
	}
	fresh := c.now-time.Duration(orders.ReportTimestamp)*time.Microsecond < maxReportAge
	for i := range orders.Starts {
		c.handleStart(en, &orders.Starts[i], fresh)
	}
}

// acknowledge discards the ends that were first reported up to a report's
// timestamp.
func (en *entry) acknowledge(reportTimestamp int64) {
	n := 0
	for n < en.sent && en.ends[n].reportTimestamp <= reportTimestamp {
		n++
	}
	en.ends = en.ends[n:]
	en.sent -= n
}

func (en *entry) addEnd(e message.RunEnd) { en.ends = append(en.ends, pendingEnd{end: e}) }

// sendReports reports changes to the entries. Ends, changes of the endpoint and free
// capacity for which an entry has demand are reported immediately, other changes at
// intervals.
func (c *Core) sendReports() {
	slowdown := c.slowdown()
	for _, en := range c.entries.All() {
		if en.session == 0 {
			continue
		}
		free := c.freeFor(en)
		sinceLastSent := c.now - en.lastSent
		useful := en.demand.Count > 0 && en.demand.Need.Fits(free)
		switch {
		case !en.synced, en.sent < len(en.ends), en.sentCrash < c.crashVersion, en.sentVersion != c.endpoint.version,
			en.confined != c.confinement.active, en.evacuation.reportedChange != c.evacuation.changes:
		case free != en.free && (useful || sinceLastSent >= minReportInterval):
		case slowdownChanged(slowdown, en.slowdown) && sinceLastSent >= minReportInterval:
		case sinceLastSent >= Heartbeat:
		default:
			continue
		}
		c.sendReport(en, free, slowdown)
	}
}

func (c *Core) sendReport(en *entry, free message.Resources, slowdown float64) {
	en.reportTimestamp = max(en.reportTimestamp+1, int64(c.now/time.Microsecond))
	r := &message.RunReport{
		Timestamp: en.reportTimestamp, OrdersSeq: en.orders, Free: free, Slowdown: slowdown,
		Confined: c.confinement.active, ConfinedMilliCPU: c.confinement.milliCPU,
	}
	for i := en.sent; i < len(en.ends); i++ {
		en.ends[i].reportTimestamp = en.reportTimestamp
		r.Ends = append(r.Ends, en.ends[i].end)
	}
	en.sent = len(en.ends)
	if en.sentCrash < c.crashVersion {
		r.Crashes = c.crashesAfter(en.sentCrash)
		en.sentCrash = c.crashVersion
	}
	if !en.synced {
		r.Sync, en.synced, r.Complete = true, true, !en.endsDropped
		for ref, run := range c.runs.All() {
			if run.entry == en {
				r.Active = append(r.Active, ref)
			}
		}
	}
	if en.sentVersion != c.endpoint.version || r.Sync {
		r.Endpoint = c.describe(en)
		en.sentVersion = c.endpoint.version
	}
	c.reportEvacuation(en, r)
	en.free, en.slowdown, en.confined, en.lastSent = free, slowdown, c.confinement.active, c.now
	c.emit(SendReport{Session: en.session, Report: r})
}
