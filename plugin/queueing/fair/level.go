package fair

import (
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/plugin/internal/indexheap"
)

// level holds the waiting tasks of one urgency: lanes by need, in them teams,
// and in those callers. Start tags belong to teams and callers, not to lanes, so
// that a caller whose tasks need several kinds of endpoints gets no larger share.
//
// Invariant: a lane's heap holds exactly the teams that are not parked and have
// a caller in their heap; a team's heap in a lane holds exactly the callers
// that are not parked and have waiting tasks in the lane.
type level struct {
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
	teams   *indexheap.Heap[*teamPart]
	waiting int
}

func newLevel(q *Queue) *level {
	return &level{
		queue: q,
		teams: map[string]*team{},
		lanes: map[dispatch.Need]*lane{},
		idle: indexheap.New(
			func(a, b *team) bool { return a.startTag.before(b.startTag) },
			func(t *team) *int { return &t.position },
		),
	}
}

// callerPartOf returns the caller's part of the lane for a task and creates what
// is missing.
func (lv *level) callerPartOf(t *dispatch.QueuedTask) *callerPart {
	l := lv.laneOf(t.Need)
	tm := lv.teamOf(t.Team)
	cl := tm.callers[t.Caller]
	if cl == nil {
		cl = newCaller(tm, t.Caller)
		cl.parked = lv.queue.parked[limitKey{team: t.Team, caller: t.Caller}] != nil
		tm.callers[t.Caller] = cl
	}
	tp := tm.lanes[l]
	if tp == nil {
		tp = newTeamPart(tm, l)
		tm.lanes[l] = tp
	}
	cp := cl.lanes[l]
	if cp == nil {
		cp = newCallerPart(cl, tp)
		cl.lanes[l] = cp
	}
	return cp
}

func (lv *level) laneOf(need dispatch.Need) *lane {
	l := lv.lanes[need]
	if l != nil {
		return l
	}
	l = &lane{need: need}
	l.teams = indexheap.New(
		func(a, b *teamPart) bool { return a.team.startTag.before(b.team.startTag) },
		func(t *teamPart) *int { return &t.position },
	)
	lv.lanes[need] = l
	lv.order = append(lv.order, l)
	return l
}

func (lv *level) teamOf(name string) *team {
	t := lv.teams[name]
	if t == nil {
		t = newTeam(lv, name, lv.queue.weightOf(name))
		t.parked = lv.queue.parked[teamKey(name)] != nil
		lv.teams[name] = t
	}
	return t
}

// taskAdded updates the counts and heaps after a task was added to a caller's
// part of a lane.
func (lv *level) taskAdded(cp *callerPart) {
	cl, tp := cp.caller, cp.parent
	t := cl.team
	if t.waiting == 0 {
		lv.activateTeam(t)
	}
	if cl.waiting == 0 {
		lv.activateCaller(cl)
	}
	lv.count(cp, 1)
	if !cl.parked && !tp.callers.Contains(cp) {
		tp.callers.Push(cp)
	}
	lv.updateLaneHeap(tp)
}

func (lv *level) activateTeam(t *team) {
	if lv.idle.Contains(t) {
		lv.idle.Remove(t)
	}
	t.startTag = startTag{start: max(t.startTag.start, lv.now), seq: lv.queue.nextSeq()}
}

func (lv *level) activateCaller(cl *caller) {
	t := cl.team
	if t.idle.Contains(cl) {
		t.idle.Remove(cl)
	}
	cl.startTag = startTag{start: max(cl.startTag.start, t.now), seq: lv.queue.nextSeq()}
	lv.active++
}

func (lv *level) count(cp *callerPart, by int) {
	cp.caller.waiting += by
	cp.caller.team.waiting += by
	cp.parent.waiting += by
	cp.parent.lane.waiting += by
	lv.waiting += by
}

// updateLaneHeap adds the team to the lane's heap or removes it, as the level's
// invariant requires.
func (lv *level) updateLaneHeap(tp *teamPart) {
	teams := tp.lane.teams
	wanted := !tp.team.parked && tp.callers.Len() > 0
	switch held := teams.Contains(tp); {
	case wanted && !held:
		teams.Push(tp)
	case !wanted && held:
		teams.Remove(tp)
	}
}

// taskRemoved updates the counts and heaps after a task was removed from a
// caller's part of a lane, and removes what has become empty.
func (lv *level) taskRemoved(cp *callerPart) {
	cl, tp := cp.caller, cp.parent
	lv.count(cp, -1)
	if cp.empty() {
		if tp.callers.Contains(cp) {
			tp.callers.Remove(cp)
		}
		delete(cl.lanes, tp.lane)
		lv.updateLaneHeap(tp)
	}
	if tp.waiting == 0 {
		delete(tp.team.lanes, tp.lane)
	}
	if tp.lane.waiting == 0 {
		lv.removeLane(tp.lane)
	}
	if cl.waiting == 0 {
		lv.deactivateCaller(cl)
	}
	if cl.team.waiting == 0 {
		lv.deactivateTeam(cl.team)
	}
	lv.dropIdle()
}

