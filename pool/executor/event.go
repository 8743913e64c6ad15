package executor

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/evacuation"
)

// Session identifies a connection to an entry; numbers are never reused and never
// 0.
type Session uint64

// CallID numbers the calls to the endpoint in the order in which they are sent.
type CallID uint64

// Event is an input of the core.
type Event interface{ event() }

// SessionOpened begins a session with an entry.
type SessionOpened struct {
	Session     Session
	Entry       string
	Incarnation uint64
}

// SessionClosed ends a session.
type SessionClosed struct{ Session Session }

// SessionSurplus reports that the agent does not have to serve a session's entry.
// It is repeated while this is the case.
type SessionSurplus struct{ Session Session }

// OrdersReceived is a message from an entry.
type OrdersReceived struct {
	Session Session
	Orders  *message.RunOrders
}

// EndpointAnnounced is an endpoint's announcement of itself.
type EndpointAnnounced struct {
	Name string
	// EndpointIncarnation identifies the incarnation of the endpoint by its start
	// time in Unix milliseconds. A value below the known one belongs to an earlier
	// incarnation.
	EndpointIncarnation int64
	// Seq numbers the announcements of one incarnation.
	Seq      int64
	Service  string
	Capacity message.Resources
	Labels   []string
	// Zone is the endpoint's availability zone; empty if that of its agent.
	Zone string
	// ColdLeft is the time for which the endpoint stays slow.
	ColdLeft time.Duration
	Leaving  bool
	// ClockMillis is the endpoint's monotonic clock in milliseconds.
	ClockMillis int64
}

// EndpointLeft reports that an endpoint is about to end, and with it all its runs.
type EndpointLeft struct{ Name string }

// Clock is a reading of the endpoint's monotonic clock in milliseconds; Known is
// false when the answer carried none.
type Clock struct {
	Millis int64
	Known  bool
}

// StartResult is the endpoint's answer to a start.
type StartResult uint8

const (
	// StartNoAnswer means that the start may have been, or may yet be, carried out.
	StartNoAnswer StartResult = iota
	// StartBroken means that the endpoint closed the connection before it answered: the
	// start may have been, or may yet be, carried out, but by no later process of the
	// endpoint.
	StartBroken
	// StartAccepted means that the endpoint has accepted the start and the task runs.
	StartAccepted
	// StartFenced means that the endpoint has seen a higher fencing token.
	StartFenced
	// StartOutdated means that a run of this or a higher number has ended there.
	StartOutdated
	// StartExpired means that the lease in the start had expired on arrival.
	StartExpired
	// StartNoCapacity means that the endpoint lacks free capacity.
	StartNoCapacity
	// StartOverloaded means that the endpoint sheds load.
	StartOverloaded
	// StartInvalid means that the endpoint does not understand the order.
	StartInvalid
	// StartMismatched means that another incarnation answered at the endpoint's
	// address.
	StartMismatched
	// StartUnreachable means that nothing listens at the endpoint's address.
	StartUnreachable
)

// StartAnswered ends a StartCall.
type StartAnswered struct {
	Call   CallID
	Run    message.RunRef
	Result StartResult
	Clock  Clock
	// EndpointIncarnation is the incarnation that answered, like
	// EndpointAnnounced.EndpointIncarnation; 0 when the answer did not carry it.
	EndpointIncarnation int64
}

// StopAnswered ends a StopCall. Accepted means that the endpoint has accepted the
// stop; a run that has not reached it yet can no longer start. Otherwise the stop
// was rejected, or not answered if Clock is unknown.
type StopAnswered struct {
	Call     CallID
	Run      message.RunRef
	Accepted bool
	Clock    Clock
}

// PollResult is the endpoint's answer to a poll.
type PollResult uint8

const (
	// PollNoAnswer means that no answer came in time.
	PollNoAnswer PollResult = iota
	// PollAccepted means that the answer lists the running and the ended runs.
	PollAccepted
	// PollFenced means that the endpoint has seen a higher fencing token.
	PollFenced
	// PollMismatched means that another incarnation answered at the endpoint's
	// address.
	PollMismatched
	// PollUnreachable means that nothing listens at the endpoint's address.
	PollUnreachable
)

