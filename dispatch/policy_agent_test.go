package dispatch_test

import (
	"math"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	heartbeat = time.Second
	// pushCredits is how many tasks a pushing policy may queue at a backend.
	pushCredits = 1000
	// ownerIdle is how long an owner must have started nothing before its credits
	// are moved to an owner that requests some.
	ownerIdle = 100 * time.Millisecond
	// sessionStep is the distance between the session numbers of a backend's
	// incarnations. Backends are numbered within it.
	sessionStep = 1000
)

// backend is a simulated endpoint with its agent.
type backend struct {
	name, zone             string
	slots                  int
	speed                  float64
	failing, leaving, dead bool
	incarnation            int
	sequence               message.Sequence
	credits                message.CreditID
	owners                 []ownerState
	waiting                []*execution
	running                map[message.StartID]*execution
}

// ownerState is the state that a backend's agent keeps for one owner. tag orders
// the owners that need credits, the least first; each grant advances it by the
// inverse of the owner's number of callers.
type ownerState struct {
	held                    []message.CreditID
	queued, urgent, callers int
	tag                     float64
	lastStart               time.Duration
}

// execution is the run of a start that a backend has accepted.
type execution struct {
	start  *message.Start
	owner  int
	begun  time.Duration
	failed bool
}

func (s *sim) session(b int) dispatch.Session {
	return dispatch.Session(s.backends[b].incarnation*sessionStep + b)
}

// connect begins a backend's sessions and grants credits for its slots.
func (s *sim) connect(b int) {
	be := s.backends[b]
	be.incarnation++
	be.dead, be.leaving = false, false
	be.running, be.waiting = map[message.StartID]*execution{}, nil
	be.owners = make([]ownerState, len(s.cores))
	for o := range s.cores {
		s.step(o, dispatch.AgentConnected{
			Session: s.session(b), Agent: be.name, Incarnation: uint64(be.incarnation), Zone: be.zone, Registered: true,
		})
	}
	s.announce(b)
	n := be.slots
	if s.policy.push {
		n = pushCredits
	}
	s.grantCredits(b, n)
}

// grantCredits grants n credits, each to the neediest owner.
func (s *sim) grantCredits(b, n int) {
	be := s.backends[b]
	grants := make([][]message.Grant, len(s.cores))
	for range n {
		o := be.neediest(b % len(s.cores))
		grants[o] = append(grants[o], be.grant(o))
	}
	for o, g := range grants {
		if len(g) > 0 {
			s.send(b, o, &message.Credits{Service: simService, Sequence: be.nextSequence(), Grants: g})
		}
	}
}

func (be *backend) neediest(preferred int) int {
	best := preferred
	for o := range be.owners {
		if be.owners[o].before(&be.owners[best]) {
			best = o
		}
	}
	return best
}

func (a *ownerState) needs() bool { return a.queued > len(a.held) }

func (a *ownerState) before(b *ownerState) bool {
	switch {
	case a.needs() != b.needs():
		return a.needs()
	case !a.needs():
		return len(a.held) < len(b.held)
	case (a.urgent > len(a.held)) != (b.urgent > len(b.held)):
		return a.urgent > len(a.held)
	default:
		return a.tag < b.tag
	}
}

// updateDemand records an owner's reported queue. An owner that begins to wait
// starts at the lowest tag of those that wait, so that its idle time gives it
// no advantage.
func (be *backend) updateDemand(a *ownerState, queued, urgent, callers int) {
	began := !a.needs()
	a.queued, a.urgent, a.callers = queued, urgent, callers
	least := math.Inf(1)
	for i := range be.owners {
		if b := &be.owners[i]; b != a && b.needs() {
			least = min(least, b.tag)
		}
	}
	if began && a.needs() && !math.IsInf(least, 1) {
		a.tag = max(a.tag, least)
	}
}

func (be *backend) grant(o int) message.Grant {
	be.credits++
	state := &be.owners[o]
	state.tag += 1 / float64(max(state.callers, 1))
	be.owners[o].held = append(be.owners[o].held, be.credits)
	return message.Grant{Credit: be.credits, Endpoint: be.name}
}

func (be *backend) nextSequence() message.Sequence {
	be.sequence++
	return be.sequence
}

func (s *sim) announce(b int) {
	be := s.backends[b]
	info := message.EndpointInfo{Name: be.name, Slots: be.slots, Leaving: be.leaving}
	for o := range s.cores {
		s.send(b, o, &message.Announce{Service: simService, Sequence: be.nextSequence(), Endpoints: []message.EndpointInfo{info}})
	}
}

