// Package ownership decides which entry owns which shard of a service. The
// assignment is a pure function of a prefix of the platform's log. Leases (C. Gray
// and D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
// File Cache Consistency", SOSP 1989), measured conservatively on both sides,
// prevent two entries from acting as the owner of a shard at the same time. Epochs
// let agents refuse the starts of a former owner.
package ownership

import (
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// MemberID identifies one incarnation of an entry.
type MemberID string

// Member is an entry that has joined by a record in the log.
type Member struct {
	ID MemberID `cbor:"1,keyasint" json:"id"`
	// Name is the entry's name, which is the same after a restart.
	Name string `cbor:"6,keyasint,omitempty" json:"name,omitempty"`
	// Address is the network address at which the entry accepts connections from
	// peers.
	Address string `cbor:"2,keyasint" json:"address"`
	// HTTPAddress is the network address at which the entry serves callers.
	HTTPAddress string `cbor:"3,keyasint,omitempty" json:"http_address,omitempty"`
	Zone        string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
	Region      string `cbor:"5,keyasint,omitempty" json:"region,omitempty"`
}

// RecordType is the type of a record. Its numbers are never reused.
type RecordType uint8

// The types of ownership records.
const (
	// RecordJoin adds a member; a member with the same address is superseded.
	RecordJoin RecordType = iota + 1
	// RecordRenew extends the member's lease.
	RecordRenew
	// RecordRemove removes a member whose lease has expired. It names the latest
	// renewal that its writer has read; a newer renewal that precedes the removal
	// in the log voids it.
	RecordRemove
	// RecordLeave ends a membership at the member's own request. The member stops
	// starting tasks and granting promises before it sends the record.
	RecordLeave
	// RecordForceRemove removes a member at an operator's request.
	RecordForceRemove
	// RecordAgents adds agents to a service's roster, or registers them again.
	RecordAgents
	// RecordAgentAbsent reports that a member has had no session with an agent for
	// so long that no job of which the agent may have started tasks can be accepted
	// again. The agent is removed from the roster when every owner of
	// the service has reported it. Seen is the offset of the agent's last
	// registration; a newer registration voids the record.
	RecordAgentAbsent
)

// Record is one ownership record of the log. Which fields are set depends on
// the type.
type Record struct {
	Type RecordType `cbor:"1,keyasint"`
	// Member is the member concerned. All fields are set for a join, only ID
	// otherwise.
	Member Member `cbor:"2,keyasint,omitempty"`
	// By is the member or the operator that wrote the record.
	By string `cbor:"3,keyasint,omitempty"`
	// Seen is the offset of the latest renewal (RecordRemove) or registration
	// (RecordAgentAbsent) that the writer has read.
	Seen sharedlog.Offset `cbor:"4,keyasint,omitempty"`
	// Applied is the offset up to which a joining or renewing member has applied
	// the log.
	Applied sharedlog.Offset `cbor:"5,keyasint,omitempty"`
	// Guardian is the only peer that may remove a joining or renewing member. When
	// it is empty, any member may.
	Guardian MemberID `cbor:"6,keyasint,omitempty"`
	// Service and Agents are set in RecordAgents and RecordAgentAbsent.
	Service string   `cbor:"7,keyasint,omitempty"`
	Agents  []string `cbor:"8,keyasint,omitempty"`
	// Seq is the sequence number of a join or renewal among those of its member.
	// A renewal that is not newer than the last one in the log is void.
	Seq uint64 `cbor:"9,keyasint,omitempty"`
	// Orphan marks a removal of a member that has not renewed for OrphanTimeout.
	// Any member may write one.
	Orphan bool `cbor:"10,keyasint,omitempty"`
}

// Assignment is the owner of a shard as of a prefix of the log.
type Assignment struct {
	Member Member
	// Epoch is the offset of the record that made the member the owner.
	Epoch message.Epoch
	// First reports that the shard had no owner before.
	First bool
}
