package scheduler

import (
	"fmt"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"

	"github.com/matryer/is"
)

// under returns a run under a crash.
func under(job string, task int, queue string, age time.Duration) message.CrashedRun {
	return message.CrashedRun{Run: message.RunRef{Job: job, Task: task, Number: 1}, Queue: queue, AgeMillis: age.Milliseconds()}
}

// endpointCrash returns the crash of the first process of an endpoint.
func endpointCrash(endpoint string, runs ...message.CrashedRun) message.EndpointCrash {
	return message.EndpointCrash{Endpoint: endpoint, Incarnation: 1, Runs: runs}
}

// crash ends all runs on an agent's endpoint, which takes no tasks from then on, and
// reports the crash.
func (sim *simulation) crash(i int) {
	a := sim.agents[i]
	crash := endpointCrash(a.name)
	for _, ref := range a.runOrder {
		if run := a.running[ref]; run != nil {
			crash.Runs = append(crash.Runs, under(ref.Job, ref.Task, sim.queueOf(ref.Job), sim.now-run.began))
			a.end(ref, message.RunLost, sim.now)
		}
	}
	sim.report(i, &message.RunReport{
		Crashes: []message.EndpointCrash{crash},
		Endpoint: &message.PoolEndpoint{
			Name: a.name, Service: "s", Capacity: message.Resources{MilliCPU: a.capacity},
		},
	})
}

func (sim *simulation) queueOf(job string) string {
	for _, j := range sim.jobs {
		if j.ID == job {
			return j.Queue
		}
	}
	return ""
}

// agentOf returns the index of the agent that runs a job's first task, or -1.
func (sim *simulation) agentOf(j *testJob) int {
	for i, a := range sim.agents {
		for ref := range a.running {
			if ref.Job == j.ID && ref.Task == 0 {
				return i
			}
		}
	}
	return -1
}

func (sim *simulation) advanceFor(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.advance()
	}
}

// oneTask is a kind of job with one task, of which a simulation tells few jobs apart.
var oneTask = jobKind{queue: "one", tasks: 1, runTime: 300 * time.Millisecond}

// TestDeadlyTaskCrashesTwoEndpointsAtMost guards against a task that crashes endpoint
// after endpoint (the users' rule BUDGET): after the second crash its job is answered as
// failed, and the older neighbours that shared its first endpoint complete.
func TestDeadlyTaskCrashesTwoEndpointsAtMost(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4, 12400)
	sim.submitExactly(oneTask, 300*time.Millisecond, 300*time.Millisecond)
	neighbours := []*testJob{}
	for range 4 {
		neighbours = append(neighbours, sim.submitExactly(oneTask, 300*time.Millisecond, 300*time.Millisecond))
	}
	sim.advanceFor(100 * time.Millisecond)
	deadly := sim.submitExactly(oneTask, 300*time.Millisecond, 300*time.Millisecond)
	crashes := 0
	for range 100 {
		if at := sim.agentOf(deadly); at >= 0 {
			sim.advanceFor(10 * time.Millisecond)
			sim.crash(at)
			crashes++
		}
		sim.advanceFor(5 * time.Millisecond)
	}
	is.Equal(crashes, 2)
	is.True(deadly.answer != nil)
	is.Equal(deadly.answer.Reason, verdict.ReasonTaskFailed)
	is.Equal(deadly.answer.Verdict, verdict.Ran)
	sim.drain()
	for _, j := range neighbours {
		is.True(j.answer != nil && !j.answer.Failed) // it only shared the endpoint
	}
	// The caller that submits the job again hears the same, and nothing is started.
	starts := sim.runs
	sim.lastWaiter++
	again := &testJob{Job: deadly.Job, sent: sim.now}
	sim.jobs[sim.lastWaiter] = again
	again.Deadline = sim.now + 8*time.Second
	sim.apply(JobSubmitted{Waiter: sim.lastWaiter, Job: again.Job})
	is.Equal(again.answer.Reason, verdict.ReasonTaskFailed)
	is.Equal(sim.runs, starts)
}

// TestCrashIsCountedOnce guards against a crash that counts twice because an agent lists
// it again in a new session and another entry shares it too.
func TestCrashIsCountedOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2, 64000)
	crash := endpointCrash("endpoint", under("a", 0, "q", 10*time.Millisecond))
	for range 3 {
		sim.core.recordCrashes([]message.EndpointCrash{crash}, true)
		sim.apply(CrashesShared{Notice: &message.CrashNotice{Crashes: []message.EndpointCrash{crash}}})
	}
	s := sim.core.suspects.Get("a")
	is.Equal(s.mostCrashes(), 1)
	is.Equal(sim.core.Counters().Crashes, int64(1))
	// A later record of the crash adds the run whose start was not answered at first.
	crash.Runs = append(crash.Runs, under("b", 3, "q", 0))
	sim.core.recordCrashes([]message.EndpointCrash{crash}, true)
	is.Equal(sim.core.suspects.Get("b").crashes[3], 1)
	is.Equal(s.mostCrashes(), 1)
}

