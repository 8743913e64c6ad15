package scheduler

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"

	"github.com/matryer/is"
)

// TestNewEntryWaitsForAgentsOfOtherZones guards against an entry that refuses all jobs after
// its start because the first agent that connects is in an evacuated zone.
func TestNewEntryWaitsForAgentsOfOtherZones(t *testing.T) {
	sim := newSimulation(t, 0, 0)
	connect := func(i int, name, zone string, ready bool) {
		sim.agents = append(sim.agents, &testAgent{name: name, capacity: 64000, slowFactor: 1, running: map[message.RunRef]*testRun{}})
		sim.apply(AgentConnected{Session: Session(i + 1), Agent: name, Incarnation: 1, Zone: zone})
		sim.report(i, &message.RunReport{Endpoint: &message.PoolEndpoint{
			Name: name, Service: "s", Capacity: message.Resources{MilliCPU: 64000}, Ready: ready, Zone: zone,
		}})
	}
	sim.evacuate(1, "z")
	connect(0, "a", "z", false)
	j := sim.submit(label)
	sim.advanceFor(50 * time.Millisecond)
	connect(1, "b", "y", true)
	sim.advanceFor(20 * time.Millisecond)
	is.New(t).True(j.answer == nil && sim.runs > 0)
}

// TestColdPeriodBeginsAnewInSmallSteps guards against a returning zone that gets a whole burst
// while it is cold: its endpoints stayed cold and unused, and each report put the end off a
// little.
func TestColdPeriodBeginsAnewInSmallSteps(t *testing.T) {
	for _, every := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, time.Second} {
		sim := newZones(t, 1, 64000)
		sim.evacuate(1, "even")
		for range int(20 * time.Second / every) {
			sim.describe(0, 3*time.Second)
			sim.advanceFor(every)
		}
		sim.describe(0, 3*time.Second)
		if withheld := sim.core.agentList[0].cold.withheld.MilliCPU; withheld < 32000 {
			t.Errorf("described every %v: %d of 64000 withheld", every, withheld)
		}
	}
}

// TestEvacuatedAgentsAreNoAlternative guards against a task that waits in vain for an agent in
// an evacuated zone because the only other one has refused it once.
func TestEvacuatedAgentsAreNoAlternative(t *testing.T) {
	sim := newZones(t, 2, 64000)
	sim.evacuate(1, "odd")
	j := sim.submit(jobKind{queue: "label", tasks: 1, runTime: 200 * time.Millisecond})
	for ref := range sim.agents[0].running {
		sim.agents[0].end(ref, message.RunRefused, sim.now)
		sim.agents[0].ends[0].Cause = message.CauseOverloaded
	}
	sim.advanceFor(2 * time.Second)
	is.New(t).True(j.answer != nil && !j.answer.Failed)
}
