// Package fair shares the starts of a service by hierarchical start-time fair
// queueing. Urgent tasks come first, with a minimum share for the rest. Within
// an urgency level, the next start goes to the team furthest behind its weighted
// share, within the team to the caller furthest behind, and within the caller to
// the job with the fewest remaining tasks. A team or caller that was idle resumes
// at the current virtual time, so that a single task never waits behind another
// caller's backlog.
package fair

import (
	"container/list"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
)

// ID is the plug-in's module ID.
const ID kernel.ModuleID = "queueing.fair"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func() any { return New() }})
}

// While urgent tasks wait, one of normalStartInterval starts goes to a task that
// is not urgent.
const normalStartInterval = 10

// Queue is a hierarchical fair queue.
type Queue struct {
	urgent, normal *level
	weights        map[string]float64
	lastSeq        uint64
	// urgentStarts is the number of urgent starts, while normal tasks were
	// waiting, since the last normal one.
	urgentStarts int
	// parkedByTime lists the parked teams and callers, the earliest first; parked
	// is the index to it.
	parkedByTime *list.List
	parked       map[limitKey]*list.Element
}

// New returns an empty queue in which all teams have the same weight.
func New() *Queue {
	q := &Queue{
		weights:      map[string]float64{},
		parkedByTime: list.New(),
		parked:       map[limitKey]*list.Element{},
	}
	q.urgent = newLevel(q)
	q.normal = newLevel(q)
	return q
}

func (q *Queue) levels() [2]*level { return [2]*level{q.urgent, q.normal} }

func (q *Queue) levelOf(t *dispatch.QueuedTask) *level {
	if t.Urgent {
		return q.urgent
	}
	return q.normal
}

func (q *Queue) nextSeq() uint64 {
	q.lastSeq++
	return q.lastSeq
}

func (q *Queue) weightOf(team string) float64 {
	if w, ok := q.weights[team]; ok {
		return w
	}
	return 1
}

// Configure sets the teams' weights.
func (q *Queue) Configure(service config.Service) {
	clear(q.weights)
	for _, t := range service.Teams {
		q.weights[t.Name] = float64(max(t.Weight, 1))
	}
	for _, lv := range q.levels() {
		for name, t := range lv.teams {
			t.weight = q.weightOf(name)
		}
	}
}

// Push adds a task after the others of its job.
func (q *Queue) Push(_ time.Time, t *dispatch.QueuedTask) {
	lv := q.levelOf(t)
	cp := lv.callerPartOf(t)
	j := cp.jobOf(t)
	it := &item{task: t, part: cp, job: j, list: &j.tasks}
	it.element = j.tasks.PushBack(it)
	t.QueueState = it
	lv.taskAdded(cp)
}

// Requeue adds a started task that did not run ahead of all others of its caller,
// and refunds the start that its caller and team were charged for.
func (q *Queue) Requeue(_ time.Time, t *dispatch.QueuedTask) {
	lv := q.levelOf(t)
	cp := lv.callerPartOf(t)
	it := &item{task: t, part: cp, list: &cp.requeued}
	it.element = cp.requeued.PushFront(it)
	t.QueueState = it
	lv.taskAdded(cp)
	lv.advanceTags(cp.caller, -1)
}

// Next removes and returns the task to start next, or nil if none can run.
func (q *Queue) Next(now time.Time, canRun func(*dispatch.QueuedTask) bool) *dispatch.QueuedTask {
	return q.startNext(now, func(lv *level) *item { return lv.nextRunnable(canRun) })
}

// NextGated removes and returns the task to start next, or nil if none can run.
// It parks the teams and callers that the gate reports at their concurrency
// limit.
func (q *Queue) NextGated(now time.Time, gate dispatch.Gate) *dispatch.QueuedTask {
	q.unparkDue(now)
	return q.startNext(now, func(lv *level) *item { return lv.next(now, gate) })
}

// startNext starts the item that next returns for the urgent level or, if a
// normal start is due or no urgent task can run, for the normal level.
func (q *Queue) startNext(now time.Time, next func(*level) *item) *dispatch.QueuedTask {
	first, second := q.urgent, q.normal
	if q.urgentStarts >= normalStartInterval-1 {
		first, second = second, first
	}
	it := next(first)
	if it == nil {
		it = next(second)
	}
	if it == nil {
		return nil
	}
	q.start(now, it)
	return it.task
}

func (q *Queue) start(now time.Time, it *item) {
	lv := q.levelOf(it.task)
	switch {
	case lv == q.normal:
		q.urgentStarts = 0
	case q.normal.waiting > 0:
		q.urgentStarts++
	}
	lv.charge(now, it)
	it.part.starts++
	q.detach(it)
}

// detach removes an item from the queue.
func (q *Queue) detach(it *item) {
	it.list.Remove(it.element)
	it.list = nil
	if j := it.job; j != nil {
		q.updateJob(j, it.task)
		if j.tasks.Len() == 0 {
			it.part.removeJob(j)
		}
	}
	q.levelOf(it.task).taskRemoved(it.part)
}

// updateJob reorders a job after its number of remaining tasks has changed.
func (q *Queue) updateJob(j *job, t *dispatch.QueuedTask) {
	j.update(t)
	if j.part.byRemaining.Contains(j) {
		j.part.byRemaining.Fix(j)
	}
}

// RunEnded unparks a caller and its team after one of their running tasks has
// ended.
func (q *Queue) RunEnded(team, caller string) {
	q.unpark(limitKey{team: team, caller: caller})
	q.unpark(teamKey(team))
}

// Progressed reorders the task's job after its number of remaining tasks has
// decreased.
func (q *Queue) Progressed(t *dispatch.QueuedTask) {
	if it, ok := t.QueueState.(*item); ok && it.job != nil {
		q.updateJob(it.job, t)
	}
}

// Remove removes a waiting task.
func (q *Queue) Remove(t *dispatch.QueuedTask) {
	it, ok := t.QueueState.(*item)
	if ok && it.list != nil {
		q.detach(it)
	}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.urgent.waiting + q.normal.waiting }

// Urgent returns the number of waiting urgent tasks.
func (q *Queue) Urgent() int { return q.urgent.waiting }

// Callers returns the number of callers with waiting urgent tasks or, if there
// are none, the number of callers with waiting normal tasks.
func (q *Queue) Callers() int {
	if q.urgent.active > 0 {
		return q.urgent.active
	}
	return q.normal.active
}

// EstimateWait estimates the time until the last of n further tasks of a caller
// starts, by the recent rate of starts. It returns false if the rate is too low
// for an estimate.
func (q *Queue) EstimateWait(now time.Time, team, caller string, urgent bool, n int) (time.Duration, bool) {
	lv := q.normal
	if urgent {
		lv = q.urgent
	}
	starts := float64(n)
	perSecond := lv.rate.now(now) * q.weightOf(team)
	if t := lv.teams[team]; t != nil {
		perSecond = t.rate.now(now)
		if cl := t.callers[caller]; cl != nil {
			starts += float64(cl.waiting)
		}
	}
	if perSecond < minRate {
		return 0, false
	}
	return time.Duration(starts / perSecond * float64(time.Second)), true
}
