package message

// Role is the kind of a process.
type Role uint8

// The roles. With TLS, a peer's certificate must contain the role that its
// Hello claims.
const (
	RoleUnknown Role = iota
	RoleEntry
	RoleAgent
)

// Hello is the first message on each connection, sent by both sides.
type Hello struct {
	Role Role   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	// Incarnation tells apart successive processes of the same name.
	Incarnation uint64 `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint,omitempty"`
	Region      string `cbor:"5,keyasint,omitempty"`
	// Version is the release that the process runs.
	Version string `cbor:"6,keyasint,omitempty"`
	// Address is the address on which an entry accepts connections from peers.
	Address string `cbor:"7,keyasint,omitempty"`
}

// EndpointInfo describes an endpoint to the owners of its service.
type EndpointInfo struct {
	Name string `cbor:"1,keyasint"`
	// Slots is the number of tasks that the endpoint runs concurrently.
	Slots int `cbor:"2,keyasint"`
	// Connections is the maximum number of HTTP connections to the endpoint; 0
	// means no limit.
	Connections int `cbor:"3,keyasint,omitempty"`
	// Memory is the total memory for the endpoint's tasks, in bytes; 0 means not
	// declared.
	Memory int64 `cbor:"4,keyasint,omitempty"`
	// Accelerators lists the kinds of accelerators that tasks may request.
	Accelerators []string `cbor:"5,keyasint,omitempty"`
	// Leaving is set when the endpoint takes no new tasks.
	Leaving bool `cbor:"6,keyasint,omitempty"`
}

// Grant is one credit: the right to start one task at one endpoint.
type Grant struct {
	Credit   CreditID `cbor:"1,keyasint"`
	Endpoint string   `cbor:"2,keyasint"`
}

// Announce lists, for an owner, the endpoints of a service that an agent
// serves. It is sent when a session begins and whenever the set changes.
type Announce struct {
	Service   string         `cbor:"1,keyasint"`
	Sequence  Sequence       `cbor:"2,keyasint"`
	Endpoints []EndpointInfo `cbor:"3,keyasint,omitempty"`
}

// Credits grants free slots of a service's endpoints to an owner.
type Credits struct {
	Service  string   `cbor:"1,keyasint"`
	Sequence Sequence `cbor:"2,keyasint"`
	Grants   []Grant  `cbor:"3,keyasint,omitempty"`
}

// Withdraw revokes credits. A start that spends one of them, sent before the
// Withdraw arrived, is refused with the verdict NotRun.
type Withdraw struct {
	Service  string     `cbor:"1,keyasint"`
	Sequence Sequence   `cbor:"2,keyasint"`
	Credits  []CreditID `cbor:"3,keyasint"`
}

// Heartbeat proves liveness. Its sequence number renews the validity of all
// credits of the session.
type Heartbeat struct {
	Sequence Sequence `cbor:"1,keyasint"`
	// Generation is that of the newest View that the agent holds. With RequestView,
	// the entry answers with a View if it has a newer one, if Services is set, or if
	// this is the first request of the session.
	Generation uint64 `cbor:"2,keyasint,omitempty"`
	// Services lists what the agent's endpoints serve. It is sent only with
	// RequestView, and only when it has changed.
	Services []string `cbor:"3,keyasint,omitempty"`
	// RequestView is set when the agent requests views from the receiver.
	RequestView bool `cbor:"4,keyasint,omitempty"`
}

// Start orders an agent to run a task. It spends one credit.
type Start struct {
	Service string `cbor:"1,keyasint"`
	Shard   int    `cbor:"2,keyasint"`
	Epoch   Epoch  `cbor:"3,keyasint"`
	Job     JobKey `cbor:"4,keyasint"`
	// Index is the task's position within its job, from 0.
	Index    int      `cbor:"5,keyasint"`
	ID       StartID  `cbor:"6,keyasint"`
	Credit   CreditID `cbor:"7,keyasint"`
	Endpoint string   `cbor:"8,keyasint"`
	// Sequence is the newest sequence number that the owner received from the
	// agent on this session.
	Sequence Sequence `cbor:"9,keyasint"`
	// Fingerprint is that of the job; see function Fingerprint.
	Fingerprint uint64 `cbor:"10,keyasint"`
	Task        Task   `cbor:"11,keyasint"`
	// Queued is the number of tasks of this service that wait at the owner. Agents
	// use it to divide credits among several owners.
	Queued int `cbor:"12,keyasint,omitempty"`
	// Urgent is the number of urgent tasks among them.
	Urgent int `cbor:"13,keyasint,omitempty"`
	// Callers is the number of callers with waiting urgent tasks or, when Urgent is
	// 0, with any waiting tasks.
	Callers int `cbor:"14,keyasint,omitempty"`
}

