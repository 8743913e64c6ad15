package executor

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"

	"github.com/matryer/is"
)

// acceptedRun orders a run and has the endpoint accept it.
func (r *harness) acceptedRun(job string) message.RunRef {
	r.orders(1, job, 1, 1000)
	start := r.onlyStart()
	r.answerStart(start, time.Millisecond)
	return start.Run
}

// waitingPoll returns the poll in flight that waits for an end.
func (r *harness) waitingPoll() CallID { return r.core.endpoint.waitingPoll }

// TestRunsOfACrashedEndpointAreReportedAtOnce guards against sound tasks that miss
// their objective because the loss of their run is reported only when its lease has
// lapsed: nothing listens at the endpoint's address after it had accepted the run.
func TestRunsOfACrashedEndpointAreReportedAtOnce(t *testing.T) {
	r := readyHarness(t)
	r.step(Tick{})
	poll := r.waitingPoll()
	run := r.acceptedRun("a")
	r.now += 10 * time.Millisecond
	r.step(PollAnswered{Call: poll, Result: PollNoAnswer})
	r.now += time.Millisecond
	r.step(PollAnswered{Call: r.waitingPoll(), Result: PollUnreachable})
	ends := r.ends()
	if len(ends) != 1 || ends[0].Run != run || ends[0].Outcome != message.RunLost {
		t.Errorf("1 ms after the endpoint refused a connection these ends are reported: %+v", ends)
	}
}

// TestStartIsNotRepeatedBeyondACapacityThatHasShrunk guards against starts that bring
// an endpoint over its capacity (the users' rule LIMIT): a start is not answered, and
// before it is sent again the endpoint reports less capacity.
func TestStartIsNotRepeatedBeyondACapacityThatHasShrunk(t *testing.T) {
	r := readyHarness(t)
	r.orders(1, "a", 2, 4000)
	starts := actionsOf[StartCall](r)
	r.step(EndpointAnnounced{
		Name: "i-1", EndpointIncarnation: 1, Seq: 2, Service: "s", Capacity: message.Resources{MilliCPU: 6000}, ClockMillis: 5002,
	})
	r.step(StartAnswered{Call: starts[0].Call, Run: starts[0].Run, Result: StartNoAnswer})
	repeated := actionsOf[StartCall](r)
	r.step(StartAnswered{Call: starts[1].Call, Run: starts[1].Run, Result: StartFenced, EndpointIncarnation: 1, Clock: Clock{5010 + r.now.Milliseconds(), true}})
	repeated = append(repeated, actionsOf[StartCall](r)...)
	if len(repeated) != 0 {
		t.Errorf("%d starts of 4000 each were sent again to an endpoint with 6000", len(repeated))
	}
}

// TestUnknownRunKeepsCapacity guards against starts beside a run that this process has
// not started and that is still being stopped (the users' rule LIMIT).
func TestUnknownRunKeepsCapacity(t *testing.T) {
	r := readyHarness(t)
	r.step(Tick{})
	unknown := message.RunRef{Job: "late", Number: 1}
	r.now += 50 * time.Millisecond
	r.step(PollAnswered{
		Call: r.waitingPoll(), Result: PollAccepted, EndpointIncarnation: 1, Running: []AliveRun{{Run: unknown}},
		Clock: Clock{Millis: 5010 + r.now.Milliseconds(), Known: true},
	})
	r.orders(1, "a", 1, 9000)
	if n := len(actionsOf[StartCall](r)); n != 0 {
		t.Errorf("%d starts beside a run of unknown size that is being stopped", n)
	}
}

// TestStartIsNotRepeatedBesideAnUnknownRun guards against a start that brings an endpoint
// over its capacity (the users' rule LIMIT): it is not answered, and before it is sent
// again a run of unknown size is found there.
func TestStartIsNotRepeatedBesideAnUnknownRun(t *testing.T) {
	r := readyHarness(t)
	r.step(Tick{})
	r.orders(1, "a", 1, 9000)
	start := r.onlyStart()
	r.now += 20 * time.Millisecond
	r.step(PollAnswered{
		Call: r.waitingPoll(), Result: PollAccepted, EndpointIncarnation: 1, Running: []AliveRun{{Run: message.RunRef{Job: "late", Number: 1}}},
		Clock: Clock{Millis: 5010 + r.now.Milliseconds(), Known: true},
	})
	r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartNoAnswer})
	if n := len(actionsOf[StartCall](r)); n != 0 {
		t.Errorf("%d starts were sent again beside a run of unknown size", n)
	}
}

// crashes returns the crashes in the reports of the last step.
func (r *harness) crashes() []message.EndpointCrash {
	var list []message.EndpointCrash
	for _, report := range actionsOf[SendReport](r) {
		list = append(list, report.Report.Crashes...)
	}
	return list
}

