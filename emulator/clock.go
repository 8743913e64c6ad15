package emulator

import (
	"container/heap"
	"time"
)

// clock holds the simulated time and what happens at which time. Events of the same
// time happen in the order in which they were added.
type clock struct {
	now    time.Duration
	added  uint64
	events eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// at adds an event; one in the past happens next.
func (c *clock) at(t time.Duration, do func()) {
	c.added++
	heap.Push(&c.events, event{at: max(t, c.now), order: c.added, do: do})
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now+d, do) }

// every repeats an event until the clock stops.
func (c *clock) every(interval time.Duration, do func()) {
	c.after(interval, func() {
		do()
		c.every(interval, do)
	})
}

// run plays events until the given time or until done returns true.
func (c *clock) run(until time.Duration, done func() bool) {
	for len(c.events) > 0 && !done() {
		e := heap.Pop(&c.events).(event)
		if e.at > until {
			return
		}
		c.now = e.at
		e.do()
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
