// Package credit places each task at the endpoint with a free credit where it
// is expected to complete first, by the run times learned for each endpoint and
// class. It ignores the task sizes that callers declare.
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

// ID is the plug-in's module ID.
const ID kernel.ModuleID = "placement.credit"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func() any { return New() }})
}

// Placement chooses the credit with the least expected completion.
//
// Invariant: for each class, a group's order holds exactly the group's eligible
// endpoints with at least one free credit.
type Placement struct {
	zone      string
	endpoints map[dispatch.EndpointKey]*endpoint
	groups    map[capabilities]*group
	// groupList holds the groups in order of creation, so that iteration is
	// deterministic.
	groupList []*group
	sessions  map[dispatch.Session]map[message.CreditID]*freeCredit
	runTimes  runTimes
	free      int
	slots     int
	failures  map[string]*classFailures
	// quarantined is the number of endpoints in quarantine, quarantines the
	// number of quarantines begun so far. trials orders the quarantined endpoints
	// with a free credit by the time of their next trial.
	quarantined int
	quarantines uint64
	trials      *indexheap.Heap[*endpoint]
	// backlog is the number of tasks that wait for credits now.
	backlog int
	// unusedSince is when, after the last pick, free credits were first left unused
	// because tasks wait for faster ones; zero if they were not.
	unusedSince time.Time
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

// SetBacklog sets the number of tasks that wait for credits.
func (p *Placement) SetBacklog(tasks int) { p.backlog = tasks }

// SetEndpoint adds or updates an endpoint.
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

// leaveGroup removes the endpoint from its group.
func (p *Placement) leaveGroup(e *endpoint) {
	if e.group != nil {
		delete(e.group.endpoints, e)
		e.group = nil
	}
}

// joinGroup adds the endpoint to the group with its capabilities.
func (p *Placement) joinGroup(e *endpoint, c capabilities) {
	g := p.groups[c]
	if g == nil {
		g = newGroup(c)
		p.groups[c] = g
		p.groupList = append(p.groupList, g)
	}
	g.endpoints[e] = struct{}{}
	e.group = g
}

// RemoveEndpoint removes an endpoint and its credits.
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

// index adds an eligible endpoint to the counts and to the orders of its group,
// and a quarantined one to the trials.
func (p *Placement) index(e *endpoint) {
	if e.awaitsTrial() {
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

// unindex reverts index. It must be called before the eligibility changes.
func (p *Placement) unindex(e *endpoint) {
	if e.awaitsTrial() {
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

// candidateOf returns the endpoint's candidate for a class, with its current
// cost.
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
	if e.awaitsTrial() && len(e.free) == 1 {
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

// Withdraw removes a credit and reports whether it was available.
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
	if e.awaitsTrial() && len(e.free) == 1 {
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

// removeFromSession removes a credit from the credits of its session.
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

// Free returns the number of available credits at eligible endpoints, plus one
// for each quarantined endpoint with a free credit for a trial.
func (p *Placement) Free() int { return p.free + p.trials.Len() }

// CanRun reports whether some available credit meets the need and is worth
// using now.
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

// Pick removes and returns the credit to use for the task. It returns false if
// no available credit meets the task's need.
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
	p.unusedSince = time.Time{}
	return p.takeCredit(best.endpoint), true
}

// takeCredit removes and returns one of the endpoint's free credits.
func (p *Placement) takeCredit(e *endpoint) dispatch.Credit {
	f := e.free[len(e.free)-1]
	p.removeCredit(f)
	return f.Credit
}

// orderOf returns the group's order for a class and builds it at first use.
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

// Observe updates the learned run times and failure rates after a run has ended.
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

// reorder updates the endpoint's position in the orders that hold it, after its
// learned costs have changed.
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

// Expected returns the learned mean run time of a class, or declared if none has
// been learned.
func (p *Placement) Expected(class string, declared time.Duration) time.Duration {
	return p.runTimes.expected(class, declared)
}

// Slots returns the number of slots of all eligible endpoints.
func (p *Placement) Slots() int { return p.slots }

// NextChange returns the earlier of two times: when credits that wait for faster
// ones may be used at the latest, and when the next trial is due. It returns the
// zero time if there is neither.
func (p *Placement) NextChange() time.Time {
	var next time.Time
	if !p.unusedSince.IsZero() {
		next = p.unusedSince.Add(maxUnusedTime)
	}
	if p.trials.Len() > 0 {
		if trial := p.trials.Top().health.nextTrial; next.IsZero() || trial.Before(next) {
			next = trial
		}
	}
	return next
}
