// Package store is a stand-in for the store of the users' platform and implements
// its published protocol: partitions of records, and keyed topics that keep the
// newest record of each key. Faults can be injected.
package store

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults change how the store answers.
type Faults struct {
	// Status, if not 0, is the HTTP status that answers all calls; none is executed.
	Status int
	// Unresponsive leaves all calls unanswered and does not execute them.
	Unresponsive bool
	// LoseAnswers executes calls and aborts the connection instead of answering.
	LoseAnswers bool
	// Outdated makes reads and listings answer as if the last Outdated records of a keyed
	// topic were not there yet.
	Outdated int
}

// Store keeps its records in memory. It is safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	faults     Faults
	partitions map[string]*partition
	changed    chan struct{}
	calls      int
}

type partition struct {
	records [][]byte
	// first is the offset of the oldest record that a read from an offset returns.
	// Older records are kept, as the newest values of a keyed topic may be among
	// them.
	first int64
}

// New returns an empty store.
func New() *Store { return &Store{partitions: map[string]*partition{}, changed: make(chan struct{})} }

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key of a keyed topic, as the operator does; a nil value deletes the
// key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	p := s.partition(topic, "0")
	p.records = append(p.records, append(record, value...))
	s.wake()
}

// Evacuate writes the operator's record that evacuates a zone or, with false, deletes it.
func (s *Store) Evacuate(zone string, evacuated bool) {
	var value []byte
	if evacuated {
		value = []byte("{}")
	}
	s.Put("keyed.op", "evacuate/"+zone, value)
}

// DropHistory makes the records of a topic unavailable to reads from an offset;
// the newest value of each key remains.
func (s *Store) DropHistory(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	p.first = int64(len(p.records))
	s.wake()
}

func (s *Store) partition(topic, number string) *partition {
	key := topic + "/" + number
	if s.partitions[key] == nil {
		s.partitions[key] = &partition{}
	}
	return s.partitions[key]
}

// visible returns the number of records of a partition that reads show.
func (s *Store) visible(p *partition) int { return max(len(p.records)-s.faults.Outdated, 0) }

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	switch {
	case f.Unresponsive:
		// The server detects the end of the connection only after the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return
	}
	if f.LoseAnswers {
		s.route(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	s.route(w, r)
}

// discard is the response writer for an answer that is to be lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) route(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.append(w, r)
	case "GET /log-read":
		s.read(w, r)
	case "GET /log-newest":
		s.newest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
	offset := len(p.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			http.Error(w, "record cut", http.StatusBadRequest)
			return
		}
		p.records = append(p.records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	s.wake()
	answer(w, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		http.Error(w, "from or wait_ms", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.partition(q.Get("topic"), q.Get("part")), s.changed
		visible := p.records[:s.visible(p)]
		end, first := int64(len(visible)), p.first
		records := visible[min(from, end):]
		down := s.faults.Status
		s.mu.Unlock()
		switch {
		case down != 0:
			w.WriteHeader(down)
			return
		case from < first:
			w.WriteHeader(http.StatusGone)
			answerBody(w, map[string]any{"first": first})
			return
		case len(records) > 0:
			writeRecords(w, end, first, records)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeRecords(w, end, first, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, end, first int64, records [][]byte) {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	_, _ = w.Write(body)
}

// pageSize is small, so that tests read several pages.
const pageSize = 3

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	values, offsets := map[string][]byte{}, map[string]int{}
	visible := p.records[:s.visible(p)]
	for offset, record := range visible {
		n := int(record[0])
		key, value := string(record[1:1+n]), record[1+n:]
		if len(value) == 0 {
			delete(values, key)
			continue
		}
		values[key], offsets[key] = value, offset
	}
	end := len(visible)
	s.mu.Unlock()
	var keys []string
	for key := range values {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	more := len(keys) > pageSize
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(values[key]), "offset": offsets[key],
		})
	}
	answer(w, map[string]any{"items": items, "more": more, "end": end})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	answerBody(w, body)
}

func answerBody(w io.Writer, body any) { _ = json.NewEncoder(w).Encode(body) }
