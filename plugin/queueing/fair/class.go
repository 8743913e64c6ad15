package fair

import (
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/plugin/internal/indexheap"
)

// class holds the waiting tasks of one urgency: lanes by need, in them teams,
// and in those callers. Start tags belong to teams and callers, not to lanes, so
// that a caller whose tasks need several kinds of endpoints gets no larger share.
//
// Invariant: a lane's heap holds exactly the teams that are not parked and have
// a caller in their heap; a team's heap in a lane holds exactly the callers
// that are not parked and have waiting tasks in the lane.
type class struct {
	queue *Queue
	// now is the virtual time: the greatest start tag of the teams served.
	now     float64
	rate    rate
	waiting int
	// active is the number of callers with waiting tasks.
	active int
	teams  map[string]*team
	lanes  map[dispatch.Need]*lane
	// order holds the lanes in order of creation, so that iteration is
	// deterministic.
	order []*lane
	// idle holds the teams without waiting tasks whose start tag is later than the
	// virtual time.
	idle *indexheap.Heap[*team]
}

// lane holds the waiting tasks of one need.
type lane struct {
	need    dispatch.Need
	teams   *indexheap.Heap[*teamLane]
	waiting int
}

func newClass(q *Queue) *class {
	return &class{
		queue: q,
		teams: map[string]*team{},
		lanes: map[dispatch.Need]*lane{},
		idle: indexheap.New(
			func(a, b *team) bool { return a.startTag.before(b.startTag) },
			func(t *team) *int { return &t.position },
		),
	}
}

// callerLaneOf returns the caller's part of the lane for a task and creates what
// is missing.
func (c *class) callerLaneOf(t *dispatch.QueuedTask) *callerLane {
	l := c.laneOf(t.Need)
	tm := c.teamOf(t.Team)
	cl := tm.callers[t.Caller]
	if cl == nil {
		cl = newCaller(tm, t.Caller)
		cl.parked = c.queue.parked[limitKey{team: t.Team, caller: t.Caller}] != nil
		tm.callers[t.Caller] = cl
	}
	teamPart := tm.lanes[l]
	if teamPart == nil {
		teamPart = newTeamLane(tm, l)
		tm.lanes[l] = teamPart
	}
	callerPart := cl.lanes[l]
	if callerPart == nil {
		callerPart = newCallerLane(cl, teamPart)
		cl.lanes[l] = callerPart
	}
	return callerPart
}

func (c *class) laneOf(need dispatch.Need) *lane {
	l := c.lanes[need]
	if l != nil {
		return l
	}
	l = &lane{need: need}
	l.teams = indexheap.New(
		func(a, b *teamLane) bool { return a.team.startTag.before(b.team.startTag) },
		func(t *teamLane) *int { return &t.position },
	)
	c.lanes[need] = l
	c.order = append(c.order, l)
	return l
}

func (c *class) teamOf(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = newTeam(c, name, c.queue.weightOf(name))
		t.parked = c.queue.parked[teamKey(name)] != nil
		c.teams[name] = t
	}
	return t
}

// taskAdded updates the counts and heaps after a task was added to a caller's
// part of a lane.
func (c *class) taskAdded(callerPart *callerLane) {
	cl, teamPart := callerPart.caller, callerPart.parent
	t := cl.team
	if t.waiting == 0 {
		c.activateTeam(t)
	}
	if cl.waiting == 0 {
		c.activateCaller(cl)
	}
	c.count(callerPart, 1)
	if !cl.parked && !teamPart.callers.Contains(callerPart) {
		teamPart.callers.Push(callerPart)
	}
	c.updateLaneHeap(teamPart)
}

func (c *class) activateTeam(t *team) {
	if c.idle.Contains(t) {
		c.idle.Remove(t)
	}
	t.startTag = startTag{start: max(t.startTag.start, c.now), seq: c.queue.nextSeq()}
}

