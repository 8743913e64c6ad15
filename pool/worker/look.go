package worker

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// lookPause spaces looks after one that failed.
	lookPause = 50 * time.Millisecond
	// failuresToRenew is the number of looks in a row without an answer after which
	// all connections count as silent: one alone is more often an unanswered call.
	failuresToRenew = 2
	// renewLimit is the time without an answer after which looks renew no lease:
	// the endpoint's clock is no longer known well enough.
	renewLimit = 2 * time.Second
)

// look keeps one look in flight that waits for an end, and sends one at once
// when the state of a run is unclear.
func (c *Core) look() {
	e := &c.endpoint
	if !e.present {
		return
	}
	if e.failures > 0 && c.now-e.lookFailed < lookPause {
		return
	}
	if e.wantResync && e.resync == 0 {
		e.wantResync = false
		c.counters.Resyncs++
		e.resync, e.resyncSeen = c.sendLook(0), e.seen
	}
	if e.looking == 0 && e.resync == 0 {
		wait := holdWait
		if c.stopping && c.runs.Len() == 0 {
			wait = 0
		}
		e.looking, e.lookingSeen = c.sendLook(wait), e.seen
	}
}

func (c *Core) sendLook(wait time.Duration) CallID {
	e := &c.endpoint
	call := LookCall{
		Call: c.nextCall(), Endpoint: e.name, Fence: e.fence, SeenUpTo: e.seen,
		WaitMillis: wait.Milliseconds(), Fresh: e.failures >= failuresToRenew,
	}
	if c.runs.Len() > 0 && c.now-e.answered < renewLimit {
		call.UntilMillis = e.renew(c.now, c.opts.Lease)
	}
	c.do(call)
	return call.Call
}

func (c *Core) lookAnswered(ev LookAnswered) {
	e := &c.endpoint
	known := ev.Call == e.looking || ev.Call == e.resync
	if !known {
		return
	}
	resync := ev.Call == e.resync
	carried := e.lookingSeen
	if resync {
		e.resync, carried = 0, e.resyncSeen
	} else {
		e.looking = 0
	}
	if e.isReborn(ev.Clock, ev.Born) {
		c.gone("endpoint began a new life")
		return
	}
	e.heard(c.now, ev.Clock)
	switch ev.Result {
	case LookTaken:
		e.failures, e.strange = 0, false
		e.told = max(e.told, carried)
		c.takeList(ev)
	case LookFenced:
		c.outdoFence()
		c.lookFailed()
	case LookElsewhere:
		e.strange = true
		c.lookFailed()
	case LookUnreachable:
		c.crash()
	case LookNoAnswer:
		e.wantResync = e.wantResync || resync
		c.lookFailed()
	}
}

func (c *Core) lookFailed() {
	c.endpoint.failures++
	c.endpoint.lookFailed = c.now
}

// takeList compares the endpoint's lists with what is known.
func (c *Core) takeList(ev LookAnswered) {
	e := &c.endpoint
	for _, ended := range ev.Ended {
		if ended.Seq <= e.seen {
			continue
		}
		e.seen = ended.Seq
		if r := c.runs.Get(ended.Run); r != nil {
			c.end(r, ended.Outcome)
		}
		e.foreign.Delete(ended.Run)
	}
	alive := make(map[message.RunRef]bool, len(ev.Running))
	for _, listed := range ev.Running {
		alive[listed.Run] = true
		c.meet(listed, ev.Clock)
	}
	for ref := range e.foreign.All() {
		if !alive[ref] {
			e.foreign.Delete(ref)
		}
	}
	c.missing(ev.Call, alive)
	if !e.settled && e.foreign.Len() == 0 {
		e.settled = true
	}
}

// meet takes note of a run that is alive.
func (c *Core) meet(listed AliveRun, clock Clock) {
	e, ref := &c.endpoint, listed.Run
	if r := c.runs.Get(ref); r != nil {
		if !r.stopWanted && r.hasStalled(listed.Percent, clock) {
			r.stalled = true
			c.do(Note{What: "run stalled", Run: ref, Subject: e.name, Detail: fmt.Sprintf("at %v %%", listed.Percent)})
			c.stop(r)
		}
		r.percent, r.percentAt = listed.Percent, c.now
		if r.state == runUnclear || r.state == runInNextLife {
			r.state = runAlive
		}
		return
	}
	if _, past := c.ended[ref]; past {
		return
	}
	sent, known := e.foreign.Get(ref), e.foreign.Has(ref)
	if known && c.now-sent < stopRepeat {
		return
	}
	if !known {
		c.counters.Foreign++
		c.do(Note{What: "run of an earlier process stopped", Run: ref, Subject: e.name})
	}
	e.foreign.Set(ref, c.now)
	c.do(StopCall{Call: c.nextCall(), Endpoint: e.name, Run: ref, Fence: e.fence})
}

// missing ends the runs that a conclusive look does not list.
func (c *Core) missing(call CallID, alive map[message.RunRef]bool) {
	for ref, r := range c.runs.All() {
		if alive[ref] || r.conclusive == 0 || call < r.conclusive {
			continue
		}
		switch {
		case r.state == runUnclear && r.adoption == c.endpoint.adoption:
			c.endRefused(r, message.CauseUnreachable)
		case r.state != runStarting:
			// It may have run in an earlier life of the endpoint.
			c.end(r, message.RunLost)
		}
	}
}
