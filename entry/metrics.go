package entry

import (
	"maps"
	"slices"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// updateGauges copies the state of the cores into gauges.
func (e *Entry) updateGauges() {
	e.metrics.Set("agents", int64(e.sessions.agentCount()))
	e.metrics.Set("config.not_understood", int64(e.replica.NotUnderstood()))
	for _, service := range e.services() {
		if counters, ok := e.ServiceCounters(service); ok {
			e.setCoreGauges(service, counters)
		}
	}
}

// services returns the names of the services that have a loop here.
func (e *Entry) services() []string {
	e.loopsMu.Lock()
	defer e.loopsMu.Unlock()
	return slices.Sorted(maps.Keys(e.loops))
}

// setCoreGauges copies the counters of one core into gauges.
func (e *Entry) setCoreGauges(service string, c dispatch.Counters) {
	gauges := []struct {
		name  string
		value uint64
	}{
		{"jobs", c.Jobs}, {"jobs_joined", c.Joined}, {"jobs_replayed", c.Replayed},
		{"jobs_completed", c.Completed}, {"jobs_failed", c.Failed},
		{"starts", c.Starts}, {"results", c.Results}, {"requeues", c.Requeues},
		{"retries", c.Retries}, {"retries_denied", c.RetriesDenied},
		{"late_results", c.LateResults}, {"duplicate_results", c.DuplicateResults},
		{"stale_results", c.StaleResults}, {"cancels", c.Cancels}, {"deadlines", c.Deadlines},
		{"impossible", c.Impossible}, {"agents_lost", c.AgentsLost}, {"inquiries", c.Inquiries},
		{"takeovers", c.Takeovers}, {"takeover_timeouts", c.TakeoverTimeouts},
		{"reattached", c.Reattached}, {"answers_evicted", c.AnswersEvicted},
		{"queued", uint64(c.Queued)}, {"queued_urgent", uint64(c.QueuedUrgent)},
		{"queued_bytes", uint64(c.QueuedBytes)}, {"running", uint64(c.Running)},
		{"free_credits", uint64(c.FreeCredits)}, {"jobs_active", uint64(c.JobsActive)},
		{"jobs_kept", uint64(c.JobsKept)}, {"answer_bytes", uint64(c.AnswerBytes)},
		{"agents", uint64(c.Agents)}, {"shards_owned", uint64(c.ShardsOwned)},
		{"quarantined", uint64(c.Quarantined)}, {"quarantines", c.Quarantines},
	}
	for _, g := range gauges {
		e.metrics.Set("service."+service+"."+g.name, int64(g.value))
	}
	e.setMessageGauges(service, c)
	for reason := verdict.ReasonNone; reason <= verdict.ReasonTaskFailed; reason++ {
		if n := c.Refusals.Of(reason); n > 0 {
			e.metrics.Set("service."+service+".refused."+reason.String(), int64(n))
		}
	}
}

// setMessageGauges copies the counts of messages to and from agents, by kind, into
// gauges.
func (e *Entry) setMessageGauges(service string, c dispatch.Counters) {
	for _, kind := range message.Kinds() {
		for _, direction := range []struct {
			name  string
			count uint64
		}{{"sent", c.Sent.Of(kind)}, {"received", c.Received.Of(kind)}, {"wasted", c.Wasted.Of(kind)}} {
			if direction.count > 0 {
				e.metrics.Set("service."+service+".message."+direction.name+"."+kind.String(), int64(direction.count))
			}
		}
	}
}
