package credit

import (
	"slices"
	"strings"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/plugin/internal/indexheap"
)

// endpoint is the placement's state of one endpoint.
type endpoint struct {
	key     dispatch.EndpointKey
	zone    string
	slots   int
	leaving bool
	// announced is set once SetEndpoint was called. Credits that arrive earlier
	// stay unused until then.
	announced bool
	// group is nil while the endpoint is leaving or not announced.
	group    *group
	free     []*freeCredit
	slowness slowness
	health   health
	classes  map[string]*candidate
	// minBacklog is the number of waiting tasks from which the endpoint is worth
	// using.
	minBacklog float64
}

// eligible reports whether the endpoint may get tasks.
func (e *endpoint) eligible() bool {
	return e.announced && !e.leaving && !e.health.quarantined
}

// awaitsTrial reports whether the endpoint is quarantined and has a free credit
// for a trial task.
func (e *endpoint) awaitsTrial() bool {
	return e.announced && !e.leaving && e.health.quarantined && len(e.free) > 0
}

// cost returns the logarithm of the endpoint's slowness for a class plus a
// penalty for its failures.
func (e *endpoint) cost(class string) float64 {
	return e.slowness.logarithm(class) + penaltyWeight*max(0, e.health.excessRate-penaltyThreshold)
}

// freeCredit is an available credit and its index in its endpoint's list.
type freeCredit struct {
	dispatch.Credit
	endpoint *endpoint
	index    int
}

func (e *endpoint) addFree(c *freeCredit) {
	c.index = len(e.free)
	e.free = append(e.free, c)
}

func (e *endpoint) removeFree(c *freeCredit) {
	last := len(e.free) - 1
	e.free[c.index] = e.free[last]
	e.free[c.index].index = c.index
	e.free[last] = nil
	e.free = e.free[:last]
}

// capabilities are an endpoint's memory and its sorted, joined accelerator
// kinds, in a form that can be a map key.
type capabilities struct {
	memory       int64
	accelerators string
}

// anyClass is the key of the order by slowness over all classes. No class has
// this name, so that the overall slowness is always used for it.
const anyClass = "\x00any"

const acceleratorSeparator = "\x00"

func capabilitiesOf(info message.EndpointInfo) capabilities {
	kinds := slices.Clone(info.Accelerators)
	slices.Sort(kinds)
	return capabilities{memory: info.Memory, accelerators: strings.Join(slices.Compact(kinds), acceleratorSeparator)}
}

// group holds the endpoints with equal capabilities. There are few groups, so it is
// cheap to compare a task's need with each of them.
type group struct {
	capabilities     capabilities
	acceleratorKinds []string
	endpoints        map[*endpoint]struct{}
	// available is the number of eligible endpoints with a free credit.
	available int
	// runsSinceRebuild is the number of runs observed since the thresholds were
	// last computed.
	runsSinceRebuild int
	// order holds, by class, the eligible endpoints with a free credit.
	order map[string]*indexheap.Heap[*candidate]
}

func newGroup(c capabilities) *group {
	g := &group{
		capabilities: c,
		endpoints:    map[*endpoint]struct{}{},
		order:        map[string]*indexheap.Heap[*candidate]{},
	}
	if c.accelerators != "" {
		g.acceleratorKinds = strings.Split(c.accelerators, acceleratorSeparator)
	}
	return g
}

// fits reports whether the group's endpoints meet the need. An endpoint that
// declares no memory meets any need for memory.
func (g *group) fits(need dispatch.Need) bool {
	if need.Accelerator != "" && !slices.Contains(g.acceleratorKinds, need.Accelerator) {
		return false
	}
	return g.capabilities.memory == 0 || need.Memory <= g.capabilities.memory
}

// candidate is an endpoint's element in the order of one class.
type candidate struct {
	endpoint *endpoint
	class    string
	// cost is the logarithm of the endpoint's slowness for the class plus its
	// failure penalty. The class's run time is the same for all candidates of an
	// order and is left out.
	cost float64
	// local is set if the endpoint is in the owner's availability zone.
	local    bool
	position int
}

// cheaper orders candidates by cost, then local ones first, then by key.
func cheaper(a, b *candidate) bool {
	switch {
	case a.cost != b.cost:
		return a.cost < b.cost
	case a.local != b.local:
		return a.local
	case a.endpoint.key.Agent != b.endpoint.key.Agent:
		return a.endpoint.key.Agent < b.endpoint.key.Agent
	default:
		return a.endpoint.key.Endpoint < b.endpoint.key.Endpoint
	}
}
