package executor

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// harness drives a Core with explicit times and events.
type harness struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	actions []Action
	seq     uint64
	// reportTimestamp holds the timestamp of the last report, by session.
	reportTimestamp map[Session]int64
}

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, now: time.Second, reportTimestamp: map[Session]int64{}}
	r.core = New(Options{Lease: time.Second, HeartbeatTimeout: 400 * time.Millisecond, FirstFence: 1000})
	return r
}

// readyHarness returns a harness with an endpoint of 10 cores that has answered its
// first poll, and with session 1 of entry e1.
func readyHarness(t *testing.T) *harness {
	r := newHarness(t)
	r.step(SessionOpened{Session: 1, Entry: "e1", Incarnation: 1})
	r.announce(1, 1)
	r.answerPolls(PollAccepted)
	return r
}

func (r *harness) step(ev Event) {
	r.actions = r.core.Step(r.now, ev)
	for _, a := range r.actions {
		if report, ok := a.(SendReport); ok {
			r.reportTimestamp[report.Session] = report.Report.Timestamp
		}
	}
}

func (r *harness) announce(incarnation, seq int64) {
	r.step(EndpointAnnounced{
		Name: "i-1", EndpointIncarnation: incarnation, Seq: seq, Service: "s", Capacity: message.Resources{MilliCPU: 10000}, ClockMillis: 5000 + seq,
	})
}

// orders sends the starts of a job's tasks on a session; cpu is the need of one task
// in millicores.
func (r *harness) orders(s Session, job string, tasks int, cpu int64) {
	r.estimatedOrders(s, job, tasks, cpu, 0)
}

// estimatedOrders is orders with the caller's estimate of the run time.
func (r *harness) estimatedOrders(s Session, job string, tasks int, cpu int64, estimate time.Duration) {
	r.seq++
	start := message.RunStart{Job: job, Need: message.Resources{MilliCPU: cpu}, EstimateMillis: estimate.Milliseconds()}
	for i := range tasks {
		start.Runs = append(start.Runs, message.TaskRun{Task: i, Number: 1})
	}
	r.step(OrdersReceived{Session: s, Orders: &message.RunOrders{Seq: r.seq, ReportTimestamp: r.reportTimestamp[s], Starts: []message.RunStart{start}}})
}

func (r *harness) heartbeat(s Session) {
	r.seq++
	r.step(OrdersReceived{Session: s, Orders: &message.RunOrders{Seq: r.seq, ReportTimestamp: r.reportTimestamp[s]}})
}

// actionsOf returns the actions of one type from the last step.
func actionsOf[T Action](r *harness) []T {
	var found []T
	for _, a := range r.actions {
		if a, ok := a.(T); ok {
			found = append(found, a)
		}
	}
	return found
}

// answerPolls answers the polls that the last step emitted.
func (r *harness) answerPolls(result PollResult, running ...AliveRun) {
	for _, poll := range actionsOf[PollCall](r) {
		r.now += time.Millisecond
		r.step(PollAnswered{Call: poll.Call, Result: result, EndpointIncarnation: 1, Running: running, Clock: Clock{Millis: 5010 + r.now.Milliseconds(), Known: result == PollAccepted}})
	}
}

func (r *harness) ends() []message.RunEnd {
	var ends []message.RunEnd
	for _, report := range actionsOf[SendReport](r) {
		ends = append(ends, report.Report.Ends...)
	}
	return ends
}

func TestStartBeyondCapacityIsRefused(t *testing.T) {
	r := readyHarness(t)
	r.orders(1, "a", 4, 3000)
	if n := len(actionsOf[StartCall](r)); n != 3 {
		t.Errorf("%d starts into capacity for 3", n)
	}
	ends := r.ends()
	if len(ends) != 1 || ends[0].Outcome != message.RunRefused || ends[0].Cause != message.CauseNoCapacity {
		t.Errorf("ends of the fourth run: %+v", ends)
	}
}

// TestCapacityIsUnknownAfterAPause guards against starts beyond a capacity that shrank
// while the agent's process was paused: it accepts none until the endpoint has announced
// itself again.
func TestCapacityIsUnknownAfterAPause(t *testing.T) {
	r := readyHarness(t)
	r.now += 5 * time.Second
	r.answerPolls(PollAccepted)
	r.step(SessionOpened{Session: 2, Entry: "e2", Incarnation: 1})
	r.orders(2, "a", 2, 4000)
	if n := len(actionsOf[StartCall](r)); n != 0 {
		t.Errorf("%d starts into a capacity that is not known", n)
	}
	r.step(EndpointAnnounced{
		Name: "i-1", EndpointIncarnation: 1, Seq: 2, Service: "s", Capacity: message.Resources{MilliCPU: 5000}, ClockMillis: 10000,
	})
	r.orders(2, "b", 2, 4000)
	if n := len(actionsOf[StartCall](r)); n != 1 {
		t.Errorf("%d starts into capacity for 1", n)
	}
}

