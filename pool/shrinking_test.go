package pool

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A capacity that has shrunk counts from shrinkGrace on: when the endpoint has announced
// it and the agent is in touch again, as the users' rule LIMIT says.
const shrinkGrace = contactTime + announceInterval

const (
	contactTime      = 3 * time.Second
	announceInterval = 100 * tick
)

// checkShrunkCapacity fails if an endpoint is over its capacity after a start. Starts that
// the endpoint carries out late don't count.
func (sim *simulation) checkShrunkCapacity(a *modelAgent) {
	if used, capacity := a.endpoint.used(), a.endpoint.largestCapacity(sim.now-shrinkGrace); used > capacity {
		sim.fail("a start on %s brings it to %d of its %d thousandths of a core", a.name, used, capacity)
	}
}

// TestShrinkingCapacityIsNotExceeded guards against starts beyond a capacity that has
// shrunk while tasks run (the users' rule LIMIT): around crashes, restarts of agents and
// entries, cuts, and unanswered calls and stops.
func TestShrinkingCapacityIsNotExceeded(t *testing.T) {
	starts, shrinks := 0, 0
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newSimulation(seeded{rand.New(rand.NewPCG(seed, 1))}, 3, 4)
		for step := range 300 {
			sim.injectFaultOrJob()
			if step%30 == 0 {
				e := sim.agents[sim.draw.intn(len(sim.agents), "agent that shrinks")].endpoint
				e.setCapacity(sim.now, 6000*int64(1+sim.draw.intn(3, "capacity")))
				shrinks++
			}
			sim.submit(sim.draw.intn(3, "entry"), 3, 6000, 100*time.Millisecond)
			for range 1 + sim.draw.intn(20, "steps") {
				sim.advance()
			}
		}
		if sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		}
		starts += sim.starts
	}
	if starts == 0 {
		t.Fatal("no task was started")
	}
	t.Logf("%d starts, %d changes of capacity", starts, shrinks)
}
