package verdict

import "fmt"

// Reason is a machine-readable cause of a refusal or failure.
type Reason uint8

// The reasons. Problem documents and counters contain their names, messages their
// numbers.
const (
	ReasonNone Reason = iota
	ReasonInternal
	ReasonInvalid
	ReasonUnauthorized
	ReasonForbidden
	ReasonUnknownService
	ReasonUnknownJob
	ReasonContentMismatch
	ReasonTooLarge
	ReasonQueueFull
	ReasonRateLimit
	ReasonQuota
	ReasonDeadline
	ReasonImpossible
	ReasonCancelled
	ReasonNotOwner
	ReasonNoLease
	ReasonStopping
	ReasonCreditExpired
	ReasonStaleEpoch
	ReasonLeaving
	ReasonConnect
	ReasonBadResponse
	ReasonTimeout
	ReasonAgentLost
	ReasonJournalMissing
	ReasonAnswerEvicted
	ReasonUnavailable
	ReasonConflict
	ReasonDuplicate
	ReasonTaskFailed
)

var reasonNames = [...]string{
	ReasonNone:            "none",
	ReasonInternal:        "internal",
	ReasonInvalid:         "invalid",
	ReasonUnauthorized:    "unauthorized",
	ReasonForbidden:       "forbidden",
	ReasonUnknownService:  "unknown-service",
	ReasonUnknownJob:      "unknown-job",
	ReasonContentMismatch: "content-mismatch",
	ReasonTooLarge:        "too-large",
	ReasonQueueFull:       "queue-full",
	ReasonRateLimit:       "rate-limit",
	ReasonQuota:           "quota",
	ReasonDeadline:        "deadline",
	ReasonImpossible:      "impossible",
	ReasonCancelled:       "cancelled",
	ReasonNotOwner:        "not-owner",
	ReasonNoLease:         "no-lease",
	ReasonStopping:        "stopping",
	ReasonCreditExpired:   "credit-expired",
	ReasonStaleEpoch:      "stale-epoch",
	ReasonLeaving:         "leaving",
	ReasonConnect:         "connect",
	ReasonBadResponse:     "bad-response",
	ReasonTimeout:         "timeout",
	ReasonAgentLost:       "agent-lost",
	ReasonJournalMissing:  "journal-missing",
	ReasonAnswerEvicted:   "answer-evicted",
	ReasonUnavailable:     "unavailable",
	ReasonConflict:        "conflict",
	ReasonDuplicate:       "duplicate",
	ReasonTaskFailed:      "task-failed",
}

// String returns the reason's name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason-%d", uint8(r))
}

// MarshalText encodes the reason as its name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes a reason from its name. A name that this version does
// not know becomes ReasonInternal.
func (r *Reason) UnmarshalText(text []byte) error {
	*r = ReasonInternal
	for i, name := range reasonNames {
		if name == string(text) {
			*r = Reason(i)
		}
	}
	return nil
}
