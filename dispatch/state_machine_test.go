package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// stateMachine drives a core, the owners that follow it, and model agents, and
// checks every start and answer against a model of the allowed runs.
type stateMachine struct {
	t        *rapid.T
	core     *Core
	owner    uint64
	epoch    message.Epoch
	owned    bool
	now      time.Time
	agents   []*modelAgent
	sessions map[Session]*modelAgent
	session  Session
	request  uint64
	jobs     []*modelJob
	// waiting holds the requests that the core has not answered, resubmissions
	// those that the relay submits again to the next owner.
	waiting       map[Waiter]modelRequest
	resubmissions []modelRequest
	runs          runCount
	// late holds starts of terminated owners that agents may accept until
	// lateUntil.
	late      []lateStart
	lateUntil time.Time
	// answeredNotRun holds the tasks for which an answer reported NotRun, with the
	// epoch of the owner.
	answeredNotRun map[taskID]message.Epoch
}

// lateStart is a start that was in transit when its owner terminated.
type lateStart struct {
	agent *modelAgent
	start *message.Start
}

// modelRequest is a caller's request at a relay.
type modelRequest struct {
	*modelJob
	received time.Time
}

type modelJob struct {
	submit    *message.Submit
	submitted time.Time
}

func (j *modelJob) id(index int) taskID {
	return taskID{job: j.submit.Job, fingerprint: j.submit.Fingerprint, index: index}
}

func newStateMachine(t *rapid.T) *stateMachine {
	m := &stateMachine{
		t:              t,
		now:            epoch,
		sessions:       make(map[Session]*modelAgent),
		waiting:        make(map[Waiter]modelRequest),
		answeredNotRun: make(map[taskID]message.Epoch),
	}
	m.runs = runCount{byTask: make(map[taskID]int), check: m.checkRuns, onStale: func(e message.Epoch) {
		t.Fatalf("a start of epoch %d was accepted after one of epoch %d", e, m.runs.newest)
	}}
	for i := range 3 {
		a := &modelAgent{name: string(rune('a' + i)), incarnation: 1, runs: &m.runs, completeSince: epoch.Add(-time.Hour)}
		m.agents = append(m.agents, a)
	}
	m.newOwner()
	m.acquire(true)
	return m
}

// MachinePolicies are the sets of policies with which the state machine runs. The
// real plug-ins import this package, so an external test adds them.
var MachinePolicies = []func(*Options){func(*Options) {}}

// acceptWindow is how long agents accept starts that carry a given sequence
// number of theirs.
const acceptWindow = 6 * time.Second

// collectLateStarts keeps the starts that are in transit to agents when their
// owner terminates.
func (m *stateMachine) collectLateStarts() {
	for _, a := range m.agents {
		for _, in := range a.in {
			if s, ok := in.(*message.Start); ok {
				m.late = append(m.late, lateStart{agent: a, start: s})
			}
		}
	}
}

// newOwner replaces the core, as after the termination of its owner.
func (m *stateMachine) newOwner() {
	opts := testOptions()
	m.owner++
	opts.Incarnation = m.owner
	opts.AnswerBytes = rapid.SampledFrom([]int64{500, 1 << 20}).Draw(m.t, "answer bytes")
	MachinePolicies[rapid.IntRange(0, len(MachinePolicies)-1).Draw(m.t, "policies")](&opts)
	opts.BatchDelay = rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond}).Draw(m.t, "batch delay")
	m.core, m.owned = New(opts), false
	limits := config.Limits{CallerConcurrency: rapid.IntRange(0, 3).Draw(m.t, "caller concurrency")}
	teams := []config.Team{{Name: "kiln", Concurrency: rapid.IntRange(0, 2).Draw(m.t, "team concurrency")}}
	m.step(Configured{Service: config.Service{Limits: limits, Teams: teams, Owners: rapid.IntRange(1, 2).Draw(m.t, "owners")}})
	m.step(LeaseChanged{Until: m.now.Add(time.Hour)})
	for request := range m.request + 1 {
		if r, ok := m.waiting[Waiter{Request: request}]; ok {
			m.resubmissions = append(m.resubmissions, r)
		}
	}
	clear(m.waiting)
	for _, a := range m.agents {
		a.endSession()
		m.connect(a)
	}
}

func (m *stateMachine) acquire(first bool) {
	m.epoch++
	m.owned = true
	m.lateUntil = m.now.Add(acceptWindow)
	roster := []string{"a", "b", "c"}
	m.step(ShardAcquired{Shard: testShard, Epoch: m.epoch, First: first, StartsFrom: m.lateUntil, Roster: roster})
	resubmissions := m.resubmissions
	m.resubmissions = nil
	for _, r := range resubmissions {
		m.relay(r)
	}
}

func (m *stateMachine) connect(a *modelAgent) {
	m.session++
	a.beginSession(m.session)
	m.sessions[m.session] = a
	m.step(AgentConnected{Session: m.session, Agent: a.name, Incarnation: a.incarnation, Registered: true})
}

