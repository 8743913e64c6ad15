package ownership

import (
	"time"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// Event is an input of the core.
type Event interface{ event() }

// LogRecord is the next record of the log. At most one of Record and Service
// is set; a record that concerns neither only moves the applied offset.
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

// StateLoaded replaces the state by a later one, taken from a snapshot.
type StateLoaded struct{ State *State }

// CaughtUp says that a read that began at the given time has found the end of
// the log.
type CaughtUp struct{ Began time.Time }

// ReadFailed says that the log could not be read.
type ReadFailed struct{}

// AppendID numbers the appends that a core has asked for.
type AppendID uint64

// AppendDone says that a record was written.
type AppendDone struct{ ID AppendID }

// AppendFailed says that a record was not written.
type AppendFailed struct{ ID AppendID }

// AppendUnknown says that a record may have been written.
type AppendUnknown struct{ ID AppendID }

// PromiseRequested is a peer's wish for an extension of its lease.
type PromiseRequested struct {
	From MemberID
	// Joined is the offset of the join that the peer knows of itself.
	Joined sharedlog.Offset
	SentAt int64
}

// PromiseReceived is a peer's answer to AskPromise.
type PromiseReceived struct {
	From    MemberID
	SentAt  int64
	Granted bool
}

// Tick says that time has passed.
type Tick struct{}

// LeaveWanted ends the membership.
type LeaveWanted struct{}

// RejoinWanted lets a core that was expelled join again as another member.
type RejoinWanted struct{ Self Member }

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
func (LeaveWanted) event()      {}
func (RejoinWanted) event()     {}
