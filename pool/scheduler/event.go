package scheduler

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/evacuation"
)

// Session identifies a connection to an agent; numbers are never reused.
type Session uint64

// Waiter identifies a request that waits for a job's answer.
type Waiter uint64

// Job is a job as its caller submitted it: a set of tasks of the same kind that
// may run in any order and concurrently.
type Job struct {
	// ID is chosen by the caller; a second submission with the same ID is the
	// same job.
	ID      string
	Queue   string
	Service string
	// Urgent jobs start before all others.
	Urgent bool
	// Priority is the priority of the queue, lower ones first, and Caller identifies who
	// submitted the job. They count only with Options.SharingFloor; Urgent stands for
	// priority 0.
	Priority int
	Caller   string
	Payload  string
	Tasks    int
	Need     message.Resources
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration
	// Label is the label that an endpoint must have; empty if any endpoint will
	// do.
	Label string
	// Spread is the maximum number of the job's tasks that one endpoint may run
	// at a time; 0 means no limit.
	Spread int
	// Stretch and Slack set the objective: Stretch times the expected run time,
	// plus Slack.
	Stretch float64
	Slack   time.Duration
	// Attempts is the number of failed runs of one task after which the job
	// fails.
	Attempts int
	// Deadline is the time since boot at which the caller stops waiting.
	Deadline time.Duration
	// ConnectedAt is a time since boot before the caller's connection was opened. The
	// request may have been sent at any time since.
	ConnectedAt time.Duration
	// CallerSeenAt is the time since boot at which the caller was last known to be connected;
	// 0 if that is not known.
	CallerSeenAt time.Duration
	// FirstRun is the number of the first run of each task.
	FirstRun int64
}

// Event is an input of the core.
type Event interface{ event() }

// JobSubmitted is sent when a caller submits a job.
type JobSubmitted struct {
	Waiter Waiter
	Job    *Job
}

// WaiterDisconnected is sent when the connection of a waiting request has ended.
type WaiterDisconnected struct{ Waiter Waiter }

// CancelRequested is sent when a caller cancels a job.
type CancelRequested struct{ ID string }

// JobsCompletedElsewhere lists jobs that another entry has completed, and counts them by
// queue where that entry blames the queue for crashes.
type JobsCompletedElsewhere struct {
	IDs          []string
	BlamedQueues map[string]int
}

// CrashesShared is sent when another entry shares what it knows of crashes.
type CrashesShared struct{ Notice *message.CrashNotice }

// LoadsShared is sent when another entry shares the loads of its queues.
type LoadsShared struct {
	Entry string
	Loads map[string]message.QueueLoad
}

// AgentConnected opens a session.
type AgentConnected struct {
	Session     Session
	Agent       string
	Incarnation uint64
	// Zone is the agent's availability zone, for endpoints that report none.
	Zone string
}

// AgentDisconnected closes a session.
type AgentDisconnected struct{ Session Session }

// AgentReported is sent when a report arrives from an agent.
type AgentReported struct {
	Session Session
	Report  *message.RunReport
}

// EvacuationLearned is a state of the evacuated zones, read from the operator's history or
// received from another entry, which Source names.
type EvacuationLearned struct {
	State  evacuation.State
	Source string
}

// StopRequested stops the entry: open jobs are interrupted, new ones refused.
type StopRequested struct{}

// Tick advances the time without another event.
type Tick struct{}

func (JobSubmitted) event()           {}
func (WaiterDisconnected) event()     {}
func (CancelRequested) event()        {}
func (JobsCompletedElsewhere) event() {}
func (CrashesShared) event()          {}
func (LoadsShared) event()            {}
func (AgentConnected) event()         {}
func (AgentDisconnected) event()      {}
func (AgentReported) event()          {}
func (EvacuationLearned) event()      {}
func (StopRequested) event()          {}
func (Tick) event()                   {}

// Action is an output of the core, to be carried out in order.
type Action interface{ action() }

// SendOrders sends a message to an agent.
type SendOrders struct {
	Session Session
	Orders  *message.RunOrders
}