func (lv *level) removeLane(l *lane) {
	delete(lv.lanes, l.need)
	for i, other := range lv.order {
		if other == l {
			lv.order = append(lv.order[:i], lv.order[i+1:]...)
			return
		}
	}
}

func (lv *level) deactivateCaller(cl *caller) {
	lv.active--
	cl.team.idle.Push(cl)
	cl.team.dropIdle()
}

func (lv *level) deactivateTeam(t *team) {
	lv.idle.Push(t)
}

// dropIdle removes the idle teams whose start tag is not later than the virtual
// time, and all idle teams once no task waits: the shares of a busy period do not
// carry over to the next.
func (lv *level) dropIdle() {
	for lv.idle.Len() > 0 && (lv.waiting == 0 || lv.idle.Top().startTag.start <= lv.now) {
		delete(lv.teams, lv.idle.Pop().name)
	}
	if lv.waiting == 0 {
		lv.now = 0
	}
}

// next returns the item to start next, or nil when none can run. Callers and
// teams that the gate reports at their limit are parked. A caller whose tasks
// complete sooner if they wait for faster credits is skipped, so that the next
// caller may use the free ones.
func (lv *level) next(now time.Time, gate dispatch.Gate) *item {
	var skipped []*callerPart
	defer func() { restore(lv, skipped) }()
	for {
		l := lv.nextLane(func(need dispatch.Need) bool { return gate.NeedMet(need, lv.queue.Len()) })
		if l == nil {
			return nil
		}
		cp := l.teams.Top().callers.Top()
		t := cp.head().task
		switch {
		case !gate.TeamBelowLimit(t):
			lv.queue.park(now, teamKey(t.Team))
		case !gate.CallerBelowLimit(t):
			lv.queue.park(now, limitKey{team: t.Team, caller: t.Caller})
		case now.Sub(t.Submitted) >= maxSkipTime || len(skipped) == maxSkipped || gate.NeedMet(t.Need, lv.backlogOf(cp.caller, len(skipped))):
			return cp.head()
		default:
			lv.exclude(cp)
			skipped = append(skipped, cp)
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
func (lv *level) backlogOf(cl *caller, skipped int) int {
	tasks := skipped + 1 + (cl.waiting-1)*lv.active
	if lv == lv.queue.urgent && lv.queue.normal.waiting > 0 {
		tasks *= urgentBacklogFactor
	}
	return min(tasks, lv.queue.Len())
}

// exclude removes a caller from a lane's order until restore is called.
func (lv *level) exclude(cp *callerPart) {
	cp.parent.callers.Remove(cp)
	lv.updateLaneHeap(cp.parent)
}

// restore adds excluded callers to their lanes' orders again, except those that
// were parked meanwhile.
func restore(lv *level, excluded []*callerPart) {
	for _, cp := range excluded {
		if !cp.caller.parked {
			cp.parent.callers.Push(cp)
		}
		lv.updateLaneHeap(cp.parent)
	}
}

// nextRunnable is like next for a canRun that doesn't say why a task cannot run:
// it excludes the task's caller from the lane until the search has ended.
func (lv *level) nextRunnable(canRun func(*dispatch.QueuedTask) bool) *item {
	var excluded []*callerPart
	var found *item
	for found == nil {
		l := lv.nextLane(func(dispatch.Need) bool { return true })
		if l == nil {
			break
		}
		cp := l.teams.Top().callers.Top()
		if it := cp.head(); canRun(it.task) {
			found = it
			continue
		}
		lv.exclude(cp)
		excluded = append(excluded, cp)
	}
	restore(lv, excluded)
	return found
}

// nextLane returns the lane whose first team is furthest behind its share, among
// the lanes whose need is met, or nil if there is none.
func (lv *level) nextLane(met func(dispatch.Need) bool) *lane {
	var best *lane
	for _, l := range lv.order {
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
func (lv *level) charge(now time.Time, it *item) {
	cl := it.part.caller
	t := cl.team
	if advance := t.startTag.start - lv.now; advance > 0 {
		lv.now = t.startTag.start
		lv.rate.add(now, advance)
	}
	if advance := cl.startTag.start - t.now; advance > 0 {
		t.now = cl.startTag.start
		t.rate.add(now, advance)
	}
	lv.advanceTags(cl, 1)
}

// advanceTags advances the start tags of a caller and its team by a number of
// starts, which may be negative, and restores the order of both.
func (lv *level) advanceTags(cl *caller, starts float64) {
	t := cl.team
	t.startTag = startTag{start: t.startTag.start + starts/t.weight, seq: lv.queue.nextSeq()}
	cl.startTag = startTag{start: cl.startTag.start + starts, seq: lv.queue.nextSeq()}
	for _, cp := range cl.lanes {
		if cp.parent.callers.Contains(cp) {
			cp.parent.callers.Fix(cp)
		}
	}
	for l, tp := range t.lanes {
		if l.teams.Contains(tp) {
			l.teams.Fix(tp)
		}
	}
}
