// Package capacity computes what each role of the system needs at the size that
// it is designed for, from the slopes that were measured on one machine.
package capacity

import "time"

// The size that the system is designed for.
const (
	Workers           = 2800
	StartsPerSecond   = 120_000
	MaxTasksPerJob    = 1900
	Teams             = 730
	Regions           = 7
	Zones             = 26
	ChangesPerDay     = 2700
	MaxConfigDelay    = 20 * time.Second
	FailedVMsPerDay   = 30
	ReplacedVMsPerDay = 250
)

// The limits on what the dispatcher may use on one worker.
const (
	// WorkerCPUShare is a share of one core.
	WorkerCPUShare    = 0.022
	WorkerMemoryBytes = 256e6
	// WorkerBytesPerSecond is the limit on control traffic, as the sum of both
	// directions.
	WorkerBytesPerSecond = 13e3
)

// The assumptions behind the tables.
const (
	// MeanTasksPerJob is the mean number of tasks per job of the load generator,
	// rounded.
	MeanTasksPerJob = 7
	// EntryCores is the number of cores of an entry's VM; EntryUtilization is the
	// planned utilization of them, from 0 to 1.
	EntryCores       = 8
	EntryUtilization = 0.5
	// LogAppendsPerSecond is a low estimate of the several hundred appends per
	// second that the log accepts.
	LogAppendsPerSecond = 300
	// sharedWriteTasks is the least number of tasks of a job whose starts share
	// writes to the agents.
	sharedWriteTasks = 100
	// Services is the number of services, one per team.
	Services = Teams
	// SessionsPerAgent is the number of entries that one agent has a session with.
	SessionsPerAgent = 4
	// JournalRetention is the default time for which agents keep starts in their
	// journals; JobRetention is the default time for which owners keep ended jobs.
	JournalRetention = 10 * time.Minute
	JobRetention     = 20 * time.Minute
	// TakeoverTimeout is how long a successor waits for journals, by default.
	TakeoverTimeout = 4 * time.Second
	// AnswerBytes is the default bound on the answers kept for one service.
	AnswerBytes = 64 << 20
	// MeanRunTime is the mean run time of a task.
	MeanRunTime = 330 * time.Millisecond
	// RackWorkers is the number of workers in a rack.
	RackWorkers = 40
	// HeapOverhead is the ratio of a process's memory to its live memory: the
	// garbage collector lets the heap double.
	HeapOverhead = 2
	// SnapshotsPerDay is the number of snapshots per day: the interval is a quarter
	// of the default retention, which is one day.
	SnapshotsPerDay = 4
)

const (
	secondsPerDay = 24 * 60 * 60
	// microsPerCore is the processor time of one core per second, in microseconds.
	microsPerCore = 1e6
)
