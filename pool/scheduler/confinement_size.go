package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The jobs of deadly queues are confined to as many endpoints as the other jobs can do
// without: each further one that crashes lets more of their sound jobs complete, and
// costs nobody anything.

// maxOthersUse is the utilization up to which the endpoints that are left to other jobs
// may be loaded. A confinement grows only while it stays below othersUseToGrow.
const (
	maxOthersUse    = 0.9
	othersUseToGrow = 0.85
)

// confinement is the part of a service's endpoints to which deadly queues are confined.
type confinement struct {
	// count is the number of its endpoints; 0 if no queue is confined.
	count int
	// othersWork is the moving average of the work that other jobs have on the endpoints,
	// in thousandths of a core at the speed of an average endpoint, observedAt the time
	// of its last update.
	othersWork float64
	observedAt time.Duration
	// follows is set while this entry, which was not there when the confinement began,
	// keeps to what others have confined.
	follows bool
}

func (c *Core) confinementOf(service string) *confinement {
	s := c.confinements.Get(service)
	if s == nil {
		s = &confinement{}
		c.confinements.Set(service, s)
	}
	return s
}

// weightedCapacity returns the capacity of an agent's endpoint at the speed of an
// average one, in thousandths of a core.
func (a *agent) weightedCapacity() float64 {
	return float64(a.endpoint.Capacity.MilliCPU) / a.slowness()
}

// observeOthersWork updates the work of jobs that are not confined, of this entry and
// of others.
func (c *Core) observeOthersWork() {
	if c.now-c.settlingSince <= settleTime {
		return
	}
	work := map[string]float64{}
	for _, a := range c.agentList {
		if a.isReady() {
			work[a.endpoint.Service] += float64(a.usedByOthers()) / a.slowness()
		}
	}
	for service := range work {
		c.confinementOf(service)
	}
	for service, s := range c.confinements.All() {
		if s.observedAt == 0 {
			s.othersWork, s.follows = work[service], c.confinedAgents(service) > 0
		}
		// While queues are confined, others may be refused for lack of capacity and use
		// less than they need.
		if s.count == 0 || work[service] > s.othersWork {
			weight := 1 - math.Exp(-(c.now-s.observedAt).Seconds()/loadTimeConstant.Seconds())
			s.othersWork += weight * (work[service] - s.othersWork)
		}
		s.observedAt = c.now
	}
}

// confinedAgents returns the number of a service's agents that are confined, by this
// entry or by another one.
func (c *Core) confinedAgents(service string) int {
	n := 0
	for _, a := range c.agentList {
		if a.session != 0 && a.confined && a.endpoint != nil && a.endpoint.Service == service {
			n++
		}
	}
	return n
}

// queueConfined accounts for a queue whose jobs no longer count as other jobs, or do so
// again.
func (s *confinement) queueConfined(confined bool, shareOfLoad float64) {
	left := max(1-shareOfLoad, 1-maxDeadlyShare)
	if confined {
		s.othersWork *= left
		return
	}
	s.othersWork /= left
}

// resizeConfinement sets and returns the number of confined endpoints of a service,
// given all its agents in the order in which they are confined.
func (c *Core) resizeConfinement(service string, agents []*agent) int {
	s := c.confinementOf(service)
	if others := c.confinedAgents(service); s.observedAt == 0 || s.follows {
		s.follows = s.observedAt == 0 || others > 0
		s.count = others
		return s.count
	}
	load, needed := c.confinedLoad(service, agents)
	if needed == 0 {
		s.count = 0
		return 0
	}
	least, most := max(1, load), min(needed, len(agents))
	count := min(max(s.count, spared(agents, s.othersWork/othersUseToGrow)), spared(agents, s.othersWork/maxOthersUse))
	count = max(min(count, most), min(least, len(agents)))
	if count != s.count {
		s.count = count
		c.emit(Note{What: "confinement resized", Subject: service, Detail: fmt.Sprintf(
			"%d of %d endpoints, other jobs use %.0f cores", count, len(agents), s.othersWork/1000)})
	}
	return count
}

// spared returns how many agents, from the first one on, can be spared so that the
// others that are ready have at least the given weighted capacity.
func spared(agents []*agent, capacity float64) int {
	left := 0.0
	for i, a := range slices.Backward(agents) {
		if left >= capacity {
			return i + 1
		}
		if a.isReady() {
			left += a.weightedCapacity()
		}
	}
	return 0
}

// confinedLoad returns the number of endpoints that the load of a service's deadly
// queues takes, and the number needed to serve it all although the crashes that it
// causes take endpoints away. This entry's own mix of queues stands for that of all
// entries.
func (c *Core) confinedLoad(service string, agents []*agent) (load, needed int) {
	othersRate, capacity := 0.0, 0.0
	for _, q := range c.queueList {
		if q.service == service && !q.deadly {
			othersRate += q.offeredLoad.rate(c.now)
		}
	}
	for _, a := range agents {
		capacity += a.weightedCapacity()
	}
	usable := maxOthersUse * max(capacity/float64(len(agents)), 1)
	use, crashed := 0.0, 0.0
	for _, q := range c.queueList {
		if q.service == service && q.deadly {
			work := c.confinementOf(service).othersWork * q.offeredLoad.rate(c.now) / max(othersRate, 1)
			use += work / usable
			crashed += work / max(q.meanWork, 1) * q.risk() * crashOutage.Seconds()
		}
	}
	return int(use), int(math.Ceil(use + crashed))
}
