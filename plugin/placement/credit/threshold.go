package credit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRebuildRuns is the least number of observed runs between two rebuilds of a
	// ladder. Larger groups wait for ladderShare runs per endpoint, so that the
	// cost per run stays logarithmic and small.
	minRebuildRuns         = 64
	rebuildRunsPerEndpoint = 4
	// maxHold bounds how long free slots stay unused while tasks wait for
	// faster ones.
	maxHold = 100 * time.Millisecond
	// waitWeight is how much time in the queue weighs against the same time of a
	// run: a short task suffers more from a wait than a long one gains from a
	// faster endpoint, and nobody knows which one is short.
	waitWeight = 8
	// unknownBacklog stands for a backlog that nobody has told.
	unknownBacklog = math.MaxInt
)

// rebuildThresholds sets the backlog from which each endpoint of the group is worth
// using. A task that takes the endpoint now completes after its slowness s, in
// units of a run at slowness 1. If it waits instead, the n tasks of the backlog
// get the faster slots as these become free, at the rate R = sum(slots/s) of
// the faster endpoints, and then run for sum(slots)/R on average. So the
// endpoint is worth using once waitWeight*n/R + sum(slots)/R >= s.
func (g *group) rebuildThresholds() {
	g.runsSinceRebuild = 0
	list := make([]*endpoint, 0, len(g.endpoints))
	for e := range g.endpoints {
		if e.eligible() {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *endpoint) int {
		return cmp.Or(
			cmp.Compare(a.cost(anyClass), b.cost(anyClass)),
			cmp.Compare(a.key.Agent, b.key.Agent),
			cmp.Compare(a.key.Endpoint, b.key.Endpoint),
		)
	})
	rate, slots := 0.0, 0.0
	for _, e := range list {
		slowness := math.Exp(e.cost(anyClass))
		e.minBacklog = (slowness*rate - slots) / waitWeight
		rate += float64(e.slots) / slowness
		slots += float64(e.slots)
	}
}

// countRun counts an observed run and rebuilds the ladder when it is due.
func (g *group) countRun() {
	g.runsSinceRebuild++
	if g.runsSinceRebuild >= max(minRebuildRuns, rebuildRunsPerEndpoint*len(g.endpoints)) {
		g.rebuildThresholds()
	}
}

// worthUsing reports whether the endpoint should be used now: the backlog is long
// enough, or the faster slots have kept the tasks waiting for too long.
func (p *Placement) worthUsing(now time.Time, e *endpoint) bool {
	if float64(p.backlog) >= e.minBacklog {
		return true
	}
	if p.heldSince.IsZero() {
		p.heldSince = now
	}
	return now.Sub(p.heldSince) >= maxHold
}