func (c *class) activateCaller(cl *caller) {
	t := cl.team
	if t.idle.Contains(cl) {
		t.idle.Remove(cl)
	}
	cl.startTag = startTag{start: max(cl.startTag.start, t.now), seq: c.queue.nextSeq()}
	c.active++
}

func (c *class) count(callerPart *callerLane, by int) {
	callerPart.caller.waiting += by
	callerPart.caller.team.waiting += by
	callerPart.parent.waiting += by
	callerPart.parent.lane.waiting += by
	c.waiting += by
}

// updateLaneHeap adds the team to the lane's heap or removes it, as the class's
// invariant requires.
func (c *class) updateLaneHeap(teamPart *teamLane) {
	teams := teamPart.lane.teams
	wanted := !teamPart.team.parked && teamPart.callers.Len() > 0
	switch held := teams.Contains(teamPart); {
	case wanted && !held:
		teams.Push(teamPart)
	case !wanted && held:
		teams.Remove(teamPart)
	}
}

// taskRemoved updates the counts and heaps after a task was removed from a
// caller's part of a lane, and removes what has become empty.
func (c *class) taskRemoved(callerPart *callerLane) {
	cl, teamPart := callerPart.caller, callerPart.parent
	c.count(callerPart, -1)
	if callerPart.empty() {
		if teamPart.callers.Contains(callerPart) {
			teamPart.callers.Remove(callerPart)
		}
		delete(cl.lanes, teamPart.lane)
		c.updateLaneHeap(teamPart)
	}
	if teamPart.waiting == 0 {
		delete(teamPart.team.lanes, teamPart.lane)
	}
	if teamPart.lane.waiting == 0 {
		c.removeLane(teamPart.lane)
	}
	if cl.waiting == 0 {
		c.deactivateCaller(cl)
	}
	if cl.team.waiting == 0 {
		c.deactivateTeam(cl.team)
	}
	c.dropIdle()
}

