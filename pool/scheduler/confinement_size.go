package scheduler

import (
	"fmt"
	"math"
	"time"
)

// The jobs of deadly queues are confined to as many endpoints as the other jobs can do
// without: each further one that crashes lets more of their sound jobs complete, and
// costs nobody anything.

const (
	// maxOthersUse is the utilization up to which the endpoints that are left to other
	// jobs may be loaded.
	maxOthersUse = 0.8
	// countHysteresis is how far, in endpoints, the computed size of a confinement must
	// be beyond the next whole number before the size changes.
	countHysteresis = 0.25
)

// confinement is the part of a service's endpoints to which deadly queues are confined.
type confinement struct {
	// count is the number of its endpoints; 0 if no queue is confined.
	count int
	// othersUse is the moving average of what other jobs use, in thousandths of a core,
	// observedAt the time of its last update.
	othersUse  float64
	observedAt time.Duration
}

func (c *Core) confinementOf(service string) *confinement {
	s := c.confinements.Get(service)
	if s == nil {
		s = &confinement{}
		c.confinements.Set(service, s)
	}
	return s
}

// observeUse updates what jobs that are not confined use.
func (c *Core) observeUse() {
	use := map[string]float64{}
	for _, a := range c.agentList {
		if !a.isReady() {
			continue
		}
		service := a.endpoint.Service
		if iso := c.isolations[service]; iso == nil || !iso.confined[a] {
			use[service] += float64(max(a.endpoint.Capacity.MilliCPU-a.freeCapacity().MilliCPU, 0))
		}
	}
	for service := range use {
		c.confinementOf(service)
	}
	for service, s := range c.confinements.All() {
		if s.observedAt == 0 {
			s.othersUse = use[service]
		} else {
			weight := 1 - math.Exp(-(c.now-s.observedAt).Seconds()/loadTimeConstant.Seconds())
			s.othersUse += weight * (use[service] - s.othersUse)
		}
		s.observedAt = c.now
	}
}

// queueConfined accounts for a queue whose jobs no longer count as other jobs, or do so
// again.
func (s *confinement) queueConfined(confined bool, shareOfLoad float64) {
	left := max(1-shareOfLoad, 1-maxDeadlyShare)
	if confined {
		s.othersUse *= left
		return
	}
	s.othersUse /= left
}

// resizeConfinement sets and returns the number of confined endpoints of a service, given all its endpoints in
// the order in which they are confined.
func (c *Core) resizeConfinement(service string, agents []*agent) int {
	s := c.confinementOf(service)
	away := 0
	for _, a := range agents[min(s.count, len(agents)):] {
		if !a.isReady() {
			away++
		}
	}
	usable := maxOthersUse * max(c.meanCapacity(), 1)
	load, needed := c.confinedLoad(service, s.othersUse, usable)
	if needed == 0 {
		s.count = 0
		return 0
	}
	spare := float64(len(agents)-away) - s.othersUse/usable
	size := min(max(spare, math.Floor(load)), needed)
	if wanted := int(size); wanted > s.count && size < float64(s.count+1)+countHysteresis ||
		wanted < s.count && size >= float64(s.count)-countHysteresis {
		size = float64(s.count)
	}
	count := min(max(1, int(size)), len(agents))
	if count != s.count {
		s.count = count
		c.emit(Note{What: "confinement resized", Subject: service, Detail: fmt.Sprintf(
			"%d of %d endpoints, %d away, others use %.0f cores", count, len(agents), away, s.othersUse/1000)})
	}
	return count
}

// confinedLoad returns the endpoints that the load of a service's deadly queues takes,
// and those that are needed to serve it all although the crashes that it causes take
// endpoints away. This entry's own mix of queues stands for that of all entries.
func (c *Core) confinedLoad(service string, othersUse, usable float64) (load, needed float64) {
	others := 0.0
	for _, q := range c.queueList {
		if q.service == service && !q.deadly {
			others += q.offeredLoad.rate(c.now)
		}
	}
	for _, q := range c.queueList {
		if q.service != service || !q.deadly {
			continue
		}
		use := othersUse * q.offeredLoad.rate(c.now) / max(others, 1)
		load += use / usable
		needed += use/usable + use/max(q.meanWork, 1)*q.risk()*crashOutage.Seconds()
	}
	return load, math.Ceil(needed)
}
