package config

import (
	"cmp"
	"maps"
	"slices"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// Limits on what a state keeps in addition to the services themselves. All readers
// must use the same limits, otherwise their states would differ.
const (
	// maxOutcomes is the number of newest records whose outcome is kept. It is also
	// the maximum distance, in records, at which a duplicate is recognized.
	maxOutcomes = 1024
	// maxHistory is the number of accepted changes kept per service.
	maxHistory = 16
	// maxDeleted is the number of deleted services whose history is kept.
	maxDeleted = 256
)

// ServiceState is a service's configuration as a reader understands it.
type ServiceState struct {
	// Service is the newest body that this reader understands.
	Service Service
	// Revision identifies the newest accepted change.
	Revision Revision
	// Schema is the schema version of that change.
	Schema int
	// Understood is false when Service is older than Revision, because this reader
	// can't decode the newest body, usually because it is of a newer schema version.
	Understood bool
}

// HistoryItem is one accepted change of a service.
type HistoryItem struct {
	Revision Revision `cbor:"1,keyasint" json:"revision"`
	// ID is the ID of the record that made the change.
	ID     string `cbor:"2,keyasint" json:"id"`
	Schema int    `cbor:"3,keyasint,omitempty" json:"schema,omitempty"`
	Delete bool   `cbor:"4,keyasint,omitempty" json:"delete,omitempty"`
	Author string `cbor:"5,keyasint,omitempty" json:"author,omitempty"`
	// At is the record's Unix time in milliseconds.
	At int64 `cbor:"6,keyasint,omitempty" json:"at,omitempty"`
}

// State is the configuration as of a prefix of the log. Two states that have
// applied the same prefix encode to the same bytes, regardless of the schema
// versions that their readers understand. A State is not safe for concurrent use.
type State struct {
	// schema is the newest version that this reader understands. It affects neither
	// which records are accepted nor what is encoded.
	schema   int
	applied  sharedlog.Offset
	services map[string]*service
	// outcomes holds the outcomes of the newest records by record ID, and
	// outcomeOrder their IDs in log order.
	outcomes     map[string]Outcome
	outcomeOrder []string
}

// service is the state of one service. A deleted service keeps its history.
type service struct {
	deleted bool
	history []HistoryItem
	// bodies holds, oldest first, each body after which no body of the same or a
	// lower schema version was accepted; the last one is the newest. A reader that
	// understands only old versions thus finds the last body that it can decode, even
	// if it starts from a snapshot. A deletion drops all bodies.
	bodies []body
	// state is derived from bodies according to this reader's schema version.
	state ServiceState
}

// body is the encoded body of one record.
type body struct {
	Schema   int      `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
	Data     []byte   `cbor:"3,keyasint"`
}

// NewState returns the state of an empty log.
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

// Applied returns the offset of the last record that the state covers.
func (s *State) Applied() sharedlog.Offset { return s.applied }

// Skip moves the applied offset past a record that does not concern the
// configuration. It never moves it back.
func (s *State) Skip(offset sharedlog.Offset) { s.applied = max(s.applied, offset) }

// Apply applies the record at offset and returns its outcome. A record whose ID
// has a known outcome is a duplicate and returns that outcome. Otherwise, an offset
// that the state already covers changes nothing and returns the zero Outcome.
func (s *State) Apply(offset sharedlog.Offset, r Record) Outcome {
	if previous, ok := s.outcomes[r.ID]; ok {
		s.Skip(offset)
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

// decide determines whether a record is accepted, based only on the service's
// name and the expected revision.
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

// accept applies an accepted record to its service.
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
	svc.updateState(r.Service, s.schema)
}

// addBody adds the newest body and drops those that no reader needs any more.
func (svc *service) addBody(b body) {
	for len(svc.bodies) > 0 && svc.bodies[len(svc.bodies)-1].Schema >= b.Schema {
		svc.bodies = svc.bodies[:len(svc.bodies)-1]
	}
	svc.bodies = append(svc.bodies, b)
}

// updateState sets the state from the newest body that the reader understands.
func (svc *service) updateState(name string, schema int) {
	svc.state = ServiceState{Service: Service{Name: name}}
	if len(svc.bodies) == 0 {
		return
	}
	newest := svc.bodies[len(svc.bodies)-1]
	svc.state.Revision = newest.Revision
	svc.state.Schema = newest.Schema
	for _, b := range slices.Backward(svc.bodies) {
		if b.Schema > schema {
			continue
		}
		if decoded, err := DecodeBody(b.Schema, b.Data); err == nil {
			svc.state.Service = decoded
			svc.state.Understood = b.Revision == newest.Revision
			return
		}
	}
}

// evictDeleted drops the service that was deleted first if there are more than
// maxDeleted deleted services.
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

// recordOutcome adds a record's outcome and drops the oldest ones beyond
// maxOutcomes.
func (s *State) recordOutcome(id string, outcome Outcome) {
	s.outcomes[id] = outcome
	s.outcomeOrder = append(s.outcomeOrder, id)
	for len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// keepNewest returns the last items, at most bound.
func keepNewest[T any](items []T, bound int) []T {
	if len(items) <= bound {
		return items
	}
	return slices.Clone(items[len(items)-bound:])
}

// Get returns a service, and whether it exists.
func (s *State) Get(name string) (ServiceState, bool) {
	svc := s.services[name]
	if svc == nil || svc.deleted {
		return ServiceState{}, false
	}
	return svc.state, true
}

// Revision returns a service's revision, or 0 when it does not exist.
func (s *State) Revision(name string) Revision {
	state, _ := s.Get(name)
	return state.Revision
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

// Outcome returns the outcome of a record, and whether the state holds it.
func (s *State) Outcome(recordID string) (Outcome, bool) {
	outcome, ok := s.outcomes[recordID]
	return outcome, ok
}

// NotUnderstood returns the number of services whose newest body this reader
// can't decode.
func (s *State) NotUnderstood() int {
	count := 0
	for _, svc := range s.services {
		if !svc.deleted && !svc.state.Understood {
			count++
		}
	}
	return count
}
