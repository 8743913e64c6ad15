package fair

import (
	"container/list"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/plugin/internal/indexheap"
)

// startTag is the position of a team or caller in the order of service: the
// virtual time at which its next task may start. Each start advances it by the
// inverse of the weight, so that the least tag belongs to the team or caller
// furthest behind its share.
type startTag struct {
	start float64
	// seq breaks ties: the team or caller that was served or became active least
	// recently comes first.
	seq uint64
}

func (t startTag) before(other startTag) bool {
	if t.start != other.start {
		return t.start < other.start
	}
	return t.seq < other.seq
}

// team is a group of callers within one level. Its callers share its weight.
type team struct {
	name     string
	level    *level
	weight   float64
	startTag startTag
	waiting  int
	parked   bool
	// now is the virtual time among the team's callers: the greatest start tag of
	// the callers served.
	now     float64
	rate    rate
	callers map[string]*caller
	// idle holds the callers without waiting tasks whose start tag is later than
	// the team's virtual time.
	idle     *indexheap.Heap[*caller]
	lanes    map[*lane]*teamPart
	position int
}

func newTeam(c *level, name string, weight float64) *team {
	return &team{
		name:    name,
		level:   c,
		weight:  weight,
		callers: map[string]*caller{},
		idle: indexheap.New(
			func(a, b *caller) bool { return a.startTag.before(b.startTag) },
			func(c *caller) *int { return &c.position },
		),
		lanes:    map[*lane]*teamPart{},
		position: indexheap.None,
	}
}

// dropIdle removes the idle callers whose start tag is not later than the virtual
// time: they would resume at the current virtual time anyway.
func (t *team) dropIdle() {
	for t.idle.Len() > 0 && (t.waiting == 0 || t.idle.Top().startTag.start <= t.now) {
		delete(t.callers, t.idle.Pop().name)
	}
}

// caller is one caller of a team within one level.
type caller struct {
	name     string
	team     *team
	startTag startTag
	waiting  int
	parked   bool
	lanes    map[*lane]*callerPart
	position int
}

func newCaller(t *team, name string) *caller {
	return &caller{name: name, team: t, lanes: map[*lane]*callerPart{}, position: indexheap.None}
}

// teamPart is a team's part of a lane.
type teamPart struct {
	team *team
	lane *lane
	// callers holds the callers with waiting tasks that are not parked.
	callers  *indexheap.Heap[*callerPart]
	waiting  int
	position int
}

func newTeamPart(t *team, l *lane) *teamPart {
	return &teamPart{
		team: t,
		lane: l,
		callers: indexheap.New(
			func(a, b *callerPart) bool { return a.caller.startTag.before(b.caller.startTag) },
			func(c *callerPart) *int { return &c.position },
		),
		position: indexheap.None,
	}
}

// callerPart is a caller's part of a lane: the tasks of its jobs with one need.
type callerPart struct {
	caller *caller
	parent *teamPart
	// requeued holds the requeued tasks, which come first.
	requeued list.List
	jobs     map[uint64]*job
	// byRemaining orders the jobs by remaining tasks, byArrival by arrival.
	byRemaining *indexheap.Heap[*job]
	byArrival   list.List
	starts      int
	position    int
}

func newCallerPart(c *caller, parent *teamPart) *callerPart {
	return &callerPart{
		caller: c,
		parent: parent,
		jobs:   map[uint64]*job{},
		byRemaining: indexheap.New(
			func(a, b *job) bool { return a.before(b) },
			func(j *job) *int { return &j.position },
		),
		position: indexheap.None,
	}
}

// One of oldestJobInterval starts of a caller's tasks with one need goes to the
// oldest job, so that small jobs never starve a large one.
const oldestJobInterval = 8

// head returns the item to start next.
func (c *callerPart) head() *item {
	if e := c.requeued.Front(); e != nil {
		return e.Value.(*item)
	}
	j := c.byRemaining.Top()
	if c.starts%oldestJobInterval == oldestJobInterval-1 {
		j = c.byArrival.Front().Value.(*job)
	}
	return j.tasks.Front().Value.(*item)
}

func (c *callerPart) empty() bool { return c.requeued.Len() == 0 && len(c.jobs) == 0 }

// jobOf returns the job of a task and adds it if it is new.
func (c *callerPart) jobOf(t *dispatch.QueuedTask) *job {
	j := c.jobs[t.JobSeq]
	if j != nil {
		return j
	}
	j = &job{seq: t.JobSeq, part: c, position: indexheap.None}
	j.update(t)
	c.jobs[t.JobSeq] = j
	c.byRemaining.Push(j)
	j.element = c.byArrival.PushBack(j)
	return j
}

func (c *callerPart) removeJob(j *job) {
	delete(c.jobs, j.seq)
	c.byRemaining.Remove(j)
	c.byArrival.Remove(j.element)
}

// job holds the waiting tasks of a job with one need.
type job struct {
	seq       uint64
	part      *callerPart
	tasks     list.List
	remaining int
	element   *list.Element
	position  int
}

// update sets the number of the job's tasks that have not ended.
func (j *job) update(t *dispatch.QueuedTask) {
	if t.JobRemaining != nil {
		j.remaining = *t.JobRemaining
	}
}

func (j *job) before(other *job) bool {
	if j.remaining != other.remaining {
		return j.remaining < other.remaining
	}
	return j.seq < other.seq
}

// item is a task's position in the queue.
type item struct {
	task *dispatch.QueuedTask
	part *callerPart
	job  *job
	// list is the list that holds the item, nil once it has left the queue.
	list    *list.List
	element *list.Element
}
