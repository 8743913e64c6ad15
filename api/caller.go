package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"marjoramlug.example/marjoramlug/intake"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// CallerBackend is the part of an entry that the callers' interface uses.
type CallerBackend interface {
	// Classify sets the fields of a task that the service's rules determine. It
	// returns an error with a verdict when the service is unknown.
	Classify(service string, task *message.Task) error
	// Submit relays a job and waits for its answer. The job continues when the
	// context ends first.
	Submit(ctx context.Context, job *message.Submit) message.JobAnswer
	// SubmitAsync relays a job without waiting.
	SubmitAsync(job *message.Submit)
	// Status returns a job's state.
	Status(ctx context.Context, service string, job message.JobKey) (message.Status, error)
	// Cancel cancels a job and returns its state.
	Cancel(ctx context.Context, service string, job message.JobKey) (message.Status, error)
}

// RequestLimits bound the size of one request.
type RequestLimits struct {
	BodyBytes   int64
	TasksPerJob int
}

// CallerHandler serves jobs and single requests.
type CallerHandler struct {
	backend CallerBackend
	auth    *Authenticator
	limits  RequestLimits
	now     func() time.Time
}

// NewCallerHandler returns the handler of the callers' interface.
func NewCallerHandler(backend CallerBackend, auth *Authenticator, limits RequestLimits) *CallerHandler {
	return &CallerHandler{backend: backend, auth: auth, limits: limits, now: time.Now}
}

// Register adds the routes to a mux.
func (h *CallerHandler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/services/{service}/jobs", h.submitJob)
	mux.HandleFunc("GET /v1/services/{service}/jobs/{job}", h.jobStatus)
	mux.HandleFunc("DELETE /v1/services/{service}/jobs/{job}", h.cancelJob)
	mux.HandleFunc("/v1/services/{service}/requests/{path...}", h.submitRequest)
}

func (h *CallerHandler) submitJob(w http.ResponseWriter, r *http.Request) {
	key, ok := h.identify(w, r)
	if !ok {
		return
	}
	tasks, err := decodeJob(http.MaxBytesReader(w, r.Body, h.limits.BodyBytes), h.limits.TasksPerJob)
	if err != nil {
		refuse(w, bodyProblem(r, err))
		return
	}
	job, ok := h.prepare(w, r, key, tasks)
	if !ok {
		return
	}
	if slices.Contains(preferences(r), "respond-async") {
		h.accept(w, job)
		return
	}
	ctx, cancel := withDeadline(r.Context(), job)
	defer cancel()
	answer := h.backend.Submit(ctx, job)
	writeJob(w, job.Job.Job, answer)
}

func (h *CallerHandler) accept(w http.ResponseWriter, job *message.Submit) {
	h.backend.SubmitAsync(job)
	w.Header().Set("Location", jobPath(job.Service, job.Job.Job))
	w.Header().Set("Preference-Applied", "respond-async")
	writeJSON(w, http.StatusAccepted, JobResponse{
		Job:      job.Job.Job,
		State:    StateRunning,
		Progress: &Progress{Tasks: len(job.Tasks)},
	})
}

func (h *CallerHandler) jobStatus(w http.ResponseWriter, r *http.Request) {
	h.answerStatus(w, r, h.backend.Status)
}

func (h *CallerHandler) cancelJob(w http.ResponseWriter, r *http.Request) {
	h.answerStatus(w, r, h.backend.Cancel)
}

type statusCall func(context.Context, string, message.JobKey) (message.Status, error)

func (h *CallerHandler) answerStatus(w http.ResponseWriter, r *http.Request, call statusCall) {
	key, ok := h.identify(w, r)
	if !ok {
		return
	}
	key.Job = r.PathValue("job")
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := call(ctx, r.PathValue("service"), key)
	switch {
	case err != nil:
		refuse(w, ProblemOf(err))
	case !status.Known:
		refuse(w, Problem{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonUnknownJob, Detail: "no record of this job", Field: "job"})
	case status.Ended && status.Answer != nil:
		writeJob(w, key.Job, *status.Answer)
	default:
		writeJSON(w, http.StatusOK, JobResponse{
			Job:      key.Job,
			State:    StateRunning,
			Progress: &Progress{Tasks: status.Tasks, Started: status.Started, Done: status.Done},
		})
	}
}

// statusTimeout bounds the search for a shard's owner on a status call.
const statusTimeout = 5 * time.Second

