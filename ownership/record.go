// Package ownership decides which entry owns which shard of a service. The
// assignment is a pure function of a prefix of the platform's log. Leases (C. Gray
// and D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
// File Cache Consistency", SOSP 1989), counted conservatively on both sides, keep
// two entries from acting as owner of one shard at a time; epochs let agents
// refuse the starts of a former owner.
package ownership

import (
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// MemberID identifies one incarnation of an entry.
type MemberID string

// Member is an entry whose join stands in the log.
type Member struct {
	ID MemberID `cbor:"1,keyasint" json:"id"`
	// Name is the entry's name, which stays the same over restarts.
	Name string `cbor:"6,keyasint,omitempty" json:"name,omitempty"`
	// Address is where the entry accepts connections from its peers.
	Address string `cbor:"2,keyasint" json:"address"`
	// HTTPAddress is where it accepts callers.
	HTTPAddress string `cbor:"3,keyasint,omitempty" json:"http_address,omitempty"`
	Zone        string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
	Region      string `cbor:"5,keyasint,omitempty" json:"region,omitempty"`
}

// RecordType numbers the types of records. Numbers are never reused.
type RecordType uint8

// The types of ownership records.
const (
	// RecordJoin adds a member; a member with the same address is superseded.
	RecordJoin RecordType = iota + 1
	// RecordRenew extends the member's lease.
	RecordRenew
	// RecordRemove removes a member whose lease has ended. It names the renewal
	// that it saw; a newer renewal earlier in the log voids it.
	RecordRemove
	// RecordLeave ends a membership on the member's own wish. The member has
	// stopped starting tasks and giving promises before it sends the record.
	RecordLeave
	// RecordForceRemove removes a member on an operator's word.
	RecordForceRemove
	// RecordAgents adds agent names to a service's roster, or registers them anew.
	RecordAgents
	// RecordAgentGone says that a member has had no session with an agent for so
	// long that no job which the agent may have started can come again. The name
	// leaves the roster when every owner of the service has said so. Seen is the
	// offset of the agent's last registration; a newer one voids the record.
	RecordAgentGone
)

// Record is one ownership record of the log. Which fields are set depends on
// the type.
type Record struct {
	Type RecordType `cbor:"1,keyasint"`
	// Member is the member concerned: whole for a join, its ID otherwise.
	Member Member `cbor:"2,keyasint,omitempty"`
	// By is the member, or the operator, that wrote the record.
	By string `cbor:"3,keyasint,omitempty"`
	// Seen is the offset of the renewal that a removal saw, or of the
	// registration that a RecordAgentGone saw.
	Seen sharedlog.Offset `cbor:"4,keyasint,omitempty"`
	// Applied is the offset up to which a joining or renewing member has applied
	// the log.
	Applied sharedlog.Offset `cbor:"5,keyasint,omitempty"`
	// Guardian is the only peer allowed to remove a renewing member.
	Guardian MemberID `cbor:"6,keyasint,omitempty"`
	// Service and Agents belong to roster records.
	Service string   `cbor:"7,keyasint,omitempty"`
	Agents  []string `cbor:"8,keyasint,omitempty"`
	// Seq numbers the joins and renewals that one member has sent. A renewal
	// that is not newer than the last one in the log is void.
	Seq uint64 `cbor:"9,keyasint,omitempty"`
	// Orphan marks a removal under the orphan rule, which any member may write.
	Orphan bool `cbor:"10,keyasint,omitempty"`
}

// Assignment is the owner of a shard as of a prefix of the log.
type Assignment struct {
	Member Member
	// Epoch is the offset of the record that made the member the owner.
	Epoch message.Epoch
	// First says that the shard had no owner before.
	First bool
}
