package credit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRebuildRuns is the minimum number of observed runs between two rebuilds
	// of a group's thresholds. Larger groups wait for rebuildRunsPerEndpoint runs
	// per endpoint, so that the cost per run stays logarithmic and small.
	minRebuildRuns         = 64
	rebuildRunsPerEndpoint = 4
	// maxUnusedTime bounds the time that free slots stay unused while tasks wait for
	// faster ones.
	maxUnusedTime = 100 * time.Millisecond
	// waitWeight is the weight of time in the queue relative to run time. A short
	// task loses more by a wait than a long one gains by a faster endpoint, and
	// it is not known which tasks are short.
	waitWeight = 8
	// unknownBacklog is the backlog until SetBacklog is called; with it, every
	// endpoint is worth using.
	unknownBacklog = math.MaxInt
)

// rebuildThresholds sets the minimum backlog from which each endpoint of the
// group is worth using. A task that takes the endpoint now completes after the
// endpoint's slowness s, in units of a run at slowness 1. If it waits instead,
// the n tasks of the backlog get the faster slots as these become free, at the
// rate R = sum(slots/s) of the faster endpoints, and then run for sum(slots)/R
// on average. So the endpoint is worth using once
// waitWeight*n/R + sum(slots)/R >= s.
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

// countRun counts an observed run and rebuilds the thresholds when enough runs
// have been observed.
func (g *group) countRun() {
	g.runsSinceRebuild++
	if g.runsSinceRebuild >= max(minRebuildRuns, rebuildRunsPerEndpoint*len(g.endpoints)) {
		g.rebuildThresholds()
	}
}

// worthUsing reports whether the endpoint should be used now: the backlog has
// reached its threshold, or tasks have waited for faster slots for maxUnusedTime.
func (p *Placement) worthUsing(now time.Time, e *endpoint) bool {
	if float64(p.backlog) >= e.minBacklog {
		return true
	}
	if p.unusedSince.IsZero() {
		p.unusedSince = now
	}
	return now.Sub(p.unusedSince) >= maxUnusedTime
}
