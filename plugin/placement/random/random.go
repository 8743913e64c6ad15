// Package random is the placement baseline that places each task at a random
// endpoint with a free credit, regardless of its load and speed.
package random

import (
	"math/rand/v2"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/plugin/placement/internal/endpointset"
)

// ID is the plug-in's module ID.
const ID kernel.ModuleID = "placement.random"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func() any { return New(1) }})
}

// Placement chooses an endpoint with a free credit at random.
type Placement struct {
	endpointset.Set
	random *rand.Rand
}

// New returns a placement whose choices are determined by the seed.
func New(seed uint64) *Placement {
	return &Placement{Set: endpointset.New(), random: rand.New(rand.NewPCG(seed, seed))}
}

// Pick removes and returns the credit to use for the task. It returns false if
// no available credit meets the task's need.
func (p *Placement) Pick(_ time.Time, t *dispatch.QueuedTask) (dispatch.Credit, bool) {
	e := p.Sample(p.random, t.Need)
	if e == nil {
		return dispatch.Credit{}, false
	}
	return p.Take(e), true
}
