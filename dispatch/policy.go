package dispatch

import (
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// Need is what a task requires of an endpoint, in comparable form.
type Need struct {
	// Memory is in bytes, rounded up to a step; 0 means none declared.
	Memory int64
	// Accelerator is the required kind of accelerator; empty means none.
	Accelerator string
}

// QueuedTask holds the properties of a task that the policies use.
type QueuedTask struct {
	Team, Caller string
	Class        string
	Urgent       bool
	Need         Need
	// Bytes is the size of the task's payload.
	Bytes int
	// JobRemaining is the number of the job's tasks that have not ended. The
	// core updates it.
	JobRemaining *int
	// JobSeq orders jobs by arrival.
	JobSeq uint64
	// Declared is the run time that the caller expects; 0 means none.
	Declared time.Duration
	// Submitted is when the task arrived at this owner.
	Submitted time.Time
	// Deadline is zero when the caller set none.
	Deadline time.Time
	// Handle is for use by the core only.
	Handle any
	// QueueState is for use by the queue that holds the task.
	QueueState any
}

// Queue orders waiting tasks. All methods take O(log n) at most.
type Queue interface {
	// Configure sets weights and quotas.
	Configure(service config.Service)
	// Push adds a task.
	Push(now time.Time, t *QueuedTask)
	// Requeue puts a task that was not run back at the head of its caller's
	// queue.
	Requeue(now time.Time, t *QueuedTask)
	// Next removes and returns the task to start next, or nil if none can run.
	// canRun reports whether a task's need can be met and its caller and team are
	// below their concurrency limits.
	Next(now time.Time, canRun func(t *QueuedTask) bool) *QueuedTask
	// Remove removes a waiting task.
	Remove(t *QueuedTask)
	// Len returns the number of waiting tasks, Urgent the number of urgent ones
	// among them.
	Len() int
	Urgent() int
}

// Credit is the right, granted by an agent, to start one task in a free slot.
type Credit struct {
	Session  Session
	ID       message.CreditID
	Agent    string
	Zone     string
	Endpoint string
}

// EndpointKey identifies an endpoint of an agent.
type EndpointKey struct {
	Agent    string
	Endpoint string
}

// Placement holds the free credits and chooses one for each task. Choosing
// takes O(log n) in the number of endpoints.
type Placement interface {
	// SetEndpoint adds or changes an endpoint.
	SetEndpoint(key EndpointKey, zone string, info message.EndpointInfo)
	// RemoveEndpoint drops an endpoint and its credits.
	RemoveEndpoint(key EndpointKey)
	// Add makes a credit available.
	Add(c Credit)
	// Withdraw removes a credit and reports whether it was available.
	Withdraw(session Session, id message.CreditID) bool
	// DropSession removes all credits of a session.
	DropSession(session Session)
	// Free returns the number of available credits at eligible endpoints.
	Free() int
	// CanRun reports whether some available credit meets the need.
	CanRun(now time.Time, need Need) bool
	// CouldRun reports whether some known endpoint, busy or not, meets the need.
	CouldRun(need Need) bool
	// Pick removes and returns the credit to use for the task.
	Pick(now time.Time, t *QueuedTask) (Credit, bool)
	// Observe updates the estimates from an ended run. failed is true when the
	// endpoint did not give a complete answer or reported a server error.
	Observe(now time.Time, key EndpointKey, class string, run time.Duration, failed bool)
	// Expected returns the estimated run time of a class, or declared when no
	// run of the class has been observed.
	Expected(class string, declared time.Duration) time.Duration
	// Slots returns the number of slots of all eligible endpoints.
	Slots() int
	// NextChange returns the next time at which a credit may become usable without
	// an event, such as when a trial task of its endpoint is due, or zero.
	NextChange() time.Time
}

// Load is the state of the owner that admission decisions use.
type Load struct {
	Queued       int
	QueuedUrgent int
	QueuedBytes  int64
	Running      int
	Slots        int
	// Expected returns the estimated run time of a class, like
	// Placement.Expected.
	Expected func(class string, declared time.Duration) time.Duration
	// Shares estimates when a caller's tasks start. It is nil when the queue gives
	// no estimate; the admission then assumes that all waiting tasks start first.
	Shares ShareEstimator
}

// Refusal is the reason why a job is not admitted. Its verdict is always NotRun.
type Refusal struct {
	Reason     verdict.Reason
	Detail     string
	RetryAfter time.Duration
}

// Admission decides whether a job is admitted.
type Admission interface {
	// Configure sets limits and quotas.
	Configure(service config.Service)
	// Admit returns nil when the job is admitted. An admitted job counts against
	// its caller's and team's rates.
	Admit(now time.Time, job *message.Submit, load Load) *Refusal
}
