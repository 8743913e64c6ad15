// Package credit places each task at the endpoint with a free credit where it
// is expected to complete first, by the run times learned for each endpoint and
// class. The sizes that callers declare are not believed.
package credit

import (
	"maps"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/plugin/internal/indexheap"
)

// ID names the plug-in.
const ID kernel.ModuleID = "placement.credit"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func() any { return New() }})
}

// Placement chooses the credit with the least expected completion.
//
// Invariant: a group's order of a class holds exactly its eligible endpoints
// with at least one free credit.
type Placement struct {
	zone      string
	endpoints map[dispatch.EndpointKey]*endpoint
	groups    map[capabilities]*group
	// groupList holds the groups in order of creation, so that runs repeat.
	groupList []*group
	sessions  map[dispatch.Session]map[message.CreditID]*freeCredit
	runTimes  runTimes
	free      int
	slots     int
	failures  map[string]*classFailures
	// quarantined counts the endpoints in quarantine, quarantines all that have
	// begun; trials holds those of them with a free credit by the time of their
	// next trial.
	quarantined int
	quarantines uint64
	trials      *indexheap.Heap[*endpoint]
	// backlog is the number of tasks that want the credits now.
	backlog int
	// heldSince is when free credits were first left unused for the sake of
	// faster ones since the last pick, or zero.
	heldSince time.Time
}

// New returns a placement without endpoints.
func New() *Placement {
	return &Placement{
		endpoints: map[dispatch.EndpointKey]*endpoint{},
		groups:    map[capabilities]*group{},
		sessions:  map[dispatch.Session]map[message.CreditID]*freeCredit{},
		failures:  map[string]*classFailures{},
		trials:    newTrials(),
		backlog:   unknownBacklog,
		runTimes:  runTimes{classes: map[string]*classRunTimes{}},
	}
}

// SetZone sets the owner's availability zone.
func (p *Placement) SetZone(zone string) { p.zone = zone }

// SetBacklog sets the number of tasks that want the credits.
func (p *Placement) SetBacklog(tasks int) { p.backlog = tasks }

// SetEndpoint adds or changes an endpoint.
func (p *Placement) SetEndpoint(key dispatch.EndpointKey, zone string, info message.EndpointInfo) {
	e := p.endpointOf(key)
	p.unindex(e)
	e.announced = true
	e.zone = zone
	e.slots = info.Slots
	e.leaving = info.Leaving
	p.leaveGroup(e)
	if !e.leaving {
		p.joinGroup(e, capabilitiesOf(info))
	}
	p.index(e)
}

func (p *Placement) endpointOf(key dispatch.EndpointKey) *endpoint {
	e := p.endpoints[key]
	if e == nil {
		e = &endpoint{key: key, classes: map[string]*candidate{}}
		e.health.position = indexheap.None
		p.endpoints[key] = e
	}
	return e
}

// leaveGroup takes the endpoint out of its group.
func (p *Placement) leaveGroup(e *endpoint) {
	if e.group != nil {
		delete(e.group.endpoints, e)
		e.group = nil
	}
}

// joinGroup adds the endpoint to the group of its shape.
func (p *Placement) joinGroup(e *endpoint, s capabilities) {
	g := p.groups[s]
	if g == nil {
		g = newGroup(s)
		p.groups[s] = g
		p.groupList = append(p.groupList, g)
	}
	g.endpoints[e] = struct{}{}
	e.group = g
}

// RemoveEndpoint drops an endpoint and its credits.
func (p *Placement) RemoveEndpoint(key dispatch.EndpointKey) {
	e := p.endpoints[key]
	if e == nil {
		return
	}
	p.unindex(e)
	for _, f := range e.free {
		p.removeFromSession(f)
	}
	p.leaveGroup(e)
	p.removeHealth(e)
	delete(p.endpoints, key)
}

// index counts an eligible endpoint and enters it into the orders of its group.
func (p *Placement) index(e *endpoint) {
	if e.onTrial() {
		p.trials.Push(e)
	}
	if !e.eligible() {
		return
	}
	p.slots += e.slots
	p.free += len(e.free)
	if len(e.free) > 0 {
		p.addCandidates(e)
	}
}

// unindex undoes show. It must be called before eligibility changes.
func (p *Placement) unindex(e *endpoint) {
	if e.onTrial() {
		p.trials.Remove(e)
	}
	if !e.eligible() {
		return
	}
	p.slots -= e.slots
	p.free -= len(e.free)
	if len(e.free) > 0 {
		p.removeCandidates(e)
	}
}

func (p *Placement) addCandidates(e *endpoint) {
	e.group.available++
	for class, order := range e.group.order {
		order.Push(p.candidateOf(e, class))
	}
}

func (p *Placement) removeCandidates(e *endpoint) {
	e.group.available--
	for class, order := range e.group.order {
		order.Remove(e.classes[class])
	}
}

// candidateOf returns the endpoint's candidate of a class with its cost of now.
func (p *Placement) candidateOf(e *endpoint, class string) *candidate {
	c := e.classes[class]
	if c == nil {
		c = &candidate{endpoint: e, class: class, position: indexheap.None}
		e.classes[class] = c
	}
	c.cost = e.cost(class)
	c.local = e.zone == p.zone
	return c
}