func TestStoppedRunKeepsItsCapacityUntilItsEndIsListed(t *testing.T) {
	r := readyHarness(t)
	r.orders(1, "a", 1, 8000)
	start := actionsOf[StartCall](r)[0]
	r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, Clock: Clock{6000, true}})
	r.seq++
	r.step(OrdersReceived{Session: 1, Orders: &message.RunOrders{Seq: r.seq, ReportTimestamp: r.reportTimestamp[1], Stops: []message.RunRef{start.Run}}})
	stop := actionsOf[StopCall](r)[0]
	r.step(StopAnswered{Call: stop.Call, Run: stop.Run, Accepted: true, Clock: Clock{6001, true}})
	r.orders(1, "b", 1, 8000)
	if len(actionsOf[StartCall](r)) != 0 {
		t.Error("the capacity was reused before the end was listed")
	}
}

func TestOrdersOnAnOldReportAreRefused(t *testing.T) {
	r := readyHarness(t)
	reportTimestamp := r.reportTimestamp[1]
	for range 6 {
		r.now += 100 * time.Millisecond
		r.heartbeat(1)
		r.step(PollAnswered{Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1, Clock: Clock{5010 + r.now.Milliseconds(), true}})
	}
	r.reportTimestamp[1] = reportTimestamp
	r.orders(1, "a", 1, 1000)
	if ends := r.ends(); len(ends) != 1 || ends[0].Cause != message.CauseStale {
		t.Errorf("order based on a report 600 ms old: ends %+v, want a stale refusal", ends)
	}
}

// TestRunsOfUnresponsiveEntryAreStopped: the runs of an unresponsive entry are
// stopped before anything renews their leases, also after a pause of the agent.
func TestRunsOfUnresponsiveEntryAreStopped(t *testing.T) {
	r := readyHarness(t)
	r.orders(1, "a", 1, 1000)
	start := actionsOf[StartCall](r)[0]
	r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, Clock: Clock{6000, true}})
	r.now += 3 * time.Second
	r.step(Tick{})
	if len(actionsOf[StopCall](r)) == 0 && r.core.Runs() > 0 {
		t.Errorf("nothing was stopped: %+v", r.actions)
	}
	for _, poll := range actionsOf[PollCall](r) {
		if poll.UntilMillis > 0 {
			t.Error("a lease was renewed after the heartbeat timeout")
		}
	}
	r.orders(1, "b", 1, 1000)
	if len(actionsOf[StartCall](r)) != 0 {
		t.Error("an order of a dropped session was accepted")
	}
}

func TestNoStartWhileUnknownRunIsAlive(t *testing.T) {
	r := newHarness(t)
	r.step(SessionOpened{Session: 1, Entry: "e1", Incarnation: 1})
	r.announce(1, 1)
	left := message.RunRef{Job: "old", Number: 7}
	poll := actionsOf[PollCall](r)[0]
	r.step(PollAnswered{Call: poll.Call, Result: PollAccepted, EndpointIncarnation: 1, Running: []AliveRun{{Run: left}}, Clock: Clock{5002, true}})
	if stops := actionsOf[StopCall](r); len(stops) != 1 || stops[0].Run != left {
		t.Fatalf("stops %+v, want one of the unknown run", stops)
	}
	r.orders(1, "a", 1, 1000)
	if len(actionsOf[StartCall](r)) != 0 {
		t.Error("a task was started while an unknown run was alive")
	}
}

func TestDelayedAnnouncementsAreIgnored(t *testing.T) {
	r := readyHarness(t)
	r.announce(2, 1)
	r.answerPolls(PollAccepted)
	for _, late := range []EndpointAnnounced{
		{Name: "i-1", EndpointIncarnation: 1, Seq: 9, Service: "other", ClockMillis: 1},
		{Name: "i-0", EndpointIncarnation: 1, Seq: 9, Service: "other", ClockMillis: 1},
		{Name: "i-1", EndpointIncarnation: 2, Seq: 1, Service: "other", ClockMillis: 1},
	} {
		r.step(late)
		if r.core.endpoint.service != "s" || r.core.endpoint.incarnation != 2 {
			t.Errorf("delayed announcement %+v was applied", late)
		}
	}
}

