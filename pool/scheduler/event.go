package scheduler

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// Session numbers the connections to agents; numbers are never reused.
type Session uint64

// Waiter identifies a request that waits for a job's answer.
type Waiter uint64

// Job is a job as its caller submitted it: tasks that are alike and may run in
// any order and at the same time.
type Job struct {
	// ID is the caller's; a second submission under it is the same job.
	ID      string
	Queue   string
	Service string
	// Urgent jobs go before all others.
	Urgent  bool
	Payload string
	Tasks   int
	Need    message.Resources
	// Estimate is the caller's rough idea of a task's run time.
	Estimate time.Duration
	// Label is what an endpoint must have; empty asks for nothing.
	Label string
	// Spread is the number of the job's tasks that one endpoint may run at a time;
	// 0 sets no bound.
	Spread int
	// Stretch and Slack set the objective: Stretch times the run time, and Slack.
	Stretch float64
	Slack   time.Duration
	// Attempts is how often a task may fail before the job has failed.
	Attempts int
	// Deadline is when the caller stops waiting, since boot.
	Deadline time.Duration
	// FirstRun is the number of the first run of each task.
	FirstRun int64
}

// Event is an input of the core.
type Event interface{ event() }

// JobSubmitted is a caller's request.
type JobSubmitted struct {
	Waiter Waiter
	Job    *Job
}

// WaiterGone says that the caller's connection has ended.
type WaiterGone struct{ Waiter Waiter }

// JobCancelled cancels a job.
type JobCancelled struct{ ID string }

// JobsEndedElsewhere tells of jobs that other entries have completed.
type JobsEndedElsewhere struct{ IDs []string }

// AgentConnected begins a session.
type AgentConnected struct {
	Session     Session
	Agent       string
	Incarnation uint64
}

// AgentDisconnected ends a session.
type AgentDisconnected struct{ Session Session }

// AgentReported is a message of an agent.
type AgentReported struct {
	Session Session
	Report  *message.RunReport
}

// StopRequested ends the entry: open jobs are given up, new ones refused.
type StopRequested struct{}

// Tick lets time pass.
type Tick struct{}

func (JobSubmitted) event()       {}
func (WaiterGone) event()         {}
func (JobCancelled) event()       {}
func (JobsEndedElsewhere) event() {}
func (AgentConnected) event()     {}
func (AgentDisconnected) event()  {}
func (AgentReported) event()      {}
func (StopRequested) event()      {}
func (Tick) event()               {}

// Action is an output of the core, to be carried out in order.
type Action interface{ action() }

// SendOrders sends a message to an agent.
type SendOrders struct {
	Session Session
	Orders  *message.RunOrders
}

// Answer answers a waiter. Each waiter is answered once, unless it has gone.
type Answer struct {
	Waiter Waiter
	Answer message.JobAnswer
}

// Disconnect asks for the end of a session whose agent is silent; the core has
// ended it already.
type Disconnect struct{ Session Session }

// JobEnded tells of a decision on a job, for the log and for other entries.
type JobEnded struct {
	Job     *Job
	Outcome Outcome
	// Cause explains an outcome other than completion.
	Cause string
	// Age is the time since the submission, Waited the part before the first
	// start, and Objective what the job should take.
	Age, Waited, Objective time.Duration
	// Runs counts starts, Failed those that ended failed, and Lost those that
	// ended with their lease, endpoint or agent.
	Runs, Failed, Lost int
	// Waiting is the number of tasks that waited at that moment, of all jobs.
	Waiting int
}

// Note tells of a change of what the core believes, for the log.
type Note struct {
	What    string
	Subject string
	Job     string
	Detail  string
}

func (SendOrders) action() {}
func (Answer) action()     {}
func (Disconnect) action() {}
func (JobEnded) action()   {}
func (Note) action()       {}

// Outcome says how a job ended.
type Outcome uint8

const (
	// JobCompleted means that all tasks have done their work.
	JobCompleted Outcome = iota + 1
	// JobFailed means that a task has failed as often as it may.
	JobFailed
	// JobRefused means that no task was started.
	JobRefused
	// JobExpired means that the deadline passed after tasks had been started.
	JobExpired
	// JobAbandoned means that its caller has gone.
	JobAbandoned
	// JobWasCancelled means that its caller has cancelled it.
	JobWasCancelled
	// JobInterrupted means that this entry was held up for too long to know
	// whether the caller has submitted the job elsewhere.
	JobInterrupted
	// JobRepeated means that the job had completed before.
	JobRepeated
)

var outcomeNames = [...]string{
	JobCompleted: "completed", JobFailed: "failed", JobRefused: "refused", JobExpired: "expired",
	JobAbandoned: "abandoned", JobWasCancelled: "cancelled", JobInterrupted: "interrupted", JobRepeated: "repeated",
}

// String returns the outcome's name.
func (o Outcome) String() string {
	if o > 0 && int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}
