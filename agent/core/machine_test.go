package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	testService       = "trials"
	testAcceptWindow  = 2 * time.Second
	testJournalWindow = 5 * time.Second
)

var testStartTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testOptions() Options {
	return Options{
		Zone: "a", Seeds: []string{"seed:1"}, Heartbeat: time.Second, AcceptWindow: testAcceptWindow,
		AnnounceTimeout: 10 * time.Second, TaskTimeout: time.Minute,
		JournalWindow: testJournalWindow, JournalBytes: 1000, JournalStarts: 1000,
		Random: rand.New(rand.NewPCG(1, 2)),
	}
}

// modelSession is the state of a session as far as its entry can derive it from the
// messages it received.
type modelSession struct {
	owner          int
	open           bool
	credits        map[message.CreditID]string // live credits and their endpoints
	spent          []message.CreditID
	sentTimes      map[message.Sequence]time.Time
	newestSequence message.Sequence
}

type modelRun struct {
	shard     int
	endpoint  string
	accepted  time.Time
	ended     time.Time
	isRunning bool
}

// stateMachine is a rapid state machine that drives a core and checks it against a
// model that is derived from the events and actions alone.
type stateMachine struct {
	core        *Core
	now         time.Time
	sessions    map[SessionID]*modelSession
	lastID      SessionID
	seq         uint64
	slots       map[string]int // by endpoint that accepts tasks
	running     map[string]int
	owners      map[string]bool // by the newest view
	epochs      map[int]message.Epoch
	accepted    map[message.StartID]*modelRun
	refused     map[message.StartID]time.Time
	generation  uint64
	sent        []*message.Start
	everGranted []message.CreditID
	// acceptedNow and refusedNow are the starts accepted and refused in the last
	// step.
	acceptedNow, refusedNow []message.StartID
	journal                 []*message.Journal
	replies                 []*message.InquiryReply
}

func newStateMachine() *stateMachine {
	return &stateMachine{
		core: New(testOptions(), testStartTime), now: testStartTime,
		sessions: map[SessionID]*modelSession{}, slots: map[string]int{}, running: map[string]int{},
		epochs: map[int]message.Epoch{}, accepted: map[message.StartID]*modelRun{}, refused: map[message.StartID]time.Time{},
	}
}

func ownerName(i int) string { return fmt.Sprintf("entry-%d", i) }

// step passes an event to the core and updates the model from the actions.
func (m *stateMachine) step(t *rapid.T, e Event) {
	m.acceptedNow, m.refusedNow, m.journal, m.replies = nil, nil, nil, nil
	for _, a := range m.core.Step(m.now, e) {
		switch a := a.(type) {
		case Run:
			if m.accepted[a.ID] != nil {
				t.Fatalf("start %v accepted twice", a.ID)
			}
			if m.isRefused(a.ID) {
				t.Fatalf("start %v accepted after it was answered not-run", a.ID)
			}
			m.acceptedNow = append(m.acceptedNow, a.ID)
			m.accepted[a.ID] = &modelRun{endpoint: a.Endpoint.Name, accepted: m.now, isRunning: true}
			m.running[a.Endpoint.Name]++
		case Send:
			m.recordSend(t, a)
		case Disconnect:
			m.markClosed(a.Session)
		}
	}
}

func (m *stateMachine) isRefused(id message.StartID) bool {
	_, ok := m.refused[id]
	return ok
}

// recordSend updates the model from a message that an entry receives.
func (m *stateMachine) recordSend(t *rapid.T, a Send) {
	s := m.sessions[a.Session]
	switch msg := a.Message.(type) {
	case *message.Announce:
		s.recordSequence(m.now, msg.Sequence)
	case *message.Heartbeat:
		s.recordSequence(m.now, msg.Sequence)
	case *message.Credits:
		s.recordSequence(m.now, msg.Sequence)
		m.recordGrants(s, msg.Grants)
	case *message.Withdraw:
		s.recordSequence(m.now, msg.Sequence)
		for _, id := range msg.Credits {
			delete(s.credits, id)
		}
	case *message.Result:
		s.recordSequence(m.now, msg.Sequence)
		m.recordGrants(s, msg.Grants)
		if msg.Result.Verdict == verdict.NotRun {
			if m.accepted[msg.ID] != nil {
				t.Fatalf("accepted start %v answered not-run", msg.ID)
			}
			if !m.isRefused(msg.ID) {
				m.refused[msg.ID] = m.now
			}
			m.refusedNow = append(m.refusedNow, msg.ID)
		}
	case *message.Journal:
		m.journal = append(m.journal, msg)
	case *message.InquiryReply:
		m.replies = append(m.replies, msg)
	}
}

