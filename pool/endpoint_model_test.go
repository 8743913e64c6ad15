package pool

import (
	"math"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/worker"
)

// modelEndpoint is an endpoint that starts whatever it is told to, kills what
// has no lease, and minds fences and run numbers.
type modelEndpoint struct {
	name     string
	number   int
	born     int64
	bornAt   time.Duration
	seq      int64
	capacity int64
	// slow is the clock's rate in percent.
	slow    int64
	fence   int64
	until   int64
	running kernel.OrderedMap[message.RunRef, *modelRun]
	ended   []worker.EndedRun
	ends    int64
	highest map[[2]string]int64
	up      bool
	// stuck is the share of runs, in percent, that stand still.
	stuck int
	// downUntil is when a crashed endpoint starts again.
	downUntil time.Duration
}

type modelRun struct {
	ref    message.RunRef
	cpu    int64
	began  time.Duration
	doneAt time.Duration
	// stuckAt is the percent at which it stands still; 0 lets it come to its end.
	stuckAt float64
	stopAt  time.Duration
	outcome message.RunOutcome
}

func newModelEndpoint(n int) *modelEndpoint {
	e := &modelEndpoint{name: "endpoint", number: n, capacity: 20000, slow: 98 + int64(n%3)}
	e.boot(0, 1)
	return e
}

func (e *modelEndpoint) boot(now time.Duration, born int64) {
	e.born, e.bornAt, e.seq, e.fence, e.until, e.ends, e.up = born, now, 0, 0, 0, 0, true
	e.running, e.ended, e.highest = kernel.OrderedMap[message.RunRef, *modelRun]{}, nil, map[[2]string]int64{}
}

func (e *modelEndpoint) clock(now time.Duration) int64 {
	return 1000 + (now-e.bornAt).Milliseconds()*e.slow/100
}

func (e *modelEndpoint) crash(now time.Duration, down time.Duration) {
	e.up, e.downUntil, e.running = false, now+down, kernel.OrderedMap[message.RunRef, *modelRun]{}
}

func (e *modelEndpoint) heartbeat() worker.EndpointSeen {
	e.seq++
	return worker.EndpointSeen{
		Name: e.name, Born: e.born, Seq: e.seq, Service: "s",
		Capacity: message.Resources{MilliCPU: e.capacity}, ClockMillis: e.clock(e.bornAt) + e.seq,
	}
}

func (e *modelEndpoint) end(r *modelRun, outcome message.RunOutcome) {
	e.running.Delete(r.ref)
	e.ends++
	e.ended = append(e.ended, worker.EndedRun{Seq: e.ends, Run: r.ref, Outcome: outcome})
	e.note(r.ref)
}

func (e *modelEndpoint) key(ref message.RunRef) [2]string {
	return [2]string{ref.Job, string(rune('a' + ref.Task))}
}

func (e *modelEndpoint) note(ref message.RunRef) {
	e.highest[e.key(ref)] = max(e.highest[e.key(ref)], ref.Number)
}

func (e *modelEndpoint) advance(w *world) {
	if !e.up {
		if w.now >= e.downUntil {
			e.boot(w.now, e.born+1)
		}
		return
	}
	lapsed := e.clock(w.now) > e.until
	for _, r := range e.running.All() {
		switch {
		case lapsed:
			e.end(r, message.RunLost)
		case r.stopAt > 0 && w.now >= r.stopAt:
			e.end(r, message.RunStopped)
		case w.now >= r.doneAt && r.stuckAt == 0:
			e.end(r, r.outcome)
		}
	}
}

// percent is the progress that the endpoint tells of a run.
func (r *modelRun) percent(now time.Duration) float64 {
	done := math.Floor(100 * float64(now-r.began) / float64(r.doneAt-r.began))
	if r.stuckAt > 0 {
		done = min(done, r.stuckAt)
	}
	return min(done, 99)
}

func (e *modelEndpoint) extend(now time.Duration, until int64) {
	e.until = max(e.until, min(until, e.clock(now)+lease.Milliseconds()))
}

