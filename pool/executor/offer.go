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
// other than except.
func (c *Core) unreserved(except *owner) message.Resources {
	free := c.endpoint.capacity.Minus(c.used)
	for _, o := range c.owners.All() {
		if o != except && o.hasOffer(c) {
			free = free.Minus(o.offered)
		}
	}
	return free
}

func (o *owner) hasOffer(c *Core) bool {
	return o.session != 0 && !o.offered.IsZero() && c.now < o.offeredUntil
}

// freeFor returns the free capacity that an entry may use now; it is zero while
// the endpoint is not ready.
func (c *Core) freeFor(o *owner) message.Resources {
	if !c.ready() {
		return message.Resources{}
	}
	free := c.unreserved(o)
	return message.Resources{
		MilliCPU: max(free.MilliCPU, 0), MemoryMB: max(free.MemoryMB, 0), Accelerators: max(free.Accelerators, 0),
	}
}

// deductOffer subtracts the need of a started task from the entry's offer.
func (o *owner) deductOffer(need message.Resources) {
	left := o.offered.Minus(need)
	if left.MilliCPU <= 0 {
		left = message.Resources{}
	}
	o.offered = left
}

// offerCapacity reserves free capacity for entries with waiting tasks, the lowest
// rank first and, among equal ranks, the entry whose last offer is the oldest.
func (c *Core) offerCapacity() {
	if !c.ready() {
		return
	}
	var waiting []*owner
	for _, o := range c.owners.All() {
		if !o.offered.IsZero() && c.now >= o.offeredUntil {
			o.offered = message.Resources{}
		}
		if o.session != 0 && o.demand.Count > 0 && !o.hasOffer(c) {
			waiting = append(waiting, o)
		}
	}
	if len(waiting) == 0 || c.owners.Len() < 2 {
		return
	}
	slices.SortFunc(waiting, func(a, b *owner) int {
		return cmp.Or(cmp.Compare(a.demand.Rank, b.demand.Rank), cmp.Compare(a.lastOffer, b.lastOffer),
			cmp.Compare(a.key.entry, b.key.entry))
	})
	free := c.unreserved(nil)
	for _, o := range waiting {
		n := o.demand.Need.Copies(free, o.demand.Count)
		if n == 0 {
			continue
		}
		o.offered = o.demand.Need.Times(n)
		o.offeredUntil, o.lastOffer = c.now+offerTime, c.now
		free = free.Minus(o.offered)
		c.counters.Offers++
	}
}
