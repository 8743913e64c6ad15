package ownership

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// Action is an output of the core.
type Action interface{ action() }

// Append requests that a record be written to the log.
type Append struct {
	ID     AppendID
	Record Record
}

// AskPromise sends a peer a request to extend this member's lease: the peer
// promises not to remove this member for a while.
type AskPromise struct {
	Peer Member
	// Joined is the offset of this member's join.
	Joined sharedlog.Offset
	// SentAt is this member's Unix time in nanoseconds; the answer repeats it.
	SentAt int64
}

// AnswerPromise answers a peer's promise request. SentAt is copied from it.
type AnswerPromise struct {
	To      MemberID
	SentAt  int64
	Granted bool
}

// ShardAcquired reports that this member may act as the owner of a shard while
// its lease is valid. All predecessors have stopped sending starts, but an agent
// may still accept one that is in transit. Until StartsFrom, this member may
// therefore start tasks only once every agent of the roster has answered a
// journal request of this epoch: agents then refuse starts of lower epochs.
type ShardAcquired struct {
	Shard Shard
	Epoch message.Epoch
	// First reports that the shard had no owner before.
	First      bool
	StartsFrom time.Time
}

// ShardReleased reports that this member must no longer act for the shard.
type ShardReleased struct {
	Shard Shard
	Epoch message.Epoch
}

// LeaseChanged reports the time until which this member may start tasks. The
// zero time means that it may not start any.
type LeaseChanged struct{ Until time.Time }

// MembersChanged reports that members have joined, left or been removed.
type MembersChanged struct{}

// OwnersChanged reports that the owners of shards have changed, or that a service was
// created or deleted.
type OwnersChanged struct{}

// Joined reports that this member's join has taken effect.
type Joined struct{}

// Expelled reports that this member has been removed or superseded.
type Expelled struct{}

// Left reports that this member's leave has taken effect.
type Left struct{}

// AgentsRegistered reports that agents of a service were registered.
type AgentsRegistered struct {
	Service string
	Agents  []string
}

// WakeAt requests a Tick at the given time and replaces any earlier WakeAt.
type WakeAt struct{ At time.Time }

func (Append) action()           {}
func (AskPromise) action()       {}
func (AnswerPromise) action()    {}
func (ShardAcquired) action()    {}
func (ShardReleased) action()    {}
func (LeaseChanged) action()     {}
func (MembersChanged) action()   {}
func (OwnersChanged) action()    {}
func (Joined) action()           {}
func (Expelled) action()         {}
func (Left) action()             {}
func (AgentsRegistered) action() {}
func (WakeAt) action()           {}
