package dispatch

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// Gate tells a queue why a task cannot run now. What stays closed until a task
// ends need not be asked for again before.
type Gate interface {
	// NeedMet reports whether a free credit that meets the need is worth using
	// for a task when so many tasks want credits no later than it.
	NeedMet(need Need, backlog int) bool
	// TeamHasRoom reports whether the task's team is within its concurrency.
	TeamHasRoom(t *QueuedTask) bool
	// CallerHasRoom reports whether its caller is within its concurrency.
	CallerHasRoom(t *QueuedTask) bool
}

// GatedQueue is implemented by queues that leave teams and callers at their
// limit alone until one of their tasks ends.
type GatedQueue interface {
	// NextThrough is Next with the reasons apart.
	NextThrough(now time.Time, gate Gate) *QueuedTask
	// RoomFreed says that a start of the caller has ended, be it one that the
	// queue has never seen.
	RoomFreed(team, caller string)
}

// ProgressObserver is implemented by queues that order jobs by JobRemaining.
type ProgressObserver interface {
	// Progressed says that JobRemaining of the task's job has changed.
	Progressed(t *QueuedTask)
}

// BacklogObserver is implemented by placements whose choice depends on how many
// tasks wait for the same credits.
type BacklogObserver interface {
	// SetBacklog is called before CanRun and holds until the next Pick.
	SetBacklog(tasks int)
}

// CallerCounter is implemented by queues that count the callers with waiting
// tasks: those with urgent ones if there are any, else all.
type CallerCounter interface{ Callers() int }

// ShareEstimator is implemented by queues that share the starts out.
type ShareEstimator interface {
	// Turn estimates when the last of n further tasks of a caller starts, at the
	// rate at which callers with waiting tasks have been served lately. It is
	// false when there is no such rate.
	Turn(now time.Time, team, caller string, urgent bool, n int) (time.Duration, bool)
}

// QuarantineObserver is implemented by placements that quarantine endpoints.
type QuarantineObserver interface {
	// Quarantined returns how many endpoints are quarantined and how many
	// quarantines have begun so far.
	Quarantined() (now int, begun uint64)
}

// ZoneObserver is implemented by placements that prefer the owner's own
// availability zone.
type ZoneObserver interface {
	SetZone(zone string)
}

// JobEnd says how an admitted job ended.
type JobEnd uint8

// The ends of a job that an admission learns from.
const (
	// JobComplete means that the job ended with its whole answer.
	JobComplete JobEnd = iota
	// JobLate means that it missed its deadline.
	JobLate
	// JobOther means any other end, which says nothing about its time.
	JobOther
)

// JobObserver is implemented by admissions that learn from the jobs that they
// have taken.
type JobObserver interface {
	// JobEnded is called once for each job that Admit has taken.
	JobEnded(now time.Time, job message.JobKey, end JobEnd)
}
