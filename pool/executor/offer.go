package executor

import (
	"cmp"
	"slices"

	"marjoramlug.example/marjoramlug/message"
)

// Capacity that becomes free under contention is reserved for one entry at a
// time, the one with the lowest rank. Without this, all entries would race for
// it and all but one would be refused.

// unreserved returns the capacity that is neither used nor offered to an entry
// other than except. There is none while unknown runs, which may take any of it, are
// being stopped.
func (c *Core) unreserved(except *entry) message.Resources {
	if c.endpoint.unknownRuns.Len() > 0 {
		return message.Resources{}
	}
	free := c.endpoint.capacity.Minus(c.used)
	for _, en := range c.entries.All() {
		if en != except && en.hasOffer(c) {
			free = free.Minus(en.offered)
		}
	}
	return free
}

func (en *entry) hasOffer(c *Core) bool {
	return en.session != 0 && !en.offered.IsZero() && c.now < en.offeredUntil
}

// freeFor returns the free capacity that an entry may use now; it is zero while
// the endpoint is not ready.
func (c *Core) freeFor(en *entry) message.Resources {
	if !c.ready() {
		return message.Resources{}
	}
	free := c.unreserved(en)
	return message.Resources{
		MilliCPU: max(free.MilliCPU, 0), MemoryMB: max(free.MemoryMB, 0), Accelerators: max(free.Accelerators, 0),
	}
}

// deductOffer subtracts the need of a started task from the entry's offer.
func (en *entry) deductOffer(need message.Resources) {
	left := en.offered.Minus(need)
	if left.MilliCPU <= 0 {
		left = message.Resources{}
	}
	en.offered = left
}

// offerCapacity reserves free capacity for entries with waiting tasks, the lowest
// rank first and, among equal ranks, the entry whose last offer is the oldest.
func (c *Core) offerCapacity() {
	if !c.ready() {
		return
	}
	var waiting []*entry
	for _, en := range c.entries.All() {
		if !en.offered.IsZero() && c.now >= en.offeredUntil || en.holding {
			// What is held grows with what has become free since. As the lowest rank gets
			// all of it in each step, two entries can't wait for each other's part.
			en.offered, en.holding = message.Resources{}, false
		}
		if en.session != 0 && en.demand.Count > 0 && !en.hasOffer(c) {
			waiting = append(waiting, en)
		}
	}
	if len(waiting) == 0 || c.entries.Len() < 2 {
		return
	}
	slices.SortFunc(waiting, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.demand.Rank, b.demand.Rank), cmp.Compare(a.lastOffer, b.lastOffer),
			cmp.Compare(a.key.name, b.key.name))
	})
	free := c.unreserved(nil)
	for _, en := range waiting {
		n := en.demand.Need.Copies(free, en.demand.Count)
		switch {
		case n > 0:
			en.offered, en.lastOffer = en.demand.Need.Times(n), c.now
			c.counters.Offers++
		case en.demand.Hold && en.demand.Need.Fits(c.endpoint.capacity):
			en.offered, en.holding = lesser(en.demand.Need, free), true
		default:
			continue
		}
		en.offeredUntil = c.now + offerTime
		free = free.Minus(en.offered)
	}
}

// lesser returns the smaller of each component, at least 0.
func lesser(a, b message.Resources) message.Resources {
	return message.Resources{
		MilliCPU:     max(0, min(a.MilliCPU, b.MilliCPU)),
		MemoryMB:     max(0, min(a.MemoryMB, b.MemoryMB)),
		Accelerators: max(0, min(a.Accelerators, b.Accelerators)),
	}
}
