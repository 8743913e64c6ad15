package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/standin/runner"
)

const (
	// deadlyShare is the percentage of the jobs that are deadly, for deadlySpan from
	// deadlyStart on.
	deadlyShare = 10
	deadlyStart = 1500 * time.Millisecond
	deadlySpan  = 3500 * time.Millisecond
	// shrinkGrace is the time for which the users tolerate starts that use a capacity
	// that has shrunk: their contact time and one heartbeat.
	shrinkGrace = 3*time.Second + heartbeatInterval
)

// deadlySeeds is the list of fixedSeeds for TestSoakWithDeadlyJobs.
var deadlySeeds = map[uint64]string{
	1:              "short run for CI",
	50286408489281: "a task was started four times more after three endpoints had crashed under it",
}

// TestSoakWithDeadlyJobs guards against tasks that crash endpoint after endpoint (the
// users' rule BUDGET) and starts over a capacity that has shrunk (LIMIT), while processes
// fail as in TestSoak.
func TestSoakWithDeadlyJobs(t *testing.T) {
	for _, seed := range seedsToRun(deadlySeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed, 0, (*scenario).addDeadlyJobs)
		})
	}
}

// addDeadlyJobs makes a share of the jobs deadly for a time, and lets the capacity of
// each endpoint shrink and grow.
func (s *scenario) addDeadlyJobs() {
	s.record.allowFailureAfter(crashesToFail)
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	s.revertAfter(deadlyStart, func() {
		s.logFault("%d %% of the jobs are deadly for %v", deadlyShare, deadlySpan)
		s.deadlyPercent.Store(deadlyShare)
	})
	s.revertAfter(deadlyStart+deadlySpan, func() { s.deadlyPercent.Store(0) })
	for _, a := range s.agents {
		shrinkAt := time.Duration(random.IntN(2000)) * time.Millisecond
		left := int64(1+random.IntN(slots-1)) * taskCPU
		s.revertAfter(shrinkAt, func() {
			s.logFault("%s: capacity of its endpoint shrinks to %d", a.name, left)
			s.setCapacity(a, left)
		})
		s.revertAfter(shrinkAt+shrinkGrace+time.Second, func() { s.setCapacity(a, slots*taskCPU) })
	}
}

// setCapacity changes the capacity of an agent's endpoint, also of its later
// incarnations.
func (c *cluster) setCapacity(a *agent, cpu int64) {
	a.endpointMu.Lock()
	defer a.endpointMu.Unlock()
	a.capacity = cpu
	if a.endpointUp {
		a.runner.SetCapacity(cpu)
	}
}

// crashAndRestart crashes an incarnation of an agent's endpoint some milliseconds after
// the start of a deadly task, and starts the next one.
func (c *cluster) crashAndRestart(a *agent, endpoint *runner.Runner) {
	time.Sleep(time.Duration(5+rand.IntN(10)) * time.Millisecond)
	a.endpointMu.Lock()
	crashed := a.endpointUp && a.runner == endpoint
	if crashed {
		c.crashEndpointLocked(a)
	}
	a.endpointMu.Unlock()
	if crashed {
		c.record.count("deadly crashes")
		time.Sleep(time.Duration(300+rand.IntN(700)) * time.Millisecond)
		c.startEndpoint(a)
	}
}
