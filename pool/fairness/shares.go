// Package fairness divides the capacity of an entry between priorities, queues and
// callers. It is pure: the time is passed in, and it has no clock, goroutine or source
// of randomness.
package fairness

import (
	"math"
	"time"
)

const (
	// timeConstant is the time constant of the averages of offered and served load: long
	// compared with a job, short compared with a burst of some seconds.
	timeConstant = 3 * time.Second
	// updateInterval is the interval between computations of the allocations. They follow
	// averages over timeConstant; a hundredth of it or less is soon enough.
	updateInterval = 10 * time.Millisecond
	// leastShortage is the part of the offered load that must be left unserved before queues are
	// limited: work is served some milliseconds after it is offered, and a few jobs fail.
	leastShortage = 0.03
	// rounding makes up for rounding errors in sums of loads, which would limit a queue that may
	// get all that it is offered.
	rounding = 1 + 1e-9
	// maxPriority is the highest priority that is distinguished; higher ones count as this.
	maxPriority = 7
	// rescaleAfter is how many time constants the landmark of the averages may lie back;
	// exp(32) leaves float64 all of its precision.
	rescaleAfter = 32
)

// Shares keeps the offered and the served load of queues and callers, and allocates the
// served total to them. Each queue is guaranteed a part, the floor, of its max-min fair
// share; the rest goes to priorities in their order, to the queues of a priority by
// max-min fairness, and to the callers of a queue by max-min fairness. Load is work over
// time, in any unit.
//
// Averages use forward decay: what is added at time t is multiplied by
// exp((t - landmark) / timeConstant), so that stored values compare without decaying each.
type Shares struct {
	floor    float64
	queues   []*Queue
	byName   map[string]*Queue
	now      time.Duration
	landmark time.Duration
	// weight is exp((now - landmark) / timeConstant).
	weight    float64
	updatedAt time.Duration
	// capacity is the served load of all queues at updatedAt.
	capacity float64
	refused  float64
	remotes  []remote
}

// Queue is the load of a queue.
type Queue struct {
	priority        int
	offered, served float64
	// totalOffered and totalServed are the loads at all entries, as of the last update.
	totalOffered, totalServed float64
	// allocation is the load that the queue may get; level limits that of each caller.
	allocation, level float64
	// limited is set if more is offered than allocated.
	limited bool
	callers callers
}

// New returns Shares without load. The floor is the part of its max-min fair share, from 0 to
// 1, that each queue is guaranteed.
func New(floor float64) *Shares {
	return &Shares{floor: floor, byName: map[string]*Queue{}, weight: 1, updatedAt: -updateInterval}
}

// Offer adds the work of a submitted job and returns its caller.
func (s *Shares) Offer(now time.Duration, queue string, priority int, caller string, work float64) *Caller {
	s.advance(now)
	q := s.queue(queue, priority)
	c := q.callers.get(now, caller)
	q.offered += work * s.weight
	c.offered += work * s.weight
	return c
}

func (s *Shares) queue(name string, priority int) *Queue {
	q := s.byName[name]
	if q == nil {
		q = &Queue{level: math.Inf(1)}
		q.callers.init(q)
		s.byName[name] = q
		s.queues = append(s.queues, q)
	}
	q.priority = min(max(priority, 0), maxPriority)
	return q
}

// Serve adds the work of a started task; negative work takes back a start that never was.
func (s *Shares) Serve(now time.Duration, c *Caller, work float64) {
	s.advance(now)
	c.queue.served += work * s.weight
	c.current().served += work * s.weight
}

// Withdraw takes back the work of an offered job that another entry serves; negative work adds it
// again.
func (s *Shares) Withdraw(now time.Duration, c *Caller, work float64) {
	s.advance(now)
	c.queue.offered -= work * s.weight
	c.current().offered -= work * s.weight
}

// Refuse adds the work of a refused job.
func (s *Shares) Refuse(now time.Duration, work float64) {
	s.advance(now)
	s.refused += work * s.weight
}

// advance moves the time forward.
func (s *Shares) advance(now time.Duration) {
	if now <= s.now {
		return
	}
	s.now = now
	age := (now - s.landmark).Seconds() / timeConstant.Seconds()
	s.weight = math.Exp(age)
	if age > rescaleAfter {
		s.rescale()
	}
}

// rescale moves the landmark to the present.
func (s *Shares) rescale() {
	factor := 1 / s.weight
	for _, q := range s.queues {
		q.offered *= factor
		q.served *= factor
		q.callers.scale(factor)
	}
	s.refused *= factor
	s.landmark, s.weight = s.now, 1
}

// rate converts a stored value to a load.
func (s *Shares) rate(stored float64) float64 {
	return max(stored, 0) / (s.weight * timeConstant.Seconds())
}

