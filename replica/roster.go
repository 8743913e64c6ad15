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
	// rosterBatchDelay is how long names are gathered for one record.
	rosterBatchDelay = 50 * time.Millisecond
	// rosterRetryDelay is the pause after an append that had no effect.
	rosterRetryDelay = time.Second
	// absenceCheckInterval is the pause between two looks for agents that are gone.
	absenceCheckInterval = 10 * time.Second
)

// rosterKey names an agent of a service.
type rosterKey struct{ service, agent string }

// roster holds what this entry wants to change in the rosters.
type roster struct {
	pending map[string]map[string]struct{}
	flushAt time.Time
	// seen is when this entry last had a session with an agent.
	lastSession map[rosterKey]time.Time
	// gone holds what this entry has said of agents. Until one is registered
	// anew it gets no starts from this entry.
	reports   map[rosterKey]absenceReport
	nextCheck time.Time
}

// absenceReport is a RecordAgentGone that was sent.
type absenceReport struct {
	registered sharedlog.Offset
	at         time.Time
}

func newRoster() roster {
	return roster{
		pending:     make(map[string]map[string]struct{}),
		lastSession: make(map[rosterKey]time.Time),
		reports:     make(map[rosterKey]absenceReport),
	}
}

// RegisterAgent reports whether tasks of a service may be started on an agent:
// its name stands in the roster, and this entry has not reported it as gone
// since. When it may not, the agent is registered, and the Observer hears of
// it. It is called for each session, so that the agent counts as seen.
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
	signal(r.wakeActor)
	return false
}

// registered reports whether the log holds a registration of an agent that is
// newer than what this entry has said of it.
func (ro *roster) registered(s *ownership.State, key rosterKey) bool {
	return s.Registered(key.service, key.agent) > ro.reports[key].registered
}

// flushRoster writes the names that are due, one record a service.
func (r *Replica) flushRoster(ctx context.Context) {
	for _, rec := range r.pendingRosterRecords(time.Now()) {
		r.appendAsync(ctx, sharedlog.KindOwnership, rec, func(sharedlog.Offset, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			// What the log does not show by then is written again; a name that
			// is added twice counts once.
			r.roster.flushAt = time.Now().Add(rosterRetryDelay)
		})
	}
}

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

// pruneRegistered forgets the names that stand in the log.
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
