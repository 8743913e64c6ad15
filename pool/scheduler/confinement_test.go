package scheduler

import (
	"fmt"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"

	"github.com/matryer/is"
)

// confine makes the queue of checks deadly and keeps the load for a second.
func (sim *simulation) confine(t *testing.T, rates map[jobKind]float64) *confinement {
	t.Helper()
	sim.load(4*time.Second, rates)
	for range 8 {
		sim.crashUnderChecks(1)
		sim.load(100*time.Millisecond, rates)
	}
	if !sim.core.queues[check.queue].deadly {
		t.Fatal("the queue is not confined")
	}
	return sim.core.confinementOf("s")
}

// TestConfinedJobsOfOtherEntriesAreNotOtherWork guards against entries that disagree on
// the size of a confinement: an entry that counts the confined jobs of other entries as
// work of other jobs confines fewer endpoints than they, and its sound jobs run on those
// that crash under theirs.
func TestConfinedJobsOfOtherEntriesAreNotOtherWork(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 8, 64000)
	s := sim.confine(t, map[jobKind]float64{check: 20, label: 40})
	before, work := s.count, s.othersWork
	for _, a := range sim.agents { // as of a session that is not simulated
		a.used += 20000
		a.confinedElsewhere = 20000
	}
	for i := range sim.agents {
		sim.report(i, &message.RunReport{})
	}
	sim.advanceFor(time.Second)
	is.True(s.othersWork <= work)
	is.True(s.count >= before)
}

// TestConfinementDoesNotGrowWithTheJobsThatItRefuses guards against a confinement that
// takes one endpoint after the other: the fewer are left, the more of the other jobs are
// refused, and the less the rest have to do.
func TestConfinementDoesNotGrowWithTheJobsThatItRefuses(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 8, 64000)
	s := sim.confine(t, map[jobKind]float64{check: 40, label: 100})
	before := s.count
	for range 20 {
		sim.crashUnderChecks(1)
		sim.load(100*time.Millisecond, map[jobKind]float64{check: 40})
		sim.submitRefused(label, 10)
		is.True(sim.core.queues[check.queue].deadly)
		is.True(s.count <= before)
	}
}

// submitRefused submits one job that is refused at once and has the work of n usual ones
// of its kind.
func (sim *simulation) submitRefused(k jobKind, n float64) {
	sim.lastWaiter++
	tasks := 1 + int(n*float64(k.tasks)*6200/65000)
	sim.jobs[sim.lastWaiter] = &testJob{Job: &Job{
		ID: fmt.Sprint("large-", sim.lastWaiter), Queue: k.queue, Service: "s", Tasks: tasks, Estimate: k.runTime,
		Need: message.Resources{MilliCPU: 65000}, Deadline: sim.now + time.Second,
	}}
	sim.apply(JobSubmitted{Waiter: sim.lastWaiter, Job: sim.jobs[sim.lastWaiter].Job})
}

// TestStartedEntryKeepsToTheConfinement guards against an entry that starts while a queue
// is confined and takes all endpoints for it, as it has not seen other work yet.
func TestStartedEntryKeepsToTheConfinement(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 8, 64000)
	for _, i := range []int{2, 5} {
		sim.agents[i].confinedElsewhere = 12400
		sim.agents[i].used += 12400
		sim.report(i, &message.RunReport{})
	}
	sim.apply(CrashesShared{Notice: &message.CrashNotice{Blame: map[string]float64{check.queue: maxQueueBlame}}})
	sim.load(2*time.Second, map[jobKind]float64{check: 10, label: 20})
	is.True(sim.core.queues[check.queue].deadly)
	for i, a := range sim.agents {
		is.Equal(sim.core.isolations["s"].confined[sim.core.agents[a.name]], i == 2 || i == 5)
	}
	for i := range sim.agents { // the others' confinement ends
		sim.agents[i].used -= sim.agents[i].confinedElsewhere
		sim.agents[i].confinedElsewhere = 0
		sim.agents[i].confinedAt = 0
		sim.report(i, &message.RunReport{})
	}
	sim.load(time.Second, map[jobKind]float64{check: 10, label: 20})
	is.True(sim.core.confinementOf("s").count > 0)
}