// refuse lets the endpoint break the poll in flight and refuse the next one.
func (r *harness) refuse() {
	r.now += time.Millisecond
	r.step(PollAnswered{Call: r.waitingPoll(), Result: PollNoAnswer})
	r.now += time.Millisecond
	r.step(PollAnswered{Call: r.waitingPoll(), Result: PollUnreachable})
}

// TestCrashIsReportedToEntriesThatConnectLater guards against a count of crashes that
// ends with the entry that kept it: the entry that takes its jobs over hears of them.
func TestCrashIsReportedToEntriesThatConnectLater(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.step(Tick{})
	run := r.acceptedRun("a")
	r.now += 10 * time.Millisecond
	r.refuse()
	is.Equal(len(r.crashes()), 1)
	r.now += 2 * time.Second
	r.step(SessionOpened{Session: 2, Entry: "e2", Incarnation: 7})
	crashes := r.crashes()
	is.Equal(len(crashes), 1)
	is.Equal(crashes[0].Endpoint, "i-1")
	is.Equal(crashes[0].Incarnation, int64(1))
	is.Equal(crashes[0].AgoMillis, int64(2001)) // the first poll broke 1 ms before the next one
	is.Equal(len(crashes[0].Runs), 1)
	is.Equal(crashes[0].Runs[0].Run, run)
	r.now += 2 * crashRetention
	r.announce(2, 1)
	r.answerPolls(PollAccepted)
	r.acceptedRun2(2, "b")
	r.refuse()
	r.step(SessionOpened{Session: 3, Entry: "e3", Incarnation: 8})
	is.Equal(len(r.crashes()), 1) // the first one is forgotten
}

// acceptedRun2 is acceptedRun on an incarnation and a session of its own.
func (r *harness) acceptedRun2(incarnation int64, job string) {
	r.step(SessionOpened{Session: 9, Entry: "e9", Incarnation: 9})
	r.orders(9, job, 1, 1000)
	start := r.onlyStart()
	r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, EndpointIncarnation: incarnation, Clock: Clock{5010 + r.now.Milliseconds(), true}})
}

// TestEndOfALeavingEndpointIsNoCrash guards against tasks that are suspected because an
// endpoint was taken away as announced.
func TestEndOfALeavingEndpointIsNoCrash(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.step(Tick{})
	r.acceptedRun("a")
	r.step(EndpointAnnounced{
		Name: "i-1", EndpointIncarnation: 1, Seq: 2, Service: "s", Capacity: message.Resources{MilliCPU: 10000}, Leaving: true, ClockMillis: 5002,
	})
	r.refuse()
	is.Equal(len(r.crashes()), 0)
	is.Equal(len(r.ends()), 1)
}

// TestCrashUnderAStartWithoutAnswer guards against a deadly task that is not counted
// because its endpoint crashes before it answers the start, and against a sound one that
// waits for the endpoint's next process: the connection breaks, and nothing listens.
func TestCrashUnderAStartWithoutAnswer(t *testing.T) {
	for _, brokenFirst := range []bool{true, false} {
		is := is.New(t)
		r := readyHarness(t)
		r.step(Tick{})
		other := r.acceptedRun("other")
		r.now += 10 * time.Millisecond
		r.orders(1, "a", 1, 1000)
		start := r.onlyStart()
		broken := StartAnswered{Call: start.Call, Run: start.Run, Result: StartBroken}
		var ends []message.RunEnd
		var crashes []message.EndpointCrash
		collect := func() { ends, crashes = append(ends, r.ends()...), append(crashes, r.crashes()...) }
		if brokenFirst {
			r.step(broken)
			again := r.onlyStart()
			r.step(StartAnswered{Call: again.Call, Run: again.Run, Result: StartUnreachable})
			collect()
		} else {
			r.refuse()
			collect()
			r.step(broken)
			collect()
		}
		is.Equal(len(ends), 2)
		for _, end := range ends {
			is.Equal(end.Outcome, message.RunLost)
		}
		last := crashes[len(crashes)-1]
		is.Equal(len(last.Runs), 2)
		is.Equal(last.Runs[0].Run, other)
		is.Equal(last.Runs[1].Run, start.Run)
		is.True(!last.Runs[0].Unconfirmed)
		is.True(last.Runs[1].Unconfirmed) // its job can't be called failed for this crash
	}
}

// TestStartThatFoundNothingListeningIsNotUnderTheCrash guards against a task that is
// suspected though it never reached the endpoint.
func TestStartThatFoundNothingListeningIsNotUnderTheCrash(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.step(Tick{})
	r.acceptedRun("a")
	r.orders(1, "b", 1, 1000)
	start := r.onlyStart()
	r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartUnreachable})
	is.Equal(len(r.crashes()), 1)
	is.Equal(len(r.crashes()[0].Runs), 1)
	is.Equal(r.crashes()[0].Runs[0].Run.Job, "a")
}

