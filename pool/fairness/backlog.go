package fairness

import (
	"cmp"
	"slices"
	"time"
)

// Place is a place in the order of waiting jobs.
type Place struct {
	Rank     float64
	QueuedAt time.Duration
}

// Compare returns a negative number if the place is before another, 0 if it is the same, and a
// positive one otherwise.
func (p Place) Compare(o Place) int {
	return cmp.Or(cmp.Compare(p.Rank, o.Rank), cmp.Compare(p.QueuedAt, o.QueuedAt))
}

// Backlog holds the work of waiting jobs in their order. Queries and removals take logarithmic
// time, so that a review of all jobs does not take quadratic time.
type Backlog struct {
	items []item
	// sums is a Fenwick tree of the work of items.
	sums  []float64
	total float64
}

type item struct {
	Place
	work float64
}

// Reset removes all jobs.
func (b *Backlog) Reset() { b.items, b.sums, b.total = b.items[:0], b.sums[:0], 0 }

// Add adds a waiting job; Build must be called before the next query.
func (b *Backlog) Add(at Place, work float64) {
	b.items = append(b.items, item{at, work})
	b.total += work
}

// Build orders the added jobs.
func (b *Backlog) Build() {
	slices.SortFunc(b.items, func(x, y item) int { return x.Compare(y.Place) })
	b.sums = append(b.sums[:0], make([]float64, len(b.items)+1)...)
	for i := range b.items {
		b.add(i, b.items[i].work)
	}
}

func (b *Backlog) add(i int, work float64) {
	for i++; i < len(b.sums); i += i & -i {
		b.sums[i] += work
	}
}

// Remove removes work at a place.
func (b *Backlog) Remove(at Place, work float64) {
	i, found := b.find(at)
	if !found {
		return
	}
	b.add(i, -work)
	b.total -= work
}

// Before returns the work up to and including a place.
func (b *Backlog) Before(at Place) float64 {
	i, found := b.find(at)
	for found && i < len(b.items) && b.items[i].Place == at {
		i++
	}
	sum := 0.0
	for ; i > 0; i -= i & -i {
		sum += b.sums[i]
	}
	return sum
}

// Total returns the work of all jobs.
func (b *Backlog) Total() float64 { return b.total }

func (b *Backlog) find(at Place) (int, bool) {
	return slices.BinarySearchFunc(b.items, at, func(x item, at Place) int { return x.Compare(at) })
}
