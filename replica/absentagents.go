package replica

import (
	"context"
	"time"

	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// reportAbsentAgents appends a record for each agent with which this entry has had
// no session for absenceTimeout. By then every job of which the agent may have
// started a task for this entry is too old to be accepted again.
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

// absenceTimeout returns how long an agent must have been without a session before
// it is reported as absent. Without absenceCheckInterval, the sum is the time from an
// agent's last start until no job submitted before that start can be accepted again.
// The interval is added because a session may end up to that long after the last check
// that found it.
func (r *Replica) absenceTimeout() time.Duration {
	o := r.options.Ownership
	return o.ResubmitWindow + o.ClockSkew + o.AcceptWindow + o.DriftMargin + absenceCheckInterval
}

// agentsToCheck returns the agents of each service of which this entry owns shards
// and acquired the last of them at least absenceTimeout ago. It returns nil when no
// check is due.
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

// absenceRecord returns the record that reports an agent as absent, and false if
// there is nothing to report. A report that has not removed the agent from the
// roster within absenceTimeout is sent again, as the answer to an append may be lost
// and another owner may still have had a session with the agent.
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
		Type:    ownership.RecordAgentAbsent,
		Service: key.service,
		Agents:  []string{key.agent},
		By:      string(r.core.Self().ID),
		Seen:    registered,
	}, true
}

// pruneUnregistered deletes the reports on agents that are no longer in their
// service's roster, and the session times of those that are not waiting to be
// registered either.
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
