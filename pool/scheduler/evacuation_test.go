package scheduler

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/evacuation"
	"marjoramlug.example/marjoramlug/verdict"

	"github.com/matryer/is"
)

// newZones returns a simulation with endpoints in the zones "even" and "odd".
func newZones(t *testing.T, agents int, capacity int64) *simulation {
	sim := newSimulation(t, agents, capacity)
	for i := range agents {
		sim.describe(i, 0)
	}
	return sim
}

// describe reports an endpoint that stays cold for the given time.
func (sim *simulation) describe(i int, cold time.Duration) {
	zone := []string{"even", "odd"}[i%2]
	sim.report(i, &message.RunReport{Endpoint: &message.PoolEndpoint{
		Name: sim.agents[i].name, Service: "s", Capacity: message.Resources{MilliCPU: sim.agents[i].capacity}, Ready: true,
		Zone: zone, ColdMillis: cold.Milliseconds(),
	}})
}

func (sim *simulation) evacuate(version int64, zones ...string) {
	sim.apply(EvacuationLearned{State: evacuation.State{Version: version, Zones: zones}, Source: "store"})
}

// runsAt returns the number of runs on the endpoints of a zone, by the parity of their number.
func (sim *simulation) runsAt(parity int) int {
	n := 0
	for i, a := range sim.agents {
		if i%2 == parity {
			n += len(a.running)
		}
	}
	return n
}

// TestNoTaskIsPlacedInAnEvacuatedZone guards against orders to an evacuated zone, against a
// late state that ends an evacuation, and against a zone that stays unused afterwards.
func TestNoTaskIsPlacedInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	sim := newZones(t, 4, 12400)
	kind := jobKind{queue: "label", tasks: 4, runTime: 200 * time.Millisecond}
	sim.evacuate(5, "even")
	sim.evacuate(4)
	sim.submit(kind)
	is.Equal(sim.runsAt(0), 0)
	is.Equal(sim.runsAt(1), 4)
	sim.submit(kind)
	is.Equal(sim.runsAt(0), 0)
	sim.evacuate(6)
	is.Equal(sim.runsAt(0), 4) // the waiting job gets the returned endpoints
	is.Equal(sim.core.Counters().EvacuatedStarts, int64(0))
}

// TestWaitIsEstimatedFromTheRemainingCapacity guards against callers that wait, after a half
// of the endpoints has been evacuated, because the wait is estimated from the rate at which
// work was started before: the rate falls with the capacity, and jobs that can't be in time
// any more are refused within some milliseconds.
func TestWaitIsEstimatedFromTheRemainingCapacity(t *testing.T) {
	is := is.New(t)
	sim := newZones(t, 12, 64000)
	sim.load(4*time.Second, usualLoad)
	var waiting []*testJob
	for range 40 {
		waiting = append(waiting, sim.submit(label))
	}
	refused := func() (n int) {
		for _, j := range waiting {
			if j.answer != nil && j.answer.Verdict == verdict.NotRun {
				n++
			}
		}
		return n
	}
	sim.advanceFor(20 * time.Millisecond) // between two reviews of the waiting jobs
	refusedBefore, before := refused(), sim.core.startRate()
	sim.evacuate(1, "even")
	is.True(sim.core.startRate() < 0.6*before)
	sim.advanceFor(10 * time.Millisecond)
	t.Logf("%d of %d jobs refused before, %d at once", refusedBefore, len(waiting), refused()-refusedBefore)
	is.True(refused() > refusedBefore)
}

// TestJobIsRefusedAtOnceWhenAllZonesAreEvacuated guards against callers that wait for
// endpoints that will not take tasks.
func TestJobIsRefusedAtOnceWhenAllZonesAreEvacuated(t *testing.T) {
	is := is.New(t)
	sim := newZones(t, 2, 64000)
	// In its first moments an entry does not know all agents yet.
	for sim.now < sim.core.startedAt+settleTime+10*time.Millisecond {
		sim.advance()
	}
	sim.evacuate(1, "even", "odd")
	j := sim.submit(label)
	for range 20 {
		sim.advance()
	}
	is.True(j.answer != nil && j.answer.Verdict == verdict.NotRun)
	is.True(!sim.core.Ready())
}

