package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// unknownSchema is a schema version that no reader in the test understands.
const unknownSchema = config.CurrentSchema + 1

// reader reads the log as an entry does.
type reader struct {
	schema int
	cursor config.Cursor
	state  *config.State
	// revisions holds the highest revision seen per service.
	revisions map[string]config.Revision
}

func newReader(schema int) *reader {
	return &reader{schema: schema, state: config.NewStateFor(schema), revisions: map[string]config.Revision{}}
}

// stateMachine drives readers and operators over a log that drops old records.
type stateMachine struct {
	log     *memory.Log
	readers []*reader
	// written holds every record ever written to the log, including dropped ones.
	written []config.Record
	// unanswered holds the records whose answer was lost; they may be sent again.
	unanswered []config.Record
	// unwrittenSnapshots holds snapshots that were taken and may be written later.
	unwrittenSnapshots [][]byte
	// accepted holds the revisions reported as accepted to an operator, by record ID.
	accepted map[string]config.Revision
	// encoded holds the encoding of the complete state at each offset.
	encoded map[sharedlog.Offset]string
	ids     int
}

var names = []string{"label", "moisture", "press"}

func newStateMachine() *stateMachine {
	return &stateMachine{
		log:      memory.New(memory.Options{}),
		readers:  []*reader{newReader(config.SchemaV1), newReader(config.SchemaV2)},
		accepted: map[string]config.Revision{},
		encoded:  map[sharedlog.Offset]string{},
	}
}

// drawRecord returns an operator's change that is based on some reader's revision.
func (m *stateMachine) drawRecord(t *rapid.T) config.Record {
	m.ids++
	name := rapid.SampledFrom(names).Draw(t, "service")
	seen := rapid.SampledFrom(m.readers).Draw(t, "seen by").state.Revision(name)
	r := config.Record{ID: fmt.Sprint("r", m.ids), Service: name, Expect: seen}
	if rapid.IntRange(0, 5).Draw(t, "delete") == 0 {
		r.Delete = true
		return r
	}
	r.Schema = rapid.IntRange(config.SchemaV1, unknownSchema).Draw(t, "schema")
	r.Body = []byte("body of an unknown schema")
	if r.Schema <= config.CurrentSchema {
		r.Body, _ = config.EncodeBody(r.Schema, config.Service{Name: name, Region: r.ID})
	}
	return r
}

func (m *stateMachine) publish(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "records") {
		m.append(t, m.drawRecord(t), rapid.IntRange(0, 3).Draw(t, "fault"))
	}
}

// resend repeats a record whose answer was lost, without reading the log first.
func (m *stateMachine) resend(t *rapid.T) {
	if len(m.unanswered) == 0 {
		t.Skip("nothing to send again")
	}
	m.append(t, rapid.SampledFrom(m.unanswered).Draw(t, "record"), 0)
}

// append writes a record. With fault 1 the answer is lost after the write, with
// fault 2 the record itself is lost.
func (m *stateMachine) append(t *rapid.T, r config.Record, fault int) {
	switch fault {
	case 1:
		m.log.SetFaults(memory.Faults{LostAnswers: 1})
	case 2:
		m.log.SetFaults(memory.Faults{LostAppends: 1})
	}
	data, err := sharedlog.EncodeRecord(sharedlog.KindConfig, r)
	if err != nil {
		t.Fatal(err)
	}
	_, err = m.log.Append(context.Background(), data)
	if errors.Is(err, sharedlog.ErrUnknown) {
		m.unanswered = append(m.unanswered, r)
	}
	if fault != 2 {
		m.written = append(m.written, r)
	}
}

// appendOther writes a record that does not concern the configuration.
func (m *stateMachine) appendOther(t *rapid.T) {
	m.appendRaw(t, sharedlog.KindOwnership, 0)
}

// appendRaw writes a record of any kind without faults.
func (m *stateMachine) appendRaw(t *rapid.T, kind sharedlog.RecordKind, body any) {
	data, err := sharedlog.EncodeRecord(kind, body)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.log.Append(context.Background(), data); err != nil {
		t.Fatal(err)
	}
	m.written = append(m.written, config.Record{})
}

// takeSnapshot takes a snapshot but does not write it yet, as a paused process
// would.
func (m *stateMachine) takeSnapshot(t *rapid.T) {
	r := rapid.SampledFrom(m.readers).Draw(t, "reader")
	if !r.cursor.Complete() {
		t.Skip("an incomplete reader writes no snapshot")
	}
	m.unwrittenSnapshots = append(m.unwrittenSnapshots, m.snapshot(t, r))
}

