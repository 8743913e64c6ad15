package replica

import (
	"context"
	"time"

	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// reportAbsentAgents tells the log which agents this entry has had no session
// with for so long that every job that they may have started for it is refused
// by its age.
func (r *Replica) reportAbsentAgents(ctx context.Context) {
	now := time.Now()
	candidates := r.agentsToCheck(now)
	for _, key := range candidates {
		connected := r.options.Connected(key.service, key.agent)
		rec, ok := r.absenceRecord(now, key, connected)
		if !ok {
			continue
		}
		r.options.Metrics.Add("roster.reported_gone", 1)
		r.appendAsync(ctx, sharedlog.KindOwnership, rec, func(sharedlog.Offset, error) {})
	}
}

// absenceTimeout is how long an agent must have been absent. A job that one of its
// starts belongs to was submitted before the start, and the session may have
// ended up to absenceCheckInterval after it was last seen.
func (r *Replica) absenceTimeout() time.Duration {
	o := r.options.Ownership
	return o.ResubmitWindow + o.ClockSkew + o.AcceptWindow + o.DriftMargin + absenceCheckInterval
}

// agentsToCheck returns the agents of the services in which this entry has
// owned its shards for long enough.
func (r *Replica) agentsToCheck(now time.Time) []rosterKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.Connected == nil || now.Before(r.roster.nextCheck) || r.caughtUpAt.IsZero() {
		return nil
	}
	r.roster.nextCheck = now.Add(absenceCheckInterval)
	r.roster.pruneUnregistered(r.core.State())
	var keys []rosterKey
	for service, since := range r.core.ActingSince() {
		if now.Sub(since) < r.absenceTimeout() {
			continue
		}
		for _, agent := range r.core.State().Roster(service) {
			keys = append(keys, rosterKey{service, agent})
		}
	}
	return keys
}

// absenceRecord returns the record that reports an agent as gone, if it is. A
// report that has not made the agent's name leave the roster within absenceTimeout is
// sent again, as an answer may be lost and another owner may have disagreed.
func (r *Replica) absenceRecord(now time.Time, key rosterKey, connected bool) (ownership.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if connected {
		r.roster.lastSession[key] = now
		return ownership.Record{}, false
	}
	registered := r.core.State().Registered(key.service, key.agent)
	sent := r.roster.reports[key]
	recentlySent := sent.registered == registered && now.Sub(sent.at) < r.absenceTimeout()
	if registered == 0 || recentlySent || now.Sub(r.roster.lastSession[key]) < r.absenceTimeout() {
		return ownership.Record{}, false
	}
	r.roster.reports[key] = absenceReport{registered: registered, at: now}
	return ownership.Record{
		Type:    ownership.RecordAgentGone,
		Service: key.service,
		Agents:  []string{key.agent},
		By:      string(r.core.Self().ID),
		Seen:    registered,
	}, true
}

// pruneUnregistered forgets what concerns agents that stand in no roster.
func (ro *roster) pruneUnregistered(s *ownership.State) {
	for key := range ro.reports {
		if s.Registered(key.service, key.agent) == 0 {
			delete(ro.reports, key)
		}
	}
	for key := range ro.lastSession {
		_, pending := ro.pending[key.service][key.agent]
		if s.Registered(key.service, key.agent) == 0 && !pending {
			delete(ro.lastSession, key)
		}
	}
}
