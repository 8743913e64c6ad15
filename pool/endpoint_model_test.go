package pool

import (
	"math"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/executor"
)

// modelEndpoint is an endpoint that accepts all starts, ends runs whose lease
// has expired, and checks fences and run numbers.
type modelEndpoint struct {
	name                string
	number              int
	endpointIncarnation int64
	startedAt           time.Duration
	announcementSeq     int64
	capacity            int64
	// replaced lists the capacities that the endpoint had before, oldest first.
	replaced []replacedCapacity
	// clockPercent is the rate of the endpoint's clock in percent of real time.
	clockPercent  int64
	fence         int64
	leaseUntil    int64
	running       kernel.OrderedMap[message.RunRef, *modelRun]
	ended         []executor.EndedRun
	lastEndSeq    int64
	highestNumber map[[2]string]int64
	up            bool
	// stalledPercent is the share of runs, in percent, that stall.
	stalledPercent int
	// downUntil is the time at which a crashed endpoint starts again.
	downUntil time.Duration
}

// replacedCapacity is a capacity that an endpoint had until a time.
type replacedCapacity struct {
	capacity int64
	until    time.Duration
}

func (e *modelEndpoint) setCapacity(now time.Duration, capacity int64) {
	e.replaced = append(e.replaced, replacedCapacity{e.capacity, now})
	e.capacity = capacity
}

// largestCapacity returns the largest capacity that the endpoint had since a time.
func (e *modelEndpoint) largestCapacity(since time.Duration) int64 {
	largest := e.capacity
	for _, r := range e.replaced {
		if r.until >= since {
			largest = max(largest, r.capacity)
		}
	}
	return largest
}

func (e *modelEndpoint) used() int64 {
	used := int64(0)
	for _, r := range e.running.All() {
		used += r.cpu
	}
	return used
}

type modelRun struct {
	ref    message.RunRef
	cpu    int64
	began  time.Duration
	doneAt time.Duration
	// stalledAt is the progress, in percent, at which the run stalls; 0 if it
	// completes.
	stalledAt float64
	stopAt    time.Duration
	outcome   message.RunOutcome
}

func newModelEndpoint(n int) *modelEndpoint {
	e := &modelEndpoint{name: "endpoint", number: n, capacity: 20000, clockPercent: 98 + int64(n%3)}
	e.boot(0, 1)
	return e
}

func (e *modelEndpoint) boot(now time.Duration, endpointIncarnation int64) {
	e.endpointIncarnation, e.startedAt, e.announcementSeq, e.fence, e.leaseUntil, e.lastEndSeq, e.up = endpointIncarnation, now, 0, 0, 0, 0, true
	e.running, e.ended, e.highestNumber = kernel.OrderedMap[message.RunRef, *modelRun]{}, nil, map[[2]string]int64{}
}

func (e *modelEndpoint) clock(now time.Duration) int64 {
	return 1000 + (now-e.startedAt).Milliseconds()*e.clockPercent/100
}

func (e *modelEndpoint) crash(now time.Duration, down time.Duration) {
	e.up, e.downUntil, e.running = false, now+down, kernel.OrderedMap[message.RunRef, *modelRun]{}
}

func (e *modelEndpoint) announcement() executor.EndpointAnnounced {
	e.announcementSeq++
	return executor.EndpointAnnounced{
		Name: e.name, EndpointIncarnation: e.endpointIncarnation, Seq: e.announcementSeq, Service: "s",
		Capacity: message.Resources{MilliCPU: e.capacity}, ClockMillis: e.clock(e.startedAt) + e.announcementSeq,
	}
}

func (e *modelEndpoint) end(r *modelRun, outcome message.RunOutcome) {
	e.running.Delete(r.ref)
	e.lastEndSeq++
	e.ended = append(e.ended, executor.EndedRun{Seq: e.lastEndSeq, Run: r.ref, Outcome: outcome})
	e.recordNumber(r.ref)
}

func (e *modelEndpoint) taskKey(ref message.RunRef) [2]string {
	return [2]string{ref.Job, string(rune('a' + ref.Task))}
}

func (e *modelEndpoint) recordNumber(ref message.RunRef) {
	e.highestNumber[e.taskKey(ref)] = max(e.highestNumber[e.taskKey(ref)], ref.Number)
}

func (e *modelEndpoint) advance(sim *simulation) {
	if !e.up {
		if sim.now >= e.downUntil {
			e.boot(sim.now, e.endpointIncarnation+1)
		}
		return
	}
	expired := e.clock(sim.now) > e.leaseUntil
	for _, r := range e.running.All() {
		switch {
		case expired:
			e.end(r, message.RunLost)
		case r.stopAt > 0 && sim.now >= r.stopAt:
			e.end(r, message.RunStopped)
		case sim.now >= r.doneAt && r.stalledAt == 0:
			e.end(r, r.outcome)
		}
	}
}

// percent returns the progress that the endpoint reports for a run.
func (r *modelRun) percent(now time.Duration) float64 {
	done := math.Floor(100 * float64(now-r.began) / float64(r.doneAt-r.began))
	if r.stalledAt > 0 {
		done = min(done, r.stalledAt)
	}
	return min(done, 99)
}