func (m *stateMachine) snapshot(t *rapid.T, r *reader) []byte {
	encoded, err := r.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	data, err := config.Snapshot{Covered: r.state.Applied(), Config: encoded}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// writeSnapshot writes a snapshot taken earlier. It may be old, and may be written
// several times.
func (m *stateMachine) writeSnapshot(t *rapid.T) {
	if len(m.unwrittenSnapshots) == 0 {
		t.Skip("no snapshot taken")
	}
	m.appendRaw(t, sharedlog.KindSnapshot, rapid.SampledFrom(m.unwrittenSnapshots).Draw(t, "snapshot"))
}

func (m *stateMachine) trim(t *rapid.T) {
	bounds, err := m.log.Bounds(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	m.log.Trim(bounds.First + sharedlog.Offset(rapid.IntRange(1, 6).Draw(t, "dropped")))
}

// replace replaces a process by a new one with an empty state.
func (m *stateMachine) replace(t *rapid.T) {
	i := rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")
	m.readers[i] = newReader(rapid.IntRange(config.SchemaV1, config.SchemaV2).Draw(t, "schema"))
}

// askPeer adopts the state of another process, as during a log outage.
func (m *stateMachine) askPeer(t *rapid.T) {
	to := rapid.SampledFrom(m.readers).Draw(t, "to")
	from := rapid.SampledFrom(m.readers).Draw(t, "from")
	if !from.cursor.Complete() {
		t.Skip("an incomplete reader sends no state")
	}
	m.adopt(t, to, m.snapshot(t, from))
}

func (m *stateMachine) adopt(t *rapid.T, r *reader, data []byte) {
	snapshot, err := config.DecodeSnapshot(data)
	if err != nil {
		t.Fatal(err)
	}
	state, err := config.DecodeStateFor(r.schema, snapshot.Config)
	if err != nil {
		t.Fatal(err)
	}
	if r.cursor.Adopt(snapshot.Covered) {
		r.state = state
	}
}

func (m *stateMachine) read(t *rapid.T) {
	r := rapid.SampledFrom(m.readers).Draw(t, "reader")
	m.readFrom(t, r, rapid.IntRange(1, 20).Draw(t, "limit"))
}

func (m *stateMachine) readFrom(t *rapid.T, r *reader, limit int) {
	records, err := m.log.Read(context.Background(), r.cursor.Next(), limit)
	if errors.Is(err, sharedlog.ErrTrimmed) {
		bounds, _ := m.log.Bounds(context.Background())
		r.cursor.SkipTo(bounds.First)
		return
	}
	if len(records) == 0 {
		r.cursor.ReachedEnd()
	}
	for _, record := range records {
		if record.Offset != r.cursor.Next() {
			return // a snapshot was adopted: continue after the offset it covers
		}
		m.step(t, r, record)
	}
}

func (m *stateMachine) step(t *rapid.T, r *reader, record sharedlog.Record) {
	kind, body, err := sharedlog.DecodeRecord(record.Data)
	if err != nil {
		t.Fatal(err)
	}
	apply := r.cursor.Read(record.Offset)
	switch {
	case kind == sharedlog.KindSnapshot:
		var data []byte
		if err := sharedlog.DecodeBody(body, &data); err != nil {
			t.Fatal(err)
		}
		m.adopt(t, r, data)
	case kind == sharedlog.KindConfig && apply:
		var change config.Record
		if err := sharedlog.DecodeBody(body, &change); err != nil {
			t.Fatal(err)
		}
		m.reportOutcome(t, change, r.state.Apply(record.Offset, change))
	}
	if apply {
		r.state.Skip(record.Offset)
	}
}

// reportOutcome reports an outcome to the operator and checks that a record that
// was reported as accepted is not reported differently later.
func (m *stateMachine) reportOutcome(t *rapid.T, r config.Record, o config.Outcome) {
	if !o.Accepted {
		if _, reported := m.accepted[r.ID]; reported {
			t.Fatalf("record %s was reported as accepted and is now refused in favour of %s", r.ID, o.Winner)
		}
		return
	}
	if before, reported := m.accepted[r.ID]; reported && before != o.Revision {
		t.Fatalf("record %s was reported as accepted with revision %d, now with %d", r.ID, before, o.Revision)
	}
	m.accepted[r.ID] = o.Revision
}

func (m *stateMachine) check(t *rapid.T) {
	for _, r := range m.readers {
		if r.state.Applied() != r.cursor.Applied() {
			t.Fatalf("state covers %d, cursor %d", r.state.Applied(), r.cursor.Applied())
		}
		m.checkEncoding(t, r)
		m.checkOracle(t, r)
		m.checkMonotonic(t, r)
	}
}

// checkEncoding checks that all states at the same offset have the same encoding.
func (m *stateMachine) checkEncoding(t *rapid.T, r *reader) {
	encoded, err := r.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	at := r.state.Applied()
	if previous, ok := m.encoded[at]; ok && previous != string(encoded) {
		t.Fatalf("different states at offset %d", at)
	}
	m.encoded[at] = string(encoded)
}

func (m *stateMachine) checkOracle(t *rapid.T, r *reader) {
	want := oracle(m.written[:r.state.Applied()], r.schema)
	for _, name := range names {
		got, exists := r.state.Get(name)
		w := want[name]
		if exists != w.exists || got.Revision != w.revision || got.Service.Region != w.body || got.Understood != w.understood {
			t.Fatalf("%s at offset %d, schema %d: got %+v, want %+v", name, r.state.Applied(), r.schema, got, w)
		}
	}
}

// checkMonotonic checks that no revision decreases, and that each change reported
// as accepted is in force or has been replaced by a later revision.
func (m *stateMachine) checkMonotonic(t *rapid.T, r *reader) {
	for _, name := range names {
		last := config.Revision(0)
		if history := r.state.History(name); len(history) > 0 {
			last = history[len(history)-1].Revision
		}
		if last < r.revisions[name] {
			t.Fatalf("%s went back from revision %d to %d", name, r.revisions[name], last)
		}
		r.revisions[name] = last
	}
	for id, revision := range m.accepted {
		name := m.written[revision-1].Service
		if r.state.Applied() >= revision && r.revisions[name] < revision {
			t.Fatalf("record %s was accepted as revision %d, but service %s is at %d", id, revision, name, r.revisions[name])
		}
	}
}

// expectation is the state of a service that a reader should hold.
type expectation struct {
	exists     bool
	revision   config.Revision
	body       string
	understood bool
}

// oracle computes the expected state from all records ever written, by a direct
// implementation of the acceptance rule.
func oracle(records []config.Record, schema int) map[string]expectation {
	state := map[string]expectation{}
	seen := map[string]bool{}
	for i, r := range records {
		current := state[r.Service]
		if r.ID == "" || seen[r.ID] || r.Expect != current.revision {
			seen[r.ID] = true
			continue
		}
		seen[r.ID] = true
		if r.Delete {
			state[r.Service] = expectation{}
			continue
		}
		current.exists = true
		current.revision = config.Revision(i + 1)
		current.understood = r.Schema <= schema
		if current.understood {
			current.body = r.ID
		}
		state[r.Service] = current
	}
	return state
}

// checkConvergence lets a complete reader write a snapshot, if there is one whose
// next record is still in the log, and checks that all readers then become complete
// at the log's end.
func (m *stateMachine) checkConvergence(t *rapid.T) {
	bounds, err := m.log.Bounds(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range m.readers {
		if r.cursor.Complete() && r.cursor.Next() >= bounds.First {
			m.appendRaw(t, sharedlog.KindSnapshot, m.snapshot(t, r))
			m.readToEnd(t)
			return
		}
	}
}

func (m *stateMachine) readToEnd(t *rapid.T) {
	end := sharedlog.Offset(len(m.written)) + 1
	for _, r := range m.readers {
		// Each record is read at most once before a snapshot and once after it.
		for range 2 * end {
			m.readFrom(t, r, int(end))
		}
		if !r.cursor.Complete() || r.cursor.Next() != end {
			t.Fatalf("reader is at offset %d of %d, complete: %v", r.cursor.Next(), end, r.cursor.Complete())
		}
	}
	m.check(t)
}

// TestReadersAgree checks that all readers of a log hold the same state under lost
// answers, dropped records, late snapshots and readers of different versions.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"publish":       m.publish,
			"sendAgain":     m.resend,
			"other":         m.appendOther,
			"takeSnapshot":  m.takeSnapshot,
			"writeSnapshot": m.writeSnapshot,
			"trim":          m.trim,
			"replace":       m.replace,
			"askPeer":       m.askPeer,
			"publishMore":   m.publish,
			"read":          m.read,
			"readMore":      m.read,
			"readMost":      m.read,
			"":              m.check,
		})
		m.checkConvergence(t)
	})
}
