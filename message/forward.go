package message

// ForwardOrders carries what an entry (the origin) sends to another one (the host) that
// may run jobs for it. A message without content is the origin's heartbeat; it is sent
// only while the host has jobs of the origin.
type ForwardOrders struct {
	// ReportTimestamp is the newest ForwardReport.Timestamp that the origin has processed.
	// From it the host derives, by its own clock alone, when the origin was last alive.
	ReportTimestamp int64 `cbor:"1,keyasint,omitempty"`
	// Ask asks for a report at once.
	Ask     bool           `cbor:"2,keyasint,omitempty"`
	Jobs    []ForwardedJob `cbor:"3,keyasint,omitempty"`
	Cancels []uint64       `cbor:"4,keyasint,omitempty"`
}

// ForwardedJob is a job that its origin has not started and that the host runs for it.
// The host must not forward it again.
type ForwardedJob struct {
	// Request identifies the job on this connection, for cancellation and the answer.
	Request uint64    `cbor:"1,keyasint"`
	ID      string    `cbor:"2,keyasint"`
	Queue   string    `cbor:"3,keyasint"`
	Service string    `cbor:"4,keyasint"`
	Urgent  bool      `cbor:"5,keyasint,omitempty"`
	Payload string    `cbor:"6,keyasint,omitempty"`
	Tasks   int       `cbor:"7,keyasint"`
	Need    Resources `cbor:"8,keyasint"`
	// EstimateMicros, SlackMicros, AgeMicros and DeadlineMicros are in microseconds: the
	// caller's estimate, the slack of the objective, the time since the submission, and
	// the time until the caller stops waiting.
	EstimateMicros int64   `cbor:"9,keyasint"`
	Stretch        float64 `cbor:"10,keyasint"`
	SlackMicros    int64   `cbor:"11,keyasint,omitempty"`
	AgeMicros      int64   `cbor:"12,keyasint,omitempty"`
	DeadlineMicros int64   `cbor:"13,keyasint"`
	Spread         int     `cbor:"14,keyasint,omitempty"`
	Attempts       int     `cbor:"15,keyasint,omitempty"`
	// FirstRun is the number of the first run of each task.
	FirstRun int64 `cbor:"16,keyasint"`
	// Priority and Caller are the queue's priority and the caller's address.
	Priority int    `cbor:"17,keyasint,omitempty"`
	Caller   string `cbor:"18,keyasint,omitempty"`
}

// ForwardReport carries what a host sends to an origin. A message without answers is the
// host's heartbeat, or the answer to ForwardOrders.Ask.
type ForwardReport struct {
	// Timestamp is the time of sending by the host's clock, in microseconds since its
	// machine booted, raised if necessary so that it increases with each report.
	Timestamp int64 `cbor:"1,keyasint"`
	// Free is what jobs of others may use now.
	Free []FreeCapacity `cbor:"2,keyasint,omitempty"`
	// Answers hold the answers to jobs. An answer with verdict.NotRun gives the job back.
	Answers []ForwardAnswer `cbor:"3,keyasint,omitempty"`
}

// FreeCapacity is the free capacity of the endpoints of one service.
type FreeCapacity struct {
	Service   string         `cbor:"1,keyasint"`
	Endpoints []FreeEndpoint `cbor:"2,keyasint"`
}

// FreeEndpoint is the free capacity of one endpoint.
type FreeEndpoint struct {
	Free Resources `cbor:"1,keyasint"`
	// SlownessPermille is the factor by which tasks take longer there than on an average
	// endpoint, in thousandths.
	SlownessPermille int64 `cbor:"2,keyasint"`
}

// ForwardAnswer is the answer to a forwarded job.
type ForwardAnswer struct {
	Request uint64    `cbor:"1,keyasint"`
	Answer  JobAnswer `cbor:"2,keyasint"`
}
