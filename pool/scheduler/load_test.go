package scheduler

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// These tests run heavy loads in virtual time with fixed seeds. The users
// require that each kind of job keeps at least 0.42 of its value in the heaviest
// load and at least 0.9 in the usual one.

// usualLoad is the usual load of 11 endpoints of 64 cores, in jobs a second.
var usualLoad = map[jobKind]float64{check: 34, press: 6, label: 100}

func TestUsualLoadIsServedInTime(t *testing.T) {
	sim := newSimulation(t, 11, 64000)
	sim.load(10*time.Second, usualLoad)
	sim.drain()
	for _, queue := range []string{"check", "press", "label"} {
		if share, _ := sim.inTime(queue); share < 0.9 {
			t.Errorf("%s: %.2f in time", queue, share)
		}
	}
}

// TestBurstInOneQueue guards against a burst in one queue that delays the
// others: jobs of the burst's own queue wait and are refused, the other queues
// are served.
func TestBurstInOneQueue(t *testing.T) {
	sim := newSimulation(t, 11, 64000)
	sim.load(4*time.Second, usualLoad)
	sim.load(4*time.Second, map[jobKind]float64{check: 34, press: 6, label: 260})
	sim.load(2*time.Second, usualLoad)
	sim.drain()
	for queue, least := range map[string]float64{"check": 0.9, "press": 0.8, "label": 0.42} {
		if share, refused := sim.inTime(queue); share < least {
			t.Errorf("%s: %.2f in time, %.2f refused, want %.2f", queue, share, refused, least)
		}
	}
}

// TestOverloadOfAllKinds guards against starvation of one kind of job when the
// load of all kinds rises at the same time.
func TestOverloadOfAllKinds(t *testing.T) {
	sim := newSimulation(t, 11, 64000)
	sim.load(8*time.Second, map[jobKind]float64{check: 55, press: 10, label: 160})
	sim.drain()
	for _, queue := range []string{"check", "press", "label"} {
		if share, refused := sim.inTime(queue); share < 0.42 {
			t.Errorf("%s: %.2f in time, %.2f refused", queue, share, refused)
		}
	}
}

// TestRefusalsComeEarly checks that jobs that can't be served are refused and
// not run, 90 % of them within their objective. The core refuses within a
// quarter of the objective, or as soon as a job is known to be late.
func TestRefusalsComeEarly(t *testing.T) {
	sim := newSimulation(t, 2, 64000)
	sim.load(5*time.Second, usualLoad)
	sim.drain()
	refused, prompt := 0, 0
	for _, j := range sim.jobs {
		if j.answer == nil || j.answer.Verdict != verdict.NotRun {
			continue
		}
		refused++
		objective := time.Duration(1.6*float64(j.Estimate)) + 60*time.Millisecond
		if j.answered-j.sent <= objective {
			prompt++
		}
		if j.answer.RetryAfterMillis < 1000 {
			t.Errorf("%s was refused without a retry delay", j.ID)
		}
	}
	if refused == 0 || float64(prompt) < 0.9*float64(refused) {
		t.Errorf("%d of %d refusals came within the objective", prompt, refused)
	}
}

// TestSlowEndpointsGetTasksThatStillMeetTheirObjective guards against late long
// tasks where endpoints differ in speed: long tasks, which miss their objective
// on a slow endpoint, go to fast ones while those have free capacity.
func TestSlowEndpointsGetTasksThatStillMeetTheirObjective(t *testing.T) {
	sim := newSimulation(t, 8, 64000)
	for _, a := range sim.agents[:2] {
		a.slowFactor = 1.8
	}
	light := map[jobKind]float64{check: 15, press: 3, label: 45}
	sim.load(5*time.Second, light)
	before := sim.lastWaiter
	sim.load(10*time.Second, light)
	sim.drain()
	late, long := 0, 0
	for w, j := range sim.jobs {
		if w <= before || j.Queue != press.queue {
			continue
		}
		long++
		if j.answered-j.sent > time.Duration(1.6*float64(j.runTime))+60*time.Millisecond {
			late++
		}
	}
	if float64(late) > 0.1*float64(long) {
		t.Errorf("%d of %d long jobs were late", late, long)
	}
}

// TestSlowdownKeepsLongTasksOffAnEndpointThatTurnsSlow guards against long
// tasks on an endpoint that has just become slow: the reported slowdown counts
// before any run there has ended, and expires when it is not reported again.
func TestSlowdownKeepsLongTasksOffAnEndpointThatTurnsSlow(t *testing.T) {
	sim := newSimulation(t, 3, 64000)
	sim.report(0, &message.RunReport{Slowdown: 6})
	sim.submit(press)
	if n := len(sim.agents[0].running); n != 0 {
		t.Errorf("%d long tasks went to the slow endpoint", n)
	}
	sim.now += 2 * slowdownValidity
	for range 6 {
		sim.submit(press)
	}
	if len(sim.agents[0].running) == 0 {
		t.Error("the slow endpoint gets no tasks after its reported slowdown has expired")
	}
}

