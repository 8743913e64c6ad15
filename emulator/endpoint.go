package emulator

import (
	"math"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/executor"
)

const (
	// callDelay is the one-way delay of a call between an agent and its endpoint on
	// the same worker.
	callDelay = time.Millisecond
	// announceInterval is the interval between announcements of an endpoint.
	announceInterval = 1500 * time.Millisecond
	// The delay of a call that is carried out late lies between minLateDelay and
	// maxLateDelay.
	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
	// crashDelay is the time from the start of a deadly task to the crash of its
	// endpoint.
	crashDelay = 10 * time.Millisecond
	// A crashed endpoint is back after minOutage to maxOutage.
	minOutage = 3 * time.Second
	maxOutage = 3500 * time.Millisecond
)

// endpoint is the model of an endpoint: it starts what it is told to, works on its
// runs at its speed, ends them when their lease expires, and checks fences and run
// numbers.
type endpoint struct {
	sim      *simulation
	agent    *agentNode
	capacity message.Resources
	slowness float64
	// unanswered is the share of calls that get no answer.
	unanswered float64
	// up is false while the endpoint has no process; incarnation numbers its processes
	// and bornAt is the start of the present one.
	up          bool
	incarnation int64
	bornAt      time.Duration

	seq     int64
	fence   int64
	leaseAt time.Duration
	runs    kernel.OrderedMap[message.RunRef, *endpointRun]
	used    message.Resources
	ended   []executor.EndedRun
	lastEnd int64
	highest map[taskKey]int64
	// waiting answers the poll that waits for the end of a run, broken ends it without
	// an answer.
	waiting, broken func()
}

type taskKey struct {
	job  string
	task int
}

type endpointRun struct {
	ref message.RunRef
	job *job
	// left is the work that is left at worksSince, as run time on an endpoint of
	// slowness 1.
	left       time.Duration
	worksSince time.Duration
	// plan numbers the planned ends: an earlier one is void.
	plan int
}

func keyOf(ref message.RunRef) taskKey { return taskKey{ref.Job, ref.Task} }

// boot begins a new incarnation, which knows nothing of the ones before.
func (e *endpoint) boot() {
	e.up, e.bornAt = true, e.sim.clock.now
	e.incarnation++
	e.seq, e.fence, e.leaseAt, e.lastEnd = 0, 0, 0, 0
	e.ended, e.highest = nil, map[taskKey]int64{}
}

// crash ends the process and all its runs without notice.
func (e *endpoint) crash(outage time.Duration) {
	if !e.up {
		return
	}
	e.up = false
	e.sim.result.Crashes++
	for _, r := range e.runs.All() {
		e.remove(r)
	}
	if e.broken != nil {
		e.broken()
	}
	e.sim.clock.after(outage, func() {
		e.boot()
		e.announce()
	})
}

// outage draws the time for which a crashed endpoint is away.
func (s *simulation) outage() time.Duration {
	return minOutage + time.Duration(s.random.Float64()*float64(maxOutage-minOutage))
}

// clock returns the endpoint's clock in milliseconds.
func (e *endpoint) clock() int64 { return (e.sim.clock.now - e.bornAt).Milliseconds() }

func (e *endpoint) announce() {
	if !e.up {
		return
	}
	e.seq++
	e.agent.deliver(executor.EndpointAnnounced{
		Name: e.agent.name, EndpointIncarnation: e.incarnation, Seq: e.seq, Service: service, Capacity: e.capacity, ClockMillis: e.clock(),
	})
}

// call carries out a call of the agent and delivers its answer, none if there was no
// answer, or unreachable if the endpoint has no process.
func (e *endpoint) call(timeout time.Duration, answered func() executor.Event, none, unreachable executor.Event) {
	life, incarnation := e.agent.life, e.incarnation
	if e.leavesUnanswered() {
		late := minLateDelay + time.Duration(e.sim.random.Float64()*float64(maxLateDelay-minLateDelay))
		e.sim.clock.after(late, func() {
			if e.up && e.incarnation == incarnation {
				answered()
			}
		})
		e.answer(life, timeout+callDelay, none)
		return
	}
	e.sim.clock.after(callDelay, func() {
		if !e.up {
			e.answer(life, callDelay, unreachable)
			return
		}
		e.answer(life, callDelay, answered())
	})
}