// Update computes the allocations from the loads, at most once per updateInterval.
func (s *Shares) Update(now time.Duration) {
	s.advance(now)
	if now-s.updatedAt < updateInterval {
		return
	}
	s.updatedAt = now
	s.countTotals()
	capacity, total := 0.0, 0.0
	s.capacity = 0
	all := make([]demand, 0, len(s.queues))
	for _, q := range s.queues {
		s.capacity += s.rate(q.served)
		capacity += q.totalServed
		total += q.totalOffered
		all = append(all, demand{q.totalOffered, 1})
	}
	if capacity >= (1-leastShortage)*total {
		capacity = total
	}
	fair := waterLevel(all, capacity*rounding)
	var floors, offered [maxPriority + 1]float64
	left := capacity
	for _, q := range s.queues {
		guaranteed := s.floor * min(q.totalOffered, fair)
		floors[q.priority] += guaranteed
		offered[q.priority] += q.totalOffered
		left -= guaranteed
	}
	for priority := range floors {
		group := floors[priority] + min(max(left, 0), offered[priority]-floors[priority])
		left -= group - floors[priority]
		s.allocate(priority, group)
	}
}

// allocate divides the load of a priority between its queues and their callers. This entry gets
// the same part of a queue's allocation as it has of the queue's offered load.
func (s *Shares) allocate(priority int, load float64) {
	var demands []demand
	for _, q := range s.queues {
		if q.priority == priority {
			demands = append(demands, demand{q.totalOffered, 1})
		}
	}
	level := waterLevel(demands, load*rounding)
	for _, q := range s.queues {
		if q.priority != priority {
			continue
		}
		q.allocation, q.level, q.limited = s.rate(q.offered), math.Inf(1), false
		if q.totalOffered > level {
			q.allocation *= level / q.totalOffered
			q.limited = true
			q.level = waterLevel(q.callers.demands(s), q.allocation)
		}
	}
}

// Limited reports whether a queue is offered more than its allocation, as of the last update.
func (q *Queue) Limited() bool { return q.limited }

// Allocation returns a queue's allocation at this entry and its offered load.
func (s *Shares) Allocation(q *Queue) (allocated, offered float64) {
	return q.allocation, s.rate(q.offered)
}

// Capacity returns the load that was served, as of the last update.
func (s *Shares) Capacity() float64 { return s.capacity }

// Class orders jobs: those with the lower class go first.
type Class int

const (
	// callerBeyond is added to the class of a job whose caller has had its allocation.
	callerBeyond Class = 1
	// queueLimited is added to the class of a job whose queue is offered more than it may get,
	// queueBeyond if it has had that.
	queueLimited Class = 2 * (maxPriority + 1)
	queueBeyond        = 2 * queueLimited
	// Classes is the number of classes.
	Classes = queueBeyond + queueLimited
)

// Class returns the class of a caller's next job: jobs of queues that may get all that they
// are offered, then those of the others within their allocation, then the rest, each by
// priority. The first ones need not wait for the second: their bursts pass, and are limited by
// their allocation, while the second ones use what they get.
func (s *Shares) Class(c *Caller) Class {
	class := StartedClass(c)
	switch q := c.queue; {
	case !q.limited:
	case s.rate(q.served) < q.allocation:
		class += queueLimited
	default:
		class += queueBeyond
	}
	if !s.IsCallerWithin(c) {
		class += callerBeyond
	}
	return class
}

// StartedClass returns the class of a job of which tasks have started: their work is lost if
// the others have to wait, so that it counts as within its share.
func StartedClass(c *Caller) Class { return Class(2 * c.queue.priority) }

// IsWithin reports whether a job of the class is within its shares.
func (c Class) IsWithin() bool { return c < queueBeyond && c&callerBeyond == 0 }

// QueueOf returns the caller's queue.
func (c *Caller) QueueOf() *Queue { return c.queue }

// IsCallerWithin reports whether a caller may get more of its queue's allocation.
func (s *Shares) IsCallerWithin(c *Caller) bool {
	c = c.current()
	allocation := c.queue.level * c.weight()
	return s.rate(c.offered) <= allocation || s.rate(c.served) < allocation
}

// LoadBefore returns the load that goes before the jobs of a caller whenever it arrives: the
// allocations of all other queues if its own is limited, or of the lower priority numbers among
// those that are not, and those of the other callers if the caller has had its own. A job with
// started tasks counts as within its share.
func (s *Shares) LoadBefore(c *Caller, started bool) float64 {
	load := 0.0
	for _, q := range s.queues {
		if q != c.queue && (c.queue.limited && !started || s.GoesBefore(q, c, started)) {
			load += q.allocation
		}
	}
	if own := c.current(); !started && !s.IsCallerWithin(own) {
		load += max(0, c.queue.allocation-c.queue.level*own.weight())
	}
	return load
}

// GoesBefore reports whether all that waits of a queue goes before the jobs of a caller of
// another. Of a queue that is offered more than its allocation, only the allocation does.
func (s *Shares) GoesBefore(q *Queue, c *Caller, started bool) bool {
	return q != c.queue && !q.limited && (c.queue.limited && !started || q.priority < c.queue.priority)
}

// Offered returns the load that is offered to all queues.
func (s *Shares) Offered() float64 {
	load := 0.0
	for _, q := range s.queues {
		load += s.rate(q.offered)
	}
	return load
}