// TestFailingEndpointIsPaused guards against jobs that fail because one
// endpoint fails all its tasks: that endpoint gets few tasks, and the jobs
// complete elsewhere.
func TestFailingEndpointIsPaused(t *testing.T) {
	sim := newSimulation(t, 11, 64000)
	sim.agents[0].failsRuns = true
	sim.load(6*time.Second, usualLoad)
	sim.drain()
	failed := sim.core.Counters().Jobs[JobFailed]
	if share := float64(failed) / float64(len(sim.jobs)); share > 0.01 {
		t.Errorf("%d of %d jobs failed", failed, len(sim.jobs))
	}
	if share, _ := sim.inTime(check.queue); share < 0.8 {
		t.Errorf("%.2f of the urgent jobs in time", share)
	}
}

// TestJobsCompleteAfterAllEndpointsFailed guards against a service that gets no
// more tasks after all its endpoints have failed.
func TestJobsCompleteAfterAllEndpointsFailed(t *testing.T) {
	sim := newSimulation(t, 3, 64000)
	for _, a := range sim.agents {
		a.failsRuns = true
	}
	sim.load(3*time.Second, map[jobKind]float64{label: 30})
	for _, a := range sim.agents {
		a.failsRuns = false
	}
	sim.load(4*time.Second, map[jobKind]float64{label: 30})
	before := sim.lastWaiter
	sim.load(3*time.Second, map[jobKind]float64{label: 30})
	sim.drain()
	for w, j := range sim.jobs {
		if w > before && (j.answer == nil || j.answer.Failed) {
			t.Errorf("%s did not complete after the service had recovered", j.ID)
		}
	}
}

// TestRunsStalledOnOneEndpointMoveElsewhere guards against jobs that hang with
// the tasks of one endpoint: overdue runs are stopped and their tasks run
// elsewhere.
func TestRunsStalledOnOneEndpointMoveElsewhere(t *testing.T) {
	sim := newSimulation(t, 4, 64000)
	sim.agents[0].stallsRuns = true
	sim.load(4*time.Second, map[jobKind]float64{label: 30})
	sim.drain()
	for _, j := range sim.jobs {
		if j.answer == nil || j.answer.Failed && j.answer.Verdict != verdict.NotRun {
			t.Errorf("%s did not complete: %+v", j.ID, j.answer)
		}
	}
	if sim.core.Counters().StalledRuns == 0 {
		t.Error("no stalled run was stopped")
	}
}

// TestStalledTaskGoesElsewhere checks that a task whose run was stopped by the
// agent for lack of progress runs at another agent.
func TestStalledTaskGoesElsewhere(t *testing.T) {
	sim := newSimulation(t, 2, 64000)
	sim.agents[0].stallsRuns, sim.agents[1].stallsRuns = true, true
	j := sim.submit(jobKind{queue: label.queue, tasks: 1, runTime: label.runTime})
	for i, a := range sim.agents {
		for ref := range a.running {
			other := sim.agents[1-i]
			other.stallsRuns = false
			a.end(ref, message.RunStalled, sim.now)
			sim.report(i, &message.RunReport{})
			if len(other.running) != 1 {
				t.Errorf("the other agent runs %d tasks", len(other.running))
			}
		}
		if j.answer != nil {
			t.Fatalf("answered at once: %+v", j.answer)
		}
	}
	sim.drain()
	if j.answer == nil || j.answer.Failed {
		t.Errorf("unexpected answer: %+v", j.answer)
	}
}

// TestTaskStalledOnAllEndpointsIsRetried checks that a task that has stalled on
// every endpoint is retried while its caller waits.
func TestTaskStalledOnAllEndpointsIsRetried(t *testing.T) {
	sim := newSimulation(t, 2, 64000)
	for _, a := range sim.agents {
		a.stallsRuns = true
	}
	j := sim.submit(label)
	for sim.core.Counters().StalledRuns < int64(len(sim.agents)*j.Tasks) && sim.now < j.Deadline {
		sim.advance()
	}
	for _, a := range sim.agents {
		a.stallsRuns = false
	}
	sim.drain()
	if j.answer == nil || j.answer.Failed {
		t.Errorf("after the endpoints had recovered: %+v", j.answer)
	}
}

