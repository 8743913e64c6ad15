package soak

import (
	"net/http"
	"syscall"
	"time"

	"marjoramlug.example/marjoramlug/standin/store"
)

// addFault draws one fault and injects it. Most faults are reverted in the
// background, so faults can overlap.
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
			s.logFault("SIGHUP to all entries")
			for _, e := range s.entries {
				e.reload()
			}
		},
		func() { s.isolate(e, span) },
		func() {
			delay := time.Duration(5+s.random.IntN(60)) * time.Millisecond
			s.logFault("%s: packets delayed by %v for %v", e.name, delay, span)
			e.peerProxy.set(networkFault{delay: delay}, span)
		},
		func() { s.storeFault(span) },
		func() { s.endpointFault(a, span) },
		func() {
			s.logFault("%s: endpoint crashed, restarted after %v", a.name, span/4)
			s.crashEndpoint(a)
			time.Sleep(span / 4)
			s.startEndpoint(a)
		},
		func() {
			share := 20 + s.random.IntN(60)
			s.logFault("%s: %d %% of new runs stall for %v", a.name, share, span)
			a.stalledPercent.Store(int32(share))
			s.revertAfter(span, func() { a.stalledPercent.Store(0) })
		},
		func() {
			s.logFault("%s: callers' connections reset", e.name)
			e.addFault(faultAftermath)
			e.callers.resetAll()
		},
		func() {
			s.logFault("two configuration changes, the second large")
			s.configure(0)
			s.configure(100)
		},
		func() {
			s.logFault("job rate tripled for %v", span)
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
	p.addFault(span + resubmitDelay + faultAftermath)
	p.signal(syscall.SIGSTOP)
	s.revertAfter(span, func() { p.signal(syscall.SIGCONT) })
}

func (s *scenario) restart(p *process, downtime time.Duration) {
	s.logFault("%s killed, restarted after %v", p.name, downtime)
	// A process may fail to answer for waitTimeout/10 after its start.
	p.addFault(downtime + waitTimeout/10)
	p.kill()
	time.Sleep(downtime)
	s.must(p.start(s.record))
}

func (s *scenario) stopAndStart(p *process) {
	s.logFault("%s stopped", p.name)
	p.stop(s.record)
	// Callers can't reach a stopped entry until it is ready again; waitTimeout/10
	// is allowed for that.
	p.addFault(waitTimeout / 10)
	s.must(p.start(s.record))
	s.logFault("%s started again", p.name)
}

// isolate drops the packets of the connections that other processes opened to e:
// inbound, outbound or both. Connections that e opened to other entries pass
// through the proxies of those entries and are not affected.
func (s *scenario) isolate(e *entry, span time.Duration) {
	inbound, outbound := true, true
	switch s.random.IntN(3) {
	case 0:
		inbound = false
	case 1:
		outbound = false
	}
	s.logFault("%s: packets dropped for %v (inbound: %v, outbound: %v)", e.name, span, inbound, outbound)
	e.peerProxy.set(networkFault{dropInbound: inbound, dropOutbound: outbound}, span)
}

func (s *scenario) storeFault(span time.Duration) {
	switch s.random.IntN(4) {
	case 0:
		s.logFault("store neither executes nor answers requests for %v", span)
		s.store.SetFaults(store.Faults{Unresponsive: true})
	case 1:
		s.logFault("store answers 503 for %v", span)
		s.store.SetFaults(store.Faults{Status: http.StatusServiceUnavailable})
	case 2:
		s.logFault("store executes requests but loses answers for %v", span)
		s.store.SetFaults(store.Faults{LoseAnswers: true})
	case 3:
		s.logFault("store discards its history and its connections are reset")
		s.store.DropHistory("keyed.op")
		s.storeProxy.resetAll()
	}
	s.revertAfter(span, func() { s.store.SetFaults(store.Faults{}) })
}

func (s *scenario) endpointFault(a *agent, span time.Duration) {
	switch s.random.IntN(4) {
	case 0:
		delay := time.Duration(50+s.random.IntN(1500)) * time.Millisecond
		s.logFault("%s: calls to its endpoint delayed by %v for %v", a.name, delay, span)
		a.callProxy.set(networkFault{delay: delay}, span)
	case 1:
		s.logFault("%s: answers of its endpoint dropped for %v", a.name, span)
		a.callProxy.set(networkFault{dropOutbound: true}, span)
	case 2:
		s.logFault("%s: connections to its endpoint reset", a.name)
		a.callProxy.resetAll()
	case 3:
		s.logFault("%s: heartbeats of its endpoint dropped for %v", a.name, span)
		a.heartbeats.set(networkFault{dropInbound: true}, span)
	}
}
