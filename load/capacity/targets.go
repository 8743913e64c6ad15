// Package capacity works out what each role of the system needs at the size
// that it was designed for, from the slopes that were measured on one machine.
package capacity

import "time"

// The size that the system has to carry.
const (
	Workers           = 2800
	StartsPerSecond   = 120_000
	TasksPerJob       = 1900
	Teams             = 730
	Regions           = 7
	Zones             = 26
	ChangesPerDay     = 2700
	InForceWithin     = 20 * time.Second
	FailedVMsPerDay   = 30
	ReplacedVMsPerDay = 250
)

// What a node may spend on control.
const (
	// NodeCPUShare is a share of one core.
	NodeCPUShare    = 0.022
	NodeMemoryBytes = 256e6
	// NodeBytesPerSecond counts both directions.
	NodeBytesPerSecond = 13e3
)

// Assumptions that the tables are worked out with.
const (
	// MixedJobTasks is the mean number of tasks of a job in the load tool.
	MixedJobTasks = 7
	// EntryCores is the number of cores of an entry's VM, and EntryUse the share
	// of them that is planned for.
	EntryCores = 8
	EntryUse   = 0.5
	// LogAppendsPerSecond is the lower reading of the several hundred appends a
	// second that the log takes.
	LogAppendsPerSecond = 300
	// sharedWriteTasks is the number of tasks from which the starts of a job share
	// writes to the agents.
	sharedWriteTasks = 100
	// Services is the number of services, one a team.
	Services = Teams
	// SessionsPerAgent is the number of entries that one agent talks to.
	SessionsPerAgent = 4
	// JournalKept is for how long agents remember starts, and JobsKept for how
	// long owners remember ended jobs, by default.
	JournalKept = 10 * time.Minute
	JobsKept    = 20 * time.Minute
	// TakeoverTimeout is how long a successor waits for journals, by default.
	TakeoverTimeout = 4 * time.Second
	// AnswerBytes is the default bound on the answers kept for one service.
	AnswerBytes = 64 << 20
	// RunTime is the mean run time of a task.
	RunTime = 330 * time.Millisecond
	// RackWorkers is the number of workers of a rack.
	RackWorkers = 40
	// HeapOverhead is the process's memory by its live memory, as the garbage
	// collector lets the heap double.
	HeapOverhead = 2
	// SnapshotsPerDay is the number of snapshots in a day, a quarter of the
	// default retention of a day apart.
	SnapshotsPerDay = 4
)

const (
	secondsPerDay = 24 * 60 * 60
	// microsPerCore is the processor time of a core in a second.
	microsPerCore = 1e6
)
