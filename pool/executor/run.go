package executor

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

type runState uint8

const (
	// runStarting means that a start is in flight to the endpoint.
	runStarting runState = iota
	// runAlive means that the endpoint has accepted the start, or lists the run.
	runAlive
	// runUnconfirmed means that the start was not answered.
	runUnconfirmed
	// runInNextIncarnation means that the endpoint's incarnation has ended and that
	// the next one, which may not have announced itself yet, may have accepted the
	// start.
	runInNextIncarnation
)

// run is a run that may be alive at the endpoint.
type run struct {
	ref message.RunRef
	// key identifies the entry that ordered the run; entry is that entry, or nil if
	// it has been dropped.
	key     entryKey
	entry   *entry
	need    message.Resources
	payload string
	queue   string
	// isolated is set if the job is suspected of crashing endpoints.
	isolated bool
	// confined is set if the job's queue is confined to a part of the endpoints.
	confined bool
	state    runState
	// startSent is the time at which the last start was sent.
	startSent time.Duration
	// acceptedAt is the time at which the endpoint's answer to the start arrived, or
	// at which the last start was sent if a poll has shown that the run is alive.
	acceptedAt time.Duration
	// aliveAt is the time of the last answer that has shown the run alive.
	aliveAt time.Duration
	// estimate is the duration that the caller expects, percent the progress that
	// the endpoint reported at percentAt.
	estimate  time.Duration
	percent   float64
	percentAt time.Duration
	// progressClock is the endpoint's clock, in milliseconds, at the first poll that
	// reported the current percent; valid if progressSeen.
	progressClock int64
	progressSeen  bool
	// stalled is set when the run is being stopped for lack of progress.
	stalled bool
	// starts counts the starts sent; fence is that of the last one, and adoption
	// the endpoint's adoption for which it was sent. unanswered is set if one of the
	// starts was not answered in time: the endpoint may have carried it out, or may do
	// so later. broken is set if the endpoint closed the connection of one of them
	// before it answered: its process at that time may have carried it out.
	starts             int
	unanswered, broken bool
	fence              int64
	adoption           uint64
	// firstStart is the time at which the first start was sent.
	firstStart time.Duration
	// conclusiveFrom is the first call whose list of runs includes this one if it is
	// alive; 0 while a start is in flight.
	conclusiveFrom CallID
	// stopWanted is set when the run has to be stopped: stops are repeated until its
	// end is listed. stopCall is the stop in flight, or 0, and stopSent the time at
	// which the last one was sent.
	// stopRejected is set if the last stop was rejected or not answered.
	stopWanted, stopRejected bool
	stopCall                 CallID
	stopSent                 time.Duration
}

// handleStart accepts or refuses the runs of one order.
func (c *Core) handleStart(en *entry, order *message.RunStart, fresh bool) {
	for _, t := range order.Runs {
		ref := message.RunRef{Job: order.Job, Task: t.Task, Number: t.Number}
		if c.runs.Get(ref) != nil {
			continue
		}
		if cause := c.refusal(en, order, fresh); cause != message.CauseNone {
			c.refuse(en, ref, cause)
			continue
		}
		r := &run{ref: ref, key: en.key, entry: en, need: order.Need, payload: order.Payload, queue: order.Queue, isolated: order.Isolated,
			confined: order.Confined, estimate: time.Duration(order.EstimateMillis) * time.Millisecond}
		c.runs.Set(ref, r)
		c.used = c.used.Plus(r.need)
		if r.confined {
			c.confinement.milliCPU += r.need.MilliCPU
		}
		en.deductOffer(r.need)
		c.counters.Accepted++
		c.sendStart(r)
	}
}

func (c *Core) refusal(en *entry, order *message.RunStart, fresh bool) message.RunCause {
	switch {
	case c.stopping, c.endpoint.leaving, en.releasedAt != 0:
		return message.CauseLeaving
	case c.startsBarred():
		return message.CauseEvacuated
	case !c.ready():
		return message.CauseUnreachable
	case !fresh:
		return message.CauseStale
	case !order.Need.Fits(c.unreserved(en)):
		return message.CauseNoCapacity
	case order.Isolated && c.hasIsolatedRun(order.Job):
		return message.CauseIsolated
	}
	return message.CauseNone
}

// hasIsolatedRun reports whether an isolated job other than the given one has a run on
// the endpoint.
func (c *Core) hasIsolatedRun(except string) bool {
	for ref, r := range c.runs.All() {
		if r.isolated && ref.Job != except {
			return true
		}
	}
	return false
}