// TestAlwaysFailingJobFailsAfterItsAttempts guards against jobs that can never
// complete and use capacity without limit: they fail after the permitted
// attempts.
func TestAlwaysFailingJobFailsAfterItsAttempts(t *testing.T) {
	sim := newSimulation(t, 3, 64000)
	for _, a := range sim.agents {
		a.failsRuns = true
	}
	j := sim.submit(label)
	sim.drain()
	if j.answer == nil || j.answer.Reason != verdict.ReasonTaskFailed {
		t.Fatalf("unexpected answer: %+v", j.answer)
	}
	if sim.runs > j.Tasks*j.Attempts {
		t.Errorf("%d runs for %d tasks of %d attempts", sim.runs, j.Tasks, j.Attempts)
	}
}

// TestPriorityBands checks the band of urgent, late and too late jobs. A late
// job that lacks only one of five tasks, such as one refused by full endpoints,
// keeps its band, so that its last task starts before new jobs and its
// completed work is not lost.
func TestPriorityBands(t *testing.T) {
	for _, c := range []struct {
		name                 string
		late, urgent         bool
		tasks, waiting, runs int
		age                  time.Duration
		want                 int
	}{
		{"urgent", false, true, 8, 8, 0, 0, bandUrgent},
		{"in time", false, false, 8, 8, 0, 0, bandInTime},
		{"late", true, true, 8, 8, 0, 200 * time.Millisecond, bandLate},
		{"late, half started", true, true, 8, 4, 4, 200 * time.Millisecond, bandLate},
		{"late, one of five missing", true, true, 5, 1, 4, 200 * time.Millisecond, bandUrgent},
		{"late, one of five missing, not urgent", true, false, 5, 1, 4, 200 * time.Millisecond, bandInTime},
		{"too late", true, true, 5, 1, 4, 2 * time.Second, bandTooLate},
	} {
		core := New(Options{})
		core.now = time.Minute
		j := &job{
			Job:   &Job{Urgent: c.urgent, Estimate: 60 * time.Millisecond, Stretch: 1.6, Slack: 60 * time.Millisecond},
			queue: core.queueOf("q"), tasks: make([]task, c.tasks), waiting: c.waiting, runs: c.runs, late: c.late,
			received: core.now - c.age,
		}
		if got := core.band(j); got != c.want {
			t.Errorf("%s: band %d, want %d", c.name, got, c.want)
		}
	}
}

// TestDemandRankIndependentOfEntryLoad guards against starvation at an entry
// that gets more of a burst than the others: for the same queue its demand
// ranks like theirs, so that it gets its share of the capacity that becomes
// free. The queue with the smallest offered load ranks first at all entries.
func TestDemandRankIndependentOfEntryLoad(t *testing.T) {
	// Loads in thousandths of a core: about half of usualLoad.
	loads := map[string]float64{"check": 51000, "press": 70000, "label": 123000}
	demand := func(queue string, factor float64) float64 {
		core := New(Options{})
		for name, load := range loads {
			core.queueOf(name).offeredLoad.value = load * factor
		}
		j := &job{Job: &Job{Estimate: 200 * time.Millisecond, Stretch: 1.6}, queue: core.queueOf(queue)}
		return core.demandRank(j)
	}
	for queue := range loads {
		if usual, more := demand(queue, 1), demand(queue, 2.3); usual != more {
			t.Errorf("%s ranks %v at a usual entry, %v at one with more load", queue, usual, more)
		}
	}
	if check, label := demand("check", 1), demand("label", 1); check >= label {
		t.Errorf("the small queue ranks %v, the large one %v", check, label)
	}
}

// TestPausedEntryInterruptsItsJobs checks that after a pause so long that
// callers may have submitted elsewhere the entry starts nothing more, and that
// its answers distinguish jobs that may have run from jobs that have not.
func TestPausedEntryInterruptsItsJobs(t *testing.T) {
	sim := newSimulation(t, 1, 6200)
	sim.core.opts.ResubmitDelay = 1300 * time.Millisecond
	running, waiting := sim.submit(press), sim.submit(press)
	waiting.Tasks = 4
	runs := sim.runs
	sim.now += 2 * time.Second
	sim.apply(Tick{})
	if running.answer == nil || running.answer.Verdict != verdict.MayHaveRun {
		t.Errorf("running job: answer %+v, want the verdict that it may have run", running.answer)
	}
	if waiting.answer == nil || waiting.answer.Verdict != verdict.NotRun {
		t.Errorf("waiting job: answer %+v, want the verdict that it has not run", waiting.answer)
	}
	if sim.runs != runs {
		t.Errorf("%d runs were started after the pause", sim.runs-runs)
	}
}
