package executor

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/evacuation"

	"github.com/matryer/is"
)

// zoneHarness returns a harness with an agent in zone z, a ready endpoint, and session 1 of
// entry e1.
func zoneHarness(t *testing.T, required bool) *harness {
	r := newHarness(t)
	r.core = New(Options{Lease: time.Second, HeartbeatTimeout: 400 * time.Millisecond, FirstFence: 1000, Zone: "z", EvacuationRequired: required})
	r.step(SessionOpened{Session: 1, Entry: "e1", Incarnation: 1})
	r.announce(1, 1)
	r.answerPolls(PollAccepted)
	return r
}

// entrySends delivers a state in a message of an entry.
func (r *harness) entrySends(s Session, version int64, zones ...string) {
	r.seq++
	r.step(OrdersReceived{Session: s, Orders: &message.RunOrders{
		Seq: r.seq, ReportTimestamp: r.reportTimestamp[s], Evacuation: &evacuation.State{Version: version, Zones: zones},
	}})
}

func (r *harness) storeSays(version int64, zones ...string) {
	r.step(EvacuationLearned{State: evacuation.State{Version: version, Zones: zones}, ReadAt: r.now})
}

// cause orders a run and returns the cause of its refusal; CauseNone if it was started.
func (r *harness) cause(s Session, job string) message.RunCause {
	r.t.Helper()
	r.orders(s, job, 1, 1000)
	if ends := r.ends(); len(ends) > 0 {
		return ends[len(ends)-1].Cause
	}
	r.answerStart(r.onlyStart(), time.Millisecond)
	return message.CauseNone
}

// TestEvacuatedZoneGetsNoStarts guards against starts in an evacuated zone, against runs
// that an evacuation ends, and against a zone that stays unused after it.
func TestEvacuatedZoneGetsNoStarts(t *testing.T) {
	is := is.New(t)
	r := zoneHarness(t, true)
	r.storeSays(3)
	is.Equal(r.cause(1, "a"), message.CauseNone)
	r.entrySends(1, 5, "y", "z")
	reports := actionsOf[SendReport](r)
	is.True(len(reports) == 1 && reports[0].Report.Endpoint != nil && !reports[0].Report.Endpoint.Ready && reports[0].Report.Free.IsZero())
	is.Equal(r.cause(1, "b"), message.CauseEvacuated)
	r.storeSays(4) // read late
	is.Equal(r.cause(1, "c"), message.CauseEvacuated)
	r.now += 100 * time.Millisecond
	r.heartbeat(1)
	is.Equal(r.core.Runs(), 1) // goes on
	is.Equal(len(actionsOf[StopCall](r)), 0)
	r.storeSays(6, "y")
	is.Equal(r.cause(1, "d"), message.CauseNone)
	is.Equal(r.core.Counters().EvacuatedStarts, int64(0))
}

// TestZoneOfTheEndpointCounts guards against an endpoint that is treated as one of its
// agent's zone.
func TestZoneOfTheEndpointCounts(t *testing.T) {
	is := is.New(t)
	r := zoneHarness(t, true)
	r.storeSays(1, "z")
	r.step(EndpointAnnounced{
		Name: "i-1", EndpointIncarnation: 1, Seq: 2, Service: "s", Capacity: message.Resources{MilliCPU: 10000}, ClockMillis: 5002, Zone: "y",
	})
	r.now += 10 * time.Millisecond
	is.Equal(r.cause(1, "a"), message.CauseNone)
	r.entrySends(1, 2, "y")
	is.Equal(r.cause(1, "b"), message.CauseEvacuated)
}

// TestNewAgentWaitsForTheState guards against starts by an agent that was restarted in an
// evacuated zone and does not know yet. An entry's first message suffices, as the store may
// be unavailable. Entries that may not know the cause are sent an older one.
func TestNewAgentWaitsForTheState(t *testing.T) {
	is := is.New(t)
	r := zoneHarness(t, true)
	is.Equal(r.cause(1, "a"), message.CauseLeaving)
	is.Equal(r.core.Counters().Refused[message.CauseEvacuated], int64(1))
	r.entrySends(1, 0)
	is.Equal(r.cause(1, "b"), message.CauseNone)
}