// executeCalls carries out the calls whose time has come.
func (w *world) executeCalls(a *modelAgent) {
	kept := a.calls[:0]
	due := []pendingCall{}
	for _, p := range a.calls {
		if p.at <= w.now {
			due = append(due, p)
		} else {
			kept = append(kept, p)
		}
	}
	a.calls = kept
	for _, p := range due {
		if p.silent && p.born != a.endpoint.born && !w.lateAcrossLives {
			continue
		}
		ev := noAnswer(p.call)
		if !p.timeout {
			ev = w.execute(a, p)
		}
		if p.owner == a.incarnation && !p.silent {
			a.inbox = append(a.inbox, ev)
		}
	}
}

// noAnswer is what an agent sees of a call whose answer does not come.
func noAnswer(call worker.Action) worker.Event {
	switch c := call.(type) {
	case worker.StartCall:
		return worker.StartAnswered{Call: c.Call, Run: c.Run, Result: worker.StartNoAnswer}
	case worker.StopCall:
		return worker.StopAnswered{Call: c.Call, Run: c.Run}
	case worker.LookCall:
		return worker.LookAnswered{Call: c.Call, Result: worker.LookNoAnswer}
	}
	return worker.Tick{}
}

func (w *world) execute(a *modelAgent, p pendingCall) worker.Event {
	e := a.endpoint
	w.tell("%s's endpoint %T%+v late=%v", a.name, p.call, p.call, p.silent)
	clock := worker.Clock{Millis: e.clock(w.now), Known: e.up}
	switch c := p.call.(type) {
	case worker.StartCall:
		return worker.StartAnswered{Call: c.Call, Run: c.Run, Result: w.start(e, c), Clock: clock}
	case worker.StopCall:
		return worker.StopAnswered{Call: c.Call, Run: c.Run, Taken: w.stop(e, c), Clock: clock}
	case worker.LookCall:
		answer := w.look(e, c)
		answer.Clock = clock
		return answer
	}
	return worker.Tick{}
}

func (w *world) start(e *modelEndpoint, c worker.StartCall) worker.StartResult {
	switch {
	case !e.up:
		return worker.StartUnreachable
	case c.Fence < e.fence:
		return worker.StartFenced
	}
	e.fence = c.Fence
	switch {
	case e.running.Get(c.Run) != nil:
		return worker.StartTaken
	case e.highest[e.key(c.Run)] >= c.Run.Number:
		return worker.StartOutdated
	case c.UntilMillis < e.clock(w.now):
		return worker.StartLate
	}
	e.extend(w.now, c.UntilMillis)
	took := time.Duration(20+w.draw.intn(400, "work")) * time.Millisecond
	outcome := message.RunDone
	if w.draw.intn(10, "fails") == 0 && !w.sound {
		outcome = message.RunFailed
	}
	// The payload tells the model what the task takes.
	r := &modelRun{ref: c.Run, cpu: 6000, began: w.now, doneAt: w.now + took, outcome: outcome}
	if e.stuck > 0 && w.draw.intn(100, "stuck") < e.stuck {
		r.stuckAt = 1 + float64(w.draw.intn(99, "stuck at"))
	}
	e.running.Set(c.Run, r)
	w.startedBy(c.Run)
	return worker.StartTaken
}

func (w *world) stop(e *modelEndpoint, c worker.StopCall) bool {
	if !e.up || c.Fence < e.fence {
		return false
	}
	e.fence = c.Fence
	if r := e.running.Get(c.Run); r != nil {
		if r.stopAt == 0 {
			r.stopAt = w.now + stopTime
		}
	} else {
		e.note(c.Run)
	}
	return true
}

func (w *world) look(e *modelEndpoint, c worker.LookCall) worker.LookAnswered {
	answer := worker.LookAnswered{Call: c.Call, Result: worker.LookTaken, Born: e.born}
	switch {
	case !e.up:
		answer.Result = worker.LookUnreachable
		return answer
	case c.Fence < e.fence:
		answer.Result = worker.LookFenced
		return answer
	}
	e.fence = c.Fence
	if c.UntilMillis > 0 {
		e.extend(w.now, c.UntilMillis)
	}
	for len(e.ended) > 0 && e.ended[0].Seq <= c.SeenUpTo {
		e.ended = e.ended[1:]
	}
	answer.Ended = append(answer.Ended, e.ended...)
	for ref, r := range e.running.All() {
		answer.Running = append(answer.Running, worker.AliveRun{Run: ref, Percent: r.percent(w.now)})
	}
	return answer
}
