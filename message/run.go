package message

// RunRef names one run of one task of a pooled job.
type RunRef struct {
	Job  string `cbor:"1,keyasint"`
	Task int    `cbor:"2,keyasint,omitempty"`
	// Number increases with each run of the task, across all entries.
	Number int64 `cbor:"3,keyasint"`
}

// RunStart orders an agent to start tasks of one job at its endpoint. All of
// them have the same payload and the same resource need.
type RunStart struct {
	Job     string    `cbor:"1,keyasint"`
	Payload string    `cbor:"2,keyasint,omitempty"`
	Need    Resources `cbor:"3,keyasint"`
	Runs    []TaskRun `cbor:"4,keyasint"`
	// EstimateMillis is the run time in milliseconds that the caller expects; 0
	// means unknown.
	EstimateMillis int64 `cbor:"5,keyasint,omitempty"`
	// Queue is the job's queue, which crash records name.
	Queue string `cbor:"6,keyasint,omitempty"`
	// Isolated is set if the job is suspected of crashing endpoints: the agent does not
	// start it beside a run of another such job.
	Isolated bool `cbor:"7,keyasint,omitempty"`
	// Confined is set if the job's queue is confined to a part of the endpoints because
	// its jobs crash them.
	Confined bool `cbor:"8,keyasint,omitempty"`
}

// TaskRun is a task's index within its job and the number of its run.
type TaskRun struct {
	Task   int   `cbor:"1,keyasint,omitempty"`
	Number int64 `cbor:"2,keyasint"`
}

// RunDemand reports to an agent the tasks that an entry could not place. Agents
// offer capacity that becomes free to the entry with the lowest rank.
type RunDemand struct {
	// Count is the number of waiting tasks; 0 means that there is no demand.
	Count int64 `cbor:"1,keyasint"`
	// Rank orders the entries; the lowest is served first.
	Rank float64 `cbor:"2,keyasint"`
	// Need is the resource need of each task.
	Need Resources `cbor:"3,keyasint"`
	// Hold asks the agent to keep what becomes free until a task fits.
	Hold bool `cbor:"4,keyasint,omitempty"`
}

// RunOrders carries an entry's orders to an agent. A message without orders is
// the entry's heartbeat.
type RunOrders struct {
	// Seq numbers the messages of a session from 1.
	Seq uint64 `cbor:"1,keyasint"`
	// ReportTimestamp is the newest RunReport.Timestamp that the entry has
	// processed. It acknowledges the ends in all reports up to that one. If it is
	// too old, the agent refuses the starts of this message.
	ReportTimestamp int64      `cbor:"2,keyasint"`
	Starts          []RunStart `cbor:"3,keyasint,omitempty"`
	Stops           []RunRef   `cbor:"4,keyasint,omitempty"`
	// Demand replaces the demand sent before; nil leaves it unchanged.
	Demand *RunDemand `cbor:"5,keyasint,omitempty"`
	// Evacuation is the newest state that the entry knows: in the first message of a
	// session for which it knows one, and on each change.
	Evacuation *EvacuationState `cbor:"6,keyasint,omitempty"`
}

// RunOutcome is the way in which a run ended.
type RunOutcome uint8

const (
	// RunDone means that the run completed its task.
	RunDone RunOutcome = iota + 1
	// RunFailed means that the run failed through its own fault or the endpoint's.
	RunFailed
	// RunStopped means that the run was stopped by an order.
	RunStopped
	// RunLost means that the run ended because its lease expired or its endpoint
	// ended. RunReport.Crashes tells whether the endpoint ended without notice.
	RunLost
	// RunStalled means that the agent stopped the run because it made no progress.
	RunStalled
	// RunRefused means that the run was not started and never will be.
	RunRefused
)

var runOutcomeNames = [...]string{
	RunDone: "done", RunFailed: "failed", RunStopped: "stopped", RunLost: "lost", RunStalled: "stalled", RunRefused: "refused",
}