// Result reports the end or the refusal of a start. A refused start has the
// verdict NotRun.
type Result struct {
	Service  string     `cbor:"1,keyasint"`
	ID       StartID    `cbor:"2,keyasint"`
	Sequence Sequence   `cbor:"3,keyasint"`
	Result   TaskResult `cbor:"4,keyasint"`
	// Grants are credits sent with the result, usually one for the freed slot.
	Grants []Grant `cbor:"5,keyasint,omitempty"`
}

// Cancel asks an agent to stop the runs of the given starts.
type Cancel struct {
	Service string    `cbor:"1,keyasint"`
	Starts  []StartID `cbor:"2,keyasint"`
}

// Demand reports an owner's backlog to an agent and returns unused credits.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	// Queued is the number of tasks waiting at the owner.
	Queued int `cbor:"2,keyasint"`
	// Urgent is the number of urgent tasks among them.
	Urgent int `cbor:"4,keyasint,omitempty"`
	// Callers is the number of callers with waiting urgent tasks or, when Urgent is
	// 0, with any waiting tasks.
	Callers int `cbor:"5,keyasint,omitempty"`
	// Returned lists credits that the owner releases.
	Returned []CreditID `cbor:"3,keyasint,omitempty"`
}

// JournalRequest asks an agent for its journal of the given shards. From then
// on the agent refuses starts of lower epochs and sends results of these shards
// to the requester.
type JournalRequest struct {
	Service string       `cbor:"1,keyasint"`
	Shards  []ShardEpoch `cbor:"2,keyasint"`
}

// StartState is the state of a start in an agent's journal.
type StartState uint8

// The states of a start.
const (
	StartRunning StartState = iota + 1
	StartEnded
)

// JournalEntry is an agent's record of one start.
type JournalEntry struct {
	Shard       int        `cbor:"1,keyasint"`
	Job         JobKey     `cbor:"2,keyasint"`
	Index       int        `cbor:"3,keyasint"`
	ID          StartID    `cbor:"4,keyasint"`
	Fingerprint uint64     `cbor:"5,keyasint"`
	State       StartState `cbor:"6,keyasint"`
	// Result is set when State is StartEnded. Its reason is ReasonAnswerEvicted
	// when the body has been evicted from the agent's bounded memory.
	Result   TaskResult `cbor:"7,keyasint,omitempty"`
	Endpoint string     `cbor:"8,keyasint,omitempty"`
}

// Journal answers a JournalRequest.
type Journal struct {
	Service string       `cbor:"1,keyasint"`
	Shards  []ShardEpoch `cbor:"2,keyasint"`
	// CompleteSince is the Unix time in milliseconds since which the journal
	// holds every start; older starts may have been evicted.
	CompleteSince int64          `cbor:"3,keyasint"`
	Entries       []JournalEntry `cbor:"4,keyasint,omitempty"`
	// More is set when further parts of the same answer follow.
	More bool `cbor:"5,keyasint,omitempty"`
}

// Inquiry asks an agent, after a reconnection, for the state of the given
// starts.
type Inquiry struct {
	Service string    `cbor:"1,keyasint"`
	Starts  []StartID `cbor:"2,keyasint"`
}

// InquiryReply lists the starts that the agent's journal holds. A start that
// was asked for and is not listed was not started and never will be, unless it
// may have been evicted (see EvictedUntil).
type InquiryReply struct {
	Service string         `cbor:"1,keyasint"`
	Asked   []StartID      `cbor:"2,keyasint"`
	Entries []JournalEntry `cbor:"3,keyasint,omitempty"`
	// EvictedUntil is the Unix time in milliseconds of the newest start that
	// was evicted from the journal, or 0 when the journal holds all starts of
	// this incarnation.
	EvictedUntil int64 `cbor:"4,keyasint,omitempty"`
}

// OwnerInfo names an entry that owns shards of a service.
type OwnerInfo struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// ServiceView lists the owners of a service.
type ServiceView struct {
	Service string      `cbor:"1,keyasint"`
	Owners  []OwnerInfo `cbor:"2,keyasint,omitempty"`
	// Configured is false when no configuration names the service.
	Configured bool `cbor:"3,keyasint"`
}

// View reports to an agent the owners of its services and the entries from
// which it may request views.
type View struct {
	Generation uint64        `cbor:"1,keyasint"`
	Services   []ServiceView `cbor:"2,keyasint,omitempty"`
	// Entries are addresses of entries, those of the agent's zone first.
	Entries []string `cbor:"3,keyasint,omitempty"`
}
