package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const testShard = 3

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testOptions() Options {
	return Options{
		Incarnation:      7,
		Service:          "trials",
		AgentTimeout:     3 * time.Second,
		TakeoverTimeout:  5 * time.Second,
		ResubmitWindow:   time.Minute,
		ClockSkew:        time.Second,
		AnswerBytes:      1 << 20,
		UnmetNeedTimeout: 4 * time.Second,
		NewQueue:         func() Queue { return &fifo{} },
		NewPlacement:     func() Placement { return newFirstFit() },
		NewAdmission:     func() Admission { return &openAdmission{} },
	}
}

// harness passes events to a core and records its actions.
type harness struct {
	is           *is.I
	core         *Core
	now          time.Time
	request      uint64
	session      Session
	credit       message.CreditID
	sequence     message.Sequence
	sent         []Send
	replies      map[Waiter]*message.JobAnswer
	otherActions []Action
}

func newHarness(t *testing.T, opts Options) *harness {
	h := &harness{is: is.New(t), core: New(opts), now: epoch, replies: make(map[Waiter]*message.JobAnswer)}
	h.step(Configured{Service: config.Service{Name: opts.Service}})
	h.step(LeaseChanged{Until: epoch.Add(24 * time.Hour)})
	return h
}

// newOwner returns a harness whose core owns testShard from the beginning.
func newOwner(t *testing.T) *harness {
	h := newHarness(t, testOptions())
	h.step(ShardAcquired{Shard: testShard, Epoch: 1, First: true})
	return h
}

func (h *harness) step(ev Event) {
	for _, a := range h.core.Step(h.now, ev) {
		switch a := a.(type) {
		case Send:
			h.sent = append(h.sent, a)
		case Reply:
			if h.replies[a.Waiter] != nil {
				panic(fmt.Sprintf("waiter %v was answered twice", a.Waiter))
			}
			h.replies[a.Waiter] = a.Answer
		default:
			h.otherActions = append(h.otherActions, a)
		}
	}
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(Tick{})
}

// connect begins a session of an agent with one endpoint and the given slots.
func (h *harness) connect(agent string, incarnation uint64, slots int) Session {
	h.session++
	h.step(AgentConnected{Session: h.session, Agent: agent, Incarnation: incarnation, Registered: true})
	h.send(h.session, &message.Announce{Endpoints: []message.EndpointInfo{{Name: "e", Slots: slots}}})
	h.grant(h.session, slots)
	return h.session
}

func (h *harness) grant(s Session, n int) {
	grants := make([]message.Grant, n)
	for i := range grants {
		h.credit++
		grants[i] = message.Grant{Credit: h.credit, Endpoint: "e"}
	}
	h.sequence++
	h.send(s, &message.Credits{Sequence: h.sequence, Grants: grants})
}

func (h *harness) send(s Session, m message.Message) { h.step(AgentMessage{Session: s, Message: m}) }

func (h *harness) finish(s Session, st *message.Start, result message.TaskResult) {
	h.sequence++
	h.send(s, &message.Result{ID: st.ID, Sequence: h.sequence, Result: result})
}

func (h *harness) job(name string, tasks int) *message.Submit {
	s := &message.Submit{
		Service:     "trials",
		Shard:       testShard,
		Job:         message.JobKey{Team: "kiln", Caller: "desk", Job: name},
		SubmittedAt: h.now.UnixMilli(),
		Tasks:       make([]message.Task, tasks),
	}
	for i := range s.Tasks {
		s.Tasks[i] = message.Task{Method: "POST", Path: fmt.Sprintf("/%s/%d", name, i)}
	}
	s.Fingerprint = message.Fingerprint(s.Tasks)
	return s
}

func (h *harness) submit(s *message.Submit) Waiter {
	h.request++
	w := Waiter{Relay: 1, Request: h.request}
	h.step(JobSubmitted{Waiter: w, Submit: s})
	return w
}

// takeSent removes and returns the sent messages of one type.
func takeSent[M message.Message](h *harness) (taken []M) {
	var rest []Send
	for _, s := range h.sent {
		if m, ok := s.Message.(M); ok {
			taken = append(taken, m)
		} else {
			rest = append(rest, s)
		}
	}
	h.sent = rest
	return taken
}

func (h *harness) starts() []*message.Start { return takeSent[*message.Start](h) }

// assertFailed asserts that a waiter got a failed answer with this verdict and
// reason.
func (h *harness) assertFailed(w Waiter, v verdict.Verdict, reason verdict.Reason) *message.JobAnswer {
	h.is.Helper()
	a := h.replies[w]
	h.is.True(a != nil) // the waiter must be answered
	h.is.True(a.Failed)
	h.is.Equal(a.Verdict, v)
	h.is.Equal(a.Reason, reason)
	return a
}

func (h *harness) assertComplete(w Waiter) *message.JobAnswer {
	h.is.Helper()
	a := h.replies[w]
	h.is.True(a != nil) // the waiter must be answered
	h.is.True(!a.Failed)
	h.is.Equal(a.Verdict, verdict.Ran)
	return a
}

// assertIdle asserts that the core retains nothing but records.
func (h *harness) assertIdle() {
	h.is.Helper()
	c := h.core
	h.is.Equal(len(c.jobs), 0)
	h.is.Equal(len(c.waiters), 0)
	h.is.Equal(len(c.starts), 0)
	h.is.Equal(len(c.usage.byKey), 0)
	h.is.Equal(c.queue.Len(), 0)
	h.is.Equal(c.queuedBytes, int64(0))
}

var ran = message.TaskResult{Verdict: verdict.Ran, Status: 200, Body: []byte("ok")}

var notRun = message.TaskResult{Verdict: verdict.NotRun, Reason: verdict.ReasonCreditExpired}
