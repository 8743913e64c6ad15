// Package api implements the HTTP interface for callers and operators, and
// typed clients for both.
package api

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// Header fields of the callers' and operators' interfaces.
const (
	// HeaderIdempotencyKey is the ID that the caller chose for a job, unique per
	// caller, or the key that an operator chose for a change.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSubmittedAt is the time of the first submission, in RFC 3339.
	HeaderSubmittedAt = "Submitted-At"
	// HeaderDeadline is the time after which the caller no longer needs the
	// answer, in RFC 3339.
	HeaderDeadline = "Deadline"
	// HeaderCaller names the caller within its team.
	HeaderCaller = "Caller"
	// HeaderVerdict reports whether a request may have run.
	HeaderVerdict = "Verdict"
	// HeaderEndpoint names the endpoint that ran a request.
	HeaderEndpoint = "Endpoint"
)

// JobRequest is the body of a job's submission.
type JobRequest struct {
	Tasks []TaskRequest `json:"tasks"`
}

// TaskRequest describes one task.
type TaskRequest struct {
	// Method is the HTTP method at the endpoint, by default POST.
	Method string `json:"method,omitempty"`
	// Path is the path, with the query if any, at the endpoint.
	Path string `json:"path"`
	// Header holds header fields of the request to the endpoint.
	Header map[string]string `json:"header,omitempty"`
	// Body is the request's body as text; BodyBase64 carries other bytes.
	Body       string `json:"body,omitempty"`
	BodyBase64 []byte `json:"body_base64,omitempty"`
	// Memory is the memory that the task needs, in bytes.
	Memory int64 `json:"memory,omitempty"`
	// Accelerator is the kind of accelerator that the task needs.
	Accelerator string `json:"accelerator,omitempty"`
	// DeclaredMillis is the expected run time, in milliseconds.
	DeclaredMillis int64 `json:"declared_ms,omitempty"`
	// TimeoutMillis bounds the run, in milliseconds.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
}

// JobResponse is the body of the response to a submission, status or cancel call:
// a job's state and, once it has ended, its results.
type JobResponse struct {
	// Job is the job ID.
	Job   string `json:"job"`
	State State  `json:"state"`
	// Verdict reports whether any of the job's tasks may have run, Reason and
	// Detail why the job failed.
	Verdict verdict.Verdict `json:"verdict,omitempty"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	// Tasks has one result per task, in the job's order, once the job has ended.
	Tasks []TaskResponse `json:"tasks,omitempty"`
	// Progress is set while the job runs.
	Progress *Progress `json:"progress,omitempty"`
}

// State is a job's state.
type State string

// The states of a job.
const (
	StateRunning  State = "running"
	StateComplete State = "complete"
	StateFailed   State = "failed"
)

// Progress counts the tasks of a running job.
type Progress struct {
	Tasks   int `json:"tasks"`
	Started int `json:"started"`
	Done    int `json:"done"`
}

// TaskResponse is one task's result.
type TaskResponse struct {
	// Verdict reports whether the task may have run, Reason and Detail why it
	// failed.
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	// Status is the endpoint's HTTP status; 0 means that there was no response.
	Status int               `json:"status,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	// Body is the response's body when it is valid UTF-8; BodyBase64 carries
	// other bytes.
	Body       string `json:"body,omitempty"`
	BodyBase64 []byte `json:"body_base64,omitempty"`
	// Endpoint names the endpoint that ran the task.
	Endpoint string `json:"endpoint,omitempty"`
	// RunMillis is the time at the endpoint, in milliseconds.
	RunMillis float64 `json:"run_ms,omitempty"`
	// WaitMillis is the time from submission to the start, in milliseconds.
	WaitMillis float64 `json:"wait_ms,omitempty"`
}

// Bytes returns the body, whichever field carries it.
func (t TaskResponse) Bytes() []byte {
	if t.BodyBase64 != nil {
		return t.BodyBase64
	}
	return []byte(t.Body)
}

// fieldError reports an invalid field of a request.
type fieldError struct {
	field  string
	reason verdict.Reason
	detail string
}

// Error returns the field and what is wrong with it.
func (e *fieldError) Error() string { return e.field + ": " + e.detail }

func invalid(field, format string, args ...any) *fieldError {
	return &fieldError{field: field, reason: verdict.ReasonInvalid, detail: fmt.Sprintf(format, args...)}
}

