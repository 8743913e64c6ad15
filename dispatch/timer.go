package dispatch

import (
	"container/heap"
	"time"
)

// timer calls fire in the first Step at or after at.
type timer struct {
	at    time.Time
	seq   uint64
	index int
	fire  func()
}

// timers is a heap of timers ordered by time, then by creation. Timers are removed
// when they are no longer needed, so that none outlives its job.
type timers struct {
	heap timerHeap
	seq  uint64
}

func (t *timers) add(at time.Time, fire func()) *timer {
	t.seq++
	n := &timer{at: at, seq: t.seq, fire: fire}
	heap.Push(&t.heap, n)
	return n
}

// remove removes a timer; nil and fired timers are ignored.
func (t *timers) remove(n *timer) {
	if n != nil && n.index >= 0 {
		heap.Remove(&t.heap, n.index)
	}
}

// due removes and returns the first timer that is due, or nil.
func (t *timers) due(now time.Time) *timer {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		return nil
	}
	return heap.Pop(&t.heap).(*timer)
}

// next returns the time of the first timer, or zero.
func (t *timers) next() time.Time {
	if len(t.heap) == 0 {
		return time.Time{}
	}
	return t.heap[0].at
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	n := x.(*timer)
	n.index = len(*h)
	*h = append(*h, n)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	n.index = -1
	return n
}

// earliest returns the earlier of two times; zero stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
