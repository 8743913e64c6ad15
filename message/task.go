package message

import "marjoramlug.example/marjoramlug/verdict"

// Header is one HTTP header field of a task's request or response.
type Header struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Task is one unit of work as submitted by its caller.
type Task struct {
	// Method and Path are those of the HTTP request to the endpoint; Path may
	// include a query.
	Method string   `cbor:"1,keyasint"`
	Path   string   `cbor:"2,keyasint"`
	Header []Header `cbor:"3,keyasint,omitempty"`
	Body   []byte   `cbor:"4,keyasint,omitempty"`
	// Memory is the declared memory need in bytes; 0 means not declared.
	Memory int64 `cbor:"5,keyasint,omitempty"`
	// Accelerator is the kind of accelerator that the task requires; empty means
	// none.
	Accelerator string `cbor:"6,keyasint,omitempty"`
	// DeclaredMillis is the run time that the caller expects, in milliseconds.
	DeclaredMillis int64 `cbor:"7,keyasint,omitempty"`
	// Class names the service's rule that matched the request.
	Class string `cbor:"8,keyasint,omitempty"`
	// Urgent and Idempotent come from that rule.
	Urgent     bool `cbor:"9,keyasint,omitempty"`
	Idempotent bool `cbor:"10,keyasint,omitempty"`
	// TimeoutMillis limits the run at the endpoint, in milliseconds; 0 means the
	// agent's limit.
	TimeoutMillis int64 `cbor:"11,keyasint,omitempty"`
}

// TaskResult is the outcome of one task.
type TaskResult struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Reason  verdict.Reason  `cbor:"2,keyasint,omitempty"`
	// Detail is a human-readable explanation of a failure.
	Detail string `cbor:"3,keyasint,omitempty"`
	// Status is the endpoint's HTTP status; 0 means that there was no response.
	Status int      `cbor:"4,keyasint,omitempty"`
	Header []Header `cbor:"5,keyasint,omitempty"`
	Body   []byte   `cbor:"6,keyasint,omitempty"`
	// Endpoint is the name of the endpoint that ran the task.
	Endpoint string `cbor:"7,keyasint,omitempty"`
	// RunMicros is the duration of the run at the endpoint, in microseconds.
	RunMicros int64 `cbor:"8,keyasint,omitempty"`
	// QueueMicros is the time from submission at the owner to the start, in
	// microseconds.
	QueueMicros int64 `cbor:"9,keyasint,omitempty"`
}

// Complete reports whether the task ran to its end and r holds its whole answer.
func (r TaskResult) Complete() bool {
	return r.Verdict == verdict.Ran && r.Reason == verdict.ReasonNone
}

// JobAnswer is the answer to a job. It either holds every task's complete
// result, or has Failed set and a verdict for the job and for each task.
type JobAnswer struct {
	Failed  bool            `cbor:"1,keyasint,omitempty"`
	Verdict verdict.Verdict `cbor:"2,keyasint"`
	Reason  verdict.Reason  `cbor:"3,keyasint,omitempty"`
	Detail  string          `cbor:"4,keyasint,omitempty"`
	// Field is the path of the request field that caused a refusal.
	Field string `cbor:"5,keyasint,omitempty"`
	// RetryAfterMillis is the delay in milliseconds after which a refused caller
	// should retry; 0 means unset.
	RetryAfterMillis int64 `cbor:"6,keyasint,omitempty"`
	// Tasks holds one result per task, in the order of the job's tasks. It is
	// empty when the job as a whole was refused.
	Tasks []TaskResult `cbor:"7,keyasint,omitempty"`
}

// Refusal returns the answer to a job that is refused as a whole.
func Refusal(v verdict.Verdict, reason verdict.Reason, detail string) JobAnswer {
	return JobAnswer{Failed: true, Verdict: v, Reason: reason, Detail: detail}
}
