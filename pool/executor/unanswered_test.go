package executor

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"

	"github.com/matryer/is"
)

// answerStart answers a start as accepted after the given time.
func (r *harness) answerStart(start StartCall, took time.Duration) {
	r.now += took
	r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, EndpointIncarnation: 1, Clock: Clock{5010 + r.now.Milliseconds(), true}})
}

// onlyStart returns the start that the last step sent.
func (r *harness) onlyStart() StartCall {
	r.t.Helper()
	starts := actionsOf[StartCall](r)
	if len(starts) != 1 {
		r.t.Fatalf("%d starts were sent, want one: %+v", len(starts), r.actions)
	}
	return starts[0]
}

// TestUnansweredStartIsSentAgain: an endpoint leaves a start unanswered. The start
// of the same run is sent again under a higher fence, so that an endpoint that had
// carried out the first one does not run the task twice.
func TestUnansweredStartIsSentAgain(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.orders(1, "a", 1, 1000)
	first := r.onlyStart()
	r.step(StartAnswered{Call: first.Call, Run: first.Run, Result: StartNoAnswer})
	second := r.onlyStart()
	is.Equal(second.Run, first.Run)     // the same run, not another one
	is.True(second.Fence > first.Fence) // the first start can't be carried out later
	is.Equal(len(r.ends()), 0)          // nothing is known yet
	r.answerStart(second, time.Millisecond)
	is.Equal(len(r.ends()), 0)
	is.Equal(r.core.Runs(), 1)
}

// TestStartNeverAnswered: after the last repetition, a poll under a higher fence
// than all starts decides whether the run is alive.
func TestStartNeverAnswered(t *testing.T) {
	for _, alive := range []bool{true, false} {
		r := readyHarness(t)
		r.orders(1, "a", 1, 1000)
		var last StartCall
		for range maxStarts {
			last = r.onlyStart()
			r.step(StartAnswered{Call: last.Call, Run: last.Run, Result: StartNoAnswer})
		}
		polls := actionsOf[PollCall](r)
		if len(actionsOf[StartCall](r)) != 0 || len(polls) != 1 || polls[0].Fence <= last.Fence {
			t.Fatalf("no poll under a higher fence than %d: %+v", last.Fence, r.actions)
		}
		var running []AliveRun
		if alive {
			running = append(running, AliveRun{Run: last.Run})
		}
		r.answerPolls(PollAccepted, running...)
		ends := r.ends()
		if alive && (len(ends) != 0 || r.core.Runs() != 1) {
			t.Errorf("the run is alive, but was reported as ended: %+v", ends)
		}
		if !alive && (len(ends) != 1 || ends[0].Outcome != message.RunRefused) {
			t.Errorf("the run was never started: ends %+v, want one refusal", ends)
		}
	}
}

// TestRejectedRepetitionIsNoRefusal: the endpoint carried out the start that it
// left unanswered, and rejects the repetition: as outdated, as the run has already
// ended, or for another reason. The run must not be reported as never started.
func TestRejectedRepetitionIsNoRefusal(t *testing.T) {
	for _, result := range []StartResult{StartOutdated, StartNoCapacity, StartOverloaded, StartInvalid, StartMismatched} {
		r := readyHarness(t)
		r.orders(1, "a", 1, 1000)
		first := r.onlyStart()
		r.step(StartAnswered{Call: first.Call, Run: first.Run, Result: StartNoAnswer})
		second := r.onlyStart()
		r.step(StartAnswered{Call: second.Call, Run: second.Run, Result: result, EndpointIncarnation: 1, Clock: Clock{6000, true}})
		if ends := r.ends(); len(ends) != 0 {
			t.Errorf("result %d: ends %+v before a poll has shown what became of the run", result, ends)
			continue
		}
		polls := actionsOf[PollCall](r)
		if len(polls) != 1 {
			t.Errorf("result %d: no poll: %+v", result, r.actions)
			continue
		}
		r.step(PollAnswered{Call: polls[0].Call, Result: PollAccepted, EndpointIncarnation: 1, Clock: Clock{6010, true},
			Ended: []EndedRun{{Seq: 1, Run: first.Run, Outcome: message.RunDone}}})
		if ends := r.ends(); len(ends) != 1 || ends[0].Outcome != message.RunDone {
			t.Errorf("result %d: ends %+v, want the completed run", result, ends)
		}
	}
}

// TestStartIsNotRepeatedToAnotherIncarnation: an endpoint leaves a start unanswered
// and begins a new incarnation. The start may have been carried out by the earlier
// one: it is not sent to the new one, and the run counts as lost.
func TestStartIsNotRepeatedToAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.orders(1, "a", 1, 1000)
	start := r.onlyStart()
	r.announce(2, 1)
	polls := actionsOf[PollCall](r)
	r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartNoAnswer})
	is.Equal(len(actionsOf[StartCall](r)), 0) // a second incarnation gets no repetition
	for range 3 {
		for _, poll := range polls {
			r.step(PollAnswered{Call: poll.Call, Result: PollAccepted, EndpointIncarnation: 2, Clock: Clock{5100, true}})
			if ends := r.ends(); len(ends) > 0 {
				is.Equal(ends[0].Outcome, message.RunLost)
				return
			}
		}
		polls = actionsOf[PollCall](r)
	}
	t.Error("the end of the run was not reported")
}

