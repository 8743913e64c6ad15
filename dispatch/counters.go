package dispatch

import (
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// Sizes of the counter tables, larger than needed so that kinds and reasons of
// later versions have a slot.
const (
	kindSlots   = 64
	reasonSlots = 64
)

// KindCounts counts messages by kind.
type KindCounts [kindSlots]uint64

// Of returns the count of one kind.
func (k *KindCounts) Of(kind message.Kind) uint64 { return k[int(kind)%kindSlots] }

func (k *KindCounts) add(kind message.Kind) { k[int(kind)%kindSlots]++ }

// ReasonCounts counts refusals by reason.
type ReasonCounts [reasonSlots]uint64

// Of returns the count of one reason.
func (r *ReasonCounts) Of(reason verdict.Reason) uint64 { return r[int(reason)%reasonSlots] }

func (r *ReasonCounts) add(reason verdict.Reason) { r[int(reason)%reasonSlots]++ }

// Counters holds the counters of a core since its creation, and its gauges.
type Counters struct {
	// Jobs counts accepted jobs, Joined the submissions of a job that was still
	// running and Replayed those answered from a record.
	Jobs, Joined, Replayed uint64
	// Completed and Failed count jobs by the kind of their answer.
	Completed, Failed uint64
	// Starts counts start messages, Results the results, other than NotRun, that
	// arrived while their task was running; those of reattached starts are not
	// counted.
	Starts, Results uint64
	// Requeues counts tasks that were queued again after a result NotRun.
	Requeues uint64
	// Retries counts starts repeated after MayHaveRun, RetriesDenied those
	// that the retry budget forbade.
	Retries, RetriesDenied uint64
	// LateResults counts results that arrived after their task had been cancelled,
	// or its job had ended or been discarded. DuplicateResults counts those for a
	// start of this core that had ended, was dropped or was sent to another agent,
	// StaleResults those for a start that this core neither sent nor tracks.
	LateResults, DuplicateResults, StaleResults uint64
	// StaleMessages counts messages on a session that had ended.
	StaleMessages uint64
	// Cancels counts cancelled jobs, Deadlines the jobs ended by their deadline,
	// Impossible the tasks that no endpoint could run.
	Cancels, Deadlines, Impossible uint64
	// AgentsLost counts agents removed while they had running tasks, Inquiries
	// the inquiries sent after reconnections.
	AgentsLost, Inquiries uint64
	// Takeovers counts shards acquired from another owner, TakeoverTimeouts
	// those whose journals did not all arrive in time, Reattached the running
	// starts that were taken over from earlier owners.
	Takeovers, TakeoverTimeouts, Reattached uint64
	// Released counts released shards.
	Released uint64
	// AnswersEvicted counts answers evicted to stay within Options.AnswerBytes.
	AnswersEvicted uint64
	// Refusals counts jobs refused as a whole, by reason.
	Refusals ReasonCounts
	// Sent and Received count messages to and from agents. Wasted counts those of
	// them that did not help to run a task: cancellations, messages on ended
	// sessions, late and unexpected results, and starts that were not run, with
	// their results.
	Sent, Received, Wasted KindCounts

	// Gauges.

	// Queued and Running count tasks, FreeCredits credits that can be used.
	Queued, QueuedUrgent, Running, FreeCredits int
	// QueuedBytes is the payload size of the queued tasks.
	QueuedBytes int64
	// JobsActive counts jobs that have not ended, JobsKept the records of ended
	// jobs.
	JobsActive, JobsKept int
	// AnswerBytes is the memory used by the answers of ended jobs.
	AnswerBytes int64
	// Quarantined counts the endpoints that get only trial tasks, Quarantines the
	// quarantines begun so far. Both are 0 for a placement without quarantine.
	Quarantined int
	Quarantines uint64
	// Agents counts connected agents, ShardsOwned the shards of this owner.
	Agents, ShardsOwned int
}

// Counters returns a copy of the counters with the current gauges.
func (c *Core) Counters() Counters {
	n := c.counters
	n.Queued = c.queue.Len()
	n.QueuedUrgent = c.queue.Urgent()
	n.QueuedBytes = c.queuedBytes
	n.Running = len(c.starts)
	n.FreeCredits = c.placement.Free()
	n.JobsActive = len(c.jobs)
	n.JobsKept = len(c.records.byKey)
	n.AnswerBytes = c.records.bytes
	if q, ok := c.placement.(QuarantineCounter); ok {
		n.Quarantined, n.Quarantines = q.Quarantined()
	}
	n.Agents = len(c.sessions)
	for i := range c.shards {
		if c.shards[i].owned {
			n.ShardsOwned++
		}
	}
	return n
}
