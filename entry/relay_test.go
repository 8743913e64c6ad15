package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport"
	"marjoramlug.example/marjoramlug/verdict"
)

// fakeReplica is a replica whose owner, service and members a test sets.
type fakeReplica struct {
	logReplica
	mu    sync.Mutex
	owner string
	// onRegister is called by RegisterAgent, which then returns false.
	onRegister func()
	service    config.Service
	deleted    bool
	members    []ownership.Member
	onLeave    func()
}

func (f *fakeReplica) Owner(string, int) (ownership.Assignment, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ownership.Assignment{Member: ownership.Member{ID: ownership.MemberID(f.owner), Address: f.owner}}, f.owner != ""
}

func (f *fakeReplica) setOwner(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owner = address
}

func (f *fakeReplica) Self() ownership.Member {
	return ownership.Member{ID: "self", Region: "north"}
}

func (f *fakeReplica) Service(string) (config.Service, config.Revision, bool) {
	return f.service, 1, !f.deleted
}

func (f *fakeReplica) Services() []config.Service { return []config.Service{f.service} }

func (f *fakeReplica) Leave(context.Context) error {
	f.onLeave()
	return nil
}

// fakeOwner is an entry that records the submits it receives and answers them
// through onSubmit.
type fakeOwner struct {
	mu       sync.Mutex
	submits  []*message.Submit
	abandons int
	conns    []transport.Conn
	onSubmit func(c transport.Conn, m *message.Submit)
}

func (o *fakeOwner) Connected(c transport.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conns = append(o.conns, c)
}

func (o *fakeOwner) Disconnected(transport.Conn, error) {}

func (o *fakeOwner) Received(c transport.Conn, m message.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch m := m.(type) {
	case *message.Submit:
		o.submits = append(o.submits, m)
		if o.onSubmit != nil {
			o.onSubmit(c, m)
		}
	case *message.Abandon:
		o.abandons++
	}
}

func (o *fakeOwner) receivedSubmits() []*message.Submit {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.submits)
}

const (
	addressA = "owner-a:1"
	addressB = "owner-b:1"
)

// harness is an entry that relays to two fake owners.
type harness struct {
	entry      *Entry
	network    *transport.Memory
	logReplica *fakeReplica
	owners     map[string]*fakeOwner
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	network := transport.NewMemory()
	h := &harness{network: network, logReplica: &fakeReplica{service: config.Service{Name: "trials"}}, owners: map[string]*fakeOwner{addressA: {}, addressB: {}}}
	for address, owner := range h.owners {
		l, err := network.Listen(address, message.Hello{Role: message.RoleEntry, Name: address}, owner)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
	}
	cfg := settings.Entry{Identity: settings.Identity{Name: "self"}, Listen: "self:1", HTTP: "127.0.0.1:0"}
	cfg.ApplyDefaults()
	e, err := New(cfg, Options{Network: network, Log: memory.New(memory.Options{})})
	if err != nil {
		t.Fatal(err)
	}
	e.replica = h.logReplica
	h.entry = e
	t.Cleanup(e.Kill)
	return h
}

// A connection can end after it was opened and before it is recorded in peers,
// so that its end is reported too early to remove it. The first send on such a
// connection must fail and remove it, so that the next one reconnects.
func TestSendReconnectsAfterClosedConnection(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		dead, err := h.entry.peers.conn(t.Context(), addressA)
		is.NoErr(err)
		dead.Close()
		synctest.Wait()
		h.entry.peers.conns[addressA] = dead
		request := &message.Abandon{Service: "trials"}
		is.True(h.entry.peers.Send("", addressA, request) != nil)
		is.NoErr(h.entry.peers.Send("", addressA, request))
		synctest.Wait()
		owner := h.owners[addressA]
		owner.mu.Lock()
		defer owner.mu.Unlock()
		is.Equal(owner.abandons, 1)
	})
}

func answer(c transport.Conn, request uint64, a message.JobAnswer) {
	_ = c.Send(&message.Answer{Request: request, Answer: a})
}

func completeWith(body string) message.JobAnswer {
	return message.JobAnswer{Verdict: verdict.Ran, Tasks: []message.TaskResult{{Verdict: verdict.Ran, Status: 200, Body: []byte(body)}}}
}

func newJob(id string) *message.Submit {
	return &message.Submit{Service: "trials", Job: message.JobKey{Job: id}, Tasks: []message.Task{{Path: "/" + id}}}
}

