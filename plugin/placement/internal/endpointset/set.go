// Package endpointset keeps endpoints and credits for the baseline placements,
// which learn nothing and exclude no endpoint.
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

// Set holds endpoints, in the order in which they were first seen, and their free
// credits.
type Set struct {
	byKey     map[dispatch.EndpointKey]*Endpoint
	list      []*Endpoint
	available map[dispatch.Credit]struct{}
}

// New returns an empty set.
func New() Set {
	return Set{
		byKey:     map[dispatch.EndpointKey]*Endpoint{},
		available: map[dispatch.Credit]struct{}{},
	}
}

func (s *Set) endpoint(key dispatch.EndpointKey) *Endpoint {
	e := s.byKey[key]
	if e == nil {
		e = &Endpoint{}
		s.byKey[key] = e
		s.list = append(s.list, e)
	}
	return e
}

// SetEndpoint adds or updates an endpoint.
func (s *Set) SetEndpoint(key dispatch.EndpointKey, _ string, info message.EndpointInfo) {
	e := s.endpoint(key)
	e.announced = true
	e.info = info
}

// RemoveEndpoint removes an endpoint and its credits.
func (s *Set) RemoveEndpoint(key dispatch.EndpointKey) {
	e := s.byKey[key]
	if e == nil {
		return
	}
	for _, c := range e.credits {
		delete(s.available, c)
	}
	delete(s.byKey, key)
	s.list = slices.DeleteFunc(s.list, func(other *Endpoint) bool { return other == e })
}

// Add makes a credit available.
func (s *Set) Add(c dispatch.Credit) {
	if _, added := s.available[c]; added {
		return
	}
	s.available[c] = struct{}{}
	e := s.endpoint(dispatch.EndpointKey{Agent: c.Agent, Endpoint: c.Endpoint})
	e.credits = append(e.credits, c)
}

// Withdraw removes a credit and reports whether it was available.
func (s *Set) Withdraw(session dispatch.Session, id message.CreditID) bool {
	return s.drop(func(c dispatch.Credit) bool { return c.Session == session && c.ID == id })
}

// DropSession removes all credits of a session.
func (s *Set) DropSession(session dispatch.Session) {
	s.drop(func(c dispatch.Credit) bool { return c.Session == session })
}

// drop removes the credits that match and reports whether there were any.
func (s *Set) drop(match func(dispatch.Credit) bool) bool {
	found := false
	for _, e := range s.list {
		e.credits = slices.DeleteFunc(e.credits, func(c dispatch.Credit) bool {
			if !match(c) {
				return false
			}
			delete(s.available, c)
			found = true
			return true
		})
	}
	return found
}

// Free returns the number of available credits at eligible endpoints.
func (s *Set) Free() int {
	free := 0
	for _, e := range s.list {
		if e.eligible() {
			free += len(e.credits)
		}
	}
	return free
}

// CanRun reports whether some available credit meets the need.
func (s *Set) CanRun(_ time.Time, need dispatch.Need) bool {
	return slices.ContainsFunc(s.list, func(e *Endpoint) bool { return e.ready(need) })
}

func (e *Endpoint) ready(need dispatch.Need) bool {
	return e.eligible() && len(e.credits) > 0 && e.meets(need)
}

// CouldRun reports whether some known endpoint, busy or not, meets the need.
func (s *Set) CouldRun(need dispatch.Need) bool {
	return slices.ContainsFunc(s.list, func(e *Endpoint) bool { return e.announced && !e.info.Leaving && e.meets(need) })
}

// Sample returns a random endpoint with a free credit that meets the need, or
// nil.
func (s *Set) Sample(random *rand.Rand, need dispatch.Need) *Endpoint {
	var chosen *Endpoint
	seen := 0
	for _, e := range s.list {
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
func (s *Set) Take(e *Endpoint) dispatch.Credit {
	last := len(e.credits) - 1
	c := e.credits[last]
	e.credits = e.credits[:last]
	delete(s.available, c)
	return c
}

// Free returns the number of the endpoint's free credits.
func (e *Endpoint) Free() int { return len(e.credits) }

// Observe does nothing: a baseline learns nothing.
func (s *Set) Observe(time.Time, dispatch.EndpointKey, string, time.Duration, bool) {}

// Expected returns declared: a baseline learns nothing.
func (s *Set) Expected(_ string, declared time.Duration) time.Duration { return declared }

// Slots returns the number of slots of all eligible endpoints.
func (s *Set) Slots() int {
	slots := 0
	for _, e := range s.list {
		if e.eligible() {
			slots += e.info.Slots
		}
	}
	return slots
}

// NextChange returns the zero time: no endpoint's eligibility changes by itself.
func (s *Set) NextChange() time.Time { return time.Time{} }