// String returns the outcome's name.
func (o RunOutcome) String() string {
	if o > 0 && int(o) < len(runOutcomeNames) {
		return runOutcomeNames[o]
	}
	return "unknown"
}

// RunCause is the reason why a run was refused.
type RunCause uint8

const (
	// CauseNone means that there is no cause to report.
	CauseNone RunCause = iota
	// CauseNoCapacity means that the task exceeds the endpoint's free capacity.
	CauseNoCapacity
	// CauseStale means that the order was based on a report that is too old, or
	// that the endpoint rejected the start because of an old fence or an expired
	// lease and the agent does not repeat it. Entries also use it for starts that
	// they withdrew before sending them or that were lost with a session.
	CauseStale
	// CauseLeaving means that the endpoint or the agent takes no new tasks.
	CauseLeaving
	// CauseUnreachable means that the order had no effect because the endpoint was
	// not reachable.
	CauseUnreachable
	// CauseOverloaded means that the endpoint sheds load.
	CauseOverloaded
	// CauseStaleNumber means that a run of the task with this or a higher number has
	// already ended at the endpoint.
	CauseStaleNumber
	// CauseInvalid means that the endpoint does not understand the order.
	CauseInvalid
	// CauseIsolated means that a run of another isolated job is on the endpoint.
	CauseIsolated
	// CauseEvacuated means that the endpoint's availability zone is evacuated, or that the
	// agent does not know yet whether it is. Entries that have sent no EvacuationState get
	// CauseLeaving instead, as earlier releases don't know this cause.
	CauseEvacuated
)

var runCauseNames = [...]string{
	CauseNone: "none", CauseNoCapacity: "room", CauseStale: "stale", CauseLeaving: "leaving",
	CauseUnreachable: "unreachable", CauseOverloaded: "overloaded", CauseStaleNumber: "number", CauseInvalid: "invalid",
	CauseIsolated: "isolated", CauseEvacuated: "evacuated",
}

// String returns the cause's name.
func (c RunCause) String() string {
	if int(c) < len(runCauseNames) {
		return runCauseNames[c]
	}
	return "unknown"
}

// RunEnd reports the end of a run.
type RunEnd struct {
	Run     RunRef     `cbor:"1,keyasint"`
	Outcome RunOutcome `cbor:"2,keyasint"`
	Cause   RunCause   `cbor:"3,keyasint,omitempty"`
	// Millis is the time in milliseconds from the order's arrival at the agent to
	// the end of the run.
	Millis int64 `cbor:"4,keyasint,omitempty"`
}

// PoolEndpoint describes an endpoint that runs tasks under leases.
type PoolEndpoint struct {
	// Name and Adoption together identify one incarnation of an endpoint: Adoption
	// numbers the incarnations that the agent's process has adopted.
	Name     string `cbor:"1,keyasint"`
	Adoption uint64 `cbor:"2,keyasint"`
	Service  string `cbor:"3,keyasint"`
	// Capacity is the total of resources for the endpoint's tasks.
	Capacity Resources `cbor:"4,keyasint"`
	Labels   []string  `cbor:"5,keyasint,omitempty"`
	// Ready is set when the endpoint takes new tasks.
	Ready bool `cbor:"6,keyasint,omitempty"`
	// Zone is the endpoint's availability zone.
	Zone string `cbor:"7,keyasint,omitempty"`
	// ColdMillis is the time in milliseconds for which the endpoint stays slow.
	ColdMillis int64 `cbor:"8,keyasint,omitempty"`
}