// TestStateReachesAgentsAndEntries guards against agents and entries that can't reach the
// store and don't learn the state: each agent gets it in the first message of a session and
// on a change, and entries on a change, whether it came from the store or from an agent.
func TestStateReachesAgentsAndEntries(t *testing.T) {
	is := is.New(t)
	core := New(Options{HeartbeatTimeout: time.Hour, MaxWaiting: 10})
	now := time.Second
	sent := map[Session]*evacuation.State{}
	shared := 0
	step := func(ev Event) {
		clear(sent)
		now += time.Millisecond
		for _, action := range core.Step(now, ev) {
			switch action := action.(type) {
			case SendOrders:
				sent[action.Session] = action.Orders.Evacuation
			case ShareEvacuation:
				shared++
			}
		}
	}
	step(AgentConnected{Session: 1, Agent: "a", Incarnation: 1, Zone: "z"})
	is.True(sent[1] == nil) // nothing is known
	step(AgentConnected{Session: 2, Agent: "b", Incarnation: 1, Zone: "z"})
	step(AgentReported{Session: 2, Report: &message.RunReport{Evacuation: &evacuation.State{Version: 3, Zones: []string{"z"}}}})
	is.True(sent[1] != nil && sent[1].Version == 3 && len(sent[1].Zones) == 1)
	is.Equal(shared, 1)
	step(EvacuationLearned{State: evacuation.State{Version: 3, Zones: []string{"z"}}})
	is.Equal(shared, 1) // read again
	step(AgentConnected{Session: 3, Agent: "a", Incarnation: 2, Zone: "z"})
	is.True(sent[3] != nil && sent[3].Version == 3)
	step(EvacuationLearned{State: evacuation.State{Version: 4}})
	is.True(sent[3] != nil && sent[3].Version == 4 && len(sent[3].Zones) == 0)
	is.Equal(shared, 2)
}

// TestEndpointsOfOlderAgentsAreEvacuated guards against orders to an endpoint whose agent
// reports no zone: that of the agent counts.
func TestEndpointsOfOlderAgentsAreEvacuated(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 0, 0)
	sim.agents = append(sim.agents, &testAgent{name: "a", capacity: 64000, slowFactor: 1, running: map[message.RunRef]*testRun{}})
	sim.evacuate(1, "z")
	sim.apply(AgentConnected{Session: 1, Agent: "a", Incarnation: 1, Zone: "z"})
	sim.report(0, &message.RunReport{Endpoint: &message.PoolEndpoint{Name: "e", Service: "s", Capacity: message.Resources{MilliCPU: 64000}, Ready: true}})
	sim.submit(label)
	is.Equal(sim.runs, 0)
}

// TestColdEndpointsGetFewTasksAtFirst guards against a burst whose jobs fail their objective
// on endpoints that are four times slower for some seconds after an evacuation: long tasks
// go elsewhere, and a cold endpoint is not filled before its speed is known. Once it is
// warm, it is used as before.
func TestColdEndpointsGetFewTasksAtFirst(t *testing.T) {
	is := is.New(t)
	sim := newZones(t, 8, 64000)
	sim.load(2*time.Second, map[jobKind]float64{check: 12, press: 2, label: 36})
	const cold = 4 * time.Second
	for i, a := range sim.agents {
		if i%2 == 0 {
			a.slowFactor = 4
			sim.describe(i, cold)
		}
	}
	long := jobKind{queue: "press", tasks: 4, runTime: 900 * time.Millisecond}
	before := sim.runsAt(0)
	for range 4 {
		sim.submit(long)
	}
	is.True(sim.runsAt(0) <= before) // not on the cold ones
	start := sim.now
	var sent []*testJob
	for sim.now < start+cold {
		if sim.random.Float64() < 0.03 {
			sent = append(sent, sim.submit(check))
		}
		sim.advance()
	}
	for i, a := range sim.agents {
		if i%2 == 0 {
			a.slowFactor = 1
		}
	}
	sim.advanceFor(50 * time.Millisecond)
	for _, a := range sim.core.agentList {
		is.True(!a.cold.active && a.slowness() < 1.3)
	}
	sim.drain()
	late := 0
	for _, j := range sent {
		if j.answer == nil || j.answer.Failed || j.answered-j.sent > objectiveOf(j) {
			late++
		}
	}
	t.Logf("%d of %d short jobs were late", late, len(sent))
	is.True(late*10 < len(sent))
}

// TestColdPeriodBeginsWhenTheZoneReturns guards against endpoints that are filled at the end
// of an evacuation, as they have been cold, and unused, for long.
func TestColdPeriodBeginsWhenTheZoneReturns(t *testing.T) {
	is := is.New(t)
	sim := newZones(t, 1, 64000)
	sim.evacuate(1, "even")
	for range 10 {
		sim.describe(0, 3*time.Second)
		sim.advanceFor(time.Second)
	}
	sim.describe(0, 3*time.Second)
	sim.evacuate(2)
	sim.submit(jobKind{queue: "label", tasks: 10, runTime: 200 * time.Millisecond})
	is.True(sim.runs <= 2) // of ten that fit
	sim.advanceFor(2900 * time.Millisecond)
	sim.submit(jobKind{queue: "label", tasks: 8, runTime: 200 * time.Millisecond})
	is.True(sim.runs >= 10)
}

// TestUnknownCauseIsHandled guards against an entry that ends by itself when an agent of a
// later release refuses a run for a cause that this release doesn't know.
func TestUnknownCauseIsHandled(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1, 64000)
	sim.submit(jobKind{queue: "label", tasks: 1, runTime: time.Second})
	a := sim.agents[0]
	for ref := range a.running {
		a.end(ref, message.RunRefused, sim.now)
		a.ends[0].Cause = message.CauseEvacuated + 1
	}
	sim.report(0, &message.RunReport{})
	sim.advanceFor(10 * time.Millisecond)
	is.Equal(sim.runs, 2) // started again
}