// TestRunOfUnknownLifeIsKept guards against two runs of one task at a time: a run that
// was accepted after the refused call was sent may be on the endpoint's next process.
func TestRunOfUnknownLifeIsKept(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.step(Tick{})
	poll := r.waitingPoll()
	r.now += time.Millisecond
	r.acceptedRun("a")
	r.step(PollAnswered{Call: poll, Result: PollUnreachable})
	is.Equal(len(r.ends()), 0)
	is.Equal(r.core.Runs(), 1)
}

// TestSuspectsOfTwoEntriesAreKeptApart guards against two suspects on one endpoint,
// of which a crash could not tell the cause: the agent refuses the second entry's.
func TestSuspectsOfTwoEntriesAreKeptApart(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.step(SessionOpened{Session: 2, Entry: "e2", Incarnation: 2})
	order := func(s Session, job string) {
		r.step(OrdersReceived{Session: s, Orders: &message.RunOrders{Seq: 10, ReportTimestamp: r.reportTimestamp[s], Starts: []message.RunStart{{
			Job: job, Need: message.Resources{MilliCPU: 1000}, Runs: []message.TaskRun{{Number: 1}}, Isolated: true,
		}}}})
	}
	order(1, "a")
	is.Equal(len(actionsOf[StartCall](r)), 1)
	order(2, "b")
	is.Equal(len(actionsOf[StartCall](r)), 0)
	is.Equal(r.ends()[0].Cause, message.CauseIsolated)
}

// TestConfinedUseIsReportedToAllEntries guards against entries that disagree on which
// endpoints are confined: an agent reports to all of them that confined jobs use its
// endpoint, also while it is away after a crash under one.
func TestConfinedUseIsReportedToAllEntries(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.step(SessionOpened{Session: 2, Entry: "e2", Incarnation: 2})
	lastReport := func() *message.RunReport {
		for _, report := range actionsOf[SendReport](r) {
			if report.Session == 2 {
				return report.Report
			}
		}
		return nil
	}
	r.step(OrdersReceived{Session: 1, Orders: &message.RunOrders{Seq: 10, ReportTimestamp: r.reportTimestamp[1], Starts: []message.RunStart{{
		Job: "a", Need: message.Resources{MilliCPU: 1000}, Runs: []message.TaskRun{{Number: 1}}, Confined: true,
	}}}})
	start := r.onlyStart()
	is.True(lastReport().Confined)
	is.Equal(lastReport().ConfinedMilliCPU, int64(1000))
	r.answerStart(start, time.Millisecond)
	r.now += 10 * time.Millisecond
	r.refuse()
	is.True(lastReport().Confined) // also while the endpoint is away
	is.Equal(lastReport().ConfinedMilliCPU, int64(0))
	r.now += 200 * time.Millisecond
	r.heartbeat(2)
	is.True(lastReport().Confined)
	r.announce(2, 1)
	r.answerPolls(PollAccepted)
	r.now += confinedHold + time.Millisecond
	r.heartbeat(2)
	r.step(Tick{})
	is.True(!r.core.confinement.active)
}

// TestCrashIsDatedToTheFirstFailedPoll guards against a deadly task that isn't told from
// its neighbours, as all look like old runs when the endpoint crashes: behind a proxy that
// goes on to accept connections, the crash shows only when the endpoint is back (soak with
// deadly jobs, seed 50286408489281).
func TestCrashIsDatedToTheFirstFailedPoll(t *testing.T) {
	is := is.New(t)
	r := readyHarness(t)
	r.step(Tick{})
	old := r.acceptedRun("old")
	r.now += 300 * time.Millisecond
	r.step(PollAnswered{
		Call: r.waitingPoll(), Result: PollAccepted, EndpointIncarnation: 1, Running: []AliveRun{{Run: old}},
		Clock: Clock{Millis: 5010 + r.now.Milliseconds(), Known: true},
	})
	r.heartbeat(1)
	r.acceptedRun("deadly")
	r.now += 12 * time.Millisecond
	r.step(PollAnswered{Call: r.waitingPoll(), Result: PollNoAnswer})
	for range 3 {
		r.now += 200 * time.Millisecond
		r.heartbeat(1)
	}
	r.step(EndpointAnnounced{
		Name: "i-1", EndpointIncarnation: 2, Seq: 1, Service: "s", Capacity: message.Resources{MilliCPU: 10000}, ClockMillis: 1000,
	})
	crashes := r.crashes()
	is.Equal(len(crashes), 1)
	ages := map[string]int64{}
	for _, run := range crashes[0].Runs {
		ages[run.Run.Job] = run.AgeMillis
	}
	is.True(ages["deadly"] >= 12 && ages["deadly"] < 20)
	is.True(ages["old"] >= 300 && ages["old"] < 400)
	is.Equal(crashes[0].AgoMillis, int64(600))
}
