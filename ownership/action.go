package ownership

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// Action is an output of the core.
type Action interface{ action() }

// Append asks for a record to be written to the log.
type Append struct {
	ID     AppendID
	Record Record
}

// AskPromise asks a peer for an extension of the lease.
type AskPromise struct {
	Peer Member
	// Joined is the offset of this member's join.
	Joined sharedlog.Offset
	SentAt int64
}

// AnswerPromise answers a peer's request.
type AnswerPromise struct {
	To      MemberID
	SentAt  int64
	Granted bool
}

// ShardAcquired says that this member may act as the owner of a shard while its
// lease holds. No predecessor decides a start any longer, but one that is on its
// way may still be accepted: until StartsFrom, this member may start tasks only
// once every agent of the roster has answered a journal request of this epoch,
// as agents then refuse starts of lower ones.
type ShardAcquired struct {
	Shard      Shard
	Epoch      message.Epoch
	First      bool
	StartsFrom time.Time
}

// ShardReleased says that this member must not act for the shard any longer.
type ShardReleased struct {
	Shard Shard
	Epoch message.Epoch
}

// LeaseChanged says until when this member may start tasks; the zero time
// stands for "not at all".
type LeaseChanged struct{ Until time.Time }

// MembersChanged says that members have joined or gone.
type MembersChanged struct{}

// OwnersChanged says that shards have other owners.
type OwnersChanged struct{}

// Joined says that this member's join has taken effect.
type Joined struct{}

// Expelled says that this member has been removed or superseded.
type Expelled struct{}

// Left says that this member's leave has taken effect.
type Left struct{}

// AgentsRegistered says that agents of a service were registered.
type AgentsRegistered struct {
	Service string
	Agents  []string
}

// WakeAt asks for a Tick at the given time. A later WakeAt replaces it.
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