// TestFreeCapacityIsOfferedToTheLowestRank: when several entries wait for the same
// capacity, what becomes free is offered to the entry whose job has the lowest
// rank.
func TestFreeCapacityIsOfferedToTheLowestRank(t *testing.T) {
	r := readyHarness(t)
	r.step(SessionOpened{Session: 2, Entry: "e2", Incarnation: 1})
	need := message.Resources{MilliCPU: 6000}
	for s, rank := range map[Session]float64{1: 5, 2: 1} {
		r.step(OrdersReceived{Session: s, Orders: &message.RunOrders{
			Seq: 1, ReportTimestamp: r.reportTimestamp[s], Demand: &message.RunDemand{Count: 1, Rank: rank, Need: need},
		}})
	}
	// Lets the offers expire that were made before both demands were known.
	r.now += 2 * offerTime
	r.step(Tick{})
	r.orders(1, "a", 1, 6000)
	if ends := r.ends(); len(ends) != 1 || ends[0].Cause != message.CauseNoCapacity {
		t.Errorf("the entry with the higher rank was not refused: %+v", r.actions)
	}
	r.orders(2, "b", 1, 6000)
	if len(actionsOf[StartCall](r)) != 1 {
		t.Errorf("the lowest rank was refused: %+v", r.actions)
	}
}

func TestLeavingEndpointRefusesStarts(t *testing.T) {
	r := readyHarness(t)
	r.step(EndpointAnnounced{
		Name: "i-1", EndpointIncarnation: 1, Seq: 2, Service: "s", Capacity: message.Resources{MilliCPU: 10000}, Leaving: true, ClockMillis: 5100,
	})
	r.orders(1, "a", 1, 1000)
	if ends := r.ends(); len(ends) != 1 || ends[0].Cause != message.CauseLeaving {
		t.Errorf("order to a leaving endpoint: ends %+v, want a refusal as leaving", ends)
	}
}

// TestRunsOfALeftEndpointCountUntilItsProcessHasEnded guards against two runs of a task at
// the same time: an endpoint announces its end while a task runs there and takes a moment
// to end it.
func TestRunsOfALeftEndpointCountUntilItsProcessHasEnded(t *testing.T) {
	leave := func(t *testing.T) (*harness, message.RunRef) {
		r := readyHarness(t)
		r.orders(1, "a", 1, 1000)
		start := actionsOf[StartCall](r)[0]
		r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, Clock: Clock{6100, true}})
		for range 10 {
			r.now += 100 * time.Millisecond
			r.heartbeat(1)
		}
		r.step(PollAnswered{Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1, Clock: Clock{7100, true},
			Running: []AliveRun{{Run: start.Run}}})
		r.step(EndpointLeft{Name: "i-1"})
		if ends := r.ends(); len(ends) != 0 {
			t.Errorf("ends when the endpoint announces that it leaves: %+v", ends)
		}
		for _, poll := range actionsOf[PollCall](r) {
			if poll.UntilMillis != 0 {
				t.Error("a poll renews the leases of an endpoint that has left")
			}
		}
		return r, start.Run
	}
	t.Run("its process has ended", func(t *testing.T) {
		r, ref := leave(t)
		r.now += 20 * time.Millisecond
		r.step(PollAnswered{Call: r.core.endpoint.promptPoll, Result: PollUnreachable})
		if ends := r.ends(); len(ends) != 1 || ends[0].Run != ref || ends[0].Outcome != message.RunLost {
			t.Errorf("ends %+v, want the run as lost", ends)
		}
		if n := r.core.Counters().Crashes; n != 0 {
			t.Errorf("a planned end counts as %d crashes", n)
		}
	})
	t.Run("its task completes before", func(t *testing.T) {
		r, ref := leave(t)
		r.step(PollAnswered{Call: r.core.endpoint.promptPoll, Result: PollAccepted, EndpointIncarnation: 1, Clock: Clock{7110, true},
			Ended: []EndedRun{{Seq: 1, Run: ref, Outcome: message.RunDone}}})
		if ends := r.ends(); len(ends) != 1 || ends[0].Outcome != message.RunDone {
			t.Errorf("ends %+v, want the run as done", ends)
		}
		if r.core.endpoint.present {
			t.Error("the endpoint is kept without runs")
		}
	})
	t.Run("it is silent until its leases have expired", func(t *testing.T) {
		r, _ := leave(t)
		ended := time.Duration(0)
		for left := r.now; ended == 0 && r.now-left < 3*time.Second; {
			r.now += 10 * time.Millisecond
			r.heartbeat(1)
			if len(r.ends()) > 0 {
				ended = r.now - left
			}
		}
		if ended < time.Second || ended > 1300*time.Millisecond {
			t.Errorf("the run ended %v after the endpoint had left, want after its lease of 1 s", ended)
		}
		if r.core.endpoint.present {
			t.Error("the endpoint is kept without runs")
		}
	})
}

