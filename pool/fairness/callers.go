package fairness

import (
	"math"
	"slices"
	"time"
)

// maxCallers is the number of callers of a queue that are tracked one by one: a caller that
// has a 64th of the load matters to the others, smaller ones don't.
const maxCallers = 64

// Caller is the load of a caller of a queue, or of all callers that are not tracked.
type Caller struct {
	queue           *Queue
	name            string
	offered, served float64
	// rest is set on the load of all callers that are not tracked.
	rest bool
	// dropped is set on a caller that is no longer tracked.
	dropped bool
}

// callers tracks the callers of a queue with the largest offered load exactly, and the others
// together. It is a space-saving sketch, except that a newcomer does not inherit the load of
// the caller whose place it takes: an inherited load would count against it.
type callers struct {
	byName map[string]*Caller
	list   []*Caller
	rest   *Caller
	// restCallers is the number of callers that rest stands for, as of the last allocation.
	restCallers float64
	distinct    distinct
}

func (t *callers) init(q *Queue) {
	t.byName = map[string]*Caller{}
	t.rest = &Caller{queue: q, rest: true}
	t.restCallers = 1
}

// get returns a caller's load. If the table is full, the caller with the smallest offered load
// loses its place.
func (t *callers) get(now time.Duration, name string) *Caller {
	t.distinct.add(now, name)
	if c := t.byName[name]; c != nil {
		return c
	}
	c := &Caller{queue: t.rest.queue, name: name}
	t.byName[name] = c
	if len(t.list) < maxCallers {
		t.list = append(t.list, c)
		return c
	}
	at := 0
	for i, other := range t.list {
		if other.offered < t.list[at].offered {
			at = i
		}
	}
	old := t.list[at]
	old.dropped = true
	delete(t.byName, old.name)
	t.rest.offered += old.offered
	t.rest.served += old.served
	t.list[at] = c
	return c
}

// current returns where a caller's load is counted now.
func (c *Caller) current() *Caller {
	if c.dropped {
		return c.queue.callers.rest
	}
	return c
}

// weight returns the number of callers that a load stands for.
func (c *Caller) weight() float64 {
	if c.rest {
		return c.queue.callers.restCallers
	}
	return 1
}

func (t *callers) scale(factor float64) {
	t.rest.offered *= factor
	t.rest.served *= factor
	for _, c := range t.list {
		c.offered *= factor
		c.served *= factor
	}
}

// demands returns the loads that share the allocation of the queue.
func (t *callers) demands(s *Shares) []demand {
	list := make([]demand, 0, len(t.list)+1)
	for _, c := range t.list {
		list = append(list, demand{s.rate(c.offered), 1})
	}
	t.restCallers = max(1, t.distinct.estimate()-float64(len(t.list)))
	if t.rest.offered > 0 {
		list = append(list, demand{s.rate(t.rest.offered), t.restCallers})
	}
	return list
}

// demand is a load that stands for weight equal ones.
type demand struct{ load, weight float64 }

// waterLevel returns the level of max-min fairness: with each load limited to its weight times
// the level, the loads add up to the capacity. It is infinite if they need no limit.
func waterLevel(demands []demand, capacity float64) float64 {
	sorted := slices.Clone(demands)
	weight := 0.0
	for _, d := range sorted {
		weight += d.weight
	}
	slices.SortFunc(sorted, func(a, b demand) int {
		switch x, y := a.load/a.weight, b.load/b.weight; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	for _, d := range sorted {
		level := max(capacity, 0) / weight
		if d.load/d.weight > level {
			return level
		}
		capacity -= d.load
		weight -= d.weight
	}
	return math.Inf(1)
}