func (e *modelEndpoint) extend(now time.Duration, leaseUntil int64) {
	e.leaseUntil = max(e.leaseUntil, min(leaseUntil, e.clock(now)+lease.Milliseconds()))
}

// executeCalls executes the calls that are due.
func (sim *simulation) executeCalls(a *modelAgent) {
	kept := a.calls[:0]
	due := []pendingCall{}
	for _, p := range a.calls {
		if p.at <= sim.now {
			due = append(due, p)
		} else {
			kept = append(kept, p)
		}
	}
	a.calls = kept
	for _, p := range due {
		if p.unanswered && p.endpointIncarnation != a.endpoint.endpointIncarnation && !sim.lateAcrossIncarnations {
			continue
		}
		ev := noAnswer(p.call)
		if !p.timeout {
			ev = sim.execute(a, p)
		}
		if p.agentIncarnation == a.incarnation && !p.unanswered {
			a.inbox = append(a.inbox, ev)
		}
	}
}

// noAnswer returns the event that an agent gets for a call without an answer.
func noAnswer(call executor.Action) executor.Event {
	switch c := call.(type) {
	case executor.StartCall:
		return executor.StartAnswered{Call: c.Call, Run: c.Run, Result: executor.StartNoAnswer}
	case executor.StopCall:
		return executor.StopAnswered{Call: c.Call, Run: c.Run}
	case executor.PollCall:
		return executor.PollAnswered{Call: c.Call, Result: executor.PollNoAnswer}
	}
	return executor.Tick{}
}

func (sim *simulation) execute(a *modelAgent, p pendingCall) executor.Event {
	e := a.endpoint
	sim.trace("%s's endpoint %T%+v unanswered=%v", a.name, p.call, p.call, p.unanswered)
	clock := executor.Clock{Millis: e.clock(sim.now), Known: e.up}
	switch c := p.call.(type) {
	case executor.StartCall:
		before := e.running.Len()
		result := sim.start(e, c)
		if e.running.Len() > before && !p.unanswered {
			sim.checkShrunkCapacity(a)
		}
		return executor.StartAnswered{Call: c.Call, Run: c.Run, Result: result, Clock: clock}
	case executor.StopCall:
		return executor.StopAnswered{Call: c.Call, Run: c.Run, Accepted: sim.stop(e, c), Clock: clock}
	case executor.PollCall:
		answer := sim.poll(e, c)
		answer.Clock = clock
		return answer
	}
	return executor.Tick{}
}

func (sim *simulation) start(e *modelEndpoint, c executor.StartCall) executor.StartResult {
	switch {
	case !e.up:
		return executor.StartUnreachable
	case c.Fence < e.fence:
		return executor.StartFenced
	}
	e.fence = c.Fence
	switch {
	case e.running.Get(c.Run) != nil:
		return executor.StartAccepted
	case e.highestNumber[e.taskKey(c.Run)] >= c.Run.Number:
		return executor.StartOutdated
	case c.UntilMillis < e.clock(sim.now):
		return executor.StartExpired
	}
	e.extend(sim.now, c.UntilMillis)
	took := time.Duration(20+sim.draw.intn(400, "work")) * time.Millisecond
	outcome := message.RunDone
	if sim.draw.intn(10, "fails") == 0 && !sim.noFailures {
		outcome = message.RunFailed
	}
	// All jobs of these tests need 6000 thousandths of a core.
	r := &modelRun{ref: c.Run, cpu: 6000, began: sim.now, doneAt: sim.now + took, outcome: outcome}
	if e.stalledPercent > 0 && sim.draw.intn(100, "stuck") < e.stalledPercent {
		r.stalledAt = 1 + float64(sim.draw.intn(99, "stuck at"))
	}
	e.running.Set(c.Run, r)
	sim.recordStart(c.Run)
	return executor.StartAccepted
}

func (sim *simulation) stop(e *modelEndpoint, c executor.StopCall) bool {
	if !e.up || c.Fence < e.fence {
		return false
	}
	e.fence = c.Fence
	if r := e.running.Get(c.Run); r != nil {
		if r.stopAt == 0 {
			r.stopAt = sim.now + stopTime
		}
	} else {
		e.recordNumber(c.Run)
	}
	return true
}

func (sim *simulation) poll(e *modelEndpoint, c executor.PollCall) executor.PollAnswered {
	answer := executor.PollAnswered{Call: c.Call, Result: executor.PollAccepted, EndpointIncarnation: e.endpointIncarnation}
	switch {
	case !e.up:
		answer.Result = executor.PollUnreachable
		return answer
	case c.Fence < e.fence:
		answer.Result = executor.PollFenced
		return answer
	}
	e.fence = c.Fence
	if c.UntilMillis > 0 {
		e.extend(sim.now, c.UntilMillis)
	}
	for len(e.ended) > 0 && e.ended[0].Seq <= c.SeenUpTo {
		e.ended = e.ended[1:]
	}
	answer.Ended = append(answer.Ended, e.ended...)
	for ref, r := range e.running.All() {
		answer.Running = append(answer.Running, executor.AliveRun{Run: ref, Percent: r.percent(sim.now)})
	}
	return answer
}
