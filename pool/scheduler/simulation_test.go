package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	simulationTick = time.Millisecond
	// confinedHold is how long agents report themselves as confined after the last
	// confined run, see pool/executor.
	confinedHold = 400 * time.Millisecond
)

// simulation runs load on one core, with agents that report all ends at once
// and lose no message.
type simulation struct {
	t          *testing.T
	core       *Core
	now        time.Duration
	agents     []*testAgent
	random     *rand.Rand
	jobs       map[Waiter]*testJob
	lastWaiter Waiter
	runs       int
	// hangs holds the jobs whose tasks make no progress on any endpoint.
	hangs map[string]bool
	// pauses counts the pauses of agents.
	pauses int
	// noted, if set, receives the notes.
	noted func(Note)
	// caller is Job.Caller of submitted jobs.
	caller string
	// shared holds the notices of crashes to other entries.
	shared []*message.CrashNotice
	// forward, if set, gets the actions that concern other entries.
	forward func(Action)
	// runTimes holds the run times of jobs of other entries.
	runTimes map[string]time.Duration
}

type testAgent struct {
	name     string
	capacity int64
	used     int64
	// slowFactor multiplies run times.
	slowFactor float64
	failsRuns  bool
	stallsRuns bool
	ordersSeq  uint64
	// reportTimestamp stands for the agent's clock: it rises by 1 with each
	// report.
	reportTimestamp int64
	// confinedAt is the last time at which a confined run was there.
	confinedAt time.Duration
	// confinedElsewhere is what the confined runs of other entries use.
	confinedElsewhere int64
	running           map[message.RunRef]*testRun
	ends              []message.RunEnd
	runOrder          []message.RunRef
}

type testRun struct {
	cpu      int64
	confined bool
	began    time.Duration
	doneAt   time.Duration
}

type testJob struct {
	*Job
	sent, answered time.Duration
	runTime        time.Duration
	answer         *message.JobAnswer
}

func newSimulation(t *testing.T, agents int, capacity int64) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(1, 2)), jobs: map[Waiter]*testJob{}, hangs: map[string]bool{}, now: time.Second, runTimes: map[string]time.Duration{},
		core: New(Options{
			HeartbeatTimeout: time.Hour, Lease: time.Second, StopTime: 50 * time.Millisecond, ResubmitDelay: time.Hour, MaxWaiting: 5000,
		}),
	}
	for range agents {
		sim.addAgent(capacity)
	}
	return sim
}

func (sim *simulation) addAgent(capacity int64) {
	i := len(sim.agents)
	a := &testAgent{name: fmt.Sprint("agent-", i), capacity: capacity, slowFactor: 1, running: map[message.RunRef]*testRun{}}
	sim.agents = append(sim.agents, a)
	sim.apply(AgentConnected{Session: Session(i + 1), Agent: a.name, Incarnation: 1})
	sim.report(i, &message.RunReport{Endpoint: &message.PoolEndpoint{
		Name: a.name, Service: "s", Capacity: message.Resources{MilliCPU: capacity}, Ready: true,
	}})
}

func (sim *simulation) apply(events ...Event) {
	for _, action := range sim.core.Step(sim.now, events...) {
		switch action := action.(type) {
		case SendOrders:
			sim.handleOrders(int(action.Session)-1, action.Orders)
		case Answer:
			j := sim.jobs[action.Waiter]
			if j.answer != nil {
				sim.t.Errorf("%s was answered twice", j.ID)
			}
			answer := action.Answer
			j.answer, j.answered = &answer, sim.now
		case ShareCrashes:
			sim.shared = append(sim.shared, action.Notice)
		case Note:
			if sim.noted != nil {
				sim.noted(action)
			}
			if action.What == "agent paused" {
				sim.pauses++
			}
		case SendForwardOrders, SendForwardReport, ForwardNote:
			sim.forward(action)
		}
	}
}

func (sim *simulation) handleOrders(i int, orders *message.RunOrders) {
	a := sim.agents[i]
	a.ordersSeq = orders.Seq
	for _, ref := range orders.Stops {
		if a.running[ref] != nil {
			a.end(ref, message.RunStopped, sim.now)
		}
	}
	for _, s := range orders.Starts {
		for _, t := range s.Runs {
			sim.runs++
			ref := message.RunRef{Job: s.Job, Task: t.Task, Number: t.Number}
			if a.used+s.Need.MilliCPU > a.capacity {
				sim.t.Errorf("%s was ordered more than its free capacity", a.name)
			}
			a.used += s.Need.MilliCPU
			took := time.Duration(float64(sim.runTimeOf(s.Job)) * a.slowFactor)
			if a.stallsRuns || sim.hangs[s.Job] {
				took = time.Hour
			}
			a.running[ref] = &testRun{cpu: s.Need.MilliCPU, confined: s.Confined, began: sim.now, doneAt: sim.now + took}
			a.runOrder = append(a.runOrder, ref)
		}
	}
}

func (sim *simulation) runTimeOf(id string) time.Duration {
	for _, j := range sim.jobs {
		if j.ID == id {
			return j.runTime
		}
	}
	if took := sim.runTimes[id]; took > 0 {
		return took
	}
	return time.Second
}

