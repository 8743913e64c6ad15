package soak

import (
	"fmt"
	"testing"
	"time"
)

const (
	// evacuateWithin is the users' bound on the time from an evacuation to the last start in
	// the zone, evacuateUnstable what they add while the store is unstable.
	evacuateWithin   = 5 * time.Second
	evacuateUnstable = 6 * time.Second
	// firstZone is evacuated before the processes start, so that they know of it before their
	// first start, and secondZone in turn.
	firstZone, secondZone = "z0", "z1"
)

// evacuationSeeds is the list of fixedSeeds for TestSoakWithEvacuations.
var evacuationSeeds = map[uint64]string{1: "short run for CI"}

// TestSoakWithEvacuations guards against starts in an evacuated zone, while processes fail as
// in TestSoak, and against endpoints that stay unused when the evacuation has ended.
func TestSoakWithEvacuations(t *testing.T) {
	for _, seed := range seedsToRun(evacuationSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed, evacuateWithin, (*scenario).addEvacuations)
		})
	}
}

// addEvacuations ends the evacuation of firstZone, whose endpoints stay cold for a time, and
// evacuates secondZone for the rest of the scenario.
func (s *scenario) addEvacuations() {
	turn := *faultPeriod / 2
	s.revertAfter(turn, func() {
		s.logFault("%s is evacuated in place of %s", secondZone, firstZone)
		s.record.endEvacuation(firstZone)
		for _, a := range s.agents {
			if s.zoneOf(a) == firstZone {
				s.setCold(a, time.Second)
			}
		}
		s.store.Evacuate(firstZone, false)
		s.store.Evacuate(secondZone, true)
		s.record.evacuate(secondZone, evacuateWithin+evacuateUnstable)
	})
	s.revertAfter(*faultPeriod, func() {
		s.logFault("the evacuation of %s ends", secondZone)
		s.record.endEvacuation(secondZone)
		s.store.Evacuate(secondZone, false)
	})
}

func (c *cluster) setCold(a *agent, d time.Duration) {
	a.endpointMu.Lock()
	defer a.endpointMu.Unlock()
	if a.endpointUp {
		a.runner.SetCold(d)
	}
}

// zoneOf returns the zone of an agent's endpoint: two zones in turn.
func (c *cluster) zoneOf(a *agent) string {
	var n int
	if _, err := fmt.Sscanf(a.name, "agent-%d", &n); err != nil {
		panic(err) // all agents are named like this
	}
	return fmt.Sprintf("z%d", n%2)
}

func (c *cluster) evacuationSettings() string {
	if c.evacuateWithin == 0 {
		return ""
	}
	return fmt.Sprintf("  evacuation: {within: %v}\n", c.evacuateWithin)
}

// evacuate lets no task start in a zone from the given time on.
func (r *record) evacuate(zone string, within time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated[zone] = time.Now().Add(within)
}

func (r *record) endEvacuation(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.evacuated, zone)
}

// checkZone checks a start at an agent's endpoint.
func (r *record) checkZone(agent, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, evacuated := r.evacuated[zone]
	switch late := time.Since(from); {
	case !evacuated:
	case late < 0:
		r.counts["starts within the time to evacuate"]++
	default:
		r.addViolationLocked("a task was started at %s in %s, %v after the time to evacuate it", agent, zone, late)
	}
}
