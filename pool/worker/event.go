package worker

import "marjoramlug.example/marjoramlug/message"

// Session numbers the connections to entries; numbers are never reused and
// never 0.
type Session uint64

// CallID numbers the calls to the endpoint in the order of their sending.
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

// SessionSurplus says that the agent need not work for a session's entry. It is
// repeated while that is so.
type SessionSurplus struct{ Session Session }

// OrdersReceived is a message of an entry.
type OrdersReceived struct {
	Session Session
	Orders  *message.RunOrders
}

// EndpointSeen is an endpoint's announcement of itself.
type EndpointSeen struct {
	Name string
	// Born is when this life of the endpoint began, in Unix milliseconds. A lower
	// value than the one known belongs to an earlier life.
	Born int64
	// Seq numbers the announcements of one life.
	Seq      int64
	Service  string
	Capacity message.Resources
	Labels   []string
	Leaving  bool
	// ClockMillis is the endpoint's steady clock.
	ClockMillis int64
}

// EndpointLeft says that an endpoint has ended, and with it all that it ran.
type EndpointLeft struct{ Name string }

// Clock is a reading of the endpoint's steady clock in milliseconds.
type Clock struct {
	Millis int64
	Known  bool
}

// StartResult is the endpoint's answer to a start.
type StartResult uint8

const (
	// StartNoAnswer means that the start may have been, or may yet be, carried out.
	StartNoAnswer StartResult = iota
	// StartTaken means that the task runs.
	StartTaken
	// StartFenced means that the endpoint has seen a higher fence.
	StartFenced
	// StartOutdated means that a run of this or a higher number has ended there.
	StartOutdated
	// StartLate means that the lease that came with the start had passed.
	StartLate
	// StartNoRoom means that the endpoint has no room.
	StartNoRoom
	// StartOverloaded means that the endpoint sheds load.
	StartOverloaded
	// StartInvalid means that the endpoint does not understand the order.
	StartInvalid
	// StartElsewhere means that another life of the endpoint answered.
	StartElsewhere
	// StartUnreachable means that nobody listens at the endpoint's address.
	StartUnreachable
)

// StartAnswered ends a StartCall.
type StartAnswered struct {
	Call   CallID
	Run    message.RunRef
	Result StartResult
	Clock  Clock
	// Born tells which life answered; 0 when the answer did not say.
	Born int64
}

// StopAnswered ends a StopCall. Taken says that the run, where it is not there
// yet, can't start any more.
type StopAnswered struct {
	Call  CallID
	Run   message.RunRef
	Taken bool
	Clock Clock
}

// LookResult is the endpoint's answer to a look.
type LookResult uint8

const (
	// LookNoAnswer means that no answer came in time.
	LookNoAnswer LookResult = iota
	// LookTaken means that the answer holds what runs and what has ended.
	LookTaken
	// LookFenced means that the endpoint has seen a higher fence.
	LookFenced
	// LookElsewhere means that another life of the endpoint answered.
	LookElsewhere
	// LookUnreachable means that nobody listens at the endpoint's address.
	LookUnreachable
)

// LookAnswered ends a LookCall.
type LookAnswered struct {
	Call   CallID
	Result LookResult
	Clock  Clock
	// Born tells which life of the endpoint answered, like EndpointSeen.Born; 0
	// when the answer did not say.
	Born    int64
	Running []AliveRun
	Ended   []EndedRun
}

// AliveRun is a run that the endpoint lists as running.
type AliveRun struct {
	Run message.RunRef
	// Percent is the part of its work that is done.
	Percent float64
}

// EndedRun is an end that the endpoint lists.
type EndedRun struct {
	// Seq numbers the ends of one life of the endpoint from 1.
	Seq     int64
	Run     message.RunRef
	Outcome message.RunOutcome
}

// StopRequested begins a planned stop of the agent.
type StopRequested struct{}

// Tick lets time pass.
type Tick struct{}

func (SessionOpened) event()  {}
func (SessionClosed) event()  {}
func (SessionSurplus) event() {}
func (OrdersReceived) event() {}
func (EndpointSeen) event()   {}
func (EndpointLeft) event()   {}
func (StartAnswered) event()  {}
func (StopAnswered) event()   {}
func (LookAnswered) event()   {}
func (StopRequested) event()  {}
func (Tick) event()           {}

// Action is an output of the core, to be carried out in order.
type Action interface{ action() }

// StartCall tells the endpoint to start a run. It ends with StartAnswered.
type StartCall struct {
	Call     CallID
	Endpoint string
	Run      message.RunRef
	Payload  string
	Fence    int64
	// UntilMillis is the end of the lease by the endpoint's clock.
	UntilMillis int64
}

// StopCall tells the endpoint to stop a run. It ends with StopAnswered.
type StopCall struct {
	Call     CallID
	Endpoint string
	Run      message.RunRef
	Fence    int64
}

// LookCall renews the leases and asks what runs and what has ended. It ends
// with LookAnswered.
type LookCall struct {
	Call     CallID
	Endpoint string
	Fence    int64
	// SeenUpTo acknowledges the ends up to this number.
	SeenUpTo int64
	// UntilMillis is the end of the leases by the endpoint's clock; 0 renews none.
	UntilMillis int64
	// WaitMillis is how long the endpoint may wait for an end.
	WaitMillis int64
	// Fresh asks for a connection of its own, as others may have gone silent.
	Fresh bool
}

// SendReport sends a report to an entry.
type SendReport struct {
	Session Session
	Report  *message.RunReport
}

// CloseSession ends a session; the core has dropped it.
type CloseSession struct {
	Session Session
	Reason  string
}

// Note tells of a change of what the core believes, for the log.
type Note struct {
	What string
	Run  message.RunRef
	// Subject is the entry or the endpoint concerned.
	Subject string
	Detail  string
}

// Drained says that nothing is left to do after StopRequested.
type Drained struct{}

func (StartCall) action()    {}
func (StopCall) action()     {}
func (LookCall) action()     {}
func (SendReport) action()   {}
func (CloseSession) action() {}
func (Note) action()         {}
func (Drained) action()      {}