// inBubble runs a test in a synctest bubble, under a virtual clock.
func inBubble(t *testing.T, f func(t *testing.T, is *is.I, h *harness)) {
	synctest.Test(t, func(t *testing.T) { f(t, is.New(t), newHarness(t)) })
}

func TestJobIsResentToTheNextOwner(t *testing.T) {
	cases := map[string]func(h *harness) func(c transport.Conn, m *message.Submit){
		"the receiving entry is not the owner": func(h *harness) func(transport.Conn, *message.Submit) {
			return func(c transport.Conn, m *message.Submit) {
				h.logReplica.setOwner(addressB)
				answer(c, m.Request, message.Refusal(verdict.NotRun, verdict.ReasonNotOwner, ""))
			}
		},
		"the owner is lost before its answer": func(h *harness) func(transport.Conn, *message.Submit) {
			return func(c transport.Conn, _ *message.Submit) {
				h.logReplica.setOwner(addressB)
				c.Close()
			}
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, is *is.I, h *harness) {
				h.logReplica.setOwner(addressA)
				h.owners[addressA].onSubmit = fault(h)
				h.owners[addressB].onSubmit = func(c transport.Conn, m *message.Submit) {
					answer(c, m.Request, completeWith("done"))
				}
				got := h.entry.Submit(t.Context(), newJob("j"))
				is.True(!got.Failed)
				is.Equal(string(got.Tasks[0].Body), "done")
				first, second := h.owners[addressA].receivedSubmits()[0], h.owners[addressB].receivedSubmits()[0]
				is.Equal(first.Job, second.Job)
				is.True(first.Request != second.Request)
			})
		})
	}
}

func TestReorderedAnswersReachTheirCallers(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		h.logReplica.setOwner(addressA)
		const callers = 5
		var pendingSubmits []*message.Submit
		h.owners[addressA].onSubmit = func(c transport.Conn, m *message.Submit) {
			if pendingSubmits = append(pendingSubmits, m); len(pendingSubmits) < callers {
				return
			}
			for _, submit := range slices.Backward(pendingSubmits) {
				answer(c, submit.Request, completeWith(submit.Job.Job))
				answer(c, submit.Request, completeWith("a second answer to "+submit.Job.Job))
			}
		}
		var wg sync.WaitGroup
		for n := range callers {
			id := string(rune('p' + n))
			wg.Go(func() {
				got := h.entry.Submit(t.Context(), newJob(id))
				is.Equal(string(got.Tasks[0].Body), id)
			})
		}
		wg.Wait()
		synctest.Wait()
		is.Equal(h.entry.metrics.Counters()["relay.answer.unmatched"], int64(callers)) // the duplicate answers
	})
}

func TestAnswerToAnEarlierAttemptIsDropped(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		h.logReplica.setOwner(addressA)
		var refused uint64
		h.owners[addressA].onSubmit = func(c transport.Conn, m *message.Submit) {
			if refused == 0 {
				refused = m.Request
				answer(c, m.Request, message.Refusal(verdict.NotRun, verdict.ReasonNotOwner, ""))
				return
			}
			answer(c, refused, completeWith("late"))
			answer(c, m.Request, completeWith("current"))
		}
		got := h.entry.Submit(t.Context(), newJob("j"))
		is.Equal(string(got.Tasks[0].Body), "current")
	})
}

func TestVerdictAfterCallerTimeout(t *testing.T) {
	cases := []struct {
		name, owner string
		generatedID bool
		want        verdict.Verdict
		abandons    int
	}{
		{"no owner is known", "", true, verdict.NotRun, 0},
		{"no owner is known, a job that may be a resubmission", "", false, verdict.MayHaveRun, 0},
		{"the owner is not reachable", "owner-c:1", true, verdict.NotRun, 0},
		{"the owner does not answer", addressA, true, verdict.MayHaveRun, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, is *is.I, h *harness) {
				h.logReplica.setOwner(c.owner)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				job := newJob("j")
				job.GeneratedID = c.generatedID
				got := h.entry.Submit(ctx, job)
				synctest.Wait()
				is.True(got.Failed)
				is.Equal(got.Verdict, c.want)
				is.Equal(h.owners[addressA].abandons, c.abandons)
			})
		})
	}
}

