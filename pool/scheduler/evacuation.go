package scheduler

import (
	"slices"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/evacuation"
)

// evacuationState is what this entry knows of the evacuated zones.
type evacuationState struct {
	view evacuation.View
	// changes counts the changes of the set of zones, source is where the last one came from.
	changes uint64
	source  string
	// clearing lists the evacuated zones in which runs are in progress.
	clearing []string
}

// agentEvacuation is an agent's part in an evacuation.
type agentEvacuation struct {
	// agentZone is the agent's zone; that of its endpoint, if known, is the one that counts.
	agentZone string
	// active is set while the endpoint's zone is evacuated.
	active bool
	// sent is the last version sent on the current session, or -1, and sentChange the last
	// change.
	sent       int64
	sentChange uint64
}

func (a *agent) zone() string {
	if a.endpoint != nil && a.endpoint.Zone != "" {
		return a.endpoint.Zone
	}
	return a.evacuation.agentZone
}

// learnEvacuation takes a state over if it is newer than the known one. Starts that were
// not sent yet are withdrawn from evacuated zones, and the new state is passed on.
func (c *Core) learnEvacuation(s evacuation.State, source string) {
	e := &c.evacuation
	change := e.view.Merge(s)
	if change.IsZero() {
		return
	}
	e.changes++
	e.source = source
	before := c.readyMilliCPU()
	for _, a := range c.agentList {
		c.markEvacuated(a)
	}
	if after := c.readyMilliCPU(); after < before {
		// Work starts at the rate of the remaining endpoints from now on, not only when the
		// average has followed. Jobs that can't wait for that are refused now.
		c.started.value = c.started.rate(c.now) * float64(after) / float64(before)
		c.started.updatedAt = c.now
		for _, j := range c.jobOrder {
			j.reviewAt = min(j.reviewAt, c.now)
		}
	}
	for _, zone := range change.Added {
		c.reportEvacuation(evacuation.Began, zone)
		e.clearing = append(e.clearing, zone)
	}
	for _, zone := range change.Removed {
		e.clearing = slices.DeleteFunc(e.clearing, func(z string) bool { return z == zone })
		c.reportEvacuation(evacuation.Ended, zone)
	}
	c.emit(ShareEvacuation{State: *e.view.State()})
}

// readyMilliCPU returns the capacity of the endpoints that take tasks.
func (c *Core) readyMilliCPU() int64 {
	sum := int64(0)
	for _, a := range c.agentList {
		if a.isReady() {
			sum += a.endpoint.Capacity.MilliCPU
		}
	}
	return sum
}

// markEvacuated updates whether an agent's zone is evacuated and, if it is, withdraws the
// starts that were not sent yet.
func (c *Core) markEvacuated(a *agent) {
	a.evacuation.active = c.evacuation.view.Has(a.zone())
	if !a.evacuation.active || len(a.startOrder) == 0 {
		return
	}
	for _, r := range a.runs.All() {
		c.withdraw(r)
	}
}

// openEvacuation begins a session with an agent, which is to be sent the state.
func (c *Core) openEvacuation(a *agent, zone string) {
	a.evacuation = agentEvacuation{agentZone: zone, sent: -1}
	c.markEvacuated(a)
}

// evacuationDue reports whether an agent must be sent a change at once.
func (c *Core) evacuationDue(a *agent) bool { return a.evacuation.sentChange != c.evacuation.changes }

// sendEvacuation adds the state to a message if the agent has not been sent it.
func (c *Core) sendEvacuation(a *agent, orders *message.RunOrders) {
	a.evacuation.sentChange = c.evacuation.changes
	if version := c.evacuation.view.Version(); version > a.evacuation.sent {
		orders.Evacuation, a.evacuation.sent = c.evacuation.view.State(), version
	}
}

// allEvacuated reports whether endpoints of a job's service are connected and all of them
// are in evacuated zones: no capacity becomes free soon.
func (c *Core) allEvacuated(j *job) bool {
	found := false
	for _, a := range c.agentList {
		if a.endpoint == nil || a.endpoint.Service != j.Service {
			continue
		}
		if !a.evacuation.active {
			return false
		}
		found = true
	}
	return found
}

// trackEvacuations reports the zones in which the last run has ended.
func (c *Core) trackEvacuations() {
	e := &c.evacuation
	e.clearing = slices.DeleteFunc(e.clearing, func(zone string) bool {
		if _, runs := c.zoneUse(zone); runs > 0 {
			return false
		}
		c.reportEvacuation(evacuation.Cleared, zone)
		return true
	})
}

func (c *Core) reportEvacuation(phase evacuation.Phase, zone string) {
	endpoints, runs := c.zoneUse(zone)
	c.emit(EvacuationProgressed{evacuation.Progress{
		Phase: phase, Zone: zone, Version: c.evacuation.view.Version(), Source: c.evacuation.source, Endpoints: endpoints, Runs: runs,
	}})
}

// zoneUse counts the connected endpoints of a zone and this entry's runs there.
func (c *Core) zoneUse(zone string) (endpoints, runs int) {
	for _, a := range c.agentList {
		if a.zone() == zone {
			runs += a.runs.Len()
			if a.endpoint != nil {
				endpoints++
			}
		}
	}
	return endpoints, runs
}

// Evacuation returns the newest state of the evacuated zones, or nil if none is known.
func (c *Core) Evacuation() *evacuation.State { return c.evacuation.view.State() }

// EvacuatedRuns returns the number of this entry's runs in evacuated zones.
func (c *Core) EvacuatedRuns() int {
	n := 0
	for _, a := range c.agentList {
		if a.evacuation.active {
			n += a.runs.Len()
		}
	}
	return n
}
