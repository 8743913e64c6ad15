package api

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"marjoramlug.example/marjoramlug/verdict"
)

// ProblemType is the media type of problem documents (RFC 9457).
const ProblemType = "application/problem+json"

// Problem is a problem document (RFC 9457) with the verdict on the request.
type Problem struct {
	// Type and Title name the kind of problem; WriteProblem fills them from
	// Reason.
	Type   string `json:"type,omitempty"`
	Title  string `json:"title,omitempty"`
	Status int    `json:"status,omitempty"`
	// Detail explains this occurrence to a person.
	Detail string `json:"detail,omitempty"`
	// Verdict reports whether the request may have run.
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	// Field is the path of the invalid field of the request.
	Field string `json:"field,omitempty"`
	// Faults lists all invalid fields when there are several.
	Faults []FieldFault `json:"faults,omitempty"`
	// RetryAfterMillis is the delay before a retry, in milliseconds; 0 means
	// unset.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Revision and Winner belong to a configuration conflict: the revision in
	// force and the ID of the record that set it.
	Revision uint64 `json:"revision,omitempty"`
	Winner   string `json:"winner,omitempty"`
}

// FieldFault is one invalid field of a request.
type FieldFault struct {
	Field    string `json:"field"`
	Value    string `json:"value,omitempty"`
	Expected string `json:"expected"`
}

// ProblemOf returns the document for an error. An error that carries no verdict
// is internal, and its request may have run.
func ProblemOf(err error) Problem {
	var withVerdict *verdict.Error
	if !errors.As(err, &withVerdict) {
		return Problem{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonInternal, Detail: err.Error()}
	}
	return Problem{Verdict: withVerdict.Verdict, Reason: withVerdict.Reason, Detail: err.Error()}
}

// WriteProblem answers a request with a problem document. A status of 0 stands
// for the status that StatusOf returns for the reason.
func WriteProblem(w http.ResponseWriter, status int, p Problem) {
	if status == 0 {
		status = StatusOf(p.Reason)
	}
	p.Status = status
	if p.Type == "" {
		p.Type = "urn:marjoramlug:problem:" + p.Reason.String()
	}
	if p.Title == "" {
		p.Title = http.StatusText(status)
	}
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set("Cache-Control", "no-store")
	if p.RetryAfterMillis > 0 {
		h.Set("Retry-After", strconv.FormatInt(retryAfterSeconds(p.RetryAfterMillis), 10))
	}
	w.WriteHeader(status)
	// An error here means that the client has disconnected and cannot be
	// notified.
	_ = json.NewEncoder(w).Encode(p)
}

// retryAfterSeconds rounds up, as the header holds whole seconds.
func retryAfterSeconds(millis int64) int64 {
	const second = int64(time.Second / time.Millisecond)
	return (millis + second - 1) / second
}

// statuses maps reasons to HTTP statuses. A reason that is not listed is an
// internal error.
var statuses = map[verdict.Reason]int{
	verdict.ReasonNone:            http.StatusOK,
	verdict.ReasonInvalid:         http.StatusBadRequest,
	verdict.ReasonUnauthorized:    http.StatusUnauthorized,
	verdict.ReasonForbidden:       http.StatusForbidden,
	verdict.ReasonUnknownService:  http.StatusNotFound,
	verdict.ReasonUnknownJob:      http.StatusNotFound,
	verdict.ReasonContentMismatch: http.StatusUnprocessableEntity,
	verdict.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	verdict.ReasonQueueFull:       http.StatusServiceUnavailable,
	verdict.ReasonRateLimit:       http.StatusTooManyRequests,
	verdict.ReasonQuota:           http.StatusTooManyRequests,
	verdict.ReasonDeadline:        http.StatusGatewayTimeout,
	verdict.ReasonImpossible:      http.StatusUnprocessableEntity,
	verdict.ReasonCancelled:       http.StatusConflict,
	verdict.ReasonNotOwner:        http.StatusServiceUnavailable,
	verdict.ReasonNoLease:         http.StatusServiceUnavailable,
	verdict.ReasonStopping:        http.StatusServiceUnavailable,
	verdict.ReasonCreditExpired:   http.StatusServiceUnavailable,
	verdict.ReasonStaleEpoch:      http.StatusServiceUnavailable,
	verdict.ReasonLeaving:         http.StatusServiceUnavailable,
	verdict.ReasonConnect:         http.StatusBadGateway,
	verdict.ReasonBadResponse:     http.StatusBadGateway,
	verdict.ReasonTimeout:         http.StatusGatewayTimeout,
	verdict.ReasonAgentLost:       http.StatusBadGateway,
	verdict.ReasonJournalMissing:  http.StatusBadGateway,
	verdict.ReasonAnswerEvicted:   http.StatusGone,
	verdict.ReasonUnavailable:     http.StatusServiceUnavailable,
	verdict.ReasonConflict:        http.StatusConflict,
	verdict.ReasonDuplicate:       http.StatusConflict,
	verdict.ReasonTaskFailed:      http.StatusBadGateway,
}

// StatusOf returns the HTTP status that belongs to a reason.
func StatusOf(reason verdict.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}
