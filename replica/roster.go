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
	// rosterBatch is how long names are gathered for one record.
	rosterBatch = 50 * time.Millisecond
	// rosterRetry is the pause after an append that had no effect.
	rosterRetry = time.Second
	// rosterCheck is the pause between two looks for agents that are gone.
	rosterCheck = 10 * time.Second
)

// rosterKey names an agent of a service.
type rosterKey struct{ service, agent string }

// roster holds what this entry wants to change in the rosters.
type roster struct {
	wanted map[string]map[string]struct{}
	due    time.Time
	// seen is when this entry last had a session with an agent.
	seen map[rosterKey]time.Time
	// gone holds what this entry has said of agents. Until one is registered
	// anew it gets no starts from this entry.
	gone    map[rosterKey]goneReport
	checkAt time.Time
}

// goneReport is a RecordAgentGone that was sent.
type goneReport struct {
	registered sharedlog.Offset
	at         time.Time
}

func newRoster() roster {
	return roster{
		wanted: make(map[string]map[string]struct{}),
		seen:   make(map[rosterKey]time.Time),
		gone:   make(map[rosterKey]goneReport),
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
	r.roster.seen[key] = time.Now()
	if r.roster.registered(r.core.State(), key) {
		return true
	}
	if r.roster.wanted[service] == nil {
		r.roster.wanted[service] = make(map[string]struct{})
	}
	r.roster.wanted[service][agent] = struct{}{}
	if r.roster.due.IsZero() {
		r.roster.due = time.Now().Add(rosterBatch)
	}
	kick(r.acting)
	return false
}

// registered reports whether the log holds a registration of an agent that is
// newer than what this entry has said of it.
func (ro *roster) registered(s *ownership.State, key rosterKey) bool {
	return s.Registered(key.service, key.agent) > ro.gone[key].registered
}

// flushRoster writes the names that are due, one record a service.
func (r *Replica) flushRoster(ctx context.Context) {
	for _, rec := range r.dueRoster(time.Now()) {
		r.goAppend(ctx, sharedlog.KindOwnership, rec, func(sharedlog.Offset, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			// What the log does not show by then is written again; a name that
			// is added twice counts once.
			r.roster.due = time.Now().Add(rosterRetry)
		})
	}
}

func (r *Replica) dueRoster(now time.Time) []ownership.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.dropKnown(r.core.State())
	if len(r.roster.wanted) == 0 {
		r.roster.due = time.Time{}
		return nil
	}
	if now.Before(r.roster.due) {
		return nil
	}
	if r.caughtUp.IsZero() {
		r.roster.due = now.Add(rosterRetry)
		return nil
	}
	r.roster.due = now.Add(r.options.Platform.Timeout + rosterRetry)
	var records []ownership.Record
	for _, service := range slices.Sorted(maps.Keys(r.roster.wanted)) {
		if _, ok := r.config.Get(service); !ok {
			continue
		}
		records = append(records, ownership.Record{
			Type:    ownership.RecordAgents,
			Service: service,
			Agents:  slices.Sorted(maps.Keys(r.roster.wanted[service])),
		})
	}
	return records
}

// dropKnown forgets the names that stand in the log.
func (ro *roster) dropKnown(s *ownership.State) {
	for service, agents := range ro.wanted {
		for agent := range agents {
			if ro.registered(s, rosterKey{service, agent}) {
				delete(agents, agent)
			}
		}
		if len(agents) == 0 {
			delete(ro.wanted, service)
		}
	}
}
