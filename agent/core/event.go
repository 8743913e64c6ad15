package core

import "marjoramlug.example/marjoramlug/message"

// SessionID identifies a connection to an entry while it is open.
type SessionID uint64

// EndpointKey identifies an endpoint of a service.
type EndpointKey struct {
	Service string
	Name    string
}

// Event is an input of Step.
type Event interface{ event() }

// EndpointAnnounced reports an announcement by an endpoint, first or repeated.
type EndpointAnnounced struct {
	Service string
	// Address is the host and port at which the endpoint accepts tasks.
	Address string
	Info    message.EndpointInfo
}

// EndpointLeaving reports that an endpoint has asked to leave.
type EndpointLeaving struct{ Key EndpointKey }

// SessionOpened reports a new connection to an entry.
type SessionOpened struct {
	Session SessionID
	// Address is the dialed address.
	Address string
	Peer    message.Hello
}

// DialFailed reports that a Dial action failed or reached a peer that is not an
// entry.
type DialFailed struct{ Address string }

// SessionClosed reports the end of a connection.
type SessionClosed struct{ Session SessionID }

// Received reports a message from an entry.
type Received struct {
	Session SessionID
	Message message.Message
}

// TaskEnded reports the outcome of a Run action.
type TaskEnded struct {
	ID     message.StartID
	Result message.TaskResult
}

// DrainStarted asks the agent to accept no new work and to finish what it has.
type DrainStarted struct{}

// Tick reports that time has passed.
type Tick struct{}

func (EndpointAnnounced) event() {}
func (EndpointLeaving) event()   {}
func (SessionOpened) event()     {}
func (DialFailed) event()        {}
func (SessionClosed) event()     {}
func (Received) event()          {}
func (TaskEnded) event()         {}
func (DrainStarted) event()      {}
func (Tick) event()              {}