// decodeJob reads a job's tasks from a request body.
func decodeJob(body io.Reader, maxTasks int) ([]message.Task, error) {
	var req JobRequest
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return nil, err
	}
	if len(req.Tasks) == 0 {
		return nil, invalid("tasks", "a job has at least one task")
	}
	if len(req.Tasks) > maxTasks {
		return nil, &fieldError{
			field:  "tasks",
			reason: verdict.ReasonTooLarge,
			detail: fmt.Sprintf("%d tasks, at most %d are allowed", len(req.Tasks), maxTasks),
		}
	}
	tasks := make([]message.Task, len(req.Tasks))
	for i, t := range req.Tasks {
		task, err := decodeTask(fmt.Sprintf("tasks[%d]", i), t)
		if err != nil {
			return nil, err
		}
		tasks[i] = task
	}
	return tasks, nil
}

func decodeTask(path string, t TaskRequest) (message.Task, error) {
	if err := checkTask(path, t); err != nil {
		return message.Task{}, err
	}
	task := message.Task{
		Method:         t.Method,
		Path:           t.Path,
		Header:         sortedHeader(t.Header),
		Body:           []byte(t.Body),
		Memory:         t.Memory,
		Accelerator:    t.Accelerator,
		DeclaredMillis: t.DeclaredMillis,
		TimeoutMillis:  t.TimeoutMillis,
	}
	if task.Method == "" {
		task.Method = http.MethodPost
	}
	if t.BodyBase64 != nil {
		task.Body = t.BodyBase64
	}
	return task, nil
}

func checkTask(path string, t TaskRequest) error {
	switch {
	case !strings.HasPrefix(t.Path, "/"):
		return invalid(path+".path", "got %q, expected a path that begins with /", t.Path)
	case t.Body != "" && t.BodyBase64 != nil:
		return invalid(path+".body_base64", "body is set too, expected one of them")
	case t.Memory < 0:
		return invalid(path+".memory", "got %d, expected bytes", t.Memory)
	case t.TimeoutMillis < 0:
		return invalid(path+".timeout_ms", "got %d, expected milliseconds", t.TimeoutMillis)
	case t.DeclaredMillis < 0:
		return invalid(path+".declared_ms", "got %d, expected milliseconds", t.DeclaredMillis)
	}
	return nil
}

// sortedHeader returns the fields ordered by name, so that equal content has an
// equal fingerprint.
func sortedHeader(fields map[string]string) []message.Header {
	header := make([]message.Header, 0, len(fields))
	for name, value := range fields {
		header = append(header, message.Header{Name: http.CanonicalHeaderKey(name), Value: value})
	}
	slices.SortFunc(header, func(a, b message.Header) int { return strings.Compare(a.Name, b.Name) })
	return header
}

// responseOf converts a job's answer to its HTTP form.
func responseOf(job string, a message.JobAnswer) JobResponse {
	r := JobResponse{Job: job, State: StateComplete, Verdict: a.Verdict, Reason: a.Reason, Detail: a.Detail}
	if a.Failed {
		r.State = StateFailed
	}
	r.Tasks = make([]TaskResponse, len(a.Tasks))
	for i, t := range a.Tasks {
		r.Tasks[i] = taskResponseOf(t)
	}
	return r
}

func taskResponseOf(t message.TaskResult) TaskResponse {
	r := TaskResponse{
		Verdict:    t.Verdict,
		Reason:     t.Reason,
		Detail:     t.Detail,
		Status:     t.Status,
		Endpoint:   t.Endpoint,
		RunMillis:  millis(t.RunMicros),
		WaitMillis: millis(t.QueueMicros),
	}
	if len(t.Header) > 0 {
		r.Header = make(map[string]string, len(t.Header))
		for _, h := range t.Header {
			r.Header[h.Name] = h.Value
		}
	}
	if utf8.Valid(t.Body) {
		r.Body = string(t.Body)
	} else {
		r.BodyBase64 = t.Body
	}
	return r
}

func millis(micros int64) float64 {
	const microsPerMilli = float64(time.Millisecond / time.Microsecond)
	return float64(micros) / microsPerMilli
}

// NewID returns a random ID for a job or a change.
func NewID() string { return rand.Text() }

// jobsPath is the path to which a service's jobs are submitted, and jobPath the
// path of one job.
func jobsPath(service string) string { return "/v1/services/" + url.PathEscape(service) + "/jobs" }

func jobPath(service, job string) string { return jobsPath(service) + "/" + url.PathEscape(job) }