// TestSmallAndSlowEndpointsAreConfined guards against other jobs that lack capacity
// because the largest and fastest endpoints are spent on a deadly queue.
func TestSmallAndSlowEndpointsAreConfined(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 8, 64000)
	for _, i := range []int{1, 4, 6} {
		sim.agents[i].slowFactor = 3
	}
	s := sim.confine(t, map[jobKind]float64{check: 10, label: 60})
	is.True(s.count > 0)
	slow := 0
	for _, i := range []int{1, 4, 6} {
		if sim.core.isolations["s"].confined[sim.core.agents[sim.agents[i].name]] {
			slow++
		}
	}
	is.Equal(slow, min(s.count, 3))
}

// TestWaitForConfinedEndpointsDelaysNoOtherJob guards against sound jobs that are refused
// because confined ones, which wait for other endpoints, rank before them.
func TestWaitForConfinedEndpointsDelaysNoOtherJob(t *testing.T) {
	sim := newSimulation(t, 4, 64000)
	sim.load(2*time.Second, map[jobKind]float64{check: 20, label: 40})
	sim.crashUnderChecks(8)
	for range 12 {
		sim.submit(check)
	}
	j := sim.core.jobs[sim.submit(label).ID]
	if j == nil {
		t.Fatal("the job was answered at once")
	}
	if wait := sim.core.estimateWait(j); wait > 0 {
		t.Errorf("a job is expected to wait %v for confined ones", wait)
	}
}

// TestSoundNeighbourOfADeadlyQueueRunsAgain guards against sound jobs that are given up
// because they shared an endpoint with a deadly one of their queue: one that is more
// likely sound than not runs again, on another confined endpoint.
func TestSoundNeighbourOfADeadlyQueueRunsAgain(t *testing.T) {
	is := is.New(t)
	small := jobKind{queue: check.queue, urgent: true, tasks: 2, runTime: 60 * time.Millisecond}
	sim := newSimulation(t, 8, 64000)
	s := sim.confine(t, map[jobKind]float64{check: 20, label: 40})
	sim.advanceFor(300 * time.Millisecond)
	is.True(s.count > 1)
	sound := sim.submitExactly(small, small.runTime, small.runTime)
	at := sim.agentOf(sound)
	sim.advanceFor(5 * time.Millisecond)
	var deadly *testJob
	for range 8 { // until one runs beside it
		if deadly = sim.submitExactly(small, small.runTime, small.runTime); sim.agentOf(deadly) == at {
			break
		}
	}
	is.Equal(sim.agentOf(deadly), at)
	sim.advanceFor(12 * time.Millisecond)
	sim.crash(at)
	blame := sim.core.suspects.Get(sound.ID).blame
	is.True(blame >= suspectBlame && blame < strongBlame)
	sim.drain()
	is.True(sound.answer != nil && !sound.answer.Failed)
}

// crashUnderChecks makes the queue of checks deadly: endpoints that are not part of the
// simulation crash under new checks, one after the other.
func (sim *simulation) crashUnderChecks(n int) {
	for range n {
		i := sim.core.crashes.Len()
		sim.core.recordCrashes([]message.EndpointCrash{endpointCrash(fmt.Sprint("elsewhere-", i),
			under(fmt.Sprint("lost-", i), 0, check.queue, 12*time.Millisecond))}, true)
		sim.advanceFor(100 * time.Millisecond)
	}
}