// submitRequest forwards one HTTP request as a job of one task.
func (h *CallerHandler) submitRequest(w http.ResponseWriter, r *http.Request) {
	key, ok := h.identify(w, r)
	if !ok {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.limits.BodyBytes))
	if err != nil {
		refuse(w, bodyProblem(r, err))
		return
	}
	task := message.Task{Method: r.Method, Path: "/" + r.PathValue("path"), Header: forwardedHeader(r.Header), Body: body}
	if r.URL.RawQuery != "" {
		task.Path += "?" + r.URL.RawQuery
	}
	job, ok := h.prepare(w, r, key, []message.Task{task})
	if !ok {
		return
	}
	job.Single = true
	job.Fingerprint = message.Fingerprint([]message.Task{fingerprintedPart(task)})
	ctx, cancel := withDeadline(r.Context(), job)
	defer cancel()
	answer := h.backend.Submit(ctx, job)
	writeRequest(w, answer)
}

// classifyProblem describes why a job could not be classified. A job whose ID the
// caller chose (hasJobID) may have been submitted before to another entry that
// already knew the service, so its verdict is MayHaveRun.
func classifyProblem(err error, hasJobID bool) Problem {
	p := ProblemOf(err)
	if hasJobID {
		p.Verdict = verdict.MayHaveRun
	}
	return p
}

// identify returns a job key with the request's team and caller. On failure it
// writes the response and returns false.
func (h *CallerHandler) identify(w http.ResponseWriter, r *http.Request) (message.JobKey, bool) {
	caller, err := h.auth.Caller(r)
	if err != nil {
		refuse(w, ProblemOf(err))
		return message.JobKey{}, false
	}
	return message.JobKey{Team: caller.Team, Caller: caller.Name}, true
}

// prepare builds the submission of a job. On failure it writes the response and
// returns false.
func (h *CallerHandler) prepare(w http.ResponseWriter, r *http.Request, key message.JobKey, tasks []message.Task) (*message.Submit, bool) {
	// The name outlives the request. As a part of its line, which may be long, it would keep all of it.
	service := strings.Clone(r.PathValue("service"))
	for i := range tasks {
		if err := h.backend.Classify(service, &tasks[i]); err != nil {
			refuse(w, classifyProblem(err, r.Header.Get(HeaderIdempotencyKey) != ""))
			return nil, false
		}
	}
	// The request may have waited at this machine before it was read.
	received := h.now().Add(-intake.SenderOf(r).Silent).UnixMilli()
	job := &message.Submit{Service: service, Tasks: tasks, Fingerprint: message.Fingerprint(tasks), ReceivedAt: received}
	if err := h.readTimes(r, job); err != nil {
		refuse(w, decodeProblem(err))
		return nil, false
	}
	key.Job = r.Header.Get(HeaderIdempotencyKey)
	if len(key.Job) > maxJobIDBytes {
		refuse(w, decodeProblem(invalid(HeaderIdempotencyKey, "%d bytes, at most %d are allowed", len(key.Job), maxJobIDBytes)))
		return nil, false
	}
	if key.Job == "" {
		key.Job = NewID()
		job.SubmittedAt = received
		job.GeneratedID = true
	}
	job.Job = key
	job.Shard = message.ShardOf(service, key)
	return job, true
}

const maxJobIDBytes = 255

func (h *CallerHandler) readTimes(r *http.Request, job *message.Submit) error {
	submitted, err := readTime(r, HeaderSubmittedAt)
	if err != nil {
		return err
	}
	deadline, err := readTime(r, HeaderDeadline)
	if err != nil {
		return err
	}
	job.SubmittedAt = submitted
	job.Deadline = deadline
	return nil
}

// readTime returns a header field's time in Unix milliseconds, 0 when absent.
func readTime(r *http.Request, field string) (int64, error) {
	text := r.Header.Get(field)
	if text == "" {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, invalid(field, "got %q, expected a time such as 2026-01-02T15:04:05.678Z", text)
	}
	return t.UnixMilli(), nil
}

// withDeadline ends the wait deadlineGrace after the job's deadline, as the
// owner answers at the deadline itself.
func withDeadline(ctx context.Context, job *message.Submit) (context.Context, context.CancelFunc) {
	if job.Deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, time.UnixMilli(job.Deadline).Add(deadlineGrace))
}

const deadlineGrace = time.Second

