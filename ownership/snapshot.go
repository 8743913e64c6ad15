package ownership

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// encodedState is the encoding of a State in snapshots. Its lists are sorted, so
// that equal states have equal encodings.
type encodedState struct {
	Applied    sharedlog.Offset `cbor:"1,keyasint"`
	Members    []*membership    `cbor:"2,keyasint,omitempty"`
	Services   []*service       `cbor:"3,keyasint,omitempty"`
	Generation sharedlog.Offset `cbor:"4,keyasint,omitempty"`
}

// Encode returns the state in CBOR, as it is stored in snapshots.
func (s *State) Encode() ([]byte, error) {
	e := encodedState{Applied: s.applied, Members: s.sortedMemberships(), Generation: s.generation}
	for _, svc := range s.services {
		e.Services = append(e.Services, svc)
	}
	slices.SortFunc(e.Services, func(a, b *service) int { return compareStrings(a.Name, b.Name) })
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode ownership state: %w", err)
	}
	return data, nil
}

// DecodeState decodes a state that was encoded by Encode.
func DecodeState(data []byte) (*State, error) {
	var e encodedState
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("decode ownership state: %w", err)
	}
	s := NewState()
	s.applied, s.generation = e.Applied, e.Generation
	for _, m := range e.Members {
		s.members[m.Member.ID] = m
	}
	for _, svc := range e.Services {
		s.services[svc.Name] = svc
		for i := range svc.Shards {
			for _, p := range svc.Shards[i].Predecessors {
				s.addWaiting(Shard{svc.Name, i}, p.Member)
			}
		}
	}
	return s, nil
}