// PollAnswered ends a PollCall.
type PollAnswered struct {
	Call   CallID
	Result PollResult
	Clock  Clock
	// EndpointIncarnation is the incarnation that answered, like
	// EndpointAnnounced.EndpointIncarnation; 0 when the answer did not carry it.
	EndpointIncarnation int64
	Running             []AliveRun
	Ended               []EndedRun
}

// AliveRun is a run that the endpoint lists as running.
type AliveRun struct {
	Run message.RunRef
	// Percent is the progress of the run, from 0 to 100.
	Percent float64
}

// EndedRun is a run that the endpoint lists as ended.
type EndedRun struct {
	// Seq numbers the ends of one incarnation of the endpoint from 1.
	Seq     int64
	Run     message.RunRef
	Outcome message.RunOutcome
}

// EvacuationLearned is a state of the evacuated zones that this process has read from the
// operator's history.
type EvacuationLearned struct {
	State evacuation.State
	// ReadAt is the time at which the read began.
	ReadAt time.Duration
}

// StopRequested begins a graceful stop of the agent.
type StopRequested struct{}

// Tick only advances the time.
type Tick struct{}

func (SessionOpened) event()     {}
func (SessionClosed) event()     {}
func (SessionSurplus) event()    {}
func (OrdersReceived) event()    {}
func (EndpointAnnounced) event() {}
func (EndpointLeft) event()      {}
func (StartAnswered) event()     {}
func (StopAnswered) event()      {}
func (PollAnswered) event()      {}
func (EvacuationLearned) event() {}
func (StopRequested) event()     {}
func (Tick) event()              {}

// Action is an output of the core, to be carried out in order.
type Action interface{ action() }

// StartCall orders the endpoint to start a run. It ends with StartAnswered.
type StartCall struct {
	Call     CallID
	Endpoint string
	Run      message.RunRef
	Payload  string
	Fence    int64
	// UntilMillis is the end of the lease by the endpoint's clock.
	UntilMillis int64
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// StopCall orders the endpoint to stop a run. It ends with StopAnswered.
type StopCall struct {
	Call     CallID
	Endpoint string
	Run      message.RunRef
	Fence    int64
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// PollCall is a poll: it renews the leases and requests the lists of running and
// ended runs. It ends with PollAnswered.
type PollCall struct {
	Call     CallID
	Endpoint string
	Fence    int64
	// SeenUpTo acknowledges the ends up to this sequence number.
	SeenUpTo int64
	// UntilMillis is the end of the leases by the endpoint's clock; 0 renews none.
	UntilMillis int64
	// WaitMillis is how long the endpoint may wait for the end of a run before it
	// answers.
	WaitMillis int64
	// Timeout is how long to wait for the answer, including WaitMillis.
	Timeout time.Duration
	// NewConnection requests a new connection, as the open ones may be unresponsive.
	NewConnection bool
}

// SendReport sends a report to an entry.
type SendReport struct {
	Session Session
	Report  *message.RunReport
}

// CloseSession closes a session that the core has already removed.
type CloseSession struct {
	Session Session
	Reason  string
}

// Note is a change of the core's state that is worth a log line; What names the
// event.
type Note struct {
	What string
	Run  message.RunRef
	// Subject is the entry or the endpoint concerned.
	Subject string
	Detail  string
}

// EndpointCrashed reports, for the log, that the endpoint's process ended without
// notice.
type EndpointCrashed struct{ Crash *message.EndpointCrash }

// EvacuationProgressed reports, for the log, a phase of the evacuation of the endpoint's zone.
type EvacuationProgressed struct{ Progress evacuation.Progress }

// Drained reports, after StopRequested, that no run and no unacknowledged end is
// left.
type Drained struct{}

func (StartCall) action()            {}
func (StopCall) action()             {}
func (PollCall) action()             {}
func (SendReport) action()           {}
func (CloseSession) action()         {}
func (Note) action()                 {}
func (EndpointCrashed) action()      {}
func (EvacuationProgressed) action() {}
func (Drained) action()              {}
