package executor

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// pollRetryPause is the pause after a failed poll that was not the first one in
	// a row.
	pollRetryPause = 50 * time.Millisecond
	// failuresBeforeReconnect is the number of consecutive failed polls after which
	// polls ask for a new connection if nothing else was answered either: all open
	// ones may be unresponsive. A single failure is more often an unanswered call.
	failuresBeforeReconnect = 2
	// renewLimit is the time without an answer after which polls no longer renew
	// leases: the estimate of the endpoint's clock is then too inaccurate.
	renewLimit = 2 * time.Second
)

// pollEndpoint keeps one poll in flight that waits for the end of a run. When the
// state of a run is unconfirmed, it sends another one that does not wait.
func (c *Core) pollEndpoint() {
	e := &c.endpoint
	if !e.present {
		return
	}
	if e.pollFailures > 1 && c.now-e.pollFailed < pollRetryPause {
		return
	}
	if e.wantPromptPoll && e.promptPoll == 0 {
		e.wantPromptPoll = false
		c.counters.PromptPolls++
		e.promptPoll, e.promptPollAck, e.promptPollSent = c.sendPoll(0), e.seenEnd, c.now
	}
	if e.waitingPoll == 0 && e.promptPoll == 0 {
		wait := pollWait
		if e.roundTrip.lossy() {
			wait = lossyPollWait
		}
		if c.stopping && c.runs.Len() == 0 {
			wait = 0
		}
		e.waitingPoll, e.waitingPollAck, e.waitingPollSent = c.sendPoll(wait), e.seenEnd, c.now
	}
}

func (c *Core) sendPoll(wait time.Duration) CallID {
	e := &c.endpoint
	call := PollCall{
		Call: c.nextCall(), Endpoint: e.name, Fence: e.fence, SeenUpTo: e.seenEnd,
		WaitMillis: wait.Milliseconds(), Timeout: wait + e.roundTrip.timeout(),
		NewConnection: e.pollFailures >= failuresBeforeReconnect && e.answeredAt < e.pollFailedSince,
	}
	if c.runs.Len() > 0 && !e.left && c.now-e.answeredAt < renewLimit {
		call.UntilMillis = e.renew(c.now, c.opts.Lease)
	}
	c.emit(call)
	return call.Call
}

func (c *Core) pollAnswered(ev PollAnswered) {
	e := &c.endpoint
	inFlight := ev.Call == e.waitingPoll || ev.Call == e.promptPoll
	if !inFlight {
		return
	}
	promptPoll := ev.Call == e.promptPoll
	if promptPoll && ev.Result == PollAccepted {
		e.roundTrip.answered(c.now - e.promptPollSent)
	}
	acked, sent := e.waitingPollAck, e.waitingPollSent
	if promptPoll {
		e.promptPoll, acked, sent = 0, e.promptPollAck, e.promptPollSent
	} else {
		e.waitingPoll = 0
	}
	if e.isLaterIncarnation(ev.Clock, ev.EndpointIncarnation) {
		c.endpointRestarted()
		return
	}
	e.recordAnswer(c.now, ev.Clock)
	switch ev.Result {
	case PollAccepted:
		e.pollFailures, e.mismatched = 0, false
		e.ackedEnd = max(e.ackedEnd, acked)
		c.reconcile(ev)
	case PollFenced:
		c.exceedSeenFence()
		c.pollFailed()
	case PollMismatched:
		e.mismatched = true
		c.pollFailed()
	case PollUnreachable:
		c.endpointCrashed(sent)
	case PollNoAnswer:
		e.wantPromptPoll = e.wantPromptPoll || promptPoll
		e.roundTrip.timedOut()
		c.pollFailed()
	}
}

func (c *Core) pollFailed() {
	e := &c.endpoint
	if e.pollFailures == 0 {
		e.pollFailedSince = c.now
	}
	e.pollFailures++
	e.pollFailed = c.now
}

// reconcile compares the runs and ends that the endpoint lists with the runs that
// the core holds.
func (c *Core) reconcile(ev PollAnswered) {
	e := &c.endpoint
	for _, ended := range ev.Ended {
		if ended.Seq <= e.seenEnd {
			continue
		}
		e.seenEnd = ended.Seq
		if r := c.runs.Get(ended.Run); r != nil {
			c.end(r, ended.Outcome)
		}
		e.unknownRuns.Delete(ended.Run)
	}
	alive := make(map[message.RunRef]bool, len(ev.Running))
	for _, listed := range ev.Running {
		alive[listed.Run] = true
		c.recordRunning(listed, ev.Clock)
	}
	for ref := range e.unknownRuns.All() {
		if !alive[ref] {
			e.unknownRuns.Delete(ref)
		}
	}
	c.endMissing(ev.Call, alive)
	if !e.reconciled && e.unknownRuns.Len() == 0 {
		e.reconciled = true
	}
}

// recordRunning records the progress of a run that the endpoint lists as running
// and stops it if it has stalled. It also stops unknown runs.
func (c *Core) recordRunning(listed AliveRun, clock Clock) {
	e, ref := &c.endpoint, listed.Run
	if r := c.runs.Get(ref); r != nil {
		if !r.stopWanted && r.hasStalled(listed.Percent, clock) {
			r.stalled = true
			c.emit(Note{What: "run stalled", Run: ref, Subject: e.name, Detail: fmt.Sprintf("at %v %%", listed.Percent)})
			c.stop(r)
		}
		r.percent, r.percentAt, r.aliveAt = listed.Percent, c.now, c.now
		if r.state == runUnconfirmed || r.state == runInNextIncarnation {
			r.state = runAlive
			if r.acceptedAt == 0 {
				r.acceptedAt = r.startSent
			}
		}
		return
	}
	if _, hasEnded := c.ended[ref]; hasEnded {
		return
	}
	stopSentAt, listedBefore := e.unknownRuns.Get(ref), e.unknownRuns.Has(ref)
	if listedBefore && c.now-stopSentAt < stopRepeat {
		return
	}
	if !listedBefore {
		c.counters.UnknownRuns++
		c.emit(Note{What: "run of an earlier process stopped", Run: ref, Subject: e.name})
	}
	e.unknownRuns.Set(ref, c.now)
	c.emit(StopCall{Call: c.nextCall(), Endpoint: e.name, Run: ref, Fence: e.fence, Timeout: e.roundTrip.timeout()})
}

// endMissing ends the runs that are missing from the answer to a poll that would
// have listed them if they were alive.
func (c *Core) endMissing(call CallID, alive map[message.RunRef]bool) {
	for ref, r := range c.runs.All() {
		if alive[ref] || r.conclusiveFrom == 0 || call < r.conclusiveFrom {
			continue
		}
		switch {
		case r.state == runUnconfirmed && r.adoption == c.endpoint.adoption:
			c.endRefused(r, message.CauseUnreachable)
		case r.state != runStarting:
			// It may have run in an earlier incarnation of the endpoint.
			c.end(r, message.RunLost)
		}
	}
}