func (c *Core) refuse(en *entry, ref message.RunRef, cause message.RunCause) {
	c.counters.Refused[cause]++
	if en != nil && cause == message.CauseEvacuated && !en.evacuation.received {
		cause = message.CauseLeaving
	}
	if en != nil {
		en.addEnd(message.RunEnd{Run: ref, Outcome: message.RunRefused, Cause: cause})
	}
}

func (c *Core) sendStart(r *run) {
	r.state = runStarting
	if r.starts++; r.starts == 1 {
		r.firstStart = c.now
	}
	r.startSent = c.now
	if c.evacuation.active {
		c.counters.EvacuatedStarts++
	}
	call := c.nextCall()
	r.conclusiveFrom, r.fence, r.adoption = 0, c.endpoint.fence, c.endpoint.adoption
	c.emit(StartCall{
		Call: call, Endpoint: c.endpoint.name, Run: r.ref, Payload: r.payload,
		Fence: c.endpoint.fence, UntilMillis: c.endpoint.renew(c.now, c.opts.Lease),
		Timeout: c.endpoint.roundTrip.timeout(),
	})
}

func (c *Core) startAnswered(ev StartAnswered) {
	restarted := c.endpoint.isLaterIncarnation(ev.Clock, ev.EndpointIncarnation)
	if restarted {
		c.endpointRestarted()
	} else {
		c.endpoint.recordAnswer(c.now, ev.Clock)
	}
	r := c.runs.Get(ev.Run)
	if r == nil || r.state != runStarting {
		return
	}
	if restarted {
		r.state = runInNextIncarnation
		r.conclusiveFrom = CallID(c.calls + 1)
		return
	}
	if ev.Result > StartBroken && ev.Result != StartUnreachable {
		c.endpoint.roundTrip.answered(c.now - r.startSent)
	}
	switch ev.Result {
	case StartAccepted:
		r.state, r.acceptedAt, r.aliveAt = runAlive, c.now, c.now
		r.conclusiveFrom = CallID(c.calls + 1)
	case StartNoAnswer:
		r.unanswered = true
		c.startUnanswered(r)
	case StartBroken:
		r.broken = true
		c.startUnanswered(r)
	case StartFenced, StartExpired:
		c.startAgain(r, ev)
	case StartMismatched:
		c.endpoint.mismatched = true
		c.startRejected(r, message.CauseUnreachable)
	case StartUnreachable:
		c.startUnreachable(r)
	case StartOutdated:
		c.startRejected(r, message.CauseStaleNumber)
	case StartNoCapacity:
		c.startRejected(r, message.CauseNoCapacity)
	case StartOverloaded:
		c.startRejected(r, message.CauseOverloaded)
	case StartInvalid:
		c.startRejected(r, message.CauseInvalid)
	}
}

// startUnanswered handles a start without an answer. It raises the fence, so that
// the endpoint can no longer carry this start out later, and sends the start of the
// same run again: an endpoint that has already started the run accepts it without
// another effect. After maxStarts, when the endpoint has changed, or while its zone is
// evacuated, a poll decides.
func (c *Core) startUnanswered(r *run) {
	e := &c.endpoint
	e.roundTrip.timedOut()
	c.emit(Note{What: "start not answered", Run: r.ref, Subject: e.name})
	if e.crashed && r.adoption == e.adoption && !r.unanswered {
		c.amendCrash(r)
		c.end(r, message.RunLost)
		return
	}
	if !e.present || e.left || r.adoption != e.adoption || r.stopWanted || r.starts >= maxStarts || c.startsBarred() || c.overCommitted() {
		c.startUnconfirmed(r)
		return
	}
	c.counters.RepeatedStarts++
	c.raiseFence()
	c.sendStart(r)
}

// startUnreachable handles a start that found nothing listening at the endpoint's
// address. The process that had an earlier start of the run has ended by then, if that
// one is known to have reached it.
func (c *Core) startUnreachable(r *run) {
	if !r.uncertain() {
		sent := r.startSent
		c.endRefused(r, message.CauseUnreachable)
		c.endpointCrashed(sent)
		return
	}
	c.endpointCrashed(r.startSent)
	if r.unanswered {
		c.startUnconfirmed(r)
		return
	}
	c.end(r, message.RunLost)
}