// leavesUnanswered draws whether the endpoint leaves a call unanswered.
func (e *endpoint) leavesUnanswered() bool {
	return e.unanswered > 0 && e.sim.random.Float64() < e.unanswered
}

// answer delivers an answer to the life of the agent that made the call.
func (e *endpoint) answer(life uint64, delay time.Duration, ev executor.Event) {
	e.sim.clock.after(delay, func() {
		if e.agent.life == life {
			e.agent.deliver(ev)
		}
	})
}

func (e *endpoint) start(c executor.StartCall) executor.Event {
	answer := executor.StartAnswered{
		Call: c.Call, Run: c.Run, EndpointIncarnation: e.incarnation, Clock: executor.Clock{Millis: e.clock(), Known: true},
	}
	if c.Fence < e.fence {
		answer.Result = executor.StartFenced
		return answer
	}
	e.fence = c.Fence
	switch {
	case e.runs.Has(c.Run):
		answer.Result = executor.StartAccepted
	case e.highest[keyOf(c.Run)] >= c.Run.Number:
		answer.Result = executor.StartOutdated
	case c.UntilMillis < e.clock():
		answer.Result = executor.StartExpired
	default:
		answer.Result = executor.StartAccepted
		e.extend(c.UntilMillis)
		e.begin(c.Run)
	}
	return answer
}

func (e *endpoint) begin(ref message.RunRef) {
	j := e.sim.jobs[ref.Job]
	r := &endpointRun{ref: ref, job: j, left: j.works[ref.Task], worksSince: e.sim.clock.now}
	e.runs.Set(ref, r)
	e.sim.result.Starts++
	j.taskStarted(ref.Task, e.sim.clock.now)
	e.used = e.used.Plus(j.need)
	if !e.used.Fits(e.capacity) {
		e.sim.result.OverCapacity++
	}
	e.sim.aliveRuns[keyOf(ref)]++
	if e.sim.aliveRuns[keyOf(ref)] > 1 {
		e.sim.result.Overlaps++
	}
	e.planEnd(r)
	if j.deadly && ref.Task == 0 {
		e.beginDeadly(r)
	}
}

// beginDeadly plans the crash under the task of a deadly job.
func (e *endpoint) beginDeadly(r *endpointRun) {
	if r.job.crashes >= budgetCrashes {
		if r.job.startsOverBudget++; r.job.startsOverBudget >= budgetStarts {
			e.sim.result.OverBudget++
		}
	}
	e.sim.clock.after(crashDelay, func() {
		if e.runs.Get(r.ref) == r {
			r.job.crashes++
			e.crash(e.sim.outage())
		}
	})
}

// A deadly task is over its budget when it is started budgetStarts times after
// budgetCrashes crashes. The limit is the users'.
const (
	budgetCrashes = 3
	budgetStarts  = 3
)

// planEnd adds the event of a run's end at the present speed.
func (e *endpoint) planEnd(r *endpointRun) {
	r.plan++
	plan := r.plan
	e.sim.clock.after(time.Duration(float64(r.left)*e.slowness), func() {
		if r.plan == plan && e.runs.Has(r.ref) {
			e.end(r, message.RunDone)
		}
	})
}

// setSlowness changes the speed at which the runs go on.
func (e *endpoint) setSlowness(slowness float64) {
	for _, r := range e.runs.All() {
		r.left -= time.Duration(float64(e.sim.clock.now-r.worksSince) / e.slowness)
		r.worksSince = e.sim.clock.now
	}
	e.slowness = slowness
	for _, r := range e.runs.All() {
		e.planEnd(r)
	}
}

// remove takes a run that has ended off the endpoint.
func (e *endpoint) remove(r *endpointRun) {
	e.runs.Delete(r.ref)
	e.used = e.used.Minus(r.job.need)
	if e.sim.aliveRuns[keyOf(r.ref)]--; e.sim.aliveRuns[keyOf(r.ref)] == 0 {
		delete(e.sim.aliveRuns, keyOf(r.ref))
	}
	r.plan++
}