func TestEndsAreReportedUntilAcknowledged(t *testing.T) {
	r := readyHarness(t)
	r.orders(1, "a", 1, 1000)
	start := actionsOf[StartCall](r)[0]
	r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, Clock: Clock{6100, true}})
	r.step(PollAnswered{Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1, Clock: Clock{6200, true},
		Ended: []EndedRun{{Seq: 1, Run: start.Run, Outcome: message.RunDone}}})
	if ends := r.ends(); len(ends) != 1 {
		t.Fatalf("reported ends %+v, want one", ends)
	}
	r.step(SessionClosed{Session: 1})
	r.step(SessionOpened{Session: 3, Entry: "e1", Incarnation: 1})
	if ends := r.ends(); len(ends) != 1 || ends[0].Outcome != message.RunDone {
		t.Errorf("on the next session: ends %+v, want the unacknowledged one", ends)
	}
	r.heartbeat(3)
	r.step(SessionClosed{Session: 3})
	r.step(SessionOpened{Session: 4, Entry: "e1", Incarnation: 1})
	if ends := r.ends(); len(ends) != 0 {
		t.Errorf("after the acknowledgement: ends %+v, want none", ends)
	}
}

// TestSlowdownOfAnEndpointIsReported: when an endpoint turns slow, the progress of
// its runs shows it while none of them is overdue.
func TestSlowdownOfAnEndpointIsReported(t *testing.T) {
	r := readyHarness(t)
	r.estimatedOrders(1, "a", 4, 1000, 200*time.Millisecond)
	var alive []AliveRun
	for _, call := range actionsOf[StartCall](r) {
		alive = append(alive, AliveRun{Run: call.Run, Percent: 5})
		r.step(StartAnswered{Call: call.Call, Run: call.Run, Result: StartAccepted, Clock: Clock{6000, true}})
	}
	r.now += 50 * time.Millisecond
	r.step(PollAnswered{Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1, Running: alive, Clock: Clock{6050, true}})
	reports := actionsOf[SendReport](r)
	if len(reports) != 1 || reports[0].Report.Slowdown < 4.5 || reports[0].Report.Slowdown > 5.5 {
		t.Errorf("5 %% of 200 ms after 50 ms: reports %+v", reports)
	}
}

// TestStalledRunIsStopped: when tasks on some endpoints stall, a run without
// progress is stopped before it is overdue; a run that is only slow continues.
func TestStalledRunIsStopped(t *testing.T) {
	const estimate = 800 * time.Millisecond
	for _, c := range []struct {
		name string
		// perPoll is the progress between polls, in percent.
		perPoll float64
		want    bool
	}{
		{"no progress", 0, true},
		{"eight times slower", 1.5, false},
		{"usual", 12, false},
	} {
		r := readyHarness(t)
		r.estimatedOrders(1, "a", 1, 1000, estimate)
		start := actionsOf[StartCall](r)[0]
		began := r.now
		r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, Clock: Clock{6000, true}})
		stopped := false
		for i := 0; r.now < began+estimate/2 && !stopped; i++ {
			r.now += 100 * time.Millisecond
			r.heartbeat(1)
			r.step(PollAnswered{
				Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1,
				Running: []AliveRun{{Run: start.Run, Percent: 30 + float64(i)*c.perPoll}},
				Clock:   Clock{6000 + (r.now - began).Milliseconds(), true},
			})
			stopped = len(actionsOf[StopCall](r)) > 0
		}
		if stopped != c.want {
			t.Errorf("%s: stopped %v after %v", c.name, stopped, r.now-began)
		}
		if !stopped {
			continue
		}
		r.step(PollAnswered{Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1, Clock: Clock{7000, true},
			Ended: []EndedRun{{Seq: 1, Run: start.Run, Outcome: message.RunStopped}}})
		if ends := r.ends(); len(ends) != 1 || ends[0].Outcome != message.RunStalled {
			t.Errorf("%s: ended as %+v", c.name, ends)
		}
	}
}