func (c *class) removeLane(l *lane) {
	delete(c.lanes, l.need)
	for i, other := range c.order {
		if other == l {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

func (c *class) deactivateCaller(cl *caller) {
	c.active--
	cl.team.idle.Push(cl)
	cl.team.dropIdle()
}

func (c *class) deactivateTeam(t *team) {
	c.idle.Push(t)
}

// dropIdle removes the idle teams whose start tag is not later than the virtual
// time, and all idle teams once no task waits: the shares of a busy period do not
// carry over to the next.
func (c *class) dropIdle() {
	for c.idle.Len() > 0 && (c.waiting == 0 || c.idle.Top().startTag.start <= c.now) {
		delete(c.teams, c.idle.Pop().name)
	}
	if c.waiting == 0 {
		c.now = 0
	}
}

// next returns the item to start next, or nil when none can run. Callers and
// teams that the gate reports at their limit are parked. A caller whose tasks
// complete sooner if they wait for faster credits is skipped, so that the next
// caller may use the free ones.
func (c *class) next(now time.Time, gate dispatch.Gate) *item {
	var skipped []*callerLane
	defer func() { restore(c, skipped) }()
	for {
		l := c.nextLane(func(need dispatch.Need) bool { return gate.NeedMet(need, c.queue.Len()) })
		if l == nil {
			return nil
		}
		callerPart := l.teams.Top().callers.Top()
		t := callerPart.head().task
		switch {
		case !gate.TeamBelowLimit(t):
			c.queue.park(now, teamKey(t.Team))
		case !gate.CallerBelowLimit(t):
			c.queue.park(now, limitKey{team: t.Team, caller: t.Caller})
		case now.Sub(t.Submitted) >= maxSkipTime || len(skipped) == maxSkipped || gate.NeedMet(t.Need, c.backlogOf(callerPart.caller, len(skipped))):
			return callerPart.head()
		default:
			c.exclude(callerPart)
			skipped = append(skipped, callerPart)
		}
	}
}

const (
	// maxSkipTime is how long after its submission a task may be skipped.
	maxSkipTime = 100 * time.Millisecond
	// urgentBacklogFactor multiplies the backlog of urgent tasks while normal
	// tasks wait, so that urgent ones take a slow credit sooner: their wait counts
	// more than their run time.
	urgentBacklogFactor = 2
	// maxSkipped bounds the number of callers skipped for one start.
	maxSkipped = 8
)

// backlogOf returns the number of tasks that start no later than the caller's
// last one: its next task starts after one task of each skipped caller, and each
// further one after one more task of every active caller.
func (c *class) backlogOf(cl *caller, skipped int) int {
	tasks := skipped + 1 + (cl.waiting-1)*c.active
	if c == c.queue.urgent && c.queue.normal.waiting > 0 {
		tasks *= urgentBacklogFactor
	}
	return min(tasks, c.queue.Len())
}

// exclude removes a caller from a lane's order until restore is called.
func (c *class) exclude(callerPart *callerLane) {
	callerPart.parent.callers.Remove(callerPart)
	c.updateLaneHeap(callerPart.parent)
}

// restore adds excluded callers to their lanes' orders again, except those that
// were parked meanwhile.
func restore(c *class, excluded []*callerLane) {
	for _, callerPart := range excluded {
		if !callerPart.caller.parked {
			callerPart.parent.callers.Push(callerPart)
		}
		c.updateLaneHeap(callerPart.parent)
	}
}

// nextRunnable is like next for a canRun that doesn't say why a task cannot run:
// it excludes the task's caller from the lane until the search has ended.
func (c *class) nextRunnable(canRun func(*dispatch.QueuedTask) bool) *item {
	var excluded []*callerLane
	var found *item
	for found == nil {
		l := c.nextLane(func(dispatch.Need) bool { return true })
		if l == nil {
			break
		}
		callerPart := l.teams.Top().callers.Top()
		if it := callerPart.head(); canRun(it.task) {
			found = it
			continue
		}
		c.exclude(callerPart)
		excluded = append(excluded, callerPart)
	}
	restore(c, excluded)
	return found
}

// nextLane returns the lane whose first team is furthest behind its share, among
// the lanes whose need is met, or nil if there is none.
func (c *class) nextLane(met func(dispatch.Need) bool) *lane {
	var best *lane
	for _, l := range c.order {
		if l.teams.Len() == 0 {
			continue
		}
		if best != nil && !l.teams.Top().team.startTag.before(best.teams.Top().team.startTag) {
			continue
		}
		if met(l.need) {
			best = l
		}
	}
	return best
}

// charge advances the virtual times to the start tags of the item's team and
// caller, and these tags by one start.
func (c *class) charge(now time.Time, it *item) {
	cl := it.lane.caller
	t := cl.team
	if advance := t.startTag.start - c.now; advance > 0 {
		c.now = t.startTag.start
		c.rate.add(now, advance)
	}
	if advance := cl.startTag.start - t.now; advance > 0 {
		t.now = cl.startTag.start
		t.rate.add(now, advance)
	}
	c.advanceTags(cl, 1)
}

// advanceTags advances the start tags of a caller and its team by a number of
// starts, which may be negative, and restores the order of both.
func (c *class) advanceTags(cl *caller, starts float64) {
	t := cl.team
	t.startTag = startTag{start: t.startTag.start + starts/t.weight, seq: c.queue.nextSeq()}
	cl.startTag = startTag{start: cl.startTag.start + starts, seq: c.queue.nextSeq()}
	for _, callerPart := range cl.lanes {
		if callerPart.parent.callers.Contains(callerPart) {
			callerPart.parent.callers.Fix(callerPart)
		}
	}
	for l, teamPart := range t.lanes {
		if l.teams.Contains(teamPart) {
			l.teams.Fix(teamPart)
		}
	}
}
