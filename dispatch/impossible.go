package dispatch

import (
	"cmp"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// sweepsPerTimeout is how often the needs of the queued tasks are checked within
// Options.UnmetNeedTimeout.
const sweepsPerTimeout = 4

// minSweepInterval is the minimum time between two checks.
const minSweepInterval = time.Millisecond

// needGroup holds the queued tasks with the same need.
type needGroup struct {
	need  Need
	tasks []*task
	// unmetSince is the time since which no known endpoint could run the tasks,
	// or zero.
	unmetSince time.Time
}

// joinNeed adds a queued task to the group of its need.
func (c *Core) joinNeed(t *task) {
	need := t.queued.Need
	g := c.needs[need]
	if g == nil {
		g = &needGroup{need: need}
		c.needs[need] = g
		c.checkNeed(g)
	}
	t.group, t.groupPos = g, len(g.tasks)
	g.tasks = append(g.tasks, t)
	if c.needsTimer == nil {
		c.scheduleSweep()
	}
}

// leaveNeed removes a task from its group.
func (c *Core) leaveNeed(t *task) {
	g := t.group
	last := len(g.tasks) - 1
	g.tasks[t.groupPos] = g.tasks[last]
	g.tasks[t.groupPos].groupPos = t.groupPos
	g.tasks[last] = nil
	g.tasks = g.tasks[:last]
	t.group = nil
}

func (c *Core) scheduleSweep() {
	c.needsTimer = c.timers.add(c.now.Add(max(c.opts.UnmetNeedTimeout/sweepsPerTimeout, minSweepInterval)), c.sweepNeeds)
}

// sweepNeeds ends the tasks whose need no known endpoint has met for the whole of
// Options.UnmetNeedTimeout. It checks each distinct need once, not each task.
func (c *Core) sweepNeeds() {
	c.needsTimer = nil
	var impossible []*needGroup
	for _, g := range c.needs {
		if len(g.tasks) == 0 {
			delete(c.needs, g.need)
			continue
		}
		c.checkNeed(g)
		if !g.unmetSince.IsZero() && c.now.Sub(g.unmetSince) >= c.opts.UnmetNeedTimeout {
			impossible = append(impossible, g)
		}
	}
	sortGroups(impossible)
	for _, g := range impossible {
		c.endImpossible(g)
	}
	if len(c.needs) > 0 {
		c.scheduleSweep()
	}
}

func (c *Core) checkNeed(g *needGroup) {
	if c.placement.CouldRun(g.need) {
		g.unmetSince = time.Time{}
	} else if g.unmetSince.IsZero() {
		g.unmetSince = c.now
	}
}

// endImpossible ends all tasks of a group.
func (c *Core) endImpossible(g *needGroup) {
	r := message.TaskResult{
		Verdict: verdict.NotRun,
		Reason:  verdict.ReasonImpossible,
		Detail:  "no known endpoint meets the task's needs",
	}
	if c.placement.Slots() == 0 {
		r.Reason, r.Detail = verdict.ReasonUnavailable, "no endpoint is available"
	}
	for len(g.tasks) > 0 {
		t := g.tasks[len(g.tasks)-1]
		c.queue.Remove(&t.queued)
		c.unqueue(t)
		c.counters.Impossible++
		c.endUnstartable(t, r)
	}
}

// endUnstartable ends a task that can't be started. If no task of its job has
// started, the whole job ends.
func (c *Core) endUnstartable(t *task, r message.TaskResult) {
	j := t.job
	c.endTask(t, r)
	if j.remaining > 0 && j.started == 0 && !j.held {
		c.endEarly(j, r)
	}
}

// sortGroups sorts groups by their need, so that the order of actions does not
// depend on map iteration.
func sortGroups(groups []*needGroup) {
	slices.SortFunc(groups, func(a, b *needGroup) int {
		return cmp.Or(cmp.Compare(a.need.Memory, b.need.Memory), cmp.Compare(a.need.Accelerator, b.need.Accelerator))
	})
}
