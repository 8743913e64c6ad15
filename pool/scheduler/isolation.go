package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Jobs that may crash their endpoint are isolated from others. A suspect runs with no
// other suspect, so that the next crash tells whether it was the cause. The jobs of a
// deadly queue are confined to a part of the endpoints, which other jobs avoid. Entries
// prefer endpoints on which confined jobs of others run already, so that they agree on
// the part, and an endpoint that is down stays in it: otherwise each crash would cost
// another endpoint.

// isolationShare is the least share of the endpoints on which suspects may run.
const isolationShare = 0.25

// isolation is the state of the isolation of one service's jobs during a step.
type isolation struct {
	// confined holds the agents for the jobs of deadly queues, suspects those for
	// suspects. Other jobs avoid the former.
	confined, suspects map[*agent]bool
	// othersReady is set if an agent that is in neither takes tasks.
	othersReady bool
	// hosted is, by agent, the suspect that runs there.
	hosted map[*agent]*suspect
}

// prepareIsolation computes the isolation of each service with deadly queues or
// suspects. Without either, nothing is isolated.
func (c *Core) prepareIsolation() {
	c.isolations = nil
	if !c.updateDeadly() {
		for _, s := range c.confinements.All() {
			s.count = 0
		}
		if c.suspects.Len() == 0 {
			return
		}
	}
	for _, q := range c.queueList {
		if q.deadly {
			c.isolate(q.service)
		}
	}
	for _, j := range c.jobOrder {
		if !j.answered && j.isSuspect() {
			c.isolate(j.Service)
		}
	}
}

func (c *Core) isolate(service string) {
	if c.isolations[service] != nil {
		return
	}
	if c.isolations == nil {
		c.isolations = map[string]*isolation{}
	}
	c.isolations[service] = c.newIsolation(service)
}

func (c *Core) newIsolation(service string) *isolation {
	iso := &isolation{confined: map[*agent]bool{}, suspects: map[*agent]bool{}, hosted: map[*agent]*suspect{}}
	var agents []*agent
	for _, a := range c.agentList {
		if a.session != 0 && a.endpoint != nil && a.endpoint.Service == service {
			agents = append(agents, a)
		}
	}
	slices.SortFunc(agents, (*agent).compareConfinement)
	confined := c.resizeConfinement(service, agents)
	isolated := max(confined, int(math.Ceil(isolationShare*float64(len(agents)))))
	if ready := slices.IndexFunc(agents, (*agent).isReady); ready >= isolated {
		// A suspect that is sound must not wait for seconds.
		iso.suspects[agents[ready]] = true
	}
	for i, a := range agents {
		iso.confined[a] = i < confined
		iso.suspects[a] = iso.suspects[a] || i < isolated
		iso.othersReady = iso.othersReady || !iso.suspects[a] && a.isReady()
		for _, r := range a.runs.All() {
			if r.job.isSuspect() {
				iso.hosted[a] = r.job.suspect
			}
		}
	}
	return iso
}

// compareConfinement orders agents for confinement. Those that are confined already come
// first, and of these the ones that are away, as to give them back frees no capacity. Of
// the others, the smallest and slowest come first, as a large endpoint serves no more
// jobs of a deadly queue until it crashes than a small one, and those that are away last.
func (a *agent) compareConfinement(b *agent) int {
	return cmp.Or(cmp.Compare(a.confinementGroup(), b.confinementGroup()), cmp.Compare(a.sizeClass(), b.sizeClass()),
		cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

func (a *agent) confinementGroup() int {
	switch {
	case a.confined && !a.isReady():
		return 0
	case a.confined:
		return 1
	case a.isReady():
		return 2
	}
	return 3
}

// sizeClass returns the logarithm of the weighted capacity, rounded so that entries agree
// on it though their estimates of the speed differ.
func (a *agent) sizeClass() float64 { return math.Round(math.Log2(max(a.weightedCapacity(), 1))) }

// isolatedRetry is the time after which a suspect is offered again to an agent that has
// refused it beside another: a third of the duration of the shortest common task.
const isolatedRetry = 20 * time.Millisecond

// isolationAllows reports whether an agent may get tasks of a job.
func (c *Core) isolationAllows(a *agent, j *job) bool {
	iso := c.isolations[j.Service]
	if iso == nil {
		return true
	}
	hosted := iso.hosted[a]
	switch {
	case j.queue.deadly && j.blameOf() >= strongBlame:
		// The endpoint that it may crash can serve several other jobs of its queue.
		return false
	case j.isSuspect():
		free := hosted == nil && (a.isolatedAt == 0 || c.now-a.isolatedAt > isolatedRetry)
		return iso.suspects[a] && (free || hosted == j.suspect)
	case j.queue.deadly:
		return iso.confined[a]
	case !iso.othersReady:
		return true
	case j.suspect != nil:
		// Once a victim of a neighbour is enough.
		return !iso.suspects[a] && hosted == nil
	default:
		return !iso.confined[a] && (hosted == nil || hosted.blame < strongBlame)
	}
}

// isolationStarted records that a task of a job was started on an agent.
func (c *Core) isolationStarted(j *job, task int, a *agent) {
	if j.suspect == nil {
		return
	}
	if j.suspect.crashes[task] >= budgetCrashes {
		j.suspect.starts[task]++
	}
	if iso := c.isolations[j.Service]; iso != nil && j.isSuspect() {
		iso.hosted[a] = j.suspect
	}
}
