package config

import (
	"cmp"
	"maps"
	"slices"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// Bounds of what a state remembers beside the services themselves. They are
// part of the fold: readers with other bounds would hold other states.
const (
	// maxOutcomes is the number of newest records whose outcome is remembered,
	// and thus how far apart a duplicate may lie from its record.
	maxOutcomes = 1024
	// maxHistory is the number of accepted changes remembered per service.
	maxHistory = 16
	// maxDeleted is the number of deleted services that are remembered.
	maxDeleted = 256
)

// Entry is what a reader knows of one service.
type Entry struct {
	// Service is the newest body that this reader understands.
	Service Service
	// Revision identifies the newest accepted change.
	Revision Revision
	// Schema is the schema version of that change.
	Schema int
	// Understood is false when Service is older than Revision, because this
	// reader does not know the newest body's schema version.
	Understood bool
}

// HistoryItem is one accepted change of a service.
type HistoryItem struct {
	Revision Revision `cbor:"1,keyasint" json:"revision"`
	// ID is that of the record which made the change.
	ID     string `cbor:"2,keyasint" json:"id"`
	Schema int    `cbor:"3,keyasint,omitempty" json:"schema,omitempty"`
	Delete bool   `cbor:"4,keyasint,omitempty" json:"delete,omitempty"`
	Author string `cbor:"5,keyasint,omitempty" json:"author,omitempty"`
	// At is the record's Unix time in milliseconds.
	At int64 `cbor:"6,keyasint,omitempty" json:"at,omitempty"`
}

// State is the configuration as of a prefix of the log. Two states that have
// applied the same prefix encode to the same bytes, whatever schema versions
// their readers know. A State is not safe for concurrent use.
type State struct {
	// schema is the newest version that this reader understands. It has no
	// influence on which record wins nor on what is encoded.
	schema   int
	applied  sharedlog.Offset
	services map[string]*service
	// outcomes and order hold the newest records' outcomes in log order.
	outcomes     map[string]Outcome
	outcomeOrder []string
}

// service is the state of one name. A deleted service keeps its history.
type service struct {
	deleted bool
	history []HistoryItem
	// bodies holds the newest body, last, and before it for each lower schema
	// version the newest body that no later body of a version at most as high
	// has replaced. So a reader that knows only old versions still finds the
	// last body that it understands, also in a snapshot.
	bodies []body
	// entry is what this reader makes of bodies.
	entry Entry
}

// body is one encoded body as it stood in its record.
type body struct {
	Schema   int      `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
	Data     []byte   `cbor:"3,keyasint"`
}

// NewState returns the state before the log's first record.
func NewState() *State { return NewStateFor(CurrentSchema) }

// NewStateFor returns the state of a reader that understands schema versions
// up to the given one.
func NewStateFor(schema int) *State {
	return &State{
		schema:   schema,
		services: map[string]*service{},
		outcomes: map[string]Outcome{},
	}
}

// Applied is the offset of the last record that the state covers.
func (s *State) Applied() sharedlog.Offset { return s.applied }

// Advance notes that the record at offset is of no concern to the
// configuration.
func (s *State) Advance(offset sharedlog.Offset) { s.applied = max(s.applied, offset) }

// Apply folds the record at offset into the state and returns its outcome. An
// offset that the state already covers changes nothing.
func (s *State) Apply(offset sharedlog.Offset, r Record) Outcome {
	if previous, ok := s.outcomes[r.ID]; ok {
		s.Advance(offset)
		return previous
	}
	if offset <= s.applied {
		return Outcome{}
	}
	s.applied = offset
	outcome := s.decide(offset, r)
	if outcome.Accepted {
		s.accept(offset, r)
	}
	s.recordOutcome(r.ID, outcome)
	return outcome
}

// decide says whether a record wins. It looks at the service's name and the
// expected revision alone.
func (s *State) decide(offset sharedlog.Offset, r Record) Outcome {
	current := s.Revision(r.Service)
	if r.Service != "" && r.Expect == current {
		return Outcome{Accepted: true, Revision: offset}
	}
	outcome := Outcome{Revision: current}
	if svc := s.services[r.Service]; svc != nil {
		winner := svc.history[len(svc.history)-1]
		outcome.Revision = winner.Revision
		outcome.Winner = winner.ID
	}
	return outcome
}

func (s *State) accept(offset sharedlog.Offset, r Record) {
	svc := s.services[r.Service]
	if svc == nil {
		svc = new(service)
		s.services[r.Service] = svc
	}
	svc.deleted = r.Delete
	svc.history = append(svc.history, HistoryItem{
		Revision: offset, ID: r.ID, Schema: r.Schema, Delete: r.Delete, Author: r.Author, At: r.At,
	})
	svc.history = keepNewest(svc.history, maxHistory)
	if r.Delete {
		svc.bodies = nil
		s.evictDeleted()
	} else {
		svc.addBody(body{Schema: r.Schema, Revision: offset, Data: slices.Clone(r.Body)})
	}
	svc.updateEntry(r.Service, s.schema)
}

// addBody adds the newest body and drops those that no reader needs any longer.
func (svc *service) addBody(b body) {
	for len(svc.bodies) > 0 && svc.bodies[len(svc.bodies)-1].Schema >= b.Schema {
		svc.bodies = svc.bodies[:len(svc.bodies)-1]
	}
	svc.bodies = append(svc.bodies, b)
}

// updateEntry sets the entry from the newest body that the reader understands.
func (svc *service) updateEntry(name string, schema int) {
	svc.entry = Entry{Service: Service{Name: name}}
	if len(svc.bodies) == 0 {
		return
	}
	newest := svc.bodies[len(svc.bodies)-1]
	svc.entry.Revision = newest.Revision
	svc.entry.Schema = newest.Schema
	for _, b := range slices.Backward(svc.bodies) {
		if b.Schema > schema {
			continue
		}
		if decoded, err := DecodeBody(b.Schema, b.Data); err == nil {
			svc.entry.Service = decoded
			svc.entry.Understood = b.Revision == newest.Revision
			return
		}
	}
}

// evictDeleted drops the longest deleted services beyond the bound.
func (s *State) evictDeleted() {
	var deleted []string
	for name, svc := range s.services {
		if svc.deleted {
			deleted = append(deleted, name)
		}
	}
	if len(deleted) <= maxDeleted {
		return
	}
	oldest := slices.MinFunc(deleted, func(a, b string) int {
		return cmp.Compare(s.services[a].lastRevision(), s.services[b].lastRevision())
	})
	delete(s.services, oldest)
}

func (svc *service) lastRevision() Revision { return svc.history[len(svc.history)-1].Revision }

func (s *State) recordOutcome(id string, outcome Outcome) {
	s.outcomes[id] = outcome
	s.outcomeOrder = append(s.outcomeOrder, id)
	for len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

func keepNewest[T any](items []T, bound int) []T {
	if len(items) <= bound {
		return items
	}
	return slices.Clone(items[len(items)-bound:])
}

// Get returns a service that exists.
func (s *State) Get(name string) (Entry, bool) {
	svc := s.services[name]
	if svc == nil || svc.deleted {
		return Entry{}, false
	}
	return svc.entry, true
}

// Revision returns a service's revision, or 0 when it does not exist.
func (s *State) Revision(name string) Revision {
	entry, _ := s.Get(name)
	return entry.Revision
}

// Services returns the names of all services that exist, in alphabetical order.
func (s *State) Services() []string {
	names := slices.Sorted(maps.Keys(s.services))
	return slices.DeleteFunc(names, func(name string) bool { return s.services[name].deleted })
}

// History returns the newest accepted changes of a service, oldest first.
func (s *State) History(name string) []HistoryItem {
	svc := s.services[name]
	if svc == nil {
		return nil
	}
	return slices.Clone(svc.history)
}

// Outcome returns the outcome of a record that the state remembers.
func (s *State) Outcome(recordID string) (Outcome, bool) {
	outcome, ok := s.outcomes[recordID]
	return outcome, ok
}

// NotUnderstood counts the services whose newest body this reader does not
// understand.
func (s *State) NotUnderstood() int {
	count := 0
	for _, svc := range s.services {
		if !svc.deleted && !svc.entry.Understood {
			count++
		}
	}
	return count
}
