// Package fifo is the queueing baseline: tasks start in the order of arrival,
// regardless of the caller. A task that cannot run blocks only later tasks of
// the same caller with the same need.
package fifo

import (
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/plugin/internal/indexheap"
)

// ID is the plug-in's module ID.
const ID kernel.ModuleID = "queueing.fifo"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func() any { return New() }})
}

// laneKey identifies the tasks that can run under the same conditions.
type laneKey struct {
	team, caller string
	need         dispatch.Need
}

// lane holds the waiting tasks of one key, the oldest first.
type lane struct {
	key      laneKey
	tasks    *indexheap.Heap[*item]
	position int
}

// item is a waiting task. Requeued tasks keep their sequence number.
type item struct {
	task     *dispatch.QueuedTask
	seq      uint64
	lane     *lane
	position int
}

// Queue starts tasks in the order of arrival.
type Queue struct {
	lanes   map[laneKey]*lane
	order   *indexheap.Heap[*lane]
	seq     uint64
	waiting int
	urgent  int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		lanes: map[laneKey]*lane{},
		order: indexheap.New(
			func(a, b *lane) bool { return a.tasks.Top().seq < b.tasks.Top().seq },
			func(l *lane) *int { return &l.position },
		),
	}
}

// Configure does nothing: the order of arrival has no weights.
func (q *Queue) Configure(config.Service) {}

// Push adds a task.
func (q *Queue) Push(_ time.Time, t *dispatch.QueuedTask) {
	q.seq++
	q.insert(&item{task: t, seq: q.seq, position: indexheap.None})
}

// Requeue inserts a task again at its former position in the order of arrival.
func (q *Queue) Requeue(now time.Time, t *dispatch.QueuedTask) {
	it, ok := t.QueueState.(*item)
	if !ok {
		q.Push(now, t)
		return
	}
	q.insert(it)
}

func (q *Queue) insert(it *item) {
	l := q.laneOf(it.task)
	it.lane = l
	it.task.QueueState = it
	l.tasks.Push(it)
	q.updateLane(l)
	q.count(it.task, 1)
}

func (q *Queue) laneOf(t *dispatch.QueuedTask) *lane {
	key := laneKey{team: t.Team, caller: t.Caller, need: t.Need}
	l := q.lanes[key]
	if l != nil {
		return l
	}
	l = &lane{key: key, position: indexheap.None}
	l.tasks = indexheap.New(
		func(a, b *item) bool { return a.seq < b.seq },
		func(it *item) *int { return &it.position },
	)
	q.lanes[key] = l
	return l
}

// updateLane restores the order of the lanes after l's head may have changed.
func (q *Queue) updateLane(l *lane) {
	switch {
	case !q.order.Contains(l):
		q.order.Push(l)
	case l.tasks.Len() > 0:
		q.order.Fix(l)
	}
}

func (q *Queue) count(t *dispatch.QueuedTask, by int) {
	q.waiting += by
	if t.Urgent {
		q.urgent += by
	}
}

// Next removes and returns the oldest task that can run, or nil. It calls canRun
// once for each lane until one can run.
func (q *Queue) Next(_ time.Time, canRun func(*dispatch.QueuedTask) bool) *dispatch.QueuedTask {
	var blocked []*lane
	var found *dispatch.QueuedTask
	for found == nil && q.order.Len() > 0 {
		l := q.order.Top()
		head := l.tasks.Top().task
		if canRun(head) {
			found = head
			continue
		}
		blocked = append(blocked, q.order.Pop())
	}
	for _, l := range blocked {
		q.order.Push(l)
	}
	if found != nil {
		q.Remove(found)
	}
	return found
}

// Remove removes a waiting task.
func (q *Queue) Remove(t *dispatch.QueuedTask) {
	it, ok := t.QueueState.(*item)
	if !ok || it.position == indexheap.None {
		return
	}
	l := it.lane
	if l.tasks.Len() == 1 {
		q.order.Remove(l)
		delete(q.lanes, l.key)
	}
	l.tasks.Remove(it)
	q.updateRemainingLane(l)
	q.count(t, -1)
}

func (q *Queue) updateRemainingLane(l *lane) {
	if l.tasks.Len() > 0 {
		q.order.Fix(l)
	}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.waiting }

// Urgent returns the number of waiting urgent tasks.
func (q *Queue) Urgent() int { return q.urgent }
