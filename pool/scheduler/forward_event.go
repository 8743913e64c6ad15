package scheduler

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// PeerConnected is sent when this entry has opened a connection to another one, over which
// it may forward jobs.
type PeerConnected struct {
	Peer PeerSession
	Name string
	Zone string
}

// PeerDisconnected is sent when a connection of PeerConnected has ended.
type PeerDisconnected struct{ Peer PeerSession }

// PeerReported is sent when a report arrives on a connection of PeerConnected.
type PeerReported struct {
	Peer   PeerSession
	Report *message.ForwardReport
}

// ForwardReceived is sent when another entry sends a message on a connection that it has
// opened.
type ForwardReceived struct {
	Origin PeerSession
	Name   string
	Orders *message.ForwardOrders
}

// OriginDisconnected is sent when a connection that another entry had opened has ended.
type OriginDisconnected struct{ Origin PeerSession }

func (PeerConnected) event()      {}
func (PeerDisconnected) event()   {}
func (PeerReported) event()       {}
func (ForwardReceived) event()    {}
func (OriginDisconnected) event() {}

// SendForwardOrders sends a message on a connection of PeerConnected.
type SendForwardOrders struct {
	Peer   PeerSession
	Orders *message.ForwardOrders
}

// SendForwardReport sends a report to an entry that has sent ForwardOrders, on the same
// connection.
type SendForwardReport struct {
	Origin PeerSession
	Report *message.ForwardReport
}

// ForwardNote reports what became of a forwarded job, for the log and the metrics.
type ForwardNote struct {
	What   ForwardEvent
	Job    *Job
	Peer   string
	Detail string
	// Took is the time since the job was sent.
	Took time.Duration
}

func (SendForwardOrders) action() {}
func (SendForwardReport) action() {}
func (ForwardNote) action()       {}

// ForwardEvent is a change of a forwarded job.
type ForwardEvent uint8

const (
	// ForwardSent means that the job was sent to a peer.
	ForwardSent ForwardEvent = iota
	// ForwardAccepted means that the peer has answered a job that it had accepted.
	ForwardAccepted
	// ForwardRefused means that the peer has not run the job, which is queued here again.
	ForwardRefused
	// ForwardLost means that the contact with the peer was lost.
	ForwardLost
	// ForwardReceivedJob means that this entry has accepted a job of another one.
	ForwardReceivedJob
)

var forwardEventNames = [...]string{
	ForwardSent: "sent", ForwardAccepted: "accepted", ForwardRefused: "refused", ForwardLost: "lost", ForwardReceivedJob: "received",
}

// String returns the event's name as used in metric names.
func (e ForwardEvent) String() string { return forwardEventNames[e] }
