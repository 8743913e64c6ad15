// Package fair shares the starts of a service by hierarchical start-time fair
// queueing. Urgent tasks come first, with a minimum share for the rest. Within
// an urgency class, the next start goes to the team furthest behind its weighted
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

// normalStartInterval is the number of starts of which one goes to a task that
// is not urgent while urgent tasks wait.
const normalStartInterval = 10

// Queue is a hierarchical fair queue.
type Queue struct {
	urgent, normal *class
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
	q.urgent = newClass(q)
	q.normal = newClass(q)
	return q
}

func (q *Queue) classes() [2]*class { return [2]*class{q.urgent, q.normal} }

func (q *Queue) classOf(t *dispatch.QueuedTask) *class {
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
	for _, c := range q.classes() {
		for name, t := range c.teams {
			t.weight = q.weightOf(name)
		}
	}
}

// Push adds a task after the others of its job.
func (q *Queue) Push(_ time.Time, t *dispatch.QueuedTask) {
	c := q.classOf(t)
	callerPart := c.callerLaneOf(t)
	j := callerPart.jobOf(t)
	it := &item{task: t, lane: callerPart, job: j, list: &j.tasks}
	it.element = j.tasks.PushBack(it)
	t.QueueState = it
	c.taskAdded(callerPart)
}

// Requeue adds a started task that did not run ahead of all others of its caller,
// and refunds the start that its caller and team were charged for.
func (q *Queue) Requeue(_ time.Time, t *dispatch.QueuedTask) {
	c := q.classOf(t)
	callerPart := c.callerLaneOf(t)
	it := &item{task: t, lane: callerPart, list: &callerPart.requeued}
	it.element = callerPart.requeued.PushFront(it)
	t.QueueState = it
	c.taskAdded(callerPart)
	c.advanceTags(callerPart.caller, -1)
}

// Next removes and returns the task to start next, or nil if none can run.
func (q *Queue) Next(now time.Time, canRun func(*dispatch.QueuedTask) bool) *dispatch.QueuedTask {
	return q.startNext(now, func(c *class) *item { return c.nextRunnable(canRun) })
}

// NextGated removes and returns the task to start next, or nil if none can run.
// It parks the teams and callers that the gate reports at their concurrency
// limit.
func (q *Queue) NextGated(now time.Time, gate dispatch.Gate) *dispatch.QueuedTask {
	q.unparkDue(now)
	return q.startNext(now, func(c *class) *item { return c.next(now, gate) })
}

// startNext starts the item that next returns for the urgent class or, if a
// normal start is due or no urgent task can run, for the normal class.
func (q *Queue) startNext(now time.Time, next func(*class) *item) *dispatch.QueuedTask {
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
	c := q.classOf(it.task)
	switch {
	case c == q.normal:
		q.urgentStarts = 0
	case q.normal.waiting > 0:
		q.urgentStarts++
	}
	c.charge(now, it)
	it.lane.starts++
	q.detach(it)
}

// detach removes an item from the queue.
func (q *Queue) detach(it *item) {
	it.list.Remove(it.element)
	it.list = nil
	if j := it.job; j != nil {
		q.updateJob(j, it.task)
		if j.tasks.Len() == 0 {
			it.lane.removeJob(j)
		}
	}
	q.classOf(it.task).taskRemoved(it.lane)
}

// updateJob reorders a job after its number of remaining tasks has changed.
func (q *Queue) updateJob(j *job, t *dispatch.QueuedTask) {
	j.update(t)
	if j.lane.byRemaining.Contains(j) {
		j.lane.byRemaining.Fix(j)
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
	c := q.normal
	if urgent {
		c = q.urgent
	}
	starts := float64(n)
	perSecond := c.rate.now(now) * q.weightOf(team)
	if t := c.teams[team]; t != nil {
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
