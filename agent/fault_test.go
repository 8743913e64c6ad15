package agent_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/standin/endpoint"
	"marjoramlug.example/marjoramlug/verdict"
)

func TestEndpointFaults(t *testing.T) {
	const timeout = 300 * time.Millisecond
	tests := []struct {
		name    string
		fault   endpoint.Fault
		verdict verdict.Verdict
		reason  verdict.Reason
		status  int
	}{
		{"none", endpoint.FaultNone, verdict.Ran, verdict.ReasonNone, 200},
		{"error status", endpoint.FaultStatus, verdict.Ran, verdict.ReasonNone, 500},
		{"hang", endpoint.FaultHang, verdict.MayHaveRun, verdict.ReasonTimeout, 0},
		{"garbage", endpoint.FaultGarbage, verdict.MayHaveRun, verdict.ReasonBadResponse, 0},
		{"half a body", endpoint.FaultHalfBody, verdict.MayHaveRun, verdict.ReasonBadResponse, 0},
		{"close at once", endpoint.FaultClose, verdict.MayHaveRun, verdict.ReasonBadResponse, 0},
	}
	f := newFixture(t, endpoint.Options{})
	f.entry.serve()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f.endpoint.SetFault(test.fault)
			start := f.entry.start(task(test.name, 0))
			if test.fault == endpoint.FaultHang {
				start.Task.TimeoutMillis = timeout.Milliseconds()
			}
			f.entry.send(start)
			result := next[*message.Result](f.entry)
			is.Equal(result.ID, start.ID)
			is.Equal(result.Result.Verdict, test.verdict)
			is.Equal(result.Result.Reason, test.reason)
			is.Equal(result.Result.Status, test.status)
			is.Equal(len(result.Grants), 1) // the slot is free again
			is.Equal(f.endpoint.Starts()[test.name], 1)
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{})
	f.endpoint.Kill()
	f.entry.send(f.entry.start(task("t1", 0)))
	result := next[*message.Result](f.entry).Result
	is.Equal(result.Verdict, verdict.NotRun)
	is.Equal(result.Reason, verdict.ReasonConnect)
}

func TestStartDeliveredTwiceRunsOnce(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{Slots: 2})
	first, second := f.entry.start(task("t1", 0)), f.entry.start(task("t2", 0))
	for _, start := range []*message.Start{first, first, second} {
		f.entry.send(start)
	}
	next[*message.Result](f.entry)
	next[*message.Result](f.entry)
	f.entry.send(first)                        // after its run has ended
	f.entry.send(f.entry.start(task("t3", 0))) // its result shows that all earlier messages were handled
	is.Equal(next[*message.Result](f.entry).ID.Seq, uint64(3))
	is.Equal(f.endpoint.Starts(), map[string]int{"t1": 1, "t2": 1, "t3": 1})
}

func TestLostResultIsReportedAfterReconnection(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{})
	start, lost := f.entry.start(task("t1", 0)), message.StartID{Owner: 1, Seq: 99}
	f.endpoint.SetFault(endpoint.FaultSlow)
	f.entry.send(start)
	f.entry.send(&message.Inquiry{Service: service, Starts: []message.StartID{start.ID}})
	is.Equal(len(next[*message.InquiryReply](f.entry).Entries), 1) // it was accepted
	f.entry.conn.Close()
	<-f.entry.closed

	f.entry.credits = nil
	f.entry.conn = <-f.entry.conns
	inquiry := &message.Inquiry{Service: service, Starts: []message.StartID{start.ID, lost}}
	f.entry.send(inquiry)
	reply := next[*message.InquiryReply](f.entry)
	is.Equal(len(reply.Entries), 1) // the lost start is not listed
	is.Equal(reply.Entries[0].ID, start.ID)
	if reply.Entries[0].State == message.StartRunning {
		is.Equal(next[*message.Result](f.entry).Result.Verdict, verdict.Ran)
	} else {
		is.Equal(reply.Entries[0].Result.Verdict, verdict.Ran)
	}
	is.Equal(f.endpoint.Starts()["t1"], 1)
}

func TestCreditOfAnEarlierSessionIsVoid(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{})
	old := f.entry.start(task("t1", 0))
	f.entry.conn.Close()
	<-f.entry.closed
	f.entry.conn = <-f.entry.conns
	next[*message.Credits](f.entry)
	old.Sequence = f.entry.sequence
	f.entry.send(old)
	result := next[*message.Result](f.entry).Result
	is.Equal(result.Verdict, verdict.NotRun)
	is.Equal(result.Reason, verdict.ReasonCreditExpired)
	is.Equal(len(f.endpoint.Starts()), 0)
}