func TestClassifyTakesTheFirstRuleThatMatches(t *testing.T) {
	rules := []config.Rule{
		{Name: "label", Method: "POST", PathPrefix: "/labels"},
		{Name: "urgent", PathPrefix: "/moisture", Urgent: true, Idempotent: true, Timeout: time.Second},
		{Name: "other"},
	}
	cases := []struct{ method, path, want string }{
		{"POST", "/labels/1", "label"},
		{"PUT", "/labels/1", "other"},
		{"GET", "/moisture?x", "urgent"},
	}
	for _, c := range cases {
		rule, ok := matchRule(rules, &message.Task{Method: c.method, Path: c.path})
		if !ok || rule.Name != c.want {
			t.Errorf("%s %s: rule %q, want %q", c.method, c.path, rule.Name, c.want)
		}
	}
	if _, ok := matchRule(rules[:1], &message.Task{Method: "GET", Path: "/"}); ok {
		t.Error("a task that no rule matches got a rule")
	}
}

// A job whose service is deleted has no owner any more. It must fail and not
// wait until its deadline.
func TestJobFailsWhenItsServiceIsDeleted(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		h.logReplica.setOwner(addressA)
		h.owners[addressA].onSubmit = func(c transport.Conn, m *message.Submit) {
			h.logReplica.deleted = true
			answer(c, m.Request, message.Refusal(verdict.MayHaveRun, verdict.ReasonNotOwner, ""))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		job := newJob("j")
		job.GeneratedID = true
		got := h.entry.Submit(ctx, job)
		is.Equal(got.Reason, verdict.ReasonUnknownService)
		is.Equal(got.Verdict, verdict.MayHaveRun)
	})
}

func TestLastOwnerLeavesAfterItsJobs(t *testing.T) {
	const runDuration = time.Second
	self := ownership.Member{ID: "self", Region: "north"}
	for _, c := range []struct {
		name, region string
		others       []ownership.Member
		leavesAfter  time.Duration
	}{
		{"another takes over", "", []ownership.Member{self, {ID: "other"}}, 0},
		{"alone", "", []ownership.Member{self}, runDuration},
		{"alone in the service's region", "north", []ownership.Member{self, {ID: "other", Region: "south"}}, runDuration},
		{"the service lives in another region", "south", []ownership.Member{self}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, is *is.I, h *harness) {
				h.entry.httpServer = &http.Server{}
				h.logReplica.service.Region, h.logReplica.members = c.region, c.others
				h.logReplica.setOwner(addressA)
				h.owners[addressA].onSubmit = func(conn transport.Conn, m *message.Submit) {
					time.AfterFunc(runDuration, func() { answer(conn, m.Request, completeWith("a")) })
				}
				go h.entry.Submit(t.Context(), newJob("j"))
				synctest.Wait()
				begin, leftAfter := time.Now(), time.Duration(-1)
				h.logReplica.onLeave = func() { leftAfter = time.Since(begin) }
				is.NoErr(h.entry.Stop(t.Context()))
				is.Equal(leftAfter, c.leavesAfter)
				is.Equal(time.Since(begin), runDuration)
			})
		})
	}
}

// rejectingConn rejects every message except answers without tasks.
type rejectingConn struct {
	transport.Conn
	err    error
	sent   []message.JobAnswer
	closed bool
}

func (c *rejectingConn) Close() { c.closed = true }

func (c *rejectingConn) Send(m message.Message) error {
	a, ok := m.(*message.Answer)
	if !ok || len(a.Answer.Tasks) > 0 {
		return c.err
	}
	c.sent = append(c.sent, a.Answer)
	return nil
}

// A connection that rejects one answer must stay open, so that the other answers
// on it are not lost. Otherwise a second large answer aborts the transfer of the
// first one, again after every retry.
func TestConnectionSurvivesRejectedAnswer(t *testing.T) {
	for err, reason := range map[error]verdict.Reason{
		transport.ErrFull:     verdict.ReasonNotOwner, // the relaying entry sends the job again
		transport.ErrTooLarge: verdict.ReasonTooLarge,
	} {
		inBubble(t, func(t *testing.T, is *is.I, h *harness) {
			c := &rejectingConn{err: err}
			h.entry.relayConns.add(c)
			whole := completeWith("large")
			h.entry.sendAnswer(dispatch.Waiter{Relay: 1, Request: 7}, &whole)
			is.True(!c.closed)
			is.Equal(len(c.sent), 1)
			is.Equal(c.sent[0].Verdict, verdict.Ran)
			is.Equal(c.sent[0].Reason, reason)

			h.entry.peers.conns[addressA] = c
			is.Equal(h.entry.peers.Send("", addressA, &message.Submit{}), err)
			is.Equal(h.entry.peers.conns[addressA], c) // still in use
		})
	}
}