func (m *stateMachine) submit(j *modelJob) { m.relay(modelRequest{modelJob: j, received: m.now}) }

func (m *stateMachine) relay(r modelRequest) {
	m.request++
	w := Waiter{Request: m.request}
	m.waiting[w] = r
	s := *r.submit
	s.ReceivedAt = r.received.UnixMilli()
	m.step(JobSubmitted{Waiter: w, Submit: &s})
}

func (m *stateMachine) step(ev Event) {
	for _, action := range m.core.Step(m.now, ev) {
		switch action := action.(type) {
		case Send:
			if a := m.sessions[action.Session]; a.session == action.Session {
				a.in = append(a.in, action.Message)
			}
		case Reply:
			m.checkAnswer(action.Waiter, action.Answer)
		case Disconnect:
			if a := m.sessions[action.Session]; a.session == action.Session {
				a.endSession()
			}
		}
	}
}

// checkRuns checks that a task starts at most once, or for an idempotent request
// at most once more per allowed retry, and never after an answer NotRun.
func (m *stateMachine) checkRuns(id taskID) {
	allowed := 1
	for _, j := range m.jobs {
		if j.id(id.index) == id && j.submit.Single && j.submit.Tasks[0].Idempotent {
			allowed += maxRetries
		}
	}
	if n := m.runs.byTask[id]; n > allowed {
		m.t.Fatalf("task %s was started %d times", bodyOf(id), n)
	}
	if m.answeredNotRun[id] == m.epoch {
		m.t.Fatalf("task %s was started after the answer NotRun", bodyOf(id))
	}
}

// checkAnswer checks that an answer is for a waiting request, has all results, each
// with the body of its own task, and reports NotRun only for tasks that have not
// run.
func (m *stateMachine) checkAnswer(w Waiter, a *message.JobAnswer) {
	j, waiting := m.waiting[w]
	if !waiting {
		m.t.Fatalf("request %d was answered but was not waiting", w.Request)
	}
	delete(m.waiting, w)
	if a.Failed && len(a.Tasks) == 0 {
		m.checkRefusal(j, a)
		return
	}
	if len(a.Tasks) != len(j.submit.Tasks) {
		m.t.Fatalf("%d results for %d tasks", len(a.Tasks), len(j.submit.Tasks))
	}
	allComplete := true
	for i, r := range a.Tasks {
		id := j.id(i)
		allComplete = allComplete && r.Complete()
		if r.Complete() && (string(r.Body) != bodyOf(id) || m.runs.byTask[id] == 0) {
			m.t.Fatalf("task %s got the answer %q", bodyOf(id), r.Body)
		}
		if r.Verdict == verdict.NotRun {
			m.checkNotRun(id)
			m.answeredNotRun[id] = m.epoch
		}
	}
	if allComplete == a.Failed {
		m.t.Fatalf("answer has Failed %v, but all results complete: %v", a.Failed, allComplete)
	}
}

func (m *stateMachine) checkRefusal(j modelRequest, a *message.JobAnswer) {
	if a.Verdict == verdict.NotRun {
		for i := range j.submit.Tasks {
			m.checkNotRun(j.id(i))
		}
	}
	if a.Reason == verdict.ReasonNotOwner {
		m.resubmissions = append(m.resubmissions, j)
	}
}

func (m *stateMachine) checkNotRun(id taskID) {
	if m.runs.byTask[id] > 0 {
		m.t.Fatalf("task %s has run, but its verdict is NotRun", bodyOf(id))
	}
}

// deliverAll delivers all messages until none is left.
func (m *stateMachine) deliverAll() {
	for delivered := true; delivered; {
		delivered = false
		for _, a := range m.agents {
			for ; len(a.in) > 0; delivered = true {
				a.receive()
			}
			for ; len(a.out) > 0; delivered = true {
				m.deliver(a)
			}
		}
	}
}

// drain ends all jobs and checks that the core retains no state.
func (m *stateMachine) drain() {
	if !m.owned {
		m.acquire(false)
	}
	m.step(LeaseChanged{Until: m.now.Add(time.Hour)})
	for range 300 {
		for _, a := range m.agents {
			if a.session == 0 {
				m.connect(a)
			}
			a.grant()
			for _, e := range a.running() {
				a.finish(e, ran)
			}
		}
		m.deliverAll()
		m.advance(500 * time.Millisecond)
	}
	c := m.core
	if len(m.waiting)+len(m.resubmissions) > 0 {
		m.t.Fatalf("%d requests were never answered", len(m.waiting)+len(m.resubmissions))
	}
	if len(c.jobs)+len(c.starts)+len(c.usage.byKey)+len(c.needs)+len(c.records.byKey)+len(c.waiters)+c.queue.Len()+c.held != 0 ||
		c.queuedBytes != 0 || c.recoveredBytes != 0 || c.records.bytes != 0 {
		m.t.Fatalf("state retained: %+v, held %d, recovered bytes %d, needs %d", c.Counters(), c.held, c.recoveredBytes, len(c.needs))
	}
}

func TestCoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		t.Repeat(m.actions())
		m.drain()
	})
}
