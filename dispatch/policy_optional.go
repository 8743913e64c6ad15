package dispatch

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// Gate reports to a queue which condition keeps a task from starting now. A team
// or caller at its limit stays so until one of its tasks ends, so the queue need
// not ask again before that.
type Gate interface {
	// NeedMet reports whether a free credit meets the need of a task and is worth
	// using for it. backlog is the number of tasks that need a credit no later than
	// that task, which is included.
	NeedMet(need Need, backlog int) bool
	// TeamBelowLimit reports whether the task's team is below its concurrency limit.
	TeamBelowLimit(t *QueuedTask) bool
	// CallerBelowLimit reports whether the task's caller is below its concurrency
	// limit.
	CallerBelowLimit(t *QueuedTask) bool
}

// GatedQueue is implemented by queues that skip teams and callers at their
// concurrency limit until one of their tasks ends.
type GatedQueue interface {
	// NextGated is Queue.Next with separate checks for the need, the team and
	// the caller.
	NextGated(now time.Time, gate Gate) *QueuedTask
	// RunEnded notifies the queue that a run of the caller has ended, or its start
	// was refused, and no longer counts against the concurrency limits. Its task may
	// never have been in this queue.
	RunEnded(team, caller string)
}

// ProgressObserver is implemented by queues that order jobs by JobRemaining.
type ProgressObserver interface {
	// Progressed notifies the queue that JobRemaining of the task's job has
	// changed.
	Progressed(t *QueuedTask)
}

// BacklogSetter is implemented by placements whose choice depends on the
// number of tasks that wait for the same credits.
type BacklogSetter interface {
	// SetBacklog sets the backlog that CanRun uses. It is called before each CanRun
	// if the queue is a GatedQueue, and never otherwise.
	SetBacklog(tasks int)
}

// CallerCounter is implemented by queues that count the callers with waiting
// tasks. If urgent tasks wait, only callers with urgent tasks count.
type CallerCounter interface{ Callers() int }

// ShareEstimator is implemented by queues that divide the starts among callers.
type ShareEstimator interface {
	// EstimateWait estimates the time until the last of n further tasks of a caller
	// starts, from the recent rate of starts for callers with waiting tasks. It
	// returns false when there is no such rate.
	EstimateWait(now time.Time, team, caller string, urgent bool, n int) (time.Duration, bool)
}

// QuarantineCounter is implemented by placements that quarantine endpoints.
type QuarantineCounter interface {
	// Quarantined returns how many endpoints are quarantined and how many
	// quarantines have begun so far.
	Quarantined() (now int, begun uint64)
}

// ZoneSetter is implemented by placements that prefer the owner's own
// availability zone.
type ZoneSetter interface {
	SetZone(zone string)
}

// JobEnd is how a job ended.
type JobEnd uint8

// Values of JobEnd.
const (
	// JobComplete means that all tasks of the job gave a complete result.
	JobComplete JobEnd = iota
	// JobLate means that the job missed its deadline.
	JobLate
	// JobOther means any other end, including a refusal or a move to another owner.
	// It gives no information about the job's duration.
	JobOther
)

// JobObserver is implemented by admissions that learn from how jobs end.
type JobObserver interface {
	// JobEnded is called once for each job that ends or leaves the owner, also for
	// jobs that Admit has not seen.
	JobEnded(now time.Time, job message.JobKey, end JobEnd)
}