// TestDeadlyQueueIsConfined guards against a kind of job that takes the whole fleet
// down, each of its deadly jobs another endpoint: its jobs get a quarter of the
// endpoints, as the others are busy, other jobs avoid these, and its jobs are refused at
// once while they are away.
func TestDeadlyQueueIsConfined(t *testing.T) {
	const labelsPerStep = 12
	sim := newSimulation(t, 8, 64000)
	sim.load(2*time.Second, map[jobKind]float64{check: 10, label: 10 * labelsPerStep})
	sim.crashUnderChecks(6)
	used := map[string]map[int]bool{check.queue: {}, label.queue: {}}
	for range 100 {
		sim.submit(check)
		for range labelsPerStep {
			sim.submit(label)
		}
		if !sim.core.queues[check.queue].deadly {
			break // trusted again
		}
		for i, a := range sim.agents {
			for ref := range a.running {
				if agents := used[sim.queueOf(ref.Job)]; agents != nil {
					agents[i] = true
				}
			}
		}
		if len(used[check.queue]) == 0 {
			t.Fatal("no check runs")
		}
		sim.advanceFor(100 * time.Millisecond)
	}
	if n := len(used[check.queue]); n > 2 {
		t.Errorf("a deadly queue has used %d of 8 endpoints", n)
	}
	for i := range used[check.queue] {
		if used[label.queue][i] {
			t.Errorf("other jobs run beside it on endpoint %d", i)
		}
	}
	sim.crashUnderChecks(4)
	for range 4 { // more than two endpoints can start
		sim.submit(check)
	}
	sim.advance()
	confined := sim.core.isolations["s"].confined
	for i, a := range sim.agents {
		if confined[sim.core.agents[a.name]] {
			sim.crash(i)
		}
	}
	sim.advance()
	j := sim.submit(check)
	if j.answer == nil || j.answer.Verdict != verdict.NotRun || j.answer.RetryAfterMillis < crashOutage.Milliseconds() {
		t.Errorf("answer while the endpoints are away: %+v", j.answer)
	}
}

// TestDeadlyQueueIsTrustedAgain guards against a kind of job that stays confined after
// its deadly jobs have gone.
func TestDeadlyQueueIsTrustedAgain(t *testing.T) {
	sim := newSimulation(t, 8, 64000)
	sim.load(2*time.Second, map[jobKind]float64{check: 10, press: 3, label: 40})
	sim.crashUnderChecks(8)
	if !sim.core.queues[check.queue].deadly {
		t.Fatal("the queue is not confined")
	}
	sim.load(10*time.Second, map[jobKind]float64{check: 10, press: 3, label: 40})
	if sim.core.queues[check.queue].deadly {
		t.Errorf("still confined after 10 s without a crash, blame %.2f", sim.core.queues[check.queue].blame)
	}
	sim.drain()
}

// TestConfinementFollowsSpareCapacity guards against confined jobs that are refused while
// endpoints are idle, and against other jobs that lack the endpoints that crash under
// them: the more the others need, the fewer endpoints a deadly queue gets.
func TestConfinementFollowsSpareCapacity(t *testing.T) {
	confined := func(labels float64) int {
		sim := newSimulation(t, 8, 64000)
		rates := map[jobKind]float64{check: 20, label: labels}
		sim.load(4*time.Second, rates)
		for range 8 {
			sim.crashUnderChecks(1)
			sim.load(200*time.Millisecond, rates)
		}
		return sim.core.confinementOf("s").count
	}
	if idle, busy := confined(40), confined(200); idle < 4 || busy > 1 {
		t.Errorf("%d of 8 endpoints are confined while a quarter is used, %d while most are", idle, busy)
	}
}

