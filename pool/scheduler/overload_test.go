package scheduler

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"

	"github.com/matryer/is"
)

// objectiveOf returns the objective that a test job's caller has.
func objectiveOf(j *testJob) time.Duration {
	return time.Duration(1.6*float64(j.runTime)) + 60*time.Millisecond
}

// burst runs four seconds of a burst in which the work of the usual load rises by
// more than half, most of it in long jobs.
func (sim *simulation) burst() {
	sim.load(4*time.Second, usualLoad)
	sim.load(4*time.Second, map[jobKind]float64{check: 51, press: 14, label: 150})
	sim.load(3*time.Second, usualLoad)
	sim.drain()
}

// TestRefusalsInABurstComeAtOnce guards against callers that wait before they are
// refused: nine of ten refusals come within a quarter of the objective, so that the
// caller can still go elsewhere.
func TestRefusalsInABurstComeAtOnce(t *testing.T) {
	sim := newSimulation(t, 11, 64000)
	sim.burst()
	refused, atOnce := 0, 0
	for _, j := range sim.jobs {
		if j.answer == nil || j.answer.Verdict != verdict.NotRun {
			continue
		}
		refused++
		if j.answered-j.sent <= objectiveOf(j)/4 {
			atOnce++
		}
	}
	if refused == 0 || float64(atOnce) < 0.9*float64(refused) {
		t.Errorf("%d of %d refusals came at once", atOnce, refused)
	}
}

// TestSlowEndpointIsLeftToJobsThatAreInTimeThere guards against late jobs on
// endpoints of unlike speed: a job that has waited, and would be late on the slow
// endpoint that has free capacity, leaves it to a job that is in time there.
func TestSlowEndpointIsLeftToJobsThatAreInTimeThere(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3, 6200)
	fast, slow := sim.agents[0], sim.agents[1]
	for _, a := range sim.core.agentList {
		if a.name == slow.name {
			a.logSlowness = 0.3 // run times are 1.35 times longer
		}
	}
	kind := jobKind{queue: label.queue, tasks: 1, runTime: label.runTime}
	submit := func() *testJob { return sim.submitExactly(kind, kind.runTime, kind.runTime) }
	runsAt := func(a *testAgent, j *testJob) bool {
		for ref := range a.running {
			if ref.Job == j.ID {
				return true
			}
		}
		return false
	}
	for range sim.agents {
		submit()
	}
	waited := submit()
	sim.now += 130 * time.Millisecond // 250 ms are left: enough for 200 ms, not for 270 ms
	sim.apply(Tick{})
	fresh := submit()
	free := func(i int) {
		a := sim.agents[i]
		for ref := range a.running {
			a.end(ref, message.RunStopped, sim.now)
		}
		for _, j := range sim.core.jobOrder {
			if j.ID != waited.ID && j.ID != fresh.ID {
				j.Deadline = sim.now // their tasks are not started again
			}
		}
		sim.now += expireInterval
		sim.report(i, &message.RunReport{})
	}
	free(1)
	is.True(runsAt(slow, fresh)) // the slow endpoint goes to the job that is in time there
	is.True(!runsAt(slow, waited))
	free(0)
	is.True(runsAt(fast, waited)) // the other one gets the fast endpoint
}

// TestRestartedEntryWaitsForItsAgents guards against refusals just after an entry's
// start: its agents connect within some 100 ms, and a job that arrives before them
// can still be in time.
func TestRestartedEntryWaitsForItsAgents(t *testing.T) {
	sim := newSimulation(t, 0, 64000)
	j := sim.submit(jobKind{queue: label.queue, tasks: 2, runTime: label.runTime})
	for range 100 {
		sim.advance()
	}
	if j.answer != nil {
		t.Fatalf("refused before its agents could connect: %+v", j.answer)
	}
	for range 1000 {
		sim.advance()
	}
	if j.answer == nil || j.answer.Verdict != verdict.NotRun {
		t.Errorf("not refused though no agent has connected: %+v", j.answer)
	}
	// When nothing has taken tasks for a second, callers are refused at once.
	j = sim.submit(jobKind{queue: label.queue, tasks: 2, runTime: label.runTime})
	for range 20 {
		sim.advance()
	}
	if j.answer == nil {
		t.Error("a caller waits although no endpoint has taken tasks for a second")
	}
}

