package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/validation"
	"marjoramlug.example/marjoramlug/verdict"
)

// conditionError reports an invalid If-Match or If-None-Match.
type conditionError struct{ detail string }

// Error describes what is wrong with the condition.
func (e *conditionError) Error() string { return e.detail }

// errNoCondition reports that a change has no condition, without which
// concurrent changes could silently overwrite each other.
var errNoCondition = errors.New("set If-Match to the ETag of the revision seen, or If-None-Match: * for a new service")

// errNotReady refuses a call to an entry that has read only part of the
// configuration, as its answer would be incomplete.
var errNotReady = errors.New("this entry does not know the whole configuration at present; ask another one or later")

// notReadyRetryDelay is the delay after which a client may retry a call that
// failed with errNotReady.
const notReadyRetryDelay = time.Second

// conflictError reports a change whose expected revision is no longer in force.
type conflictError struct {
	service string
	outcome config.Outcome
}

// Error names the revision in force and the record that set it.
func (e *conflictError) Error() string {
	if e.outcome.Revision == 0 {
		return fmt.Sprintf("service %s does not exist", e.service)
	}
	return fmt.Sprintf("service %s is at revision %d, set by record %s", e.service, e.outcome.Revision, e.outcome.Winner)
}

type unknownMemberError struct{ member ownership.MemberID }

// Error names the member.
func (e *unknownMemberError) Error() string { return fmt.Sprintf("no member %s", e.member) }

func unknownService(name string) error {
	return verdict.New(verdict.NotRun, verdict.ReasonUnknownService, "no service %s", name)
}

// operatorProblem converts an error of an operator's call to a problem document.
// The verdict is NotRun for all errors that are found before the entry publishes
// a record; other errors carry their own.
func operatorProblem(err error) Problem {
	p := Problem{Verdict: verdict.NotRun, Detail: err.Error()}
	var condition *conditionError
	var conflict *conflictError
	var member *unknownMemberError
	var tooLarge *http.MaxBytesError
	switch faults := validation.FaultsOf(err); {
	case len(faults) > 0:
		p.Reason, p.Field, p.Faults = verdict.ReasonInvalid, faults[0].Path, fieldFaults(faults)
	case errors.Is(err, errNotReady):
		p.Reason, p.RetryAfterMillis = verdict.ReasonUnavailable, notReadyRetryDelay.Milliseconds()
	case errors.Is(err, errNoCondition):
		p.Reason, p.Field, p.Status = verdict.ReasonInvalid, "If-Match", http.StatusPreconditionRequired
	case errors.As(err, &condition):
		p.Reason, p.Field = verdict.ReasonInvalid, "If-Match"
	case errors.As(err, &conflict):
		p.Reason, p.Status = verdict.ReasonConflict, http.StatusPreconditionFailed
		p.Revision, p.Winner = uint64(conflict.outcome.Revision), conflict.outcome.Winner
	case errors.As(err, &member):
		p.Reason, p.Field, p.Status = verdict.ReasonInvalid, "member", http.StatusNotFound
	case errors.As(err, &tooLarge):
		p.Reason, p.Field = verdict.ReasonTooLarge, "body"
	default:
		return ProblemOf(err)
	}
	return p
}

func fieldFaults(faults validation.Faults) []FieldFault {
	list := make([]FieldFault, len(faults))
	for i, f := range faults {
		list[i] = FieldFault{Field: f.Path, Value: f.Value, Expected: f.Expected}
	}
	return list
}