// TestAgentWithoutTheSettingObeysEntries guards against agents that wait for a state that
// nobody sends, and against those that ignore one, also after a pause.
func TestAgentWithoutTheSettingObeysEntries(t *testing.T) {
	is := is.New(t)
	r := zoneHarness(t, false)
	is.Equal(r.cause(1, "a"), message.CauseNone)
	r.entrySends(1, 2, "z")
	is.Equal(r.cause(1, "b"), message.CauseEvacuated)
	r.now += 5 * time.Second
	r.announce(1, 2)
	r.answerPolls(PollAccepted)
	r.step(SessionOpened{Session: 2, Entry: "e2", Incarnation: 1})
	is.Equal(r.cause(2, "c"), message.CauseLeaving)
}

// TestPausedAgentWaitsForConfirmation guards against starts after a pause in which the zone
// was evacuated: only what was sent after the pause confirms the state.
func TestPausedAgentWaitsForConfirmation(t *testing.T) {
	for _, c := range []struct {
		name    string
		confirm func(r *harness, before time.Duration)
		ready   bool
	}{
		{"nothing", func(*harness, time.Duration) {}, false},
		{"a read from before the pause", func(r *harness, before time.Duration) {
			r.step(EvacuationLearned{State: evacuation.State{Version: 3}, ReadAt: before})
		}, false},
		{"a read of an older history", func(r *harness, _ time.Duration) { r.storeSays(2) }, false},
		{"a read", func(r *harness, _ time.Duration) { r.storeSays(3) }, true},
		{"a read of an evacuation", func(r *harness, _ time.Duration) { r.storeSays(4, "z") }, false},
		{"an entry's message from before the pause", func(r *harness, _ time.Duration) {
			r.step(OrdersReceived{Session: 2, Orders: &message.RunOrders{Seq: 1, ReportTimestamp: 1, Evacuation: &evacuation.State{Version: 3}}})
		}, false},
		{"an entry without a state", func(r *harness, _ time.Duration) { r.heartbeat(2) }, false},
		{"an entry that answers a report", func(r *harness, _ time.Duration) {
			r.step(OrdersReceived{Session: 2, Orders: &message.RunOrders{Seq: 1, Evacuation: &evacuation.State{Version: 3}}})
			r.heartbeat(2)
		}, true},
		{"an entry that knows of an evacuation", func(r *harness, _ time.Duration) { r.entrySends(2, 4, "z") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := zoneHarness(t, true)
			r.storeSays(3)
			before := r.now
			r.now += 5 * time.Second
			r.step(SessionOpened{Session: 2, Entry: "e2", Incarnation: 1}) // queued before the pause
			c.confirm(r, before)
			if ready := !r.core.startsBarred(); ready != c.ready {
				t.Errorf("takes tasks: %v", ready)
			}
		})
	}
}

// TestUnansweredStartIsNotRepeatedInAnEvacuation guards against starts in an evacuated zone
// by repetition: a poll under a higher fence decides, so that the first start can't be
// carried out any more either.
func TestUnansweredStartIsNotRepeatedInAnEvacuation(t *testing.T) {
	for _, result := range []StartResult{StartNoAnswer, StartBroken, StartFenced, StartExpired} {
		is := is.New(t)
		r := zoneHarness(t, true)
		r.entrySends(1, 1)
		r.orders(1, "a", 1, 1000)
		start := r.onlyStart()
		r.storeSays(2, "z")
		polls := actionsOf[PollCall](r)
		is.True(len(polls) == 1 && polls[0].Fence > start.Fence) // a start in flight is fenced at once
		r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: result})
		is.Equal(len(actionsOf[StartCall](r)), 0)
		if ends := r.ends(); result == StartFenced || result == StartExpired {
			is.True(len(ends) == 1 && ends[0].Outcome == message.RunRefused && ends[0].Cause == message.CauseEvacuated)
			continue
		}
		is.Equal(r.core.Runs(), 1) // undecided until a poll
		r.now += time.Millisecond
		r.step(PollAnswered{Call: polls[0].Call, Result: PollAccepted, EndpointIncarnation: 1, Clock: Clock{6000, true}})
		r.answerPolls(PollAccepted)
		is.Equal(r.core.Runs(), 0)
	}
}

