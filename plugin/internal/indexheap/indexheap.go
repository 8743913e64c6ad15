// Package indexheap is a binary heap whose elements store their position, so
// that any element can be moved or removed in O(log n).
package indexheap

import "container/heap"

// None is the position of an element that is in no heap.
const None = -1

// Heap holds elements in heap order. The less function orders them; the position
// function points to where an element keeps its position, which must be None
// before Push.
type Heap[T any] struct {
	order order[T]
}

// New returns an empty heap.
func New[T any](less func(a, b T) bool, position func(T) *int) *Heap[T] {
	return &Heap[T]{order[T]{less: less, position: position}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.order.items) }

// Top returns the least element; the heap must not be empty.
func (h *Heap[T]) Top() T { return h.order.items[0] }

// Push adds an element.
func (h *Heap[T]) Push(x T) { heap.Push(&h.order, x) }

// Pop removes and returns the least element; the heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.order).(T) }

// Contains reports whether the element is in the heap.
func (h *Heap[T]) Contains(x T) bool { return *h.order.position(x) != None }

// Fix restores the order after the element's key has changed.
func (h *Heap[T]) Fix(x T) { heap.Fix(&h.order, *h.order.position(x)) }

// Remove removes an element, which must be in the heap.
func (h *Heap[T]) Remove(x T) { heap.Remove(&h.order, *h.order.position(x)) }

// order implements heap.Interface.
type order[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(T) *int
}

func (o *order[T]) Len() int           { return len(o.items) }
func (o *order[T]) Less(i, j int) bool { return o.less(o.items[i], o.items[j]) }

func (o *order[T]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	*o.position(o.items[i]) = i
	*o.position(o.items[j]) = j
}

func (o *order[T]) Push(x any) {
	item := x.(T)
	*o.position(item) = len(o.items)
	o.items = append(o.items, item)
}

func (o *order[T]) Pop() any {
	last := len(o.items) - 1
	item := o.items[last]
	var zero T
	o.items[last] = zero
	o.items = o.items[:last]
	*o.position(item) = None
	return item
}