// TestCallTimeoutFollowsTheRoundTrip: an unanswered call of an endpoint that answers
// in 2 ms costs a fraction of a short task's time. Where answers take long, as on a
// machine with saturated CPUs, the timeout rises with them.
func TestCallTimeoutFollowsTheRoundTrip(t *testing.T) {
	is := is.New(t)
	var r roundTrip
	is.Equal(r.timeout(), maxCallTimeout) // nothing is known yet
	for range 20 {
		r.answered(2 * time.Millisecond)
	}
	is.Equal(r.timeout(), minCallTimeout)
	r.timedOut()
	is.Equal(r.timeout(), 2*lossyCallTimeout) // the first unanswered call doubles it
	r.answered(2 * time.Millisecond)
	is.Equal(r.timeout(), lossyCallTimeout)
	for range 10 {
		r.timedOut()
	}
	is.Equal(r.timeout(), maxCallTimeout)
	for range 20 {
		r.answered(40 * time.Millisecond)
	}
	is.True(r.timeout() > 40*time.Millisecond)
}

// TestRareLateAnswersKeepTheTimeout: answers that come late once in fifty calls are
// no reason for shorter timeouts, which would give up more calls and with each one a
// connection.
func TestRareLateAnswersKeepTheTimeout(t *testing.T) {
	var r roundTrip
	short := 0
	for range 100 {
		r.timedOut()
		for range 49 {
			r.answered(2 * time.Millisecond)
			if r.timeout() < minCallTimeout {
				short++
			}
		}
	}
	if share := float64(short) / 4900; share > 0.2 {
		t.Errorf("%.2f of the calls had a timeout below %v", share, minCallTimeout)
	}
}

// TestLostPollCostsLittle: a poll that may wait for the end of a run is lost. The
// next one is sent at once and, while calls go unanswered, waits for a short time
// only, so that ended runs do not occupy capacity for long.
func TestLostPollCostsLittle(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.orders(1, "a", 1, 1000)
	r.answerStart(r.onlyStart(), time.Millisecond)
	r.now += 100 * time.Millisecond
	r.step(PollAnswered{Call: r.core.endpoint.waitingPoll, Result: PollNoAnswer})
	polls := actionsOf[PollCall](r)
	is.Equal(len(polls), 1)
	is.Equal(polls[0].WaitMillis, lossyPollWait.Milliseconds())
	is.True(polls[0].Timeout < lossyPollWait+maxCallTimeout)
	is.True(!polls[0].NewConnection)
}

// TestUnansweredStopIsSentAgain: an endpoint leaves the stop of a run unanswered;
// the run keeps its capacity until a stop has reached the endpoint, so that the
// next one must follow soon.
func TestUnansweredStopIsSentAgain(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.orders(1, "a", 1, 1000)
	start := r.onlyStart()
	r.answerStart(start, time.Millisecond)
	r.seq++
	r.step(OrdersReceived{Session: 1, Orders: &message.RunOrders{Seq: r.seq, ReportTimestamp: r.reportTimestamp[1], Stops: []message.RunRef{start.Run}}})
	stops := actionsOf[StopCall](r)
	is.Equal(len(stops), 1)
	r.now += stops[0].Timeout
	r.step(StopAnswered{Call: stops[0].Call, Run: start.Run})
	if len(actionsOf[StopCall](r)) == 0 {
		r.now += lossyCallTimeout
		r.step(Tick{})
	}
	is.Equal(len(actionsOf[StopCall](r)), 1)
}

// TestRunFoundAliveReportsNoSlowdown: a run whose start was never answered is found
// alive by a poll. Its age counts from its start, so that a sound endpoint does not
// count as slow because of it.
func TestRunFoundAliveReportsNoSlowdown(t *testing.T) {
	r := readyHarness(t)
	r.estimatedOrders(1, "a", 1, 1000, 200*time.Millisecond)
	var run message.RunRef
	for range maxStarts {
		start := r.onlyStart()
		run = start.Run
		r.now += 10 * time.Millisecond
		r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartNoAnswer})
	}
	for i := range 3 {
		percent := 10 + 25*float64(i)
		for _, poll := range actionsOf[PollCall](r) {
			r.now += 50 * time.Millisecond
			r.step(PollAnswered{Call: poll.Call, Result: PollAccepted, EndpointIncarnation: 1,
				Running: []AliveRun{{Run: run, Percent: percent}}, Clock: Clock{5010 + r.now.Milliseconds(), true}})
			for _, report := range actionsOf[SendReport](r) {
				if report.Report.Slowdown > 0 {
					t.Fatalf("%v %% after %v: slowdown %v", percent, r.now, report.Report.Slowdown)
				}
			}
		}
	}
}
