package executor

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/evacuation"
)

// coldTolerance is the change of the expected end of a cold period that is reported to
// entries: more than announcements are delayed by.
const coldTolerance = 200 * time.Millisecond

// evacuationState is what this agent knows of the evacuated zones.
type evacuationState struct {
	view evacuation.View
	// changes counts the changes of the set of zones, source is where the last one came from.
	changes uint64
	source  string
	// confirmed is set once the state was learned after resumedAt, which is the end of the
	// last long pause of this process: what was learned before may be outdated.
	confirmed bool
	resumedAt time.Duration
	// active is set while the endpoint's zone, named zone, is evacuated, since the time
	// since; total is the time of earlier evacuations. cleared is set once no run is left.
	active, cleared bool
	zone            string
	since, total    time.Duration
}

// entryEvacuation is the exchange of states with an entry on its current session.
type entryEvacuation struct {
	// received is set once the entry has sent a state.
	received bool
	// reported is the last version reported to the entry, or -1, and reportedChange the
	// last change.
	reported       int64
	reportedChange uint64
}

// zone returns the endpoint's availability zone.
func (c *Core) zone() string {
	if c.endpoint.zone != "" {
		return c.endpoint.zone
	}
	return c.opts.Zone
}

// startsBarred reports whether no task may start as the endpoint's zone is evacuated, or
// may be for all that is known.
func (c *Core) startsBarred() bool {
	return c.evacuation.view.Has(c.zone()) || c.opts.EvacuationRequired && !c.evacuation.confirmed
}

func (c *Core) mergeEvacuation(s evacuation.State, source string) {
	if !c.evacuation.view.Merge(s).IsZero() {
		c.evacuation.changes++
		c.evacuation.source = source
	}
}

// learnEvacuation handles a state read from the operator's history. A read that began
// before the end of a pause may be as old as the pause, and one with a lower version than
// the known one is outdated.
func (c *Core) learnEvacuation(ev EvacuationLearned) {
	e := &c.evacuation
	c.mergeEvacuation(ev.State, "store")
	if ev.ReadAt >= e.resumedAt && ev.State.Version >= e.view.Version() {
		e.confirmed = true
	}
}

// learnEvacuationFrom handles the state in a message of an entry. An entry sends each
// change at once, so that a message that it sent after a pause of this process confirms the
// state: one that answers a report from after the pause.
func (c *Core) learnEvacuationFrom(en *entry, orders *message.RunOrders) {
	if orders.Evacuation != nil {
		en.evacuation.received = true
		c.mergeEvacuation(*orders.Evacuation, en.key.name)
	}
	if en.evacuation.received && orders.ReportTimestamp >= int64(c.evacuation.resumedAt/time.Microsecond) {
		c.evacuation.confirmed = true
	}
}

// reportEvacuation adds the state to a report if the entry has not been sent it.
func (c *Core) reportEvacuation(en *entry, r *message.RunReport) {
	en.evacuation.reportedChange = c.evacuation.changes
	if version := c.evacuation.view.Version(); version > en.evacuation.reported {
		r.Evacuation, en.evacuation.reported = c.evacuation.view.State(), version
	}
}

// trackEvacuation reports the phases of the evacuation of the endpoint's zone.
func (c *Core) trackEvacuation() {
	e := &c.evacuation
	if evacuated := e.view.Has(c.zone()); evacuated != e.active || evacuated && e.zone != c.zone() {
		if e.active {
			e.total += c.now - e.since
			c.reportProgress(evacuation.Ended)
		}
		e.active, e.cleared, e.since, e.zone = evacuated, false, c.now, c.zone()
		if evacuated {
			c.reportProgress(evacuation.Began)
			c.fenceStartsInFlight()
		}
	}
	if e.active && !e.cleared && c.runs.Len() == 0 {
		e.cleared = true
		c.reportProgress(evacuation.Cleared)
	}
}

// fenceStartsInFlight raises the fence, so that a start that was sent before the evacuation
// is carried out within a round trip or not at all.
func (c *Core) fenceStartsInFlight() {
	for _, r := range c.runs.All() {
		if r.state == runStarting {
			c.raiseFenceAndPoll()
			return
		}
	}
}

func (c *Core) reportProgress(phase evacuation.Phase) {
	e, endpoints := &c.evacuation, 0
	if c.endpoint.present {
		endpoints = 1
	}
	c.emit(EvacuationProgressed{evacuation.Progress{
		Phase: phase, Zone: e.zone, Version: e.view.Version(), Source: e.source, Endpoints: endpoints, Runs: c.runs.Len(),
	}})
}

// Evacuated reports whether the endpoint's zone is evacuated, and for how long it was in
// total.
func (c *Core) Evacuated() (active bool, total time.Duration) {
	e := &c.evacuation
	if e.active {
		return true, e.total + c.now - e.since
	}
	return false, e.total
}

// updateCold records for how long the endpoint stays slow and reports whether that
// differs from what entries expect. Without Options.EvacuationRequired, entries use cold
// endpoints as they use others.
func (c *Core) updateCold(left time.Duration) bool {
	if !c.opts.EvacuationRequired {
		return false
	}
	e := &c.endpoint
	until := c.now + left
	if expected := max(e.coldUntil, c.now); until-expected <= coldTolerance && expected-until <= coldTolerance {
		return false
	}
	e.coldUntil = until
	return true
}