// RunReport carries an agent's report to an entry. A message without content is
// the agent's heartbeat.
type RunReport struct {
	// Timestamp is the time of sending by the agent's clock, in microseconds since
	// its machine booted, raised if necessary so that it is higher than that of the
	// previous report to the entry. The entry returns the newest one in
	// RunOrders.ReportTimestamp, so that the agent can tell by its own clock alone
	// whether a start is based on a report that is too old.
	Timestamp int64 `cbor:"1,keyasint"`
	// OrdersSeq is the Seq of the newest RunOrders of this session that Free takes
	// into account.
	OrdersSeq uint64 `cbor:"2,keyasint"`
	// Free is the free capacity that this entry may use now.
	Free Resources `cbor:"3,keyasint"`
	Ends []RunEnd  `cbor:"4,keyasint,omitempty"`
	// Endpoint is set when it has changed, and in the first report of a session.
	Endpoint *PoolEndpoint `cbor:"5,keyasint,omitempty"`
	// Sync marks the first report of a session. Active then lists the entry's active
	// runs: a run of the entry that is in neither Active nor Ends is not active.
	Sync   bool     `cbor:"6,keyasint,omitempty"`
	Active []RunRef `cbor:"7,keyasint,omitempty"`
	// Complete, in a report with Sync, means that a run in neither Active nor Ends
	// was never started. It is not set if, since the last session, the agent has
	// dropped its record of the entry and thereby possibly ends that the entry had
	// not acknowledged.
	Complete bool `cbor:"8,keyasint,omitempty"`
	// Slowdown is the factor by which the current runs take longer than estimated,
	// projected from their progress; 0 when too few runs report progress.
	Slowdown float64 `cbor:"9,keyasint,omitempty"`
	// Crashes lists crashes of the endpoint, including those of other entries' runs:
	// new ones, and in the first report of a session all recent ones. One that is listed
	// again has more runs.
	Crashes []EndpointCrash `cbor:"10,keyasint,omitempty"`
	// Confined is set while the endpoint is used by confined jobs, of any entry, and while
	// it is away after a crash that happened meanwhile.
	Confined bool `cbor:"11,keyasint,omitempty"`
	// ConfinedMilliCPU is what the runs of confined jobs use, in thousandths of a core.
	ConfinedMilliCPU int64 `cbor:"12,keyasint,omitempty"`
	// Evacuation is the newest state that the agent knows: in the first report of a
	// session, and on each change.
	Evacuation *EvacuationState `cbor:"13,keyasint,omitempty"`
}

// CompletedJobs notifies other entries of completed pooled jobs, so that a late
// copy of a submission is answered and not run again.
type CompletedJobs struct {
	Jobs []string `cbor:"1,keyasint"`
	// BlamedQueues is, by queue, the number of these jobs whose queue the sender blames
	// for crashes of endpoints.
	BlamedQueues map[string]int `cbor:"2,keyasint,omitempty"`
}

// JobSearch queries another entry for a pooled job of which the sender has no
// record. The answer is a JobSearchReply.
type JobSearch struct {
	Request uint64 `cbor:"1,keyasint"`
	Job     string `cbor:"2,keyasint"`
	// Cancel asks the entry that has the job to cancel it.
	Cancel bool `cbor:"3,keyasint,omitempty"`
}

// JobSearchReply answers a JobSearch.
type JobSearchReply struct {
	Request uint64 `cbor:"1,keyasint"`
	// Known is set when the replying entry has a record of the job, and Started
	// when a task of the job has started.
	Known   bool `cbor:"2,keyasint,omitempty"`
	Started bool `cbor:"3,keyasint,omitempty"`
}

// EntryState is the state that each entry of a pool broadcasts periodically to
// the others.
type EntryState struct {
	// Waiting is the number of jobs, by queue, of which no task has started.
	Waiting map[string]int `cbor:"1,keyasint,omitempty"`
	// Evacuation is the newest state that the entry knows.
	Evacuation *EvacuationState `cbor:"2,keyasint,omitempty"`
	// Loads holds the load, by queue, of an entry that shares capacity; see pool/fairness.
	Loads map[string]QueueLoad `cbor:"3,keyasint,omitempty"`
}

// QueueLoad is the load of a queue at an entry, in thousandths of a core.
type QueueLoad struct {
	// Offered is the load that callers submit, Served the load that is started.
	Offered float64 `cbor:"1,keyasint,omitempty"`
	Served  float64 `cbor:"2,keyasint,omitempty"`
	// Priority is the queue's priority, lower ones first.
	Priority int `cbor:"3,keyasint,omitempty"`
}