// sendHeartbeats sends the heartbeats. They are not counted as messages, since
// their number does not depend on the tasks.
func (s *sim) sendHeartbeats() {
	for b, be := range s.backends {
		for o := range s.cores {
			if !be.dead {
				s.step(o, dispatch.AgentMessage{Session: s.session(b), Message: &message.Heartbeat{Sequence: be.nextSequence()}})
			}
		}
	}
	s.at(s.now+heartbeat, s.sendHeartbeats)
}

// send counts and delivers a backend's message.
func (s *sim) send(b, o int, m message.Message) {
	s.results.messages++
	s.step(o, dispatch.AgentMessage{Session: s.session(b), Message: m})
}

// toBackend counts and delivers an owner's message.
func (s *sim) toBackend(o int, a dispatch.Send) {
	s.results.messages++
	b := int(a.Session % sessionStep)
	if s.backends[b].dead || a.Session != s.session(b) {
		return
	}
	switch m := a.Message.(type) {
	case *message.Start:
		s.accept(b, o, m)
	case *message.Cancel:
		for _, id := range m.Starts {
			s.stop(b, id)
		}
	case *message.Demand:
		s.demand(b, o, m)
	}
}

func (s *sim) accept(b, o int, m *message.Start) {
	be := s.backends[b]
	state := &be.owners[o]
	i := slices.Index(state.held, m.Credit)
	if be.leaving || i < 0 {
		s.report(b, &execution{start: m, owner: o}, message.TaskResult{Verdict: verdict.NotRun, Reason: verdict.ReasonLeaving})
		return
	}
	state.held = slices.Delete(state.held, i, i+1)
	state.lastStart = s.now
	be.updateDemand(state, m.Queued, m.Urgent, m.Callers)
	be.waiting = append(be.waiting, &execution{start: m, owner: o})
	s.fill(b)
}

// fill runs waiting tasks in the free slots.
func (s *sim) fill(b int) {
	be := s.backends[b]
	for len(be.running) < be.slots && len(be.waiting) > 0 {
		x := be.waiting[0]
		be.waiting = be.waiting[1:]
		x.begun, x.failed = s.now, be.failing
		be.running[x.start.ID] = x
		run := s.results.begin(s.now, be, x)
		s.at(s.now+run, func() { s.complete(b, x, run) })
	}
}

func (s *sim) complete(b int, x *execution, run time.Duration) {
	if s.backends[b].running[x.start.ID] != x {
		return
	}
	r := message.TaskResult{Verdict: verdict.Ran, Status: 200, RunMicros: run.Microseconds()}
	if x.failed {
		r.Verdict, r.Reason, r.Status = verdict.MayHaveRun, verdict.ReasonBadResponse, 0
	}
	s.results.completed(x)
	s.report(b, x, r)
}

// stop cancels a start, running or waiting.
func (s *sim) stop(b int, id message.StartID) {
	be := s.backends[b]
	r := message.TaskResult{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCancelled}
	x := be.running[id]
	if x == nil {
		i := slices.IndexFunc(be.waiting, func(x *execution) bool { return x.start.ID == id })
		if i < 0 {
			return
		}
		x, r.Verdict = be.waiting[i], verdict.NotRun
		be.waiting = slices.Delete(be.waiting, i, i+1)
	}
	s.report(b, x, r)
}

// report ends a start. The result carries the next credit if that goes to the
// same owner.
func (s *sim) report(b int, x *execution, r message.TaskResult) {
	be := s.backends[b]
	delete(be.running, x.start.ID)
	m := &message.Result{Service: simService, ID: x.start.ID, Sequence: be.nextSequence(), Result: r}
	sameOwner := s.policy.push || be.neediest(x.owner) == x.owner
	if sameOwner && !be.leaving {
		m.Grants = []message.Grant{be.grant(x.owner)}
	}
	s.send(b, x.owner, m)
	if !sameOwner && !be.leaving {
		s.grantCredits(b, 1)
	}
	s.fill(b)
}

// demand accepts returned credits, and moves half of an idle owner's credits to
// an owner that requests some.
func (s *sim) demand(b, o int, m *message.Demand) {
	be := s.backends[b]
	state := &be.owners[o]
	be.updateDemand(state, m.Queued, m.Urgent, m.Callers)
	free := len(state.held)
	state.held = slices.DeleteFunc(state.held, func(id message.CreditID) bool { return slices.Contains(m.Returned, id) })
	free -= len(state.held)
	for other := range be.owners {
		idle := &be.owners[other]
		n := min(m.Queued-len(state.held)-free, (len(idle.held)+1)/2)
		if other == o || idle.queued > 0 || s.now-idle.lastStart < ownerIdle || n <= 0 {
			continue
		}
		kept := len(idle.held) - n
		s.send(b, other, &message.Withdraw{Service: simService, Sequence: be.nextSequence(), Credits: slices.Clone(idle.held[kept:])})
		idle.held = idle.held[:kept]
		free += n
	}
	s.grantCredits(b, free)
}