// Add makes a credit available.
func (p *Placement) Add(c dispatch.Credit) {
	credits := p.sessions[c.Session]
	if credits == nil {
		credits = map[message.CreditID]*freeCredit{}
		p.sessions[c.Session] = credits
	}
	if credits[c.ID] != nil {
		return
	}
	e := p.endpointOf(dispatch.EndpointKey{Agent: c.Agent, Endpoint: c.Endpoint})
	f := &freeCredit{Credit: c, endpoint: e}
	credits[c.ID] = f
	e.addFree(f)
	if e.onTrial() && len(e.free) == 1 {
		p.trials.Push(e)
	}
	if !e.eligible() {
		return
	}
	p.free++
	if len(e.free) == 1 {
		p.addCandidates(e)
	}
}

// Withdraw removes a credit; it reports whether it was available.
func (p *Placement) Withdraw(session dispatch.Session, id message.CreditID) bool {
	f := p.sessions[session][id]
	if f == nil {
		return false
	}
	p.removeCredit(f)
	return true
}

// removeCredit removes an available credit.
func (p *Placement) removeCredit(f *freeCredit) {
	p.removeFromSession(f)
	e := f.endpoint
	if e.onTrial() && len(e.free) == 1 {
		p.trials.Remove(e)
	}
	if e.eligible() {
		p.free--
		if len(e.free) == 1 {
			p.removeCandidates(e)
		}
	}
	e.removeFree(f)
}

// removeFromSession removes a credit from its session's.
func (p *Placement) removeFromSession(f *freeCredit) {
	credits := p.sessions[f.Session]
	delete(credits, f.ID)
	if len(credits) == 0 {
		delete(p.sessions, f.Session)
	}
}

// DropSession removes all credits of a session.
func (p *Placement) DropSession(session dispatch.Session) {
	credits := p.sessions[session]
	for _, id := range slices.Sorted(maps.Keys(credits)) {
		p.removeCredit(credits[id])
	}
}

// Free is the number of available credits at eligible endpoints, and one for
// each quarantined endpoint that may be tried.
func (p *Placement) Free() int { return p.free + p.trials.Len() }

// CanRun reports whether some available credit meets the need and is worth
// using.
func (p *Placement) CanRun(now time.Time, need dispatch.Need) bool {
	if e := p.dueTrial(now); e != nil && e.group.fits(need) {
		return true
	}
	for _, g := range p.groupList {
		if g.available > 0 && g.fits(need) && p.worthUsing(now, p.orderOf(g, anyClass).Top().endpoint) {
			return true
		}
	}
	return false
}

// CouldRun reports whether some known endpoint, busy or not, meets the need.
func (p *Placement) CouldRun(need dispatch.Need) bool {
	for _, g := range p.groupList {
		if len(g.endpoints) > 0 && g.fits(need) {
			return true
		}
	}
	return false
}

// Pick removes and returns the credit to use for the task.
func (p *Placement) Pick(now time.Time, t *dispatch.QueuedTask) (dispatch.Credit, bool) {
	if e := p.dueTrial(now); e != nil && e.group.fits(t.Need) {
		p.beginTrial(now, e)
		return p.takeCredit(e), true
	}
	var best *candidate
	for _, g := range p.groupList {
		if g.available == 0 || !g.fits(t.Need) {
			continue
		}
		if c := p.orderOf(g, t.Class).Top(); best == nil || cheaper(c, best) {
			best = c
		}
	}
	if best == nil {
		return dispatch.Credit{}, false
	}
	p.heldSince = time.Time{}
	return p.takeCredit(best.endpoint), true
}

// takeCredit takes one of the endpoint's free credits.
func (p *Placement) takeCredit(e *endpoint) dispatch.Credit {
	f := e.free[len(e.free)-1]
	p.removeCredit(f)
	return f.Credit
}

// orderOf returns the group's order of a class and builds it at first use.
func (p *Placement) orderOf(g *group, class string) *indexheap.Heap[*candidate] {
	order := g.order[class]
	if order != nil {
		return order
	}
	order = indexheap.New(cheaper, func(c *candidate) *int { return &c.position })
	for e := range g.endpoints {
		if e.eligible() && len(e.free) > 0 {
			order.Push(p.candidateOf(e, class))
		}
	}
	g.order[class] = order
	return order
}

// Observe learns from an ended run.
func (p *Placement) Observe(now time.Time, key dispatch.EndpointKey, class string, run time.Duration, failed bool) {
	e := p.endpoints[key]
	if e == nil {
		return
	}
	p.recordResult(e, class, failed)
	p.updateQuarantine(now, e, failed)
	if !failed {
		p.runTimes.observe(e, class, run)
	}
	p.reorder(e)
	if e.group != nil {
		e.group.countRun()
	}
}

// reorder applies the endpoint's learned costs to the orders that it is in.
func (p *Placement) reorder(e *endpoint) {
	if e.group == nil {
		return
	}
	for class, order := range e.group.order {
		if c := e.classes[class]; c != nil && order.Contains(c) {
			order.Fix(p.candidateOf(e, class))
		}
	}
}

// Expected returns the learned run time of a class, or declared.
func (p *Placement) Expected(class string, declared time.Duration) time.Duration {
	return p.runTimes.expected(class, declared)
}

// Slots is the number of slots of all eligible endpoints.
func (p *Placement) Slots() int { return p.slots }

// NextChange is when credits that are held back for the sake of faster ones
// will be used, or when a trial is due.
func (p *Placement) NextChange() time.Time {
	var next time.Time
	if !p.heldSince.IsZero() {
		next = p.heldSince.Add(maxHold)
	}
	if p.trials.Len() > 0 {
		if trial := p.trials.Top().health.nextTrial; next.IsZero() || trial.Before(next) {
			next = trial
		}
	}
	return next
}
