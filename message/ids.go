// Package message defines the typed messages between the system's processes
// and their CBOR encoding. Decoders ignore unknown fields, so that processes of
// consecutive versions are compatible; field numbers are never reused.
package message

import "fmt"

// JobKey identifies a job by the caller's team, the caller's name within the
// team and the job ID that the caller chose.
type JobKey struct {
	Team   string `cbor:"1,keyasint,omitempty"`
	Caller string `cbor:"2,keyasint,omitempty"`
	Job    string `cbor:"3,keyasint,omitempty"`
}

// String returns the key as team/caller/job, the form used in logs.
func (k JobKey) String() string { return k.Team + "/" + k.Caller + "/" + k.Job }

// StartID identifies one start of one task; it is unique across all owners.
type StartID struct {
	// Owner is the incarnation of the entry that ordered the start.
	Owner uint64 `cbor:"1,keyasint"`
	// Seq numbers the starts of that incarnation.
	Seq uint64 `cbor:"2,keyasint"`
}

// String returns the ID as owner.seq, the owner in hexadecimal, the form used in
// logs.
func (s StartID) String() string { return fmt.Sprintf("%x.%d", s.Owner, s.Seq) }

// Epoch numbers the ownerships of a shard: it is the log offset of the record
// that last changed the shard's owner.
type Epoch uint64

// ShardsPerService is the fixed number of shards of each service.
const ShardsPerService = 16

// ShardEpoch is a shard of a service and the epoch of its present owner.
type ShardEpoch struct {
	Shard int   `cbor:"1,keyasint"`
	Epoch Epoch `cbor:"2,keyasint"`
}

// Sequence is the sequence number of a message that an agent sends on a session.
// The agent records when it sent each number, and refuses a start whose Sequence
// it sent too long ago.
type Sequence uint64

// CreditID identifies a credit that an agent granted. IDs are unique across the
// sessions and the incarnations of an agent.
type CreditID uint64