// TestJobThatCantEndBeforeItsDeadlineIsAnswered guards against callers whose
// deadline passes in silence: a job whose last tasks find no capacity before the
// deadline is answered as soon as that is known, as started and not completed.
func TestJobThatCantEndBeforeItsDeadlineIsAnswered(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1, 12400)
	j := sim.submit(jobKind{queue: label.queue, tasks: 3, runTime: label.runTime})
	j.Deadline = sim.now + 1500*time.Millisecond
	for end := sim.now + 1400*time.Millisecond; sim.now < end && j.answer == nil; {
		// Urgent jobs take all capacity that becomes free.
		sim.submit(check)
		sim.advance()
	}
	is.True(j.answer != nil)                       // it got an answer before its deadline
	is.True(j.answer.Failed)                       // not completed
	is.Equal(j.answer.Verdict, verdict.MayHaveRun) // two of its tasks have started
}

// TestSlowEndpointGetsOnlyProbes guards against jobs that are late because a slow
// endpoint gets a full load of tasks each time that nothing runs there and nothing
// is reported of it: it gets one task at a time, and all it can take after it has
// recovered.
func TestSlowEndpointGetsOnlyProbes(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4, 64000)
	slow := sim.agents[0]
	slow.slowFactor = 6
	light := map[jobKind]float64{check: 4, label: 10}
	sim.report(0, &message.RunReport{Slowdown: 6})
	sim.load(500*time.Millisecond, light)
	most := 0
	for end := sim.now + 4*time.Second; sim.now < end; {
		sim.load(simulationTick, light)
		most = max(most, len(slow.running))
	}
	is.True(most == 1) // one task shows that it is still slow
	slow.slowFactor = 1
	sim.load(3*time.Second, light)
	busy := 0
	for end := sim.now + 2*time.Second; sim.now < end; {
		sim.load(simulationTick, map[jobKind]float64{check: 8, label: 80})
		busy = max(busy, len(slow.running))
	}
	is.True(busy > 4) // it has recovered
}

// TestThawedEntryWaitsForItsAgents guards against refusals just after a pause of the
// process: its agents have dropped the entry and connect again within some 100 ms,
// and a job that arrives before them can still be in time.
func TestThawedEntryWaitsForItsAgents(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2, 64000)
	sim.load(time.Second, map[jobKind]float64{label: 10})
	sim.core.opts.HeartbeatTimeout = 400 * time.Millisecond
	for _, a := range sim.core.agentList {
		a.lastHeard = sim.now
	}
	sim.now += 2 * time.Second // the process is paused
	j := sim.submit(label)
	for range 100 {
		sim.apply(Tick{})
		sim.now += simulationTick
	}
	is.True(j.answer == nil) // it waits for the agents
	sim.agents = append(sim.agents, &testAgent{name: "agent-0", capacity: 64000, slowFactor: 1, running: map[message.RunRef]*testRun{}})
	sim.apply(AgentConnected{Session: 3, Agent: "agent-0", Incarnation: 1})
	sim.report(2, &message.RunReport{Sync: true, Complete: true, Endpoint: &message.PoolEndpoint{
		Name: "agent-0", Service: "s", Capacity: message.Resources{MilliCPU: 64000}, Ready: true,
	}})
	_, started := sim.core.Status(j.ID)
	is.True(started)
}

// TestOwnPauseIsNotSilenceOfAgents guards against an entry that takes its own pause for the
// silence of its agents: the machine is short of processor time, the entry does nothing for
// 350 ms, and its timer is handled before the reports that have arrived meanwhile. An
// agent that is silent indeed is given up after twice the heartbeat timeout, however
// often the entry is paused.
func TestOwnPauseIsNotSilenceOfAgents(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4, 64000)
	sim.core.opts.HeartbeatTimeout = 400 * time.Millisecond
	for step := range 1000 {
		sim.advance()
		if step%100 == 0 {
			for i := range sim.agents {
				sim.report(i, &message.RunReport{})
			}
		}
	}
	connected := func() int {
		n := 0
		for _, a := range sim.core.agentList {
			if a.session != 0 {
				n++
			}
		}
		return n
	}
	sim.now += 350 * time.Millisecond
	sim.apply(Tick{})
	is.Equal(connected(), len(sim.agents))
	for range 3 {
		sim.now += 150 * time.Millisecond
		sim.apply(Tick{})
	}
	is.Equal(connected(), 0)
}
