// Package dispatch implements the scheduling core of an owner of a service's
// shards: jobs, queue, credits, starts, results, cancellation and takeover. It
// reads no clock, opens no socket and starts no goroutine: Core.Step takes the
// time and an event and returns actions.
package dispatch

import (
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
)

// Session identifies one connection to an agent. The daemon never reuses a
// number and gives later connections higher ones.
type Session uint64

// Waiter identifies a request that waits for a job's answer: the relaying
// entry's connection and its request number.
type Waiter struct {
	Relay   uint64
	Request uint64
}

// Event is an input of the core.
type Event interface{ event() }

// JobSubmitted submits a job that a relay has sent. The core keeps Submit and its
// tasks until the job has ended.
type JobSubmitted struct {
	Waiter Waiter
	Submit *message.Submit
}

// JobCancelled cancels a job.
type JobCancelled struct{ Job message.JobKey }

// WaiterDisconnected reports that the waiter of a request has disconnected. The
// job continues, so that a resubmission can join it.
type WaiterDisconnected struct{ Waiter Waiter }

// AgentConnected begins a session. Credits of an earlier session of the same
// agent are void. Announce, Credits and the rest follow as messages.
type AgentConnected struct {
	Session     Session
	Agent       string
	Incarnation uint64
	Zone        string
	// Registered reports that the agent's name is in the log's roster for the
	// service; the agent gets no starts before that.
	Registered bool
}

// AgentRegistered reports that the agent's name is now in the log's roster.
type AgentRegistered struct{ Agent string }

// AgentDisconnected ends a session. The core keeps the agent's running tasks
// until it reconnects with the same incarnation or AgentTimeout has passed.
type AgentDisconnected struct{ Session Session }

// AgentMessage is a message from an agent: Announce, Credits, Withdraw,
// Heartbeat, Result, Journal or InquiryReply. The daemon itself may pass in a
// Result with NotRun and ReasonNoLease for a Start that it has not sent; the
// core then starts nothing more within the step.
//
// A Heartbeat applies to every core that shares the session. An agent omits it
// while it sends other messages with a sequence number, but each of those reaches
// only the core of its own service. The daemon therefore passes the other cores a
// Heartbeat with that number, at intervals well below the agents' acceptance
// window; otherwise they would consider the agent unresponsive, and their starts
// would name a number that the agent no longer accepts.
type AgentMessage struct {
	Session Session
	Message message.Message
}

// ShardAcquired makes this entry the owner of a shard. The previous owner sends
// no further starts; those in transit may be accepted until StartsFrom.
type ShardAcquired struct {
	Shard int
	Epoch message.Epoch
	// First reports that the shard never had another owner, so that no older
	// job can exist.
	First bool
	// StartsFrom is the time from which agents no longer accept starts that the
	// previous owner has sent. Before it, tasks are started only once every agent
	// of the roster has sent its journal.
	StartsFrom time.Time
	// Roster names all agents that may have started tasks of the service.
	Roster []string
}

// ShardReleased ends the ownership of a shard. The core discards its jobs and
// answers their waiters with a NotOwner refusal, after which the relay submits
// them again.
type ShardReleased struct{ Shard int }

// LeaseChanged sets the time until which this entry may start tasks, by the
// clock passed to Step.
type LeaseChanged struct{ Until time.Time }

// Configured sets or changes the service's configuration.
type Configured struct{ Service config.Service }

// PoliciesReplaced replaces the core's plug-ins.
type PoliciesReplaced struct {
	Queue     Queue
	Placement Placement
	Admission Admission
}

// Tick advances the time: due timers fire, expired records are removed, and tasks may
// use credits that the placement has held back. The core requests it with Wake.
type Tick struct{}

func (JobSubmitted) event()       {}
func (JobCancelled) event()       {}
func (WaiterDisconnected) event() {}
func (AgentConnected) event()     {}
func (AgentRegistered) event()    {}
func (PoliciesReplaced) event()   {}
func (AgentDisconnected) event()  {}
func (AgentMessage) event()       {}
func (ShardAcquired) event()      {}
func (ShardReleased) event()      {}
func (LeaseChanged) event()       {}
func (Configured) event()         {}
func (Tick) event()               {}

// Action is an output of the core, to be carried out in order.
type Action interface{ action() }

// Send sends a message to an agent on a session: Start, Cancel, Demand,
// JournalRequest or Inquiry.
type Send struct {
	Session Session
	Message message.Message
}

// Reply answers a waiter. Each waiter is answered once. The answer may be shared
// with other waiters and with the core and must not be modified.
type Reply struct {
	Waiter Waiter
	Answer *message.JobAnswer
}

// Wake asks for a Tick at the given time at the latest. The newest Wake
// replaces earlier ones.
type Wake struct{ At time.Time }

// Disconnect asks the daemon to close a session whose agent has exceeded its
// heartbeat timeout. The core has already ended the session; a new one begins
// when the agent reconnects.
type Disconnect struct{ Session Session }

func (Send) action()       {}
func (Reply) action()      {}
func (Wake) action()       {}
func (Disconnect) action() {}
