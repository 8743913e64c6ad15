package message

// RunRef names one run of one task of a pooled job.
type RunRef struct {
	Job  string `cbor:"1,keyasint"`
	Task int    `cbor:"2,keyasint,omitempty"`
	// Number rises with each run of the task, over all entries.
	Number int64 `cbor:"3,keyasint"`
}

// RunStart asks an agent to start tasks of one job at its endpoint. The tasks
// are alike: one payload and one need for all.
type RunStart struct {
	Job     string    `cbor:"1,keyasint"`
	Payload string    `cbor:"2,keyasint,omitempty"`
	Need    Resources `cbor:"3,keyasint"`
	Runs    []TaskRun `cbor:"4,keyasint"`
	// EstimateMillis is the run time that the caller expects; 0 says nothing.
	EstimateMillis int64 `cbor:"5,keyasint,omitempty"`
}

// TaskRun is a task's index within its job and the number of its run.
type TaskRun struct {
	Task   int   `cbor:"1,keyasint,omitempty"`
	Number int64 `cbor:"2,keyasint"`
}

// RunDemand tells an agent what an entry could not place. Agents offer room that
// becomes free to the entry with the lowest rank.
type RunDemand struct {
	// Count is the number of tasks that wait; 0 means that none does.
	Count int64 `cbor:"1,keyasint"`
	// Rank orders entries; the lowest goes first.
	Rank float64 `cbor:"2,keyasint"`
	// Need is what each of the tasks takes.
	Need Resources `cbor:"3,keyasint"`
}

// RunOrders is what an entry tells an agent; without content it is the entry's
// heartbeat.
type RunOrders struct {
	// Seq numbers the messages of a session from 1.
	Seq uint64 `cbor:"1,keyasint"`
	// Stamp is the newest RunReport.Stamp that the entry has processed. It makes
	// the orders expire and acknowledges the ends that were reported up to it.
	Stamp  int64      `cbor:"2,keyasint"`
	Starts []RunStart `cbor:"3,keyasint,omitempty"`
	Stops  []RunRef   `cbor:"4,keyasint,omitempty"`
	// Demand replaces the last one; nil leaves it as it is.
	Demand *RunDemand `cbor:"5,keyasint,omitempty"`
}

// RunOutcome says how a run ended.
type RunOutcome uint8

const (
	// RunDone means that the task has done its work.
	RunDone RunOutcome = iota + 1
	// RunFailed means that the run failed by its own fault or the endpoint's.
	RunFailed
	// RunStopped means that it was stopped on an order.
	RunStopped
	// RunLost means that it ended with its lease or its endpoint.
	RunLost
	// RunStalled means that its agent stopped it, as it made no progress.
	RunStalled
	// RunRefused means that it was not started and never will be.
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

// RunCause says why a run was refused.
type RunCause uint8

const (
	// CauseNone is the cause of an end that needs none.
	CauseNone RunCause = iota
	// CauseRoom means that the task does not fit beside what runs.
	CauseRoom
	// CauseStale means that the order was decided on too old a report.
	CauseStale
	// CauseLeaving means that the endpoint or the agent takes no new tasks.
	CauseLeaving
	// CauseUnreachable means that the endpoint did not take the order.
	CauseUnreachable
	// CauseOverloaded means that the endpoint sheds load.
	CauseOverloaded
	// CauseNumber means that a run of this or a higher number has ended there.
	CauseNumber
	// CauseInvalid means that the endpoint does not understand the order.
	CauseInvalid
)

var runCauseNames = [...]string{
	CauseNone: "none", CauseRoom: "room", CauseStale: "stale", CauseLeaving: "leaving",
	CauseUnreachable: "unreachable", CauseOverloaded: "overloaded", CauseNumber: "number", CauseInvalid: "invalid",
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
	// Millis is the time from the order at the agent to the end.
	Millis int64 `cbor:"4,keyasint,omitempty"`
}

// PoolEndpoint describes an endpoint that runs tasks under leases.
type PoolEndpoint struct {
	// Name and Life tell one life of an endpoint from another.
	Name    string `cbor:"1,keyasint"`
	Life    uint64 `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	// Capacity is what all tasks there may take together.
	Capacity Resources `cbor:"4,keyasint"`
	Labels   []string  `cbor:"5,keyasint,omitempty"`
	// Ready says that it takes new tasks.
	Ready bool `cbor:"6,keyasint,omitempty"`
}

// RunReport is what an agent tells an entry; without content it is the agent's
// heartbeat.
type RunReport struct {
	// Stamp rises with each report. The entry repeats the newest in its orders.
	Stamp int64 `cbor:"1,keyasint"`
	// Orders is the newest RunOrders.Seq of the session that Free accounts for.
	Orders uint64 `cbor:"2,keyasint"`
	// Free is the room that this entry may use now.
	Free Resources `cbor:"3,keyasint"`
	Ends []RunEnd  `cbor:"4,keyasint,omitempty"`
	// Endpoint is set when it has changed, and in the first report of a session.
	Endpoint *PoolEndpoint `cbor:"5,keyasint,omitempty"`
	// Sync marks the first report of a session: a run of the entry that is neither
	// in Live nor among the ends of this report is not alive.
	Sync bool     `cbor:"6,keyasint,omitempty"`
	Live []RunRef `cbor:"7,keyasint,omitempty"`
	// Complete, in a Sync, says that such a run was never started. It is not set
	// when the agent has given up the entry meanwhile and forgotten ends.
	Complete bool `cbor:"8,keyasint,omitempty"`
	// Pace is how many times longer than estimated the present runs take, by their
	// progress; 0 when too few tell.
	Pace float64 `cbor:"9,keyasint,omitempty"`
}

// EndedJobs tells other entries which pooled jobs have completed, so that a
// late copy of a submission is answered and not run again.
type EndedJobs struct {
	Jobs []string `cbor:"1,keyasint"`
}

// JobSearch asks another entry about a pooled job that the sender does not
// know. The answer is a JobFound.
type JobSearch struct {
	Request uint64 `cbor:"1,keyasint"`
	Job     string `cbor:"2,keyasint"`
	// Cancel says that the job is to be cancelled where it is found.
	Cancel bool `cbor:"3,keyasint,omitempty"`
}

// JobFound answers a JobSearch.
type JobFound struct {
	Request uint64 `cbor:"1,keyasint"`
	Known   bool   `cbor:"2,keyasint,omitempty"`
	Started bool   `cbor:"3,keyasint,omitempty"`
}

// EntryState is what entries of a pool tell each other at intervals.
type EntryState struct {
	// Waiting counts, by queue, the jobs of which no task has started.
	Waiting map[string]int `cbor:"1,keyasint,omitempty"`
}
