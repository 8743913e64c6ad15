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
}

// CrashedRun is a run under which an endpoint crashed.
type CrashedRun struct {
	Run   RunRef `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time in milliseconds from the start to the crash.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}