// TestSurplusSessionIsClosedWhenNothingIsOutstanding: a surplus session stays open
// while a run or an unacknowledged end of its entry is left, and the entry is
// notified to send no starts before the session is closed.
func TestSurplusSessionIsClosedWhenNothingIsOutstanding(t *testing.T) {
	r := readyHarness(t)
	r.orders(1, "a", 1, 1000)
	start := actionsOf[StartCall](r)[0]
	r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, Clock: Clock{6000, true}})
	surplus := func(running ...AliveRun) {
		for range 2 {
			r.now += releaseTime / 2
			r.heartbeat(1)
			r.step(PollAnswered{
				Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1, Running: running,
				Clock: Clock{6000 + r.now.Milliseconds(), true},
			})
		}
		r.step(SessionSurplus{Session: 1})
	}
	r.step(SessionSurplus{Session: 1})
	reports := actionsOf[SendReport](r)
	if len(reports) != 1 || reports[0].Report.Endpoint == nil || reports[0].Report.Endpoint.Ready {
		t.Fatalf("the entry was not notified to send no starts: %+v", r.actions)
	}
	r.orders(1, "b", 1, 1000)
	if ends := r.ends(); len(ends) != 1 || ends[0].Cause != message.CauseLeaving {
		t.Errorf("order on a released session: ends %+v, want a refusal as leaving", ends)
	}
	for range 3 {
		surplus(AliveRun{Run: start.Run})
		if len(actionsOf[CloseSession](r)) != 0 {
			t.Fatal("closed with a run left")
		}
	}
	r.step(PollAnswered{Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1, Clock: Clock{9000, true},
		Ended: []EndedRun{{Seq: 1, Run: start.Run, Outcome: message.RunDone}}})
	r.step(SessionSurplus{Session: 1})
	if len(actionsOf[CloseSession](r)) != 0 {
		t.Fatal("closed with an end that was not acknowledged")
	}
	r.heartbeat(1)
	r.step(SessionSurplus{Session: 1})
	if len(actionsOf[CloseSession](r)) != 1 {
		t.Errorf("the session was not closed: %+v", r.actions)
	}
}

func TestDroppedEntriesExpire(t *testing.T) {
	r := readyHarness(t)
	for i := range 50 {
		r.now += time.Minute
		r.step(SessionOpened{Session: Session(10 + i), Entry: "e1", Incarnation: uint64(10 + i)})
	}
	if n := len(r.core.dropped); n > int(droppedRetention/time.Minute)+1 {
		t.Errorf("%d incarnations are remembered", n)
	}
}

// TestReleasedEntryIsReinstatedWhenNoLongerSurplus: a session that is no longer
// surplus, because another entry has left in the meantime, accepts orders again.
func TestReleasedEntryIsReinstatedWhenNoLongerSurplus(t *testing.T) {
	r := readyHarness(t)
	r.step(SessionSurplus{Session: 1})
	if reports := actionsOf[SendReport](r); len(reports) != 1 || reports[0].Report.Endpoint.Ready {
		t.Fatalf("the entry was not notified to send no starts: %+v", r.actions)
	}
	for end := r.now + 5*time.Second; r.now < end; {
		r.now += 100 * time.Millisecond
		r.heartbeat(1)
		r.step(PollAnswered{
			Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1, Clock: Clock{6000 + r.now.Milliseconds(), true},
		})
	}
	r.orders(1, "a", 1, 1000)
	if len(actionsOf[StartCall](r)) != 1 {
		t.Errorf("order on a reinstated session was not started: ends %+v", r.ends())
	}
}

// TestSlowdownOfASingleRunIsReported: an endpoint that gets few tasks because it
// counts as slow shows by a single run that it still is; a wrong estimate alone is
// no slowdown.
func TestSlowdownOfASingleRunIsReported(t *testing.T) {
	for percent, want := range map[float64]bool{2: true, 12: false} {
		r := readyHarness(t)
		r.estimatedOrders(1, "a", 1, 1000, 200*time.Millisecond)
		start := actionsOf[StartCall](r)[0]
		r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, Clock: Clock{6000, true}})
		r.now += 50 * time.Millisecond
		r.step(PollAnswered{Call: r.core.endpoint.waitingPoll, Result: PollAccepted, EndpointIncarnation: 1,
			Running: []AliveRun{{Run: start.Run, Percent: percent}}, Clock: Clock{6050, true}})
		reported := false
		for _, report := range actionsOf[SendReport](r) {
			reported = reported || report.Report.Slowdown > 0
		}
		if reported != want {
			t.Errorf("%v %% of 200 ms after 50 ms: slowdown reported %v", percent, reported)
		}
	}
}
