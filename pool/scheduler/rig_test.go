package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const step = time.Millisecond

// rig plays load on one core with perfect agents.
type rig struct {
	t      *testing.T
	core   *Core
	now    time.Duration
	agents []*testAgent
	source *rand.Rand
	jobs   map[Waiter]*testJob
	next   Waiter
	runs   int
}

type testAgent struct {
	name     string
	capacity int64
	used     int64
	// slow multiplies run times.
	slow    float64
	fails   bool
	hangs   bool
	seq     uint64
	stamp   int64
	running map[message.RunRef]*testRun
	ends    []message.RunEnd
	order   []message.RunRef
}

type testRun struct {
	cpu    int64
	began  time.Duration
	doneAt time.Duration
}

type testJob struct {
	*Job
	sent, answered time.Duration
	work           time.Duration
	answer         *message.JobAnswer
}

func newRig(t *testing.T, agents int, capacity int64) *rig {
	r := &rig{
		t: t, source: rand.New(rand.NewPCG(1, 2)), jobs: map[Waiter]*testJob{}, now: time.Second,
		core: New(Options{
			Silence: time.Hour, Lease: time.Second, StopTime: 50 * time.Millisecond, Retransmit: time.Hour, MaxWaiting: 5000,
		}),
	}
	for i := range agents {
		a := &testAgent{name: fmt.Sprint("agent-", i), capacity: capacity, slow: 1, running: map[message.RunRef]*testRun{}}
		r.agents = append(r.agents, a)
		r.play(AgentConnected{Session: Session(i + 1), Agent: a.name, Incarnation: 1})
		r.report(i, &message.RunReport{Endpoint: &message.PoolEndpoint{
			Name: a.name, Service: "s", Capacity: message.Resources{MilliCPU: capacity}, Ready: true,
		}})
	}
	return r
}

func (r *rig) play(events ...Event) {
	for _, action := range r.core.Step(r.now, events...) {
		switch action := action.(type) {
		case SendOrders:
			r.takeOrders(int(action.Session)-1, action.Orders)
		case Answer:
			j := r.jobs[action.Waiter]
			if j.answer != nil {
				r.t.Errorf("%s was answered twice", j.ID)
			}
			answer := action.Answer
			j.answer, j.answered = &answer, r.now
		}
	}
}

func (r *rig) takeOrders(i int, orders *message.RunOrders) {
	a := r.agents[i]
	a.seq = orders.Seq
	for _, ref := range orders.Stops {
		if a.running[ref] != nil {
			a.end(ref, message.RunStopped, r.now)
		}
	}
	for _, s := range orders.Starts {
		for _, t := range s.Runs {
			r.runs++
			ref := message.RunRef{Job: s.Job, Task: t.Task, Number: t.Number}
			if a.used+s.Need.MilliCPU > a.capacity {
				r.t.Errorf("%s was ordered beyond its room", a.name)
			}
			a.used += s.Need.MilliCPU
			took := time.Duration(float64(r.workOf(s.Job)) * a.slow)
			if a.hangs {
				took = time.Hour
			}
			a.running[ref] = &testRun{cpu: s.Need.MilliCPU, began: r.now, doneAt: r.now + took}
			a.order = append(a.order, ref)
		}
	}
}

func (r *rig) workOf(id string) time.Duration {
	for _, j := range r.jobs {
		if j.ID == id {
			return j.work
		}
	}
	return time.Second
}

func (a *testAgent) end(ref message.RunRef, outcome message.RunOutcome, now time.Duration) {
	run := a.running[ref]
	delete(a.running, ref)
	a.used -= run.cpu
	a.ends = append(a.ends, message.RunEnd{Run: ref, Outcome: outcome, Millis: (now - run.began).Milliseconds()})
}

func (r *rig) report(i int, report *message.RunReport) {
	a := r.agents[i]
	a.stamp++
	report.Stamp, report.Orders = a.stamp, a.seq
	report.Free = message.Resources{MilliCPU: a.capacity - a.used}
	report.Ends, a.ends = a.ends, nil
	r.play(AgentReported{Session: Session(i + 1), Report: report})
}

// advance plays one millisecond.
func (r *rig) advance() {
	r.now += step
	for i, a := range r.agents {
		kept := a.order[:0]
		for _, ref := range a.order {
			run := a.running[ref]
			switch {
			case run == nil:
			case r.now >= run.doneAt && a.fails:
				a.end(ref, message.RunFailed, r.now)
			case r.now >= run.doneAt:
				a.end(ref, message.RunDone, r.now)
			default:
				kept = append(kept, ref)
			}
		}
		a.order = kept
		if len(a.ends) > 0 {
			r.report(i, &message.RunReport{})
		}
	}
	if r.now%(10*step) == 0 {
		r.play(Tick{})
	}
}

// kind is a kind of job of the users' trials desk.
type kind struct {
	queue  string
	urgent bool
	tasks  int
	work   time.Duration
}

var (
	check = kind{queue: "check", urgent: true, tasks: 8, work: 60 * time.Millisecond}
	press = kind{queue: "press", tasks: 4, work: 900 * time.Millisecond}
	label = kind{queue: "label", tasks: 2, work: 200 * time.Millisecond}
)

// submit sends a job whose work varies around its kind's, with an estimate that
// is off.
func (r *rig) submit(k kind) *testJob {
	r.next++
	work := time.Duration(float64(k.work) * (0.6 + 0.8*r.source.Float64()))
	j := &testJob{sent: r.now, work: work, Job: &Job{
		ID: fmt.Sprint(k.queue, "-", r.next), Queue: k.queue, Service: "s", Urgent: k.urgent, Tasks: k.tasks,
		Need:     message.Resources{MilliCPU: 6200},
		Estimate: time.Duration(float64(work) * (0.8 + 0.4*r.source.Float64())),
		Stretch:  1.6, Slack: 60 * time.Millisecond, Attempts: 3, Deadline: r.now + 8*time.Second, FirstRun: 1,
	}}
	r.jobs[r.next] = j
	r.play(JobSubmitted{Waiter: r.next, Job: j.Job})
	return j
}

// load plays a time with given rates a second.
func (r *rig) load(length time.Duration, rates map[kind]float64) {
	for end := r.now + length; r.now < end; {
		for _, k := range []kind{check, press, label} {
			if r.source.Float64() < rates[k]*step.Seconds() {
				r.submit(k)
			}
		}
		r.advance()
	}
}

// drain lets everything end.
func (r *rig) drain() {
	for end := r.now + 10*time.Second; r.now < end; {
		r.advance()
	}
}

// inTime is the share of a queue's jobs that met their objective, refused the
// share that was refused.
func (r *rig) inTime(queue string) (inTime, refused float64) {
	n := 0.0
	for _, j := range r.jobs {
		if j.Queue != queue {
			continue
		}
		n++
		switch {
		case j.answer == nil:
			r.t.Errorf("%s was never answered", j.ID)
		case j.answer.Verdict == verdict.NotRun:
			refused++
		case !j.answer.Failed && j.answered-j.sent <= time.Duration(1.6*float64(j.work))+60*time.Millisecond:
			inTime++
		}
	}
	return inTime / n, refused / n
}