func (e *endpoint) end(r *endpointRun, outcome message.RunOutcome) {
	e.remove(r)
	e.lastEnd++
	e.ended = append(e.ended, executor.EndedRun{Seq: e.lastEnd, Run: r.ref, Outcome: outcome})
	e.recordNumber(r.ref)
	if e.waiting != nil {
		e.waiting()
	}
}

func (e *endpoint) recordNumber(ref message.RunRef) {
	e.highest[keyOf(ref)] = max(e.highest[keyOf(ref)], ref.Number)
}

func (e *endpoint) stop(c executor.StopCall) executor.Event {
	answer := executor.StopAnswered{Call: c.Call, Run: c.Run, Clock: executor.Clock{Millis: e.clock(), Known: true}}
	if c.Fence < e.fence {
		return answer
	}
	e.fence, answer.Accepted = c.Fence, true
	e.recordNumber(c.Run)
	if r := e.runs.Get(c.Run); r != nil {
		e.end(r, message.RunStopped)
	}
	return answer
}

// poll answers a poll at once if there is an end to list or it may not wait;
// otherwise with the next end or after its wait.
func (e *endpoint) poll(c executor.PollCall) {
	life := e.agent.life
	answered := false
	answerWith := func(list func() executor.PollAnswered) func() {
		return func() {
			if !answered {
				answered, e.waiting, e.broken = true, nil, nil
				e.answer(life, callDelay, list())
			}
		}
	}
	noAnswer := func(result executor.PollResult) func() executor.PollAnswered {
		return func() executor.PollAnswered { return executor.PollAnswered{Call: c.Call, Result: result} }
	}
	answer := answerWith(func() executor.PollAnswered { return e.list(c) })
	if e.leavesUnanswered() {
		e.answer(life, c.Timeout, noAnswer(executor.PollNoAnswer)())
		return
	}
	e.sim.clock.after(callDelay, func() {
		if !e.up {
			answerWith(noAnswer(executor.PollUnreachable))()
			return
		}
		if c.Fence < e.fence {
			answer()
			return
		}
		e.fence = c.Fence
		if c.UntilMillis > 0 {
			e.extend(c.UntilMillis)
		}
		for len(e.ended) > 0 && e.ended[0].Seq <= c.SeenUpTo {
			e.ended = e.ended[1:]
		}
		if len(e.ended) > 0 || c.WaitMillis == 0 {
			answer()
			return
		}
		e.waiting, e.broken = answer, answerWith(noAnswer(executor.PollNoAnswer))
		e.sim.clock.after(time.Duration(c.WaitMillis)*time.Millisecond, answer)
	})
}

func (e *endpoint) list(c executor.PollCall) executor.PollAnswered {
	result := executor.PollAnswered{
		Call: c.Call, Result: executor.PollAccepted, EndpointIncarnation: e.incarnation, Clock: executor.Clock{Millis: e.clock(), Known: true},
	}
	if c.Fence < e.fence {
		result.Result = executor.PollFenced
		return result
	}
	result.Ended = append(result.Ended, e.ended...)
	for ref, r := range e.runs.All() {
		worked := float64(e.sim.clock.now-r.worksSince) / e.slowness
		total := float64(r.job.works[ref.Task])
		percent := math.Floor(100 * (1 - (float64(r.left)-worked)/total))
		result.Running = append(result.Running, executor.AliveRun{Run: ref, Percent: min(percent, 99)})
	}
	return result
}

// extend extends the leases of all runs up to a time on the endpoint's clock.
func (e *endpoint) extend(untilMillis int64) {
	until := min(e.bornAt+time.Duration(untilMillis)*time.Millisecond, e.sim.clock.now+e.sim.timing.Lease)
	if until <= e.leaseAt {
		return
	}
	e.leaseAt = until
	e.sim.clock.at(until, func() {
		if e.leaseAt > until {
			return
		}
		for _, r := range e.runs.All() {
			e.end(r, message.RunLost)
		}
	})
}
