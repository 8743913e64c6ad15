package message

// EndpointCrash records that the process of an endpoint ended without notice, and
// the runs under which it did. Endpoint and Incarnation together identify it.
type EndpointCrash struct {
	Endpoint string `cbor:"1,keyasint"`
	// Incarnation is the start time of the process that ended, in Unix milliseconds.
	Incarnation int64 `cbor:"2,keyasint"`
	// Runs are the runs of all entries that the process may have had, in the order in
	// which their starts were sent.
	Runs []CrashedRun `cbor:"3,keyasint,omitempty"`
	// AgoMillis is the time in milliseconds from the crash to the sending of this record.
	AgoMillis int64 `cbor:"4,keyasint,omitempty"`
}

// CrashedRun is a run under which an endpoint crashed.
type CrashedRun struct {
	Run   RunRef `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time in milliseconds from the start to the crash.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
	// Unconfirmed is set if the endpoint was never seen to have the run: it may have
	// crashed before the start arrived.
	Unconfirmed bool `cbor:"4,keyasint,omitempty"`
	// Completed is set if the task has completed since, in another run. Agents leave
	// it out.
	Completed bool `cbor:"5,keyasint,omitempty"`
}

// CrashNotice tells other entries of crashes, so that what is known of a job outlives
// the entry that had it.
type CrashNotice struct {
	Crashes []EndpointCrash `cbor:"1,keyasint,omitempty"`
	// Blame is, by queue, the number of recent crashes that the sender blames on the
	// queue's jobs.
	Blame map[string]float64 `cbor:"2,keyasint,omitempty"`
}