func (s *modelSession) recordSequence(now time.Time, sequence message.Sequence) {
	s.sentTimes[sequence] = now
	s.newestSequence = sequence
}

func (m *stateMachine) recordGrants(s *modelSession, grants []message.Grant) {
	for _, g := range grants {
		s.credits[g.Credit] = g.Endpoint
		m.everGranted = append(m.everGranted, g.Credit)
	}
}

func (m *stateMachine) markClosed(id SessionID) {
	s := m.sessions[id]
	s.open = false
	s.credits = map[message.CreditID]string{}
}

// expectAccepted reports whether the rules demand that a start is accepted: its
// credit is live and belongs to its endpoint, its sequence number is recent, its
// epoch is not below the highest known, its endpoint accepts tasks, and its ID is
// new.
func (m *stateMachine) expectAccepted(s *modelSession, start *message.Start) bool {
	endpoint, live := s.credits[start.Credit]
	sentAt, known := s.sentTimes[start.Sequence]
	return live && endpoint == start.Endpoint &&
		known && m.now.Sub(sentAt) <= testAcceptWindow &&
		start.Epoch >= m.epochs[start.Shard] &&
		m.slots[start.Endpoint] > 0 &&
		m.accepted[start.ID] == nil && !m.isRefused(start.ID)
}

func (m *stateMachine) deliver(t *rapid.T, id SessionID, start *message.Start) {
	s := m.sessions[id]
	want := s.open && m.expectAccepted(s, start)
	known := m.accepted[start.ID] != nil
	if s.open && !known {
		delete(s.credits, start.Credit)
		s.spent = append(s.spent, start.Credit)
	}
	m.step(t, Received{id, start})
	if got := len(m.acceptedNow) == 1; got != want {
		t.Fatalf("start %+v: accepted %v, want %v", start, got, want)
	}
	if answered := len(m.refusedNow) == 1; answered != (s.open && !known && !want) {
		t.Fatalf("start %+v: answered not-run %v", start, answered)
	}
	if want {
		m.epochs[start.Shard] = start.Epoch
		m.accepted[start.ID].shard = start.Shard
	}
}

// check verifies that credits and running tasks fit the slots, and that no slot
// is idle while an owner is connected.
func (m *stateMachine) check(t *rapid.T) {
	used := map[string]int{}
	owned := false
	for _, s := range m.sessions {
		owned = owned || s.open && m.owners[ownerName(s.owner)]
		for _, endpoint := range s.credits {
			used[endpoint]++
		}
	}
	for endpoint, slots := range m.slots {
		n := used[endpoint] + m.running[endpoint]
		if used[endpoint] > 0 && n > slots {
			t.Fatalf("endpoint %s: %d credits and %d running for %d slots", endpoint, used[endpoint], m.running[endpoint], slots)
		}
		if owned && n < slots {
			t.Fatalf("endpoint %s: %d credits and %d running leave some of %d slots idle", endpoint, used[endpoint], m.running[endpoint], slots)
		}
		delete(used, endpoint)
	}
	if len(used) > 0 {
		t.Fatalf("credits at endpoints that accept no tasks: %v", used)
	}
}

// checkJournal compares a journal with what was accepted for a shard.
func (m *stateMachine) checkJournal(t *rapid.T, shard int) {
	listed := map[message.StartID]message.JournalEntry{}
	for i, part := range m.journal {
		if last := i == len(m.journal)-1; part.More == last {
			t.Fatalf("part %d of %d has More=%v", i+1, len(m.journal), part.More)
		}
		for _, e := range part.Entries {
			listed[e.ID] = e
		}
	}
	for id, start := range m.accepted {
		if start.shard != shard {
			continue
		}
		e, ok := listed[id]
		if !ok && (start.isRunning || m.now.Sub(start.ended) <= testJournalWindow) {
			t.Fatalf("start %v is missing in the journal", id)
		}
		if !ok && start.accepted.UnixMilli() >= m.journal[0].CompleteSince {
			t.Fatalf("start %v is missing although it was accepted at or after CompleteSince", id)
		}
		if ok && start.isRunning != (e.State == message.StartRunning) {
			t.Fatalf("start %v has state %v, running %v", id, e.State, start.isRunning)
		}
	}
}

func TestCoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		m.prepare(t)
		t.Repeat(m.actions())
	})
}