// Answer answers a waiter. Each waiter gets one answer, unless its connection
// has ended.
type Answer struct {
	Waiter Waiter
	Answer message.JobAnswer
}

// Disconnect closes the connection of a session that the core has already
// closed, because its agent is unresponsive or has connected again.
type Disconnect struct{ Session Session }

// ShareCrashes sends what is new about crashes to the other entries.
type ShareCrashes struct{ Notice *message.CrashNotice }

// ShareEvacuation sends a new state of the evacuated zones to the other entries.
type ShareEvacuation struct{ State evacuation.State }

// EvacuationProgressed reports, for the log, a phase of the evacuation of a zone.
type EvacuationProgressed struct{ Progress evacuation.Progress }

// ObserveAcceptQueue determines which connections of callers are opened from now on, after an
// outage, for Job.ConnectedAt.
type ObserveAcceptQueue struct{}

// CloseIdleConnections closes the connections of callers that may have been opened before the
// given time since boot: those without a request now, and the others after their answer.
type CloseIdleConnections struct{ OpenedBefore time.Duration }

// JobEnded reports the outcome of a job, for the log and for other entries.
type JobEnded struct {
	Job     *Job
	Outcome Outcome
	// Cause explains an outcome other than completion.
	Cause string
	// Age is the time since the submission, Waited the part of it before the
	// first start, and Objective the time that the job should take.
	Age, Waited, Objective time.Duration
	// Runs counts the runs ordered and not refused, Failed the runs that ended
	// as failed, and Lost the runs that ended because of an expired lease or
	// the loss of their endpoint or agent.
	Runs, Failed, Lost int
	// Unplaced and Unended count the tasks that waited for a start, and those whose
	// run had not ended, when the job ended.
	Unplaced, Unended int
	// Crashes is the largest number of crashes under one of its tasks, and Blame the
	// probability that the job is their cause.
	Crashes int
	Blame   float64
	// QueueBlamed is set if crashes are blamed on the job's queue.
	QueueBlamed bool
	// BeyondShare is set if the job was refused beyond the share of its queue or caller.
	BeyondShare bool
	// WaitingTasks is the number of waiting tasks of all jobs at that moment.
	WaitingTasks int
	// Host is the entry that the job was forwarded to, Origin the one that it came from.
	Host, Origin string
}

// Note reports a change in the entry's view of agents and endpoints, or a pause
// of this process, for the log.
type Note struct {
	What    string
	Subject string
	Job     string
	Detail  string
}

func (SendOrders) action()           {}
func (Answer) action()               {}
func (Disconnect) action()           {}
func (ShareCrashes) action()         {}
func (ShareEvacuation) action()      {}
func (EvacuationProgressed) action() {}
func (ObserveAcceptQueue) action()   {}
func (CloseIdleConnections) action() {}
func (JobEnded) action()             {}
func (Note) action()                 {}

// Outcome is how a job ended.
type Outcome uint8

const (
	// JobCompleted means that all tasks have completed.
	JobCompleted Outcome = iota + 1
	// JobFailed means that a task has failed in all its attempts, or that endpoints
	// crash under it.
	JobFailed
	// JobRefused means that no task was started.
	JobRefused
	// JobExpired means that the deadline passed after tasks had been started.
	JobExpired
	// JobAbandoned means that the connections of all its callers have ended.
	JobAbandoned
	// JobCancelled means that its caller has cancelled it.
	JobCancelled
	// JobInterrupted means that this entry stopped, or that the caller may have
	// submitted the job elsewhere during an outage of this entry.
	JobInterrupted
	// JobRepeated means that the job had already completed.
	JobRepeated
)

var outcomeNames = [...]string{
	JobCompleted: "completed", JobFailed: "failed", JobRefused: "refused", JobExpired: "expired",
	JobAbandoned: "abandoned", JobCancelled: "cancelled", JobInterrupted: "interrupted", JobRepeated: "repeated",
}

// String returns the outcome's name.
func (o Outcome) String() string {
	if o > 0 && int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}
