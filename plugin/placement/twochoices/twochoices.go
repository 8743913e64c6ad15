// Package twochoices is the placement baseline that compares the queue lengths of
// two random endpoints and places the task at the one with the shorter queue.
package twochoices

import (
	"math/rand/v2"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/plugin/placement/internal/endpointset"
)

// ID is the plug-in's module ID.
const ID kernel.ModuleID = "placement.twochoices"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func() any { return New(1) }})
}

// ProbeMessages is the number of messages that one choice costs: a request to
// each of two endpoints and their responses.
const ProbeMessages = 4

// Placement chooses the endpoint with the shorter queue of two.
type Placement struct {
	endpointset.Set
	random *rand.Rand
	probes uint64
}

// New returns a placement whose choices are determined by the seed.
func New(seed uint64) *Placement {
	return &Placement{Set: endpointset.New(), random: rand.New(rand.NewPCG(seed, seed))}
}

// Pick removes and returns the credit to use for the task, or false if none meets
// its need. Agents grant the same number of credits, so that the shorter queue is
// at the endpoint with more free credits.
func (p *Placement) Pick(_ time.Time, t *dispatch.QueuedTask) (dispatch.Credit, bool) {
	first := p.Sample(p.random, t.Need)
	second := p.Sample(p.random, t.Need)
	if first == nil {
		return dispatch.Credit{}, false
	}
	p.probes++
	if second.Free() > first.Free() {
		first = second
	}
	return p.Take(first), true
}

// Messages returns the number of probe messages so far.
func (p *Placement) Messages() uint64 { return p.probes * ProbeMessages }
