package dispatch_test

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
)

const (
	simSeed = 20261204
	// warmUp is excluded from the figures, because the policies have no estimates
	// yet.
	warmUp   = 20 * time.Second
	measured = 60 * time.Second
	// drainTime is the time after the last arrival in which jobs can end.
	drainTime = 60 * time.Second
	faultAt   = 30 * time.Second
	faultEnd  = 40 * time.Second
	// burstLoad is the load during a burst, which lasts burstTime.
	burstLoad = 4.0
	burstTime = 2 * time.Second
)

var policies = []policySet{
	{name: "policy", queueing: "queueing.fair", placement: "placement.credit", admission: "admission.deadline"},
	{name: "fifo", queueing: "queueing.fifo", placement: "placement.credit", admission: "admission.open"},
	{name: "twochoices", queueing: "queueing.fifo", placement: "placement.twochoices", admission: "admission.open", push: true},
	{name: "random", queueing: "queueing.fifo", placement: "placement.random", admission: "admission.open", push: true},
}

// scenario describes a simulation except for its policies.
type scenario struct {
	profile profile
	load    float64
	owners  int
	faults  []fault
	seed    uint64
	// measured is the time after warmUp in which arriving jobs are counted.
	measured  time.Duration
	deadlines bool
}

func (sc scenario) String() string {
	name := fmt.Sprintf("%s %.0f%%", sc.profile.name, sc.load*100)
	if sc.owners > 1 {
		name += fmt.Sprintf(" %d owners", sc.owners)
	}
	for i, f := range sc.faults {
		name += []string{" ", "+"}[min(i, 1)] + f.name
	}
	return name
}

// fault is a fault that begins at faultAt and ends at faultEnd.
type fault struct {
	name   string
	begin  func(s *sim)
	end    func(s *sim)
	bursts bool
}

// victim is the index of the fastest backend, whose loss costs most. The next
// backend is used by kill-agent, so that it can be combined with other faults.
const victim = 3

var faults = map[string]fault{}

func init() {
	for _, f := range []fault{
		{name: "slow-endpoint", begin: func(s *sim) { s.backends[victim].speed /= 8 }, end: func(s *sim) { s.backends[victim].speed *= 8 }},
		{name: "fail-fast", begin: func(s *sim) { s.backends[victim].failing = true }, end: func(s *sim) { s.backends[victim].failing = false }},
		{name: "all-fail", begin: func(s *sim) { s.setFailing(true) }, end: func(s *sim) { s.setFailing(false) }},
		{name: "kill-agent", begin: func(s *sim) { s.kill(victim + 1) }, end: func(s *sim) { s.connect(victim + 1) }},
		{name: "cancel-wave", begin: func(s *sim) { s.cancelHalf() }, end: func(s *sim) { s.cancelHalf() }},
		{name: "drain", begin: func(s *sim) { s.drain(victim) }, end: func(s *sim) { s.connect(victim) }},
		{name: "burst", begin: func(*sim) {}, end: func(*sim) {}, bursts: true},
	} {
		faults[f.name] = f
	}
}

func (s *sim) setFailing(failing bool) {
	for _, b := range s.backends {
		b.failing = failing
	}
}

// kill terminates a backend with all its running tasks.
func (s *sim) kill(b int) {
	be := s.backends[b]
	be.dead = true
	be.running, be.waiting = nil, nil
	for o := range s.cores {
		s.step(o, dispatch.AgentDisconnected{Session: s.session(b)})
	}
}

// drain marks a backend as leaving: it accepts no new starts.
func (s *sim) drain(b int) {
	s.backends[b].leaving = true
	s.announce(b)
}

// cancelHalf cancels every second job that has not ended.
func (s *sim) cancelHalf() {
	n := 0
	for _, a := range s.arrived {
		if a.ended {
			continue
		}
		if n++; n%2 == 0 {
			a.cancelled = true
			s.step(s.ownerOf(a.submit), dispatch.JobCancelled{Job: a.submit.Job})
		}
	}
}

// play simulates a scenario with a policy.
func (sc scenario) play(policy policySet) *sim {
	end := warmUp + sc.measured
	peak, rate := sc.load, func(time.Duration) float64 { return sc.load }
	for _, f := range sc.faults {
		if f.bursts {
			peak, rate = burstLoad, sc.burstRate
		}
	}
	jobs := workload(sc.profile, sc.seed, end, peak, rate, sc.deadlines)
	s := newSim(policy, max(sc.owners, 1), sc.service(), fleet(sc.profile.zones))
	s.results.from, s.results.to = warmUp, end
	for i, a := range jobs {
		s.at(a.at, func() { s.submit(i, a) })
	}
	for _, f := range sc.faults {
		s.at(faultAt, func() { f.begin(s) })
		s.at(faultEnd, func() { f.end(s) })
	}
	s.run(end + drainTime)
	return s
}

func (sc scenario) burstRate(t time.Duration) float64 {
	if t >= faultAt && t < faultAt+burstTime {
		return burstLoad
	}
	return sc.load
}

// service returns the configuration of the service: the defaults.
func (sc scenario) service() config.Service { return config.Service{} }

func (s *sim) submit(i int, a *arrival) {
	s.arrived = append(s.arrived, a)
	w := dispatch.Waiter{Relay: 1, Request: uint64(i + 1)}
	s.results.jobs[a.submit.Job] = a
	s.results.waiters[w] = a
	o := s.ownerOf(a.submit)
	s.step(o, dispatch.JobSubmitted{Waiter: w, Submit: a.submit})
	s.results.maxQueued = max(s.results.maxQueued, s.cores[o].Queued())
}
