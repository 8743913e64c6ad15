// Package endpointset keeps endpoints and credits for the baseline placements, which
// learn nothing and exclude no endpoint.
package endpointset

import (
	"math/rand/v2"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
)

// Endpoint is an endpoint and its free credits.
type Endpoint struct {
	info      message.EndpointInfo
	announced bool
	credits   []dispatch.Credit
}

func (e *Endpoint) eligible() bool { return e.announced && !e.info.Leaving }

func (e *Endpoint) meets(need dispatch.Need) bool {
	if need.Accelerator != "" && !slices.Contains(e.info.Accelerators, need.Accelerator) {
		return false
	}
	return e.info.Memory == 0 || need.Memory <= e.info.Memory
}

// Set holds endpoints in the order in which they were first seen.
type Set struct {
	byKey     map[dispatch.EndpointKey]*Endpoint
	list      []*Endpoint
	available map[dispatch.Credit]struct{}
}

// New returns an empty pool.
func New() Set {
	return Set{
		byKey:     map[dispatch.EndpointKey]*Endpoint{},
		available: map[dispatch.Credit]struct{}{},
	}
}

func (p *Set) endpoint(key dispatch.EndpointKey) *Endpoint {
	e := p.byKey[key]
	if e == nil {
		e = &Endpoint{}
		p.byKey[key] = e
		p.list = append(p.list, e)
	}
	return e
}

// SetEndpoint adds or updates an endpoint.
func (p *Set) SetEndpoint(key dispatch.EndpointKey, _ string, info message.EndpointInfo) {
	e := p.endpoint(key)
	e.announced = true
	e.info = info
}

// RemoveEndpoint removes an endpoint and its credits.
func (p *Set) RemoveEndpoint(key dispatch.EndpointKey) {
	e := p.byKey[key]
	if e == nil {
		return
	}
	for _, c := range e.credits {
		delete(p.available, c)
	}
	delete(p.byKey, key)
	p.list = slices.DeleteFunc(p.list, func(other *Endpoint) bool { return other == e })
}

// Add makes a credit available.
func (p *Set) Add(c dispatch.Credit) {
	if _, added := p.available[c]; added {
		return
	}
	p.available[c] = struct{}{}
	e := p.endpoint(dispatch.EndpointKey{Agent: c.Agent, Endpoint: c.Endpoint})
	e.credits = append(e.credits, c)
}

// Withdraw removes a credit and reports whether it was available.
func (p *Set) Withdraw(session dispatch.Session, id message.CreditID) bool {
	return p.drop(func(c dispatch.Credit) bool { return c.Session == session && c.ID == id })
}

// DropSession removes all credits of a session.
func (p *Set) DropSession(session dispatch.Session) {
	p.drop(func(c dispatch.Credit) bool { return c.Session == session })
}

// drop removes the credits that match and reports whether there were any.
func (p *Set) drop(match func(dispatch.Credit) bool) bool {
	found := false
	for _, e := range p.list {
		e.credits = slices.DeleteFunc(e.credits, func(c dispatch.Credit) bool {
			if !match(c) {
				return false
			}
			delete(p.available, c)
			found = true
			return true
		})
	}
	return found
}

// Free returns the number of available credits at eligible endpoints.
func (p *Set) Free() int {
	free := 0
	for _, e := range p.list {
		if e.eligible() {
			free += len(e.credits)
		}
	}
	return free
}

// CanRun reports whether some available credit meets the need.
func (p *Set) CanRun(_ time.Time, need dispatch.Need) bool {
	return slices.ContainsFunc(p.list, func(e *Endpoint) bool { return e.ready(need) })
}

func (e *Endpoint) ready(need dispatch.Need) bool {
	return e.eligible() && len(e.credits) > 0 && e.meets(need)
}

// CouldRun reports whether some known endpoint, busy or not, meets the need.
func (p *Set) CouldRun(need dispatch.Need) bool {
	return slices.ContainsFunc(p.list, func(e *Endpoint) bool { return e.announced && !e.info.Leaving && e.meets(need) })
}

// Sample returns a random endpoint with a free credit that meets the need, or
// nil.
func (p *Set) Sample(random *rand.Rand, need dispatch.Need) *Endpoint {
	var chosen *Endpoint
	seen := 0
	for _, e := range p.list {
		if !e.ready(need) {
			continue
		}
		seen++
		if random.IntN(seen) == 0 {
			chosen = e
		}
	}
	return chosen
}

// Take removes and returns a credit of the endpoint, which must have one.
func (p *Set) Take(e *Endpoint) dispatch.Credit {
	last := len(e.credits) - 1
	c := e.credits[last]
	e.credits = e.credits[:last]
	delete(p.available, c)
	return c
}

// Free returns the number of the endpoint's free credits.
func (e *Endpoint) Free() int { return len(e.credits) }

// Observe does nothing: a baseline learns nothing.
func (p *Set) Observe(time.Time, dispatch.EndpointKey, string, time.Duration, bool) {}

// Expected returns declared: a baseline learns nothing.
func (p *Set) Expected(_ string, declared time.Duration) time.Duration { return declared }

// Slots returns the number of slots of all eligible endpoints.
func (p *Set) Slots() int {
	slots := 0
	for _, e := range p.list {
		if e.eligible() {
			slots += e.info.Slots
		}
	}
	return slots
}

// NextChange returns the zero time: no endpoint's eligibility changes by itself.
func (p *Set) NextChange() time.Time { return time.Time{} }