// TestLateConfinedJobsAreRefused guards against confined endpoints that are spent on late
// answers: each run there may crash the endpoint, and jobs that can be in time wait.
func TestLateConfinedJobsAreRefused(t *testing.T) {
	sim := newSimulation(t, 2, 64000)
	sim.load(2*time.Second, map[jobKind]float64{check: 20, label: 40})
	sim.crashUnderChecks(8)
	if !sim.core.queues[check.queue].deadly {
		t.Fatal("the queue is not confined")
	}
	objectives := map[*testJob]time.Duration{}
	for range 6 {
		j := sim.submit(check)
		objectives[j] = time.Duration(j.Stretch*float64(j.Estimate)) + j.Slack
	}
	sim.advanceFor(time.Second)
	for j, objective := range objectives {
		switch {
		case j.answer == nil:
			t.Errorf("job %s has no answer", j.ID)
		case j.answer.Failed && j.answer.Verdict != verdict.NotRun:
			t.Errorf("job %s was started in vain: %+v", j.ID, j.answer)
		case j.answered-j.sent > objective+objective/10: // run times are estimated
			t.Errorf("job %s was answered %v after it was submitted, objective %v", j.ID, j.answered-j.sent, objective)
		}
	}
}

// TestOtherWorkFallsWithTheLoadAfterAConfinement guards against a second confinement that
// is too small, because the estimate of other jobs' work still is that of the first one's
// time: it is only raised while queues are confined.
func TestOtherWorkFallsWithTheLoadAfterAConfinement(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 8, 64000)
	s := sim.confine(t, map[jobKind]float64{check: 20, label: 120})
	before := s.othersWork
	sim.load(10*time.Second, map[jobKind]float64{check: 20, label: 20})
	is.True(!sim.core.queues[check.queue].deadly)
	is.True(s.othersWork < before/2)
}

// TestSecondDeadlyQueueReleasesNoOther guards against a fleet that is taken down because a
// second deadly queue comes: together they have almost all of the load, and neither was
// confined any more.
func TestSecondDeadlyQueueReleasesNoOther(t *testing.T) {
	sim := newSimulation(t, 8, 64000)
	rates := map[jobKind]float64{check: 30, label: 60, press: 1}
	crashUnder := func(k jobKind, n int) {
		for range n {
			i := sim.core.crashes.Len()
			sim.core.recordCrashes([]message.EndpointCrash{endpointCrash(fmt.Sprint("elsewhere-", i),
				under(fmt.Sprint("lost-", i), 0, k.queue, 12*time.Millisecond))}, true)
			sim.load(100*time.Millisecond, rates)
		}
	}
	sim.load(4*time.Second, rates)
	crashUnder(label, 8)
	labels := sim.core.queues[label.queue]
	if !labels.deadly {
		t.Fatal("the first queue is not confined")
	}
	for range 10 {
		crashUnder(check, 1)
		crashUnder(label, 3)
		if !labels.deadly {
			t.Fatalf("the first queue is released with a blame of %.2f", labels.blame)
		}
	}
}

// TestEntriesLearnOfDeadlyQueueTogether guards against a large fleet in which each entry
// has to see several crashes of its own agents before it confines a deadly queue, and
// several dozen completed jobs of its own before it releases it: here each entry sees
// one crash and completes no job.
func TestEntriesLearnOfDeadlyQueueTogether(t *testing.T) {
	const entries = 4
	var sims []*simulation
	for range entries {
		sim := newSimulation(t, 4, 64000)
		sim.load(time.Second, map[jobKind]float64{check: 10, label: 30})
		sims = append(sims, sim)
	}
	for i, sim := range sims {
		sim.report(0, &message.RunReport{Crashes: []message.EndpointCrash{endpointCrash(fmt.Sprint("endpoint-", i),
			under(fmt.Sprint("deadly-", i), 0, check.queue, 12*time.Millisecond))}})
		for _, other := range sims {
			other.now += 200 * time.Millisecond
			if other != sim {
				other.apply(CrashesShared{Notice: sim.shared[0]})
			}
		}
	}
	completed := JobsCompletedElsewhere{BlamedQueues: map[string]int{check.queue: 100}}
	for i, sim := range sims {
		q := sim.core.queues[check.queue]
		if !q.deadly {
			t.Errorf("entry %d does not confine the queue, blame %.2f", i, q.blame)
		}
		sim.apply(completed)
		if q.deadly {
			t.Errorf("entry %d does not release the queue, blame %.2f", i, q.blame)
		}
	}
}
