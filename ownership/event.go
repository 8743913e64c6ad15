package ownership

import (
	"time"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// Event is an input of the core.
type Event interface{ event() }

// LogRecord is the next record of the log. At most one of Record and Service
// is set; a record with neither only advances the applied offset.
type LogRecord struct {
	Offset  sharedlog.Offset
	Record  *Record
	Service *ServiceChange
}

// ServiceChange is an accepted change of a service's configuration.
type ServiceChange struct {
	Name    string
	Owners  int
	Region  string
	Deleted bool
}

// StateLoaded replaces the state with a later one from a snapshot.
type StateLoaded struct{ State *State }

// CaughtUp reports that a read that began at the given time has reached the end
// of the log.
type CaughtUp struct{ Began time.Time }

// ReadFailed reports that reading the log failed.
type ReadFailed struct{}

// AppendID identifies an append that a core has requested.
type AppendID uint64

// AppendDone reports that a record was written.
type AppendDone struct{ ID AppendID }

// AppendFailed reports that a record was not written and never will be.
type AppendFailed struct{ ID AppendID }

// AppendUnknown reports that the answer to an append was lost: the record may
// have been written, or may still be.
type AppendUnknown struct{ ID AppendID }

// PromiseRequested is a peer's request to extend its lease.
type PromiseRequested struct {
	From MemberID
	// Joined is the offset of the join record under which the peer acts.
	Joined sharedlog.Offset
	SentAt int64
}

// PromiseReceived is a peer's answer to AskPromise.
type PromiseReceived struct {
	From    MemberID
	SentAt  int64
	Granted bool
}

// Tick reports that time has passed.
type Tick struct{}

// LeaveRequested requests the end of the membership.
type LeaveRequested struct{}

// RejoinRequested requests that an expelled core join again as another member. It
// has no effect on a core that was not expelled.
type RejoinRequested struct{ Self Member }

func (LogRecord) event()        {}
func (StateLoaded) event()      {}
func (CaughtUp) event()         {}
func (ReadFailed) event()       {}
func (AppendDone) event()       {}
func (AppendFailed) event()     {}
func (AppendUnknown) event()    {}
func (PromiseRequested) event() {}
func (PromiseReceived) event()  {}
func (Tick) event()             {}
func (LeaveRequested) event()   {}
func (RejoinRequested) event()  {}
