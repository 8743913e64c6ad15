package credit

import (
	"slices"
	"strings"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/plugin/internal/indexheap"
)

// endpoint is what the placement knows of one endpoint.
type endpoint struct {
	key     dispatch.EndpointKey
	zone    string
	slots   int
	leaving bool
	// announced says that the endpoint has been announced; credits that came first
	// wait for the announcement.
	announced bool
	// group is nil while the endpoint is leaving or not announced.
	group   *group
	free    []*freeCredit
	speed   speed
	health  health
	classes map[string]*candidate
	// minBacklog is the backlog from which the endpoint is worth using.
	minBacklog float64
}

// eligible reports whether the endpoint may get tasks.
func (e *endpoint) eligible() bool {
	return e.announced && !e.leaving && !e.health.quarantined
}

// onTrial reports whether the endpoint may get single trial tasks.
func (e *endpoint) onTrial() bool {
	return e.announced && !e.leaving && e.health.quarantined && len(e.free) > 0
}

// cost is the logarithm of the endpoint's slowness for a class, raised by its
// failures.
func (e *endpoint) cost(class string) float64 {
	return e.speed.slowness(class) + penaltyWeight*max(0, e.health.excessRate-penaltyThreshold)
}

// freeCredit is an available credit and its place in its endpoint's list.
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

// capabilities is what an endpoint offers, in comparable form.
type capabilities struct {
	memory       int64
	accelerators string
}

// anyClass is the key of the order by slowness over all classes. No class has
// this name, so that none is learned for it.
const anyClass = "\x00any"

const acceleratorSeparator = "\x00"

func capabilitiesOf(info message.EndpointInfo) capabilities {
	kinds := slices.Clone(info.Accelerators)
	slices.Sort(kinds)
	return capabilities{memory: info.Memory, accelerators: strings.Join(slices.Compact(kinds), acceleratorSeparator)}
}

// group holds the endpoints of one shape. Few shapes exist, so that a task's
// need is compared with each.
type group struct {
	capabilities     capabilities
	acceleratorKinds []string
	endpoints        map[*endpoint]struct{}
	// available counts the eligible endpoints with a free credit.
	available int
	// runsSinceRebuild counts the runs since the ladder was rebuilt.
	runsSinceRebuild int
	// order holds, by class, the eligible endpoints with a free credit.
	order map[string]*indexheap.Heap[*candidate]
}

func newGroup(s capabilities) *group {
	g := &group{
		capabilities: s,
		endpoints:    map[*endpoint]struct{}{},
		order:        map[string]*indexheap.Heap[*candidate]{},
	}
	if s.accelerators != "" {
		g.acceleratorKinds = strings.Split(s.accelerators, acceleratorSeparator)
	}
	return g
}

// fits reports whether the group's endpoints meet the need. An endpoint that
// declares no memory sets no bound.
func (g *group) fits(need dispatch.Need) bool {
	if need.Accelerator != "" && !slices.Contains(g.acceleratorKinds, need.Accelerator) {
		return false
	}
	return g.capabilities.memory == 0 || need.Memory <= g.capabilities.memory
}

// candidate is an endpoint in the order of one class.
type candidate struct {
	endpoint *endpoint
	class    string
	// cost is the logarithm of the endpoint's slowness for the class. All
	// candidates of an order have the class's run time in common.
	cost float64
	// local says that the endpoint is in the owner's availability zone.
	local    bool
	position int
}

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