func TestCancelledTaskMayHaveRun(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{})
	f.endpoint.SetFault(endpoint.FaultHang)
	start := f.entry.start(task("t1", 0))
	f.entry.send(start)
	f.endpoint.WaitStarted("t1")
	f.entry.send(&message.Cancel{Service: service, Starts: []message.StartID{start.ID}})
	result := next[*message.Result](f.entry).Result
	is.Equal(result.Verdict, verdict.MayHaveRun)
	is.Equal(result.Reason, verdict.ReasonCancelled)
}

func TestDrainFinishesRunningTasks(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{Slots: 2})
	running, late := f.entry.start(task("t1", 200*time.Millisecond)), f.entry.start(task("t2", 0))
	f.entry.send(running)
	f.endpoint.WaitStarted("t1")
	drained := make(chan error, 1)
	go func() { drained <- f.agent.Drain(context.Background()) }()
	next[*message.Withdraw](f.entry)
	f.entry.send(late)
	refused := next[*message.Result](f.entry)
	is.Equal(refused.ID, late.ID)
	is.Equal(refused.Result.Verdict, verdict.NotRun)
	is.Equal(refused.Result.Reason, verdict.ReasonLeaving)
	finished := next[*message.Result](f.entry)
	is.Equal(finished.ID, running.ID)
	is.Equal(finished.Result.Verdict, verdict.Ran)
	is.NoErr(<-drained)
	is.Equal(f.endpoint.Starts(), map[string]int{"t1": 1})
}

func TestLeavingEndpointIsNotifiedWhenItMayStop(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{Slots: 2})
	running := f.entry.start(task("t1", 200*time.Millisecond))
	f.entry.send(running)
	f.endpoint.WaitStarted("t1")
	stopped := make(chan error, 1)
	go func() { stopped <- f.endpoint.Stop(context.Background()) }()
	next[*message.Withdraw](f.entry)
	is.Equal(next[*message.Result](f.entry).Result.Verdict, verdict.Ran)
	is.NoErr(<-stopped)
}

func TestConnectionsBoundTheTasksAtAnEndpoint(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{Slots: 8, Connections: 2})
	const tasks = 6
	is.Equal(len(next[*message.Credits](f.entry).Grants), 2)
	for range tasks {
		for len(f.entry.credits) > 0 {
			f.entry.send(f.entry.start(task("t", 20*time.Millisecond)))
		}
		is.Equal(next[*message.Result](f.entry).Result.Verdict, verdict.Ran)
	}
	is.Equal(f.endpoint.Peak(), 2)
}

func TestRestartedAgentHasEmptyJournalAndNoCredits(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{Slots: 2})
	started, late := f.entry.start(task("t1", 0)), f.entry.start(task("t2", 0))
	f.entry.send(started)
	next[*message.Result](f.entry)
	before := f.entry.conn.Peer().Incarnation
	f.kill()
	<-f.entry.closed

	_, kill := runAgent(t, f.network, f.entry)
	defer kill()
	f.entry.conn = <-f.entry.conns
	is.Equal(f.entry.conn.Peer().Name, "agent-1")
	is.True(f.entry.conn.Peer().Incarnation != before)
	restarted := time.Now().UnixMilli()
	f.entry.send(&message.JournalRequest{Service: service, Shards: []message.ShardEpoch{{Shard: 0, Epoch: 1}}})
	journal := next[*message.Journal](f.entry)
	is.Equal(len(journal.Entries), 0)
	is.True(journal.CompleteSince > 0 && journal.CompleteSince <= restarted)
	late.Sequence = f.entry.sequence
	f.entry.send(late)
	is.Equal(next[*message.Result](f.entry).Result.Verdict, verdict.NotRun)
	is.Equal(f.endpoint.Starts(), map[string]int{"t1": 1})
}

func TestEndpointMayChangeItsAddress(t *testing.T) {
	is, f := newServingFixture(t, endpoint.Options{})
	f.entry.send(f.entry.start(task("t1", 0)))
	is.Equal(next[*message.Result](f.entry).Result.Verdict, verdict.Ran)
	f.endpoint.Kill()
	moved := endpoint.New(endpoint.Options{Service: service, Name: "endpoint-1", Agent: f.agent.HTTPAddress(), Slots: 1})
	is.NoErr(moved.Start(t.Context()))
	defer moved.Kill()
	f.entry.send(f.entry.start(task("t2", 0)))
	is.Equal(next[*message.Result](f.entry).Result.Verdict, verdict.Ran)
	is.Equal(moved.Starts(), map[string]int{"t2": 1})
}
