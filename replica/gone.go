package replica

import (
	"context"
	"time"

	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// reportGoneAgents tells the log which agents this entry has had no session
// with for so long that every job that they may have started for it is refused
// by its age.
func (r *Replica) reportGoneAgents(ctx context.Context) {
	now := time.Now()
	candidates := r.absentAgents(now)
	for _, key := range candidates {
		connected := r.options.Connected(key.service, key.agent)
		rec, ok := r.judgeAgent(now, key, connected)
		if !ok {
			continue
		}
		r.options.Metrics.Add("roster.reported_gone", 1)
		r.goAppend(ctx, sharedlog.KindOwnership, rec, func(sharedlog.Offset, error) {})
	}
}

// goneWait is how long an agent must have been absent. A job that one of its
// starts belongs to was submitted before the start, and the session may have
// ended up to rosterCheck after it was last seen.
func (r *Replica) goneWait() time.Duration {
	o := r.options.Ownership
	return o.ResubmitWindow + o.ClockSkew + o.AcceptWindow + o.DriftMargin + rosterCheck
}

// absentAgents returns the agents of the services in which this entry has
// owned its shards for long enough.
func (r *Replica) absentAgents(now time.Time) []rosterKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.Connected == nil || now.Before(r.roster.checkAt) || r.caughtUp.IsZero() {
		return nil
	}
	r.roster.checkAt = now.Add(rosterCheck)
	r.roster.forgetDropped(r.core.State())
	var keys []rosterKey
	for service, since := range r.core.ActingSince() {
		if now.Sub(since) < r.goneWait() {
			continue
		}
		for _, agent := range r.core.State().Roster(service) {
			keys = append(keys, rosterKey{service, agent})
		}
	}
	return keys
}

// judgeAgent returns the record that reports an agent as gone, if it is. A
// report that has not made the agent's name leave the roster within goneWait is
// sent again, as an answer may be lost and another owner may have disagreed.
func (r *Replica) judgeAgent(now time.Time, key rosterKey, connected bool) (ownership.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if connected {
		r.roster.seen[key] = now
		return ownership.Record{}, false
	}
	registered := r.core.State().Registered(key.service, key.agent)
	sent := r.roster.gone[key]
	resent := sent.registered == registered && now.Sub(sent.at) < r.goneWait()
	if registered == 0 || resent || now.Sub(r.roster.seen[key]) < r.goneWait() {
		return ownership.Record{}, false
	}
	r.roster.gone[key] = goneReport{registered: registered, at: now}
	return ownership.Record{
		Type:    ownership.RecordAgentGone,
		Service: key.service,
		Agents:  []string{key.agent},
		By:      string(r.core.Self().ID),
		Seen:    registered,
	}, true
}

// forgetDropped forgets what concerns agents that stand in no roster.
func (ro *roster) forgetDropped(s *ownership.State) {
	for key := range ro.gone {
		if s.Registered(key.service, key.agent) == 0 {
			delete(ro.gone, key)
		}
	}
	for key := range ro.seen {
		_, wanted := ro.wanted[key.service][key.agent]
		if s.Registered(key.service, key.agent) == 0 && !wanted {
			delete(ro.seen, key)
		}
	}
}