// TestStateIsReportedToEntries guards against entries that can't reach the store and don't
// learn the state from agents: each gets it in the first report of a session and on a change.
func TestStateIsReportedToEntries(t *testing.T) {
	is := is.New(t)
	r := zoneHarness(t, true)
	r.storeSays(7, "y")
	reports := actionsOf[SendReport](r)
	is.True(len(reports) == 1 && reports[0].Report.Evacuation.Version == 7)
	r.storeSays(7, "y")
	is.Equal(len(actionsOf[SendReport](r)), 0)
	r.storeSays(8, "y") // the same zones: goes with the next report
	is.Equal(len(actionsOf[SendReport](r)), 0)
	r.step(SessionOpened{Session: 2, Entry: "e2", Incarnation: 1})
	reports = actionsOf[SendReport](r)
	is.True(len(reports) == 1 && reports[0].Report.Evacuation.Version == 8)
	is.Equal(reports[0].Report.Evacuation.Zones, []string{"y"})
}

// TestPhasesOfAnEvacuationAreLogged guards against operators who can't see when a zone is
// free of runs.
func TestPhasesOfAnEvacuationAreLogged(t *testing.T) {
	is := is.New(t)
	r := zoneHarness(t, true)
	phases := func() (list []evacuation.Phase) {
		for _, p := range actionsOf[EvacuationProgressed](r) {
			list = append(list, p.Progress.Phase)
		}
		return list
	}
	r.entrySends(1, 1)
	is.Equal(r.cause(1, "a"), message.CauseNone)
	r.storeSays(2, "z")
	is.Equal(phases(), []evacuation.Phase{evacuation.Began})
	p := actionsOf[EvacuationProgressed](r)[0].Progress
	is.Equal(p, evacuation.Progress{Phase: evacuation.Began, Zone: "z", Version: 2, Source: "store", Endpoints: 1, Runs: 1})
	for ref := range r.core.runs.All() {
		r.core.end(r.core.runs.Get(ref), message.RunDone)
	}
	r.now += 2500 * time.Millisecond
	r.step(Tick{})
	is.Equal(phases(), []evacuation.Phase{evacuation.Cleared})
	r.storeSays(3)
	is.Equal(phases(), []evacuation.Phase{evacuation.Ended})
	active, total := r.core.Evacuated()
	is.True(!active && total == 2500*time.Millisecond)
}

// TestColdEndpointIsReported guards against entries that use a cold endpoint as a warm one,
// and against slow starts where the setting does not ask for them.
func TestColdEndpointIsReported(t *testing.T) {
	is := is.New(t)
	r := zoneHarness(t, true)
	r.entrySends(1, 1)
	announce := func(seq int64, cold time.Duration) []SendReport {
		r.step(EndpointAnnounced{
			Name: "i-1", EndpointIncarnation: 1, Seq: seq, Service: "s", Capacity: message.Resources{MilliCPU: 10000}, ClockMillis: 5000 + seq, ColdLeft: cold,
		})
		return actionsOf[SendReport](r)
	}
	reports := announce(2, 3*time.Second)
	is.True(len(reports) == 1 && reports[0].Report.Endpoint.ColdMillis == 3000)
	is.Equal(reports[0].Report.Endpoint.Zone, "z")
	r.now += 50 * time.Millisecond
	is.Equal(len(announce(3, 2900*time.Millisecond)), 0) // as expected
	reports = announce(4, 0)
	is.True(len(reports) == 1 && reports[0].Report.Endpoint.ColdMillis == 0)
	r = zoneHarness(t, false)
	is.Equal(len(announce(2, 3*time.Second)), 0)
}
