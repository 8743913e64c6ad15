package message

// Submit carries a job from the entry that holds the caller's connection to
// the owner of the job's shard.
type Submit struct {
	// Request is the number that the relaying entry gave the request; the Answer
	// carries the same number.
	Request uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Shard   int    `cbor:"3,keyasint"`
	Job     JobKey `cbor:"4,keyasint"`
	// Fingerprint is the hash of the tasks as returned by function Fingerprint.
	Fingerprint uint64 `cbor:"5,keyasint"`
	// SubmittedAt is the Unix time in milliseconds of the first submission, or
	// 0 when the caller did not give it.
	SubmittedAt int64 `cbor:"6,keyasint,omitempty"`
	// Deadline is a Unix time in milliseconds; 0 means no deadline.
	Deadline int64  `cbor:"7,keyasint,omitempty"`
	Tasks    []Task `cbor:"8,keyasint"`
	// Single marks a single request: a job of one task, which may be retried when
	// its rule is idempotent.
	Single bool `cbor:"9,keyasint,omitempty"`
	// GeneratedID is set when the relaying entry generated the job ID, so that the
	// caller can't have submitted the job before.
	GeneratedID bool `cbor:"11,keyasint,omitempty"`
	// ReceivedAt is the Unix time in milliseconds at which the job has arrived at the
	// relaying entry's machine, by the kernel. It stays the same when the relaying entry
	// resubmits the job.
	ReceivedAt int64 `cbor:"10,keyasint,omitempty"`
}

// Answer carries a job's answer back to the relaying entry.
type Answer struct {
	Request uint64    `cbor:"1,keyasint"`
	Answer  JobAnswer `cbor:"2,keyasint"`
}

// CancelJob asks the owner to cancel a job.
type CancelJob struct {
	Request uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Shard   int    `cbor:"3,keyasint"`
	Job     JobKey `cbor:"4,keyasint"`
}

// StatusRequest asks the owner for a job's state. The answer is a Status.
type StatusRequest struct {
	Request uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Shard   int    `cbor:"3,keyasint"`
	Job     JobKey `cbor:"4,keyasint"`
}

// Status answers a StatusRequest or a CancelJob.
type Status struct {
	Request uint64 `cbor:"1,keyasint"`
	// Known is set when the owner has a record of the job.
	Known bool `cbor:"2,keyasint"`
	// NotOwner is set when the replying entry does not own the shard.
	NotOwner bool `cbor:"3,keyasint,omitempty"`
	Ended    bool `cbor:"4,keyasint,omitempty"`
	// Tasks, Started and Done count the job's tasks.
	Tasks   int `cbor:"5,keyasint,omitempty"`
	Started int `cbor:"6,keyasint,omitempty"`
	Done    int `cbor:"7,keyasint,omitempty"`
	// Answer is set when the job has ended and its answer is still kept.
	Answer *JobAnswer `cbor:"8,keyasint,omitempty"`
}

// Abandon notifies the owner that no caller waits for a request any more.
type Abandon struct {
	Service string `cbor:"1,keyasint"`
	Request uint64 `cbor:"2,keyasint"`
}

// PromiseRequest asks a possible guardian of the sender, that is a peer that may
// be the one that removes it, to extend the sender's lease while the log is
// unavailable. The lease is extended once all possible guardians have granted
// their promise.
type PromiseRequest struct {
	Member string `cbor:"1,keyasint"`
	// SentAt is the time of sending by the sender's own clock, in nanoseconds,
	// echoed by the reply.
	SentAt int64 `cbor:"2,keyasint"`
	// Joined is the log offset of the sender's join record, as known to the sender.
	Joined uint64 `cbor:"3,keyasint,omitempty"`
}

// Promise answers a PromiseRequest. When Granted is set, the peer will not
// remove the member for one lease duration after it received the request.
type Promise struct {
	Member  string `cbor:"1,keyasint"`
	SentAt  int64  `cbor:"2,keyasint"`
	Granted bool   `cbor:"3,keyasint"`
	// By is the ID of the member that answers. The promise counts only if it comes
	// from the member that was asked; another member may use its address by now.
	By string `cbor:"4,keyasint,omitempty"`
}

// StateRequest asks a peer for the state that it has built from the log. It is
// used when the log is unavailable or no longer holds the records needed.
type StateRequest struct {
	Request uint64 `cbor:"1,keyasint"`
}

// StateReply answers a StateRequest with a snapshot, encoded as in the log.
type StateReply struct {
	Request uint64 `cbor:"1,keyasint"`
	// Complete is false when the peer has no complete state itself; there is no
	// snapshot then.
	Complete bool   `cbor:"2,keyasint"`
	Snapshot []byte `cbor:"3,keyasint,omitempty"`
}

// Roster lists, for an owner, the agents that an entry has seen for a service.
type Roster struct {
	Service string   `cbor:"1,keyasint"`
	Agents  []string `cbor:"2,keyasint"`
}
