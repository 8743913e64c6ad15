// Package verdict classifies errors and refusals by whether the request that
// they concern may have run. Callers use the verdict to decide whether it is
// safe to submit the request again under a new ID.
package verdict

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
)

// Verdict is whether a request may have had an effect at an endpoint.
type Verdict uint8

const (
	// Unknown is the zero value; it is treated like MayHaveRun.
	Unknown Verdict = iota
	// NotRun means that the request was never started at any endpoint and that
	// no later start of the same submission is possible.
	NotRun
	// MayHaveRun means that the request was started or may have been started.
	MayHaveRun
	// Ran means that the request was started and has ended.
	Ran
)

var names = [...]string{Unknown: "unknown", NotRun: "not-run", MayHaveRun: "may-have-run", Ran: "ran"}

// String returns the name used in problem documents and logs.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return names[Unknown]
}

// MarshalText encodes the verdict by name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes a verdict from its name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Worse returns the worse of two verdicts. The order from best to worst is NotRun,
// Ran, MayHaveRun; Unknown counts as MayHaveRun. A job's verdict is the worst of
// its tasks' verdicts.
func Worse(a, b Verdict) Verdict {
	return max(a.rank(), b.rank()).verdict()
}

// rank orders verdicts from best to worst; see Worse.
type rank uint8

func (v Verdict) rank() rank {
	switch v {
	case NotRun:
		return 0
	case Ran:
		return 1
	default:
		return 2
	}
}

func (r rank) verdict() Verdict {
	return [...]Verdict{NotRun, Ran, MayHaveRun}[r]
}

// Error is an error with a verdict and a machine-readable reason.
type Error struct {
	Verdict Verdict
	Reason  Reason
	cause   error
}

// Error implements error; it returns the text of the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an Error with a formatted message.
func New(v Verdict, reason Reason, format string, args ...any) error {
	cause := oops.Code(reason.String()).With("verdict", v.String()).Errorf(format, args...)
	return &Error{Verdict: v, Reason: reason, cause: cause}
}

// Wrap returns err with a verdict and a reason attached, or nil when err is nil.
func Wrap(v Verdict, reason Reason, err error) error {
	if err == nil {
		return nil
	}
	cause := oops.Code(reason.String()).With("verdict", v.String()).Wrap(err)
	return &Error{Verdict: v, Reason: reason, cause: cause}
}

// Of returns the verdict of err, or MayHaveRun when err has no verdict or its
// verdict is Unknown.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) && e.Verdict != Unknown {
		return e.Verdict
	}
	return MayHaveRun
}

// ReasonOf returns the reason of err, or ReasonInternal when err has none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ReasonInternal
}
