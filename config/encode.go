package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// encodedState is the encoding of a State in snapshots. Its lists are ordered, so
// that equal states encode to equal bytes.
type encodedState struct {
	Applied  sharedlog.Offset `cbor:"1,keyasint"`
	Services []encodedService `cbor:"2,keyasint,omitempty"`
	Outcomes []encodedOutcome `cbor:"3,keyasint,omitempty"`
}

type encodedService struct {
	Name    string        `cbor:"1,keyasint"`
	Deleted bool          `cbor:"2,keyasint,omitempty"`
	Bodies  []body        `cbor:"3,keyasint,omitempty"`
	History []HistoryItem `cbor:"4,keyasint,omitempty"`
}

type encodedOutcome struct {
	ID       string   `cbor:"1,keyasint"`
	Accepted bool     `cbor:"2,keyasint,omitempty"`
	Revision Revision `cbor:"3,keyasint,omitempty"`
	Winner   string   `cbor:"4,keyasint,omitempty"`
}

// Encode returns the state in CBOR, as it is stored in snapshots.
func (s *State) Encode() ([]byte, error) {
	e := encodedState{Applied: s.applied}
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		svc := s.services[name]
		e.Services = append(e.Services, encodedService{
			Name: name, Deleted: svc.deleted, Bodies: svc.bodies, History: svc.history,
		})
	}
	for _, id := range s.outcomeOrder {
		o := s.outcomes[id]
		e.Outcomes = append(e.Outcomes, encodedOutcome{
			ID: id, Accepted: o.Accepted, Revision: o.Revision, Winner: o.Winner,
		})
	}
	return encMode.Marshal(e)
}

// DecodeState decodes a state that was encoded by Encode.
func DecodeState(data []byte) (*State, error) { return DecodeStateFor(CurrentSchema, data) }

// DecodeStateFor decodes a state for a reader that understands schema versions
// up to the given one.
func DecodeStateFor(schema int, data []byte) (*State, error) {
	var e encodedState
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("decode configuration state: %w", err)
	}
	s := NewStateFor(schema)
	s.applied = e.Applied
	for _, es := range e.Services {
		if len(es.History) == 0 {
			return nil, fmt.Errorf("decode configuration state: service %q without history", es.Name)
		}
		svc := &service{deleted: es.Deleted, bodies: es.Bodies, history: es.History}
		svc.updateState(es.Name, schema)
		s.services[es.Name] = svc
	}
	for _, o := range e.Outcomes {
		s.recordOutcome(o.ID, Outcome{Accepted: o.Accepted, Revision: o.Revision, Winner: o.Winner})
	}
	return s, nil
}
