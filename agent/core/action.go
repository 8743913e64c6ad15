package core

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// Action is an instruction that Step returns for its caller to carry out.
type Action interface{ action() }

// Send sends a message on a session.
type Send struct {
	Session SessionID
	Message message.Message
}

// Run runs a task on an endpoint. Its end is reported with TaskEnded.
type Run struct {
	ID       message.StartID
	Endpoint EndpointKey
	Address  string
	// Connections is the maximum number of connections to the address; 0 means that
	// only the slots limit them.
	Connections int
	// Team is the team that submitted the task.
	Team    string
	Task    message.Task
	Timeout time.Duration
}

// CancelRun cancels a run, whose TaskEnded still follows.
type CancelRun struct{ ID message.StartID }

// Dial opens a connection to an entry, reported with SessionOpened or DialFailed.
type Dial struct{ Address string }

// Disconnect closes a session.
type Disconnect struct{ Session SessionID }

// EndpointReleased reports that a leaving endpoint has no running task left, or
// is unknown to the agent, and may stop.
type EndpointReleased struct{ Key EndpointKey }

// Drained reports that, after DrainStarted, no task is running and each result was
// sent or has waited longer than undeliveredGrace.
type Drained struct{}

// Count increments a counter by one.
type Count struct{ Counter Counter }

func (Send) action()             {}
func (Run) action()              {}
func (CancelRun) action()        {}
func (Dial) action()             {}
func (Disconnect) action()       {}
func (EndpointReleased) action() {}
func (Drained) action()          {}
func (Count) action()            {}

// Counter is the name under which a decision is counted.
type Counter string

// The counters of an agent's decisions.
const (
	StartAccepted       Counter = "agent.start.accepted"
	StartDuplicate      Counter = "agent.start.duplicate"
	StartRefusedBefore  Counter = "agent.start.refused.before"
	StartNoCredit       Counter = "agent.start.refused.credit"
	StartStaleSequence  Counter = "agent.start.refused.stamp"
	StartStaleEpoch     Counter = "agent.start.refused.epoch"
	StartLeaving        Counter = "agent.start.refused.leaving"
	ResultSent          Counter = "agent.result.sent"
	ResultKept          Counter = "agent.result.kept"
	CancelApplied       Counter = "agent.cancel.obeyed"
	CancelIgnored       Counter = "agent.cancel.ignored"
	CreditGranted       Counter = "agent.credit.granted"
	CreditWithdrawn     Counter = "agent.credit.withdrawn"
	CreditReturned      Counter = "agent.credit.returned"
	CreditVoid          Counter = "agent.credit.void"
	AnswerEvicted       Counter = "agent.journal.answer_evicted"
	StartEvicted        Counter = "agent.journal.entry_evicted"
	JournalRequested    Counter = "agent.journal.asked"
	JournalRequestStale Counter = "agent.journal.stale_request"
	InquiryAnswered     Counter = "agent.inquiry.answered"
	EndpointNew         Counter = "agent.endpoint.new"
	EndpointRefused     Counter = "agent.endpoint.refused"
	EndpointExpired     Counter = "agent.endpoint.expired"
	EndpointRemoved     Counter = "agent.endpoint.removed"
	SessionOpenedCount  Counter = "agent.session.opened"
	SessionClosedCount  Counter = "agent.session.closed"
	ViewSessionChanged  Counter = "agent.configuration.moved"
	UnexpectedMessage   Counter = "agent.message.unexpected"
)
