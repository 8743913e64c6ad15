package emulator

import "slices"

// strike applies a fault and, after its time, ends it.
func (s *simulation) strike(f Fault) {
	switch f.Kind {
	case "kill_entries":
		for _, i := range s.pick(len(s.entries), f.Share) {
			s.entries[i].kill(f.For)
		}
		s.reconnect()
	case "burst":
		for i, c := range s.experiment.Classes {
			if f.Class == "" || f.Class == c.Name {
				s.rateFactor[i] *= f.Factor
				s.clock.after(f.For, func() { s.rateFactor[i] /= f.Factor })
			}
		}
	case "move_callers":
		s.moves = append(s.moves, f)
		s.clock.after(f.For, func() { s.moves = slices.DeleteFunc(s.moves, func(m Fault) bool { return m == f }) })
	case "deadly_jobs":
		for i, c := range s.experiment.Classes {
			if f.Class == "" || f.Class == c.Name {
				s.deadlyShare[i] += f.Share
				s.clock.after(f.For, func() { s.deadlyShare[i] -= f.Share })
			}
		}
	default:
		for _, i := range s.pick(s.experiment.agentCount(), f.Share) {
			if s.perfect != nil {
				s.perfect.strike(s.perfect.endpoints[i], f)
			} else {
				s.agents[i].strike(f)
			}
		}
	}
}

// strike applies a fault to an agent or its endpoint.
func (a *agentNode) strike(f Fault) {
	e := a.endpoint
	switch f.Kind {
	case "kill_agents":
		a.kill(f.For)
	case "crash_endpoints":
		e.crash(f.For)
	case "slow_endpoints":
		e.setSlowness(e.slowness * f.Factor)
		a.sim.clock.after(f.For, func() { e.setSlowness(e.slowness * (1 / f.Factor)) })
	case "unanswered_calls":
		e.unanswered = f.Factor
		a.sim.clock.after(f.For, func() { e.unanswered = 0 })
	}
}

// strike slows an endpoint down, for tasks that start from now on. The other faults
// of agents and endpoints do not exist for perfect knowledge.
func (q *perfectQueue) strike(e *perfectEndpoint, f Fault) {
	if f.Kind == "slow_endpoints" {
		e.slowness *= f.Factor
		q.sim.clock.after(f.For, func() { e.slowness *= 1 / f.Factor })
	}
}

// pick draws a share of n indexes, at least one unless n is 0.
func (s *simulation) pick(n int, share float64) []int {
	count := min(n, max(1, int(share*float64(n)+0.5)))
	return s.random.Perm(n)[:count]
}
