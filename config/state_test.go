package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func record(id, service string, expect Revision, schema int) Record {
	s := Service{Name: service, Region: id}
	body := []byte("body of an unknown schema")
	if schema <= CurrentSchema {
		body, _ = EncodeBody(schema, s)
	}
	return Record{ID: id, Service: service, Schema: schema, Expect: expect, Body: body}
}

func remove(id, service string, expect Revision) Record {
	return Record{ID: id, Service: service, Expect: expect, Delete: true}
}

func TestOutcomes(t *testing.T) {
	accepted := func(r Revision) Outcome { return Outcome{Accepted: true, Revision: r} }
	conflict := func(r Revision, winner string) Outcome { return Outcome{Revision: r, Winner: winner} }
	cases := []struct {
		name    string
		records []Record
		want    []Outcome
	}{
		{"create", []Record{record("a", "s", 0, 1)}, []Outcome{accepted(1)}},
		{"create twice", []Record{record("a", "s", 0, 1), record("b", "s", 0, 1)},
			[]Outcome{accepted(1), conflict(1, "a")}},
		{"update", []Record{record("a", "s", 0, 1), record("b", "s", 1, 1)},
			[]Outcome{accepted(1), accepted(2)}},
		{"racing updates", []Record{record("a", "s", 0, 1), record("b", "s", 1, 1), record("c", "s", 1, 2)},
			[]Outcome{accepted(1), accepted(2), conflict(2, "b")}},
		{"update of what does not exist", []Record{record("a", "s", 7, 1)}, []Outcome{conflict(0, "")}},
		{"duplicate of the winner", []Record{record("a", "s", 0, 1), record("a", "s", 0, 1)},
			[]Outcome{accepted(1), accepted(1)}},
		{"duplicate of the loser", []Record{record("a", "s", 0, 1), record("b", "s", 0, 1), record("b", "s", 1, 1)},
			[]Outcome{accepted(1), conflict(1, "a"), conflict(1, "a")}},
		{"a newer schema makes no difference", []Record{record("a", "s", 0, 9), record("b", "s", 0, 1)},
			[]Outcome{accepted(1), conflict(1, "a")}},
		{"delete and create", []Record{record("a", "s", 0, 1), remove("b", "s", 1), record("c", "s", 0, 1)},
			[]Outcome{accepted(1), accepted(2), accepted(3)}},
		{"update after delete", []Record{record("a", "s", 0, 1), remove("b", "s", 1), record("c", "s", 1, 1)},
			[]Outcome{accepted(1), accepted(2), conflict(2, "b")}},
		{"services are independent", []Record{record("a", "s", 0, 1), record("b", "t", 0, 1)},
			[]Outcome{accepted(1), accepted(2)}},
		{"no service", []Record{record("a", "", 0, 1)}, []Outcome{conflict(0, "")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			for i, r := range c.records {
				is.Equal(s.Apply(Revision(i+1), r), c.want[i])
				stored, ok := s.Outcome(r.ID)
				is.True(ok)
				is.Equal(stored, c.want[i])
			}
		})
	}
}

func TestOldReaderKeepsTheLastBodyThatItUnderstands(t *testing.T) {
	is := is.New(t)
	records := []Record{record("a", "s", 0, 1), record("b", "s", 1, 2), record("c", "s", 2, 3)}
	for schema, want := range map[int]string{1: "a", 2: "b"} {
		s := NewStateFor(schema)
		for i, r := range records {
			s.Apply(Revision(i+1), r)
		}
		state, ok := s.Get("s")
		is.True(ok)
		is.Equal(state.Service.Region, want)
		is.Equal(state.Revision, Revision(3))
		is.Equal(state.Schema, 3)
		is.True(!state.Understood)
		is.Equal(s.NotUnderstood(), 1)
	}
}

func TestOldReaderWithoutAnyBody(t *testing.T) {
	is := is.New(t)
	s := NewStateFor(SchemaV1)
	s.Apply(1, record("a", "s", 0, 2))
	state, ok := s.Get("s")
	is.True(ok)
	is.Equal(state, ServiceState{Service: Service{Name: "s"}, Revision: 1, Schema: 2})
}

func TestUndecodableBodyIsAccepted(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Apply(1, record("a", "s", 0, 1))
	undecodable := Record{ID: "b", Service: "s", Schema: 2, Expect: 1, Body: []byte{0xff}}
	is.Equal(s.Apply(2, undecodable), Outcome{Accepted: true, Revision: 2})
	state, _ := s.Get("s")
	is.Equal(state.Service.Region, "a")
	is.True(!state.Understood)
}

func TestCoveredOffsetsChangeNothing(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Skip(5)
	is.Equal(s.Apply(5, record("a", "s", 0, 1)), Outcome{})
	is.Equal(len(s.Services()), 0)
	is.Equal(s.Applied(), Revision(5))
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	offset := Revision(0)
	apply := func(r Record) {
		offset++
		is.True(s.Apply(offset, r).Accepted)
	}
	for i := range 2 * maxHistory {
		apply(record(fmt.Sprintf("h%d", i), "busy", offset, 1))
	}
	for i := range 2 * maxDeleted {
		name := fmt.Sprintf("gone%d", i)
		apply(record("c-"+name, name, 0, 1))
		apply(remove("d-"+name, name, offset))
	}
	for i := range maxOutcomes {
		apply(record(fmt.Sprintf("o%d", i), "other", s.Revision("other"), 1))
	}
	is.Equal(len(s.History("busy")), maxHistory)
	is.Equal(s.History("busy")[maxHistory-1].ID, fmt.Sprintf("h%d", 2*maxHistory-1))
	is.Equal(len(s.services), maxDeleted+2)
	is.Equal(len(s.outcomes), maxOutcomes)
	is.Equal(len(s.outcomeOrder), maxOutcomes)
	is.Equal(s.Services(), []string{"busy", "other"})
	is.Equal(len(s.History("gone0")), 0) // the services deleted first are dropped first
	_, ok := s.Outcome("h0")
	is.True(!ok)
}

func TestSnapshotSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	in := Snapshot{Covered: 7, Config: []byte("c"), Ownership: []byte("o")}
	data, err := in.Encode()
	is.NoErr(err)
	out, err := DecodeSnapshot(data)
	is.NoErr(err)
	is.Equal(out, in)
	_, err = DecodeSnapshot([]byte("garbage"))
	is.True(err != nil)
	_, err = DecodeState([]byte("garbage"))
	is.True(err != nil)
}

func TestCorruptSnapshotsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, e := range []encodedSnapshot{
		{Covered: 1, Config: []byte("not compressed")},
		{Covered: 1, Config: []byte{0}},
		{Covered: 1},
	} {
		data, err := encMode.Marshal(e)
		is.NoErr(err)
		_, err = DecodeSnapshot(data)
		is.True(err != nil)
	}
	compressed, err := compress(make([]byte, 1001))
	is.NoErr(err)
	_, err = decompress(compressed, 1000)
	is.True(err != nil)
	state, err := decompress(compressed, 1001)
	is.NoErr(err)
	is.Equal(len(state), 1001)
}
