package replica

import (
	"context"
	"maps"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

const (
	// rosterBatchDelay is how long names are collected for one record.
	rosterBatchDelay = 50 * time.Millisecond
	// rosterRetryDelay is the delay before names that are still not registered after
	// an append are appended again.
	rosterRetryDelay = time.Second
	// absenceCheckInterval is the interval between checks for absent agents.
	absenceCheckInterval = 10 * time.Second
)

// rosterKey identifies an agent of a service.
type rosterKey struct{ service, agent string }

// roster tracks the changes to the services' rosters that this entry proposes.
type roster struct {
	// pending holds, by service, the agents to be registered, and flushAt the time
	// of their next append.
	pending map[string]map[string]struct{}
	flushAt time.Time
	// lastSession is the time at which this entry last had a session with an agent.
	lastSession map[rosterKey]time.Time
	// reports holds the absence reports that this entry appended. An agent gets no
	// starts from this entry until it is registered again after its report.
	reports   map[rosterKey]absenceReport
	nextCheck time.Time
}

// absenceReport is a RecordAgentAbsent that this entry appended.
type absenceReport struct {
	// registered is the offset of the registration that the report refers to.
	registered sharedlog.Offset
	// at is the time of the append.
	at time.Time
}

func newRoster() roster {
	return roster{
		pending:     make(map[string]map[string]struct{}),
		lastSession: make(map[rosterKey]time.Time),
		reports:     make(map[rosterKey]absenceReport),
	}
}

// RegisterAgent reports whether tasks of a service may be started on an agent: its
// name is in the roster, and this entry has not reported it as absent since. If not,
// RegisterAgent registers the agent, and the Observer is notified when that has taken
// effect. Call it for each session: it also records the time of the session.
func (r *Replica) RegisterAgent(service, agent string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := rosterKey{service, agent}
	r.roster.lastSession[key] = time.Now()
	if r.roster.registered(r.core.State(), key) {
		return true
	}
	if r.roster.pending[service] == nil {
		r.roster.pending[service] = make(map[string]struct{})
	}
	r.roster.pending[service][agent] = struct{}{}
	if r.roster.flushAt.IsZero() {
		r.roster.flushAt = time.Now().Add(rosterBatchDelay)
	}
	signal(r.wakeActionLoop)
	return false
}

// registered reports whether the state holds a registration of an agent that is
// newer than the one in this entry's last absence report.
func (ro *roster) registered(s *ownership.State, key rosterKey) bool {
	return s.Registered(key.service, key.agent) > ro.reports[key].registered
}

// flushRoster appends the pending names when they are due, one record per service.
func (r *Replica) flushRoster(ctx context.Context) {
	for _, rec := range r.pendingRosterRecords(time.Now()) {
		r.appendAsync(ctx, sharedlog.KindOwnership, rec, func(sharedlog.Offset, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			// Names that are not registered by then are appended again; adding a
			// name twice has no further effect.
			r.roster.flushAt = time.Now().Add(rosterRetryDelay)
		})
	}
}

// pendingRosterRecords returns the records to append now, one per configured
// service with pending names, and schedules the next flush.
func (r *Replica) pendingRosterRecords(now time.Time) []ownership.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.pruneRegistered(r.core.State())
	if len(r.roster.pending) == 0 {
		r.roster.flushAt = time.Time{}
		return nil
	}
	if now.Before(r.roster.flushAt) {
		return nil
	}
	if r.caughtUpAt.IsZero() {
		r.roster.flushAt = now.Add(rosterRetryDelay)
		return nil
	}
	r.roster.flushAt = now.Add(r.options.Platform.Timeout + rosterRetryDelay)
	var records []ownership.Record
	for _, service := range slices.Sorted(maps.Keys(r.roster.pending)) {
		if _, ok := r.config.Get(service); !ok {
			continue
		}
		records = append(records, ownership.Record{
			Type:    ownership.RecordAgents,
			Service: service,
			Agents:  slices.Sorted(maps.Keys(r.roster.pending[service])),
		})
	}
	return records
}

// pruneRegistered deletes the pending names that have been registered.
func (ro *roster) pruneRegistered(s *ownership.State) {
	for service, agents := range ro.pending {
		for agent := range agents {
			if ro.registered(s, rosterKey{service, agent}) {
				delete(agents, agent)
			}
		}
		if len(agents) == 0 {
			delete(ro.pending, service)
		}
	}
}
