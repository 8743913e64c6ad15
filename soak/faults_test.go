package soak

import (
	"net/http"
	"syscall"
	"time"

	"marjoramlug.example/marjoramlug/standin/store"
)

// disturb draws one fault. Faults overlap and come in series.
func (s *scenario) addFault() {
	e := s.entries[s.random.IntN(len(s.entries))]
	a := s.agents[s.random.IntN(len(s.agents))]
	span := time.Duration(100+s.random.IntN(2400)) * time.Millisecond
	faults := []func(){
		func() { s.pause(&e.process, span) },
		func() { s.pause(&a.process, span) },
		func() { s.restart(&e.process, span/3) },
		func() { s.restart(&a.process, span/3) },
		func() { s.stopAndStart(&e.process) },
		func() { s.stopAndStart(&a.process) },
		func() {
			s.logFault("SIGHUP to all")
			for _, e := range s.entries {
				e.reload()
			}
		},
		func() { s.isolate(e, span) },
		func() {
			delay := time.Duration(5+s.random.IntN(60)) * time.Millisecond
			s.logFault("%s: packets %v late for %v", e.name, delay, span)
			e.peers.set(networkFault{delay: delay}, span)
		},
		func() { s.storeFault(span) },
		func() { s.endpointFault(a, span) },
		func() {
			s.logFault("%s's endpoint crashes, back after %v", a.name, span/4)
			s.crashEndpoint(a)
			time.Sleep(span / 4)
			s.startEndpoint(a)
		},
		func() {
			share := 20 + s.random.IntN(60)
			s.logFault("%s: %d %% of tasks stand still for %v", a.name, share, span)
			a.stalledPercent.Store(int32(share))
			s.revertAfter(span, func() { a.stalledPercent.Store(0) })
		},
		func() {
			s.logFault("connections of callers to %s reset", e.name)
			e.addFault(recoveryTime)
			e.callers.resetAll()
		},
		func() {
			s.logFault("two configuration changes, the second a large one")
			s.configure(0)
			s.configure(100)
		},
		func() {
			s.logFault("three times the jobs for %v", span)
			s.setLoadFactor(3)
			s.revertAfter(span, func() { s.setLoadFactor(1) })
		},
	}
	faults[s.random.IntN(len(faults))]()
}

func (s *scenario) setLoadFactor(f float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadFactor = f
}

func (s *scenario) pause(p *process, span time.Duration) {
	s.logFault("%s paused for %v", p.name, span)
	p.addFault(span + resubmitDelay + recoveryTime)
	p.signal(syscall.SIGSTOP)
	s.revertAfter(span, func() { p.signal(syscall.SIGCONT) })
}

func (s *scenario) restart(p *process, downtime time.Duration) {
	s.logFault("%s killed, back after %v", p.name, downtime)
	p.addFault(downtime + startTimeout/10)
	p.kill()
	time.Sleep(downtime)
	s.must(p.start(s.record))
}

func (s *scenario) stopAndStart(p *process) {
	s.logFault("%s stopped", p.name)
	p.stop(s.record)
	// Callers of a stopped entry are turned away until it is back.
	p.addFault(startTimeout / 10)
	s.must(p.start(s.record))
	s.logFault("%s started again", p.name)
}

func (s *scenario) isolate(e *entry, span time.Duration) {
	inbound, outbound := true, true
	switch s.random.IntN(3) {
	case 0:
		inbound = false
	case 1:
		outbound = false
	}
	s.logFault("%s cut off for %v: to it %v, from it %v", e.name, span, inbound, outbound)
	e.peers.set(networkFault{dropInbound: inbound, dropOutbound: outbound}, span)
}

func (s *scenario) storeFault(span time.Duration) {
	switch s.random.IntN(4) {
	case 0:
		s.logFault("store silent for %v", span)
		s.store.SetFaults(store.Faults{Silent: true})
	case 1:
		s.logFault("store refuses for %v", span)
		s.store.SetFaults(store.Faults{Status: http.StatusServiceUnavailable})
	case 2:
		s.logFault("store loses answers for %v", span)
		s.store.SetFaults(store.Faults{LoseAnswers: true})
	case 3:
		s.logFault("store forgets its history and breaks connections")
		s.store.Forget("keyed.op")
		s.storeProxy.resetAll()
	}
	s.revertAfter(span, func() { s.store.SetFaults(store.Faults{}) })
}

func (s *scenario) endpointFault(a *agent, span time.Duration) {
	switch s.random.IntN(4) {
	case 0:
		delay := time.Duration(50+s.random.IntN(1500)) * time.Millisecond
		s.logFault("%s: calls carried out %v late for %v", a.name, delay, span)
		a.calls.set(networkFault{delay: delay}, span)
	case 1:
		s.logFault("%s: answers of its endpoint lost for %v", a.name, span)
		a.calls.set(networkFault{dropOutbound: true}, span)
	case 2:
		s.logFault("%s: connections to its endpoint reset", a.name)
		a.calls.resetAll()
	case 3:
		s.logFault("%s: heartbeats of its endpoint lost for %v", a.name, span)
		a.heartbeats.set(networkFault{dropInbound: true}, span)
	}
}