// preferences returns the lower-case tokens of the Prefer header (RFC 7240).
func preferences(r *http.Request) []string {
	var tokens []string
	for _, line := range r.Header.Values("Prefer") {
		for _, token := range strings.Split(line, ",") {
			tokens = append(tokens, strings.ToLower(strings.TrimSpace(token)))
		}
	}
	return tokens
}

// notForwarded holds the header fields that are not forwarded, as they concern
// one connection (RFC 9110, section 7.6.1) or this system.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Authorization": true,
	HeaderIdempotencyKey: true, HeaderSubmittedAt: true, HeaderDeadline: true, HeaderCaller: true,
}

func forwardedHeader(header http.Header) []message.Header {
	var forwarded []message.Header
	for name, values := range header {
		if notForwarded[name] {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, message.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(forwarded, func(a, b message.Header) int { return strings.Compare(a.Name, b.Name) })
	return forwarded
}

// fingerprintedPart returns a forwarded request as its fingerprint covers it:
// without any header field but Content-Type. Other fields, such as trace
// identifiers, may differ between a submission and its resubmission.
func fingerprintedPart(t message.Task) message.Task {
	t.Header = slices.DeleteFunc(slices.Clone(t.Header), func(h message.Header) bool {
		return h.Name != "Content-Type"
	})
	return t
}

// decodeProblem describes why a request could not be read. The verdict is
// NotRun.
func decodeProblem(err error) Problem {
	p := Problem{Verdict: verdict.NotRun, Reason: verdict.ReasonInvalid, Detail: err.Error()}
	var field *fieldError
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &field):
		p.Reason, p.Field = field.reason, field.field
	case errors.As(err, &tooLarge):
		p.Reason, p.Field = verdict.ReasonTooLarge, "body"
		p.Detail = "body over " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
	case errors.As(err, &wrongType):
		p.Field = wrongType.Field
	default:
		p.Field = "body"
	}
	return p
}

// bodyProblem is decodeProblem for the body of a request, which may also have been refused
// for a limit of the process. An earlier submission of a job whose ID the caller chose may
// have run.
func bodyProblem(r *http.Request, err error) Problem {
	if intake.Reason(err) == "" {
		return decodeProblem(err)
	}
	p := Problem{Verdict: verdict.NotRun, Reason: verdict.ReasonUnavailable, Detail: err.Error(), RetryAfterMillis: intakeRetry.Milliseconds()}
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		p.Verdict = verdict.MayHaveRun
	}
	return p
}

// intakeRetry is the delay after which a request that was refused for a limit of the process
// may be sent again.
const intakeRetry = time.Second

func refuse(w http.ResponseWriter, p Problem) {
	w.Header().Set(HeaderVerdict, p.Verdict.String())
	WriteProblem(w, 0, p)
}

// writeJob answers with a job's results. A job that was refused as a whole
// gets a problem document.
func writeJob(w http.ResponseWriter, job string, answer message.JobAnswer) {
	if answer.Failed && len(answer.Tasks) == 0 {
		refuse(w, problemOfAnswer(answer))
		return
	}
	w.Header().Set(HeaderVerdict, answer.Verdict.String())
	status := http.StatusOK
	if answer.Failed {
		status = StatusOf(answer.Reason)
	}
	writeJSON(w, status, responseOf(job, answer))
}

// writeRequest answers a single request with the endpoint's own response.
func writeRequest(w http.ResponseWriter, answer message.JobAnswer) {
	if answer.Failed || len(answer.Tasks) != 1 {
		refuse(w, problemOfAnswer(answer))
		return
	}
	result := answer.Tasks[0]
	for _, field := range result.Header {
		if !notForwarded[http.CanonicalHeaderKey(field.Name)] {
			w.Header().Add(field.Name, field.Value)
		}
	}
	w.Header().Set(HeaderVerdict, result.Verdict.String())
	w.Header().Set(HeaderEndpoint, result.Endpoint)
	w.WriteHeader(result.Status)
	// An error here means that the client has disconnected and cannot be
	// notified.
	_, _ = w.Write(result.Body)
}

func problemOfAnswer(answer message.JobAnswer) Problem {
	p := Problem{
		Verdict:          answer.Verdict,
		Reason:           answer.Reason,
		Detail:           answer.Detail,
		Field:            answer.Field,
		RetryAfterMillis: answer.RetryAfterMillis,
	}
	if len(answer.Tasks) == 1 && p.Detail == "" {
		p.Detail = answer.Tasks[0].Detail
	}
	return p
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has disconnected and cannot be
	// notified.
	_ = json.NewEncoder(w).Encode(body)
}
