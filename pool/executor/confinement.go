package executor

import "time"

// Entries confine the jobs of a deadly queue to a part of the endpoints. Each computes
// the part itself; as agents report whether confined jobs use their endpoint, entries
// agree on it all the same.

// confinedHold is how long an endpoint stays confined after its last confined run: longer
// than the usual time between two starts there.
const confinedHold = 400 * time.Millisecond

// confinement is the use of the endpoint by confined jobs.
type confinement struct {
	// milliCPU is what their runs use.
	milliCPU int64
	// active is set while they use the endpoint, and while it is away after a crash that
	// happened meanwhile. usedAt is the last time of either.
	active bool
	usedAt time.Duration
}

func (c *Core) updateConfinement() {
	k := &c.confinement
	switch {
	case k.milliCPU > 0, k.active && !c.ready() && !c.evacuation.active:
		k.active, k.usedAt = true, c.now
	case c.now-k.usedAt > confinedHold:
		k.active = false
	}
}