// TestCrashesOutliveTheEntryThatCountedThem guards against a deadly job that is new
// to the entry at which its caller submits it again.
func TestCrashesOutliveTheEntryThatCountedThem(t *testing.T) {
	is := is.New(t)
	first, second := newSimulation(t, 2, 64000), newSimulation(t, 2, 64000)
	for _, endpoint := range []string{"one", "two"} {
		first.core.recordCrashes([]message.EndpointCrash{endpointCrash(endpoint,
			under("check-1", 0, "check", 10*time.Millisecond), under("old", 0, "label", 400*time.Millisecond))}, true)
		first.now += time.Second
		first.apply(Tick{})
	}
	second.apply(CrashesShared{Notice: first.core.RecentCrashes()})
	j := second.submit(check)
	is.Equal(j.ID, "check-1")
	is.True(j.answer != nil)
	is.Equal(j.answer.Reason, verdict.ReasonTaskFailed)
	is.Equal(second.runs, 0)
}

// TestJobIsNotFailedForCrashesWithoutItsRun guards against a job that is answered as
// failed after one crash (the users allow it after two): the first endpoint had crashed
// under another job while the start was on its way. Its answer must not say either that
// it has not run.
func TestJobIsNotFailedForCrashesWithoutItsRun(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4, 64000)
	sim.load(time.Second, map[jobKind]float64{check: 10})
	for i := range 5 {
		r := under("unlucky", 0, check.queue, 12*time.Millisecond)
		r.Run.Number, r.Unconfirmed = int64(i+1), i != 1
		sim.core.recordCrashes([]message.EndpointCrash{endpointCrash(fmt.Sprint("endpoint-", i), r)}, true)
		sim.now += 100 * time.Millisecond
		sim.apply(Tick{})
	}
	s := sim.core.suspects.Get("unlucky")
	is.True(s.blame > certainBlame)
	is.True(!s.givenUp)
	is.Equal(s.mostCrashes(), 5) // all count for the number of starts that it may still have
	sim.core.giveUp(s, "no start is left")
	unlucky := *sim.submitExactly(oneTask, 300*time.Millisecond, 300*time.Millisecond).Job
	unlucky.ID = s.job
	sim.lastWaiter++
	again := &testJob{Job: &unlucky, sent: sim.now}
	sim.jobs[sim.lastWaiter] = again
	sim.apply(JobSubmitted{Waiter: sim.lastWaiter, Job: again.Job})
	is.True(again.answer.Reason != verdict.ReasonTaskFailed)
	is.Equal(again.answer.Verdict, verdict.MayHaveRun)
}

// TestBudgetOutlivesTheEntryThatSpentIt guards against a task that is started three times
// more after three crashes under it (the users' rule BUDGET), because the starts that
// another entry has ordered since then are not known: the crashes are.
func TestBudgetOutlivesTheEntryThatSpentIt(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2, 64000)
	var crashes []message.EndpointCrash
	for i := range budgetCrashes + budgetStarts {
		r := under("check-1", 0, check.queue, 10*time.Millisecond)
		r.Run.Number, r.Unconfirmed = int64(i+1), true
		crash := endpointCrash(fmt.Sprint("endpoint-", i), r, under(fmt.Sprint("other-", i), 0, check.queue, 9*time.Millisecond))
		crash.AgoMillis = int64(1000 - 100*i)
		crashes = append(crashes, crash)
	}
	sim.apply(CrashesShared{Notice: &message.CrashNotice{Crashes: crashes}})
	j := sim.submit(check)
	is.Equal(j.ID, "check-1")
	sim.advance()
	is.Equal(sim.runs, 0)
	is.True(j.answer != nil)
	is.Equal(j.answer.Verdict, verdict.MayHaveRun) // no confirmed run: not to be called failed
}

// TestBudgetHoldsWithoutBlame guards against a task that is started three times more after
// three crashes under it (the users' rule BUDGET), because its neighbours share the blame:
// they are run again together (soak with deadly jobs, seed 50286408489281).
func TestBudgetHoldsWithoutBlame(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2, 64000)
	var crashes []message.EndpointCrash
	for i := range budgetCrashes + budgetStarts {
		crash := endpointCrash(fmt.Sprint("endpoint-", i))
		crash.AgoMillis = int64(5000 - 1000*i)
		for n := range 12 {
			r := under(fmt.Sprint("check-", n+1), 0, check.queue, 600*time.Millisecond)
			r.Run.Number = int64(i + 1)
			crash.Runs = append(crash.Runs, r)
		}
		crashes = append(crashes, crash)
	}
	sim.apply(CrashesShared{Notice: &message.CrashNotice{Crashes: crashes}})
	s := sim.core.suspects.Get("check-1")
	is.Equal(s.mostCrashes(), budgetCrashes+budgetStarts)
	is.True(!s.givenUp)
	is.True(s.blame < suspectBlame)
	j := sim.submit(check)
	is.Equal(j.ID, "check-1")
	sim.advance()
	is.Equal(sim.runs, 0)
	is.True(j.answer != nil)
}
