package emulator

// strike applies a fault and, after its time, ends it.
func (s *simulation) strike(f Fault) {
	switch f.Kind {
	case "kill_entries":
		for _, i := range s.pick(len(s.entries), f.Share) {
			s.entries[i].kill(f.For)
		}
		s.reconnect()
	case "kill_agents":
		for _, i := range s.pick(len(s.agents), f.Share) {
			s.agents[i].kill(f.For)
		}
	case "slow_endpoints":
		for _, i := range s.pick(len(s.agents), f.Share) {
			s.slowDown(i, f)
		}
	case "unanswered_calls":
		for _, i := range s.pick(len(s.agents), f.Share) {
			e := s.agents[i].endpoint
			e.unanswered = f.Factor
			s.clock.after(f.For, func() { e.unanswered = 0 })
		}
	case "burst":
		for i, c := range s.experiment.Classes {
			if f.Class == "" || f.Class == c.Name {
				s.rateFactor[i] *= f.Factor
				s.clock.after(f.For, func() { s.rateFactor[i] /= f.Factor })
			}
		}
	}
}

func (s *simulation) slowDown(i int, f Fault) {
	change := func(factor float64) {
		if s.perfect != nil {
			s.perfect.setSlowness(i, factor)
			return
		}
		e := s.agents[i].endpoint
		e.setSlowness(e.slowness * factor)
	}
	change(f.Factor)
	s.clock.after(f.For, func() { change(1 / f.Factor) })
}

// pick draws a share of n indexes, at least one unless the share is 0.
func (s *simulation) pick(n int, share float64) []int {
	count := min(n, max(1, int(share*float64(n)+0.5)))
	return s.random.Perm(n)[:count]
}