// startUnconfirmed leaves it to a poll under a higher fence whether the endpoint
// has carried a start out.
func (c *Core) startUnconfirmed(r *run) {
	r.conclusiveFrom = CallID(c.calls + 1)
	if !c.endpoint.present {
		r.state = runInNextIncarnation
		return
	}
	r.state = runUnconfirmed
	c.raiseFenceAndPoll()
}

// startAgain repeats a start that the endpoint has rejected because of an old fence
// or an expired lease.
func (c *Core) startAgain(r *run, ev StartAnswered) {
	switch {
	case r.stopWanted, c.endpoint.left, r.starts >= maxStarts, r.uncertain() && r.adoption != c.endpoint.adoption:
		c.startRejected(r, message.CauseStale)
		return
	case c.startsBarred():
		c.startRejected(r, message.CauseEvacuated)
		return
	case c.overCommitted():
		c.startRejected(r, message.CauseNoCapacity)
		return
	}
	if ev.Result == StartFenced && r.fence == c.endpoint.fence {
		c.exceedSeenFence()
	}
	c.sendStart(r)
}

// startRejected ends a run whose start the endpoint has rejected. If an earlier
// start of the run was not answered, the endpoint may have carried that one out, so
// that a poll decides.
func (c *Core) startRejected(r *run, cause message.RunCause) {
	if r.uncertain() {
		c.startUnconfirmed(r)
		return
	}
	c.endRefused(r, cause)
}

// uncertain reports whether the endpoint may have carried out a start of the run that
// it has not answered.
func (r *run) uncertain() bool { return r.unanswered || r.broken }

// overCommitted reports whether the runs together may exceed the endpoint's capacity: it
// may have shrunk since they were accepted, or runs of unknown size are there.
func (c *Core) overCommitted() bool {
	return c.endpoint.unknownRuns.Len() > 0 || !c.used.Fits(c.endpoint.capacity)
}

func (c *Core) endRefused(r *run, cause message.RunCause) {
	c.removeRun(r)
	c.refuse(r.entry, r.ref, cause)
}

// end removes a run that has ended and queues its end to be reported to the entry.
func (c *Core) end(r *run, outcome message.RunOutcome) {
	if outcome == message.RunStopped && r.stalled {
		outcome = message.RunStalled
	}
	c.removeRun(r)
	c.counters.Ended[outcome]++
	if r.entry != nil {
		r.entry.addEnd(message.RunEnd{Run: r.ref, Outcome: outcome, Millis: (c.now - r.startSent).Milliseconds()})
	}
}

func (c *Core) removeRun(r *run) {
	c.runs.Delete(r.ref)
	c.used = c.used.Minus(r.need)
	if r.confined {
		c.confinement.milliCPU -= r.need.MilliCPU
	}
	c.rememberEnded(r.ref)
}

func (c *Core) rememberEnded(ref message.RunRef) {
	c.ended[ref] = c.now
	c.endedOrder = append(c.endedOrder, ref)
	for len(c.endedOrder) > 0 && c.now-c.ended[c.endedOrder[0]] > endedRetention {
		delete(c.ended, c.endedOrder[0])
		c.endedOrder = c.endedOrder[1:]
	}
}

// stop orders the endpoint to stop a run. The run occupies its capacity until it is
// known to have ended.
func (c *Core) stop(r *run) {
	if r.stopWanted {
		return
	}
	r.stopWanted = true
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopCall = c.nextCall()
	r.stopSent, r.stopRejected = c.now, false
	c.emit(StopCall{
		Call: r.stopCall, Endpoint: c.endpoint.name, Run: r.ref, Fence: c.endpoint.fence, Timeout: c.endpoint.roundTrip.timeout(),
	})
}

func (c *Core) stopAnswered(ev StopAnswered) {
	c.endpoint.recordAnswer(c.now, ev.Clock)
	if r := c.runs.Get(ev.Run); r != nil && r.stopCall == ev.Call {
		r.stopCall = 0
		if !ev.Accepted {
			r.stopRejected = true
			c.raiseFenceAndPoll()
		}
	}
}

// repeatStops sends stops again: those without effect after stopRepeat, those that
// were not accepted as soon as their answer was due.
func (c *Core) repeatStops() {
	for _, r := range c.runs.All() {
		if !r.stopWanted || r.stopCall != 0 {
			continue
		}
		interval := stopRepeat
		if r.stopRejected {
			interval = lossyCallTimeout
		}
		if c.now-r.stopSent >= interval {
			c.sendStop(r)
		}
	}
}
