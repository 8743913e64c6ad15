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

// callerNeedKey identifies the tasks that can run under the same conditions.
type callerNeedKey struct {
	team, caller string
	need         dispatch.Need
}

// callerNeed holds the waiting tasks of one caller with one need, the oldest
// first.
type callerNeed struct {
	key      callerNeedKey
	tasks    *indexheap.Heap[*item]
	position int
}

// item is a waiting task. Requeued tasks keep their sequence number.
type item struct {
	task       *dispatch.QueuedTask
	seq        uint64
	callerNeed *callerNeed
	position   int
}

// Queue starts tasks in the order of arrival.
type Queue struct {
	callerNeeds map[callerNeedKey]*callerNeed
	order       *indexheap.Heap[*callerNeed]
	seq         uint64
	waiting     int
	urgent      int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		callerNeeds: map[callerNeedKey]*callerNeed{},
		order: indexheap.New(
			func(a, b *callerNeed) bool { return a.tasks.Top().seq < b.tasks.Top().seq },
			func(cn *callerNeed) *int { return &cn.position },
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
	cn := q.callerNeedOf(it.task)
	it.callerNeed = cn
	it.task.QueueState = it
	cn.tasks.Push(it)
	q.updateCallerNeed(cn)
	q.count(it.task, 1)
}

func (q *Queue) callerNeedOf(t *dispatch.QueuedTask) *callerNeed {
	key := callerNeedKey{team: t.Team, caller: t.Caller, need: t.Need}
	cn := q.callerNeeds[key]
	if cn != nil {
		return cn
	}
	cn = &callerNeed{key: key, position: indexheap.None}
	cn.tasks = indexheap.New(
		func(a, b *item) bool { return a.seq < b.seq },
		func(it *item) *int { return &it.position },
	)
	q.callerNeeds[key] = cn
	return cn
}

// updateCallerNeed restores the order after the oldest task of cn may have
// changed.
func (q *Queue) updateCallerNeed(cn *callerNeed) {
	switch {
	case !q.order.Contains(cn):
		q.order.Push(cn)
	case cn.tasks.Len() > 0:
		q.order.Fix(cn)
	}
}

func (q *Queue) count(t *dispatch.QueuedTask, by int) {
	q.waiting += by
	if t.Urgent {
		q.urgent += by
	}
}

// Next removes and returns the oldest task that can run, or nil. It calls canRun
// for the oldest task of each callerNeed until one can run.
func (q *Queue) Next(_ time.Time, canRun func(*dispatch.QueuedTask) bool) *dispatch.QueuedTask {
	var blocked []*callerNeed
	var found *dispatch.QueuedTask
	for found == nil && q.order.Len() > 0 {
		cn := q.order.Top()
		head := cn.tasks.Top().task
		if canRun(head) {
			found = head
			continue
		}
		blocked = append(blocked, q.order.Pop())
	}
	for _, cn := range blocked {
		q.order.Push(cn)
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
	cn := it.callerNeed
	if cn.tasks.Len() == 1 {
		q.order.Remove(cn)
		delete(q.callerNeeds, cn.key)
	}
	cn.tasks.Remove(it)
	q.updateRemainingCallerNeed(cn)
	q.count(t, -1)
}

func (q *Queue) updateRemainingCallerNeed(cn *callerNeed) {
	if cn.tasks.Len() > 0 {
		q.order.Fix(cn)
	}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.waiting }

// Urgent returns the number of waiting urgent tasks.
func (q *Queue) Urgent() int { return q.urgent }
