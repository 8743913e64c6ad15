package fair

import "time"

// maxParkTime bounds how long a caller or team stays parked when RunEnded is not
// called for it.
const maxParkTime = time.Second

// limitKey identifies what a concurrency limit applies to: a caller, or a team as
// a whole.
type limitKey struct {
	team, caller string
	wholeTeam    bool
}

func teamKey(team string) limitKey { return limitKey{team: team, wholeTeam: true} }

// parkedEntry is a caller or team at its concurrency limit. Its waiting tasks are
// not considered until one of its running tasks has ended or maxParkTime is over.
type parkedEntry struct {
	key   limitKey
	since time.Time
}

// park removes a team or caller from the order of service.
func (q *Queue) park(now time.Time, key limitKey) {
	q.parked[key] = q.parkedByTime.PushBack(parkedEntry{key: key, since: now})
	q.setParked(key, true)
}

func (q *Queue) unpark(key limitKey) {
	e := q.parked[key]
	if e == nil {
		return
	}
	q.parkedByTime.Remove(e)
	delete(q.parked, key)
	q.setParked(key, false)
}

// unparkDue unparks the teams and callers that have been parked for maxParkTime.
func (q *Queue) unparkDue(now time.Time) {
	for e := q.parkedByTime.Front(); e != nil; e = q.parkedByTime.Front() {
		p := e.Value.(parkedEntry)
		if now.Sub(p.since) < maxParkTime {
			return
		}
		q.unpark(p.key)
	}
}

// setParked removes a caller or team from the heaps of both levels, or adds it
// again.
func (q *Queue) setParked(key limitKey, parked bool) {
	for _, lv := range q.levels() {
		t := lv.teams[key.team]
		if t == nil {
			continue
		}
		if key.wholeTeam {
			lv.parkTeam(t, parked)
		} else if cl := t.callers[key.caller]; cl != nil {
			lv.parkCaller(cl, parked)
		}
	}
}

func (lv *level) parkTeam(t *team, parked bool) {
	t.parked = parked
	for _, tp := range t.lanes {
		lv.updateLaneHeap(tp)
	}
}

func (lv *level) parkCaller(cl *caller, parked bool) {
	cl.parked = parked
	for _, cp := range cl.lanes {
		callers := cp.parent.callers
		switch held := callers.Contains(cp); {
		case parked && held:
			callers.Remove(cp)
		case !parked && !held:
			callers.Push(cp)
		}
		lv.updateLaneHeap(cp.parent)
	}
}