func (a *testAgent) end(ref message.RunRef, outcome message.RunOutcome, now time.Duration) {
	run := a.running[ref]
	delete(a.running, ref)
	a.used -= run.cpu
	a.ends = append(a.ends, message.RunEnd{Run: ref, Outcome: outcome, Millis: (now - run.began).Milliseconds()})
}

func (sim *simulation) report(i int, report *message.RunReport) {
	a := sim.agents[i]
	a.reportTimestamp++
	report.Timestamp, report.OrdersSeq = a.reportTimestamp, a.ordersSeq
	report.Free = message.Resources{MilliCPU: a.capacity - a.used}
	report.ConfinedMilliCPU = a.confinedElsewhere
	for _, run := range a.running {
		if run.confined {
			report.ConfinedMilliCPU += run.cpu
		}
	}
	if report.ConfinedMilliCPU > 0 {
		a.confinedAt = sim.now
	}
	report.Confined = a.confinedAt > 0 && sim.now-a.confinedAt <= confinedHold
	report.Ends, a.ends = a.ends, nil
	sim.apply(AgentReported{Session: Session(i + 1), Report: report})
}

// advance simulates one millisecond.
func (sim *simulation) advance() {
	sim.now += simulationTick
	for i, a := range sim.agents {
		kept := a.runOrder[:0]
		for _, ref := range a.runOrder {
			run := a.running[ref]
			switch {
			case run == nil:
			case sim.now >= run.doneAt && a.failsRuns:
				a.end(ref, message.RunFailed, sim.now)
			case sim.now >= run.doneAt:
				a.end(ref, message.RunDone, sim.now)
			default:
				kept = append(kept, ref)
			}
		}
		a.runOrder = kept
		if len(a.ends) > 0 {
			sim.report(i, &message.RunReport{})
		}
	}
	if sim.now%(10*simulationTick) == 0 {
		sim.apply(Tick{})
	}
}

// jobKind is a kind of job with its own queue.
type jobKind struct {
	queue   string
	urgent  bool
	tasks   int
	runTime time.Duration
	// need is the need of a task in thousandths of a core, 6200 if it is 0.
	need int64
}

var (
	check = jobKind{queue: "check", urgent: true, tasks: 8, runTime: 60 * time.Millisecond}
	press = jobKind{queue: "press", tasks: 4, runTime: 900 * time.Millisecond}
	label = jobKind{queue: "label", tasks: 2, runTime: 200 * time.Millisecond}
)

// submit submits a job whose run time varies around that of its kind by up to
// 40 %, with an estimate that is off by up to 20 %.
func (sim *simulation) submit(k jobKind) *testJob {
	runTime := time.Duration(float64(k.runTime) * (0.6 + 0.8*sim.random.Float64()))
	return sim.submitExactly(k, runTime, time.Duration(float64(runTime)*(0.8+0.4*sim.random.Float64())))
}

// submitExactly submits a job with the given run time and estimate.
func (sim *simulation) submitExactly(k jobKind, runTime, estimate time.Duration) *testJob {
	sim.lastWaiter++
	j := &testJob{sent: sim.now, runTime: runTime, Job: &Job{
		ID: fmt.Sprint(k.queue, "-", sim.lastWaiter), Queue: k.queue, Caller: sim.caller, Service: "s", Urgent: k.urgent, Tasks: k.tasks,
		Need:     message.Resources{MilliCPU: cmp.Or(k.need, 6200)},
		Estimate: estimate,
		Stretch:  1.6, Slack: 60 * time.Millisecond, Attempts: 3, Deadline: sim.now + 8*time.Second, FirstRun: 1,
	}}
	sim.jobs[sim.lastWaiter] = j
	sim.apply(JobSubmitted{Waiter: sim.lastWaiter, Job: j.Job})
	return j
}

// load submits jobs at the given rates, in jobs a second, for the given time.
func (sim *simulation) load(length time.Duration, rates map[jobKind]float64) {
	sim.loadOf([]jobKind{check, press, label}, length, rates)
}

// loadOf is load with other kinds of job.
func (sim *simulation) loadOf(kinds []jobKind, length time.Duration, rates map[jobKind]float64) {
	for end := sim.now + length; sim.now < end; {
		for _, k := range kinds {
			if sim.random.Float64() < rates[k]*simulationTick.Seconds() {
				sim.submit(k)
			}
		}
		sim.advance()
	}
}

// drain runs the simulation for 10 s, so that all jobs end.
func (sim *simulation) drain() {
	for end := sim.now + 10*time.Second; sim.now < end; {
		sim.advance()
	}
}

// inTime returns the share of a queue's jobs that met their objective and the
// share that was refused.
func (sim *simulation) inTime(queue string) (inTime, refused float64) {
	n := 0.0
	for _, j := range sim.jobs {
		if j.Queue != queue {
			continue
		}
		n++
		switch {
		case j.answer == nil:
			sim.t.Errorf("%s was never answered", j.ID)
		case j.answer.Verdict == verdict.NotRun:
			refused++
		case !j.answer.Failed && j.answered-j.sent <= time.Duration(1.6*float64(j.runTime))+60*time.Millisecond:
			inTime++
		}
	}
	return inTime / n, refused / n
}
