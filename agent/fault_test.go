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
	r := newFixture(t, endpoint.Options{})
	r.entry.serve()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r.endpoint.SetFault(test.fault)
			start := r.entry.start(task(test.name, 0))
			if test.fault == endpoint.FaultHang {
				start.Task.TimeoutMillis = timeout.Milliseconds()
			}
			r.entry.send(start)
			result := next[*message.Result](r.entry)
			is.Equal(result.ID, start.ID)
			is.Equal(result.Result.Verdict, test.verdict)
			is.Equal(result.Result.Reason, test.reason)
			is.Equal(result.Result.Status, test.status)
			is.Equal(len(result.Grants), 1) // the slot is free again
			is.Equal(r.endpoint.Starts()[test.name], 1)
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{})
	r.endpoint.Kill()
	r.entry.send(r.entry.start(task("t1", 0)))
	result := next[*message.Result](r.entry).Result
	is.Equal(result.Verdict, verdict.NotRun)
	is.Equal(result.Reason, verdict.ReasonConnect)
}

func TestStartDeliveredTwiceRunsOnce(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{Slots: 2})
	first, second := r.entry.start(task("t1", 0)), r.entry.start(task("t2", 0))
	for _, start := range []*message.Start{first, first, second} {
		r.entry.send(start)
	}
	next[*message.Result](r.entry)
	next[*message.Result](r.entry)
	r.entry.send(first)                        // after its end
	r.entry.send(r.entry.start(task("t3", 0))) // marks that all before it was handled
	is.Equal(next[*message.Result](r.entry).ID.Seq, uint64(3))
	is.Equal(r.endpoint.Starts(), map[string]int{"t1": 1, "t2": 1, "t3": 1})
}

func TestLostResultIsReportedAfterReconnection(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{})
	start, lost := r.entry.start(task("t1", 0)), message.StartID{Owner: 1, Seq: 99}
	r.endpoint.SetFault(endpoint.FaultSlow)
	r.entry.send(start)
	r.entry.send(&message.Inquiry{Service: service, Starts: []message.StartID{start.ID}})
	is.Equal(len(next[*message.InquiryReply](r.entry).Known), 1) // it was accepted
	r.entry.conn.Close()
	<-r.entry.closed

	r.entry.credits = nil
	r.entry.conn = <-r.entry.conns
	inquiry := &message.Inquiry{Service: service, Starts: []message.StartID{start.ID, lost}}
	r.entry.send(inquiry)
	reply := next[*message.InquiryReply](r.entry)
	is.Equal(len(reply.Known), 1) // the lost start is not listed
	is.Equal(reply.Known[0].ID, start.ID)
	if reply.Known[0].State == message.TaskRunning {
		is.Equal(next[*message.Result](r.entry).Result.Verdict, verdict.Ran)
	} else {
		is.Equal(reply.Known[0].Result.Verdict, verdict.Ran)
	}
	is.Equal(r.endpoint.Starts()["t1"], 1)
}

func TestCreditOfAnEarlierSessionIsVoid(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{})
	old := r.entry.start(task("t1", 0))
	r.entry.conn.Close()
	<-r.entry.closed
	r.entry.conn = <-r.entry.conns
	next[*message.Credits](r.entry)
	old.Stamp = r.entry.sequence
	r.entry.send(old)
	result := next[*message.Result](r.entry).Result
	is.Equal(result.Verdict, verdict.NotRun)
	is.Equal(result.Reason, verdict.ReasonCreditExpired)
	is.Equal(len(r.endpoint.Starts()), 0)
}

func TestCancelledTaskMayHaveRun(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{})
	r.endpoint.SetFault(endpoint.FaultHang)
	start := r.entry.start(task("t1", 0))
	r.entry.send(start)
	r.endpoint.WaitStarted("t1")
	r.entry.send(&message.Cancel{Service: service, Starts: []message.StartID{start.ID}})
	result := next[*message.Result](r.entry).Result
	is.Equal(result.Verdict, verdict.MayHaveRun)
	is.Equal(result.Reason, verdict.ReasonCancelled)
}

func TestDrainFinishesRunningTasks(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{Slots: 2})
	running, late := r.entry.start(task("t1", 200*time.Millisecond)), r.entry.start(task("t2", 0))
	r.entry.send(running)
	r.endpoint.WaitStarted("t1")
	drained := make(chan error, 1)
	go func() { drained <- r.agent.Drain(context.Background()) }()
	next[*message.Withdraw](r.entry)
	r.entry.send(late)
	refused := next[*message.Result](r.entry)
	is.Equal(refused.ID, late.ID)
	is.Equal(refused.Result.Verdict, verdict.NotRun)
	is.Equal(refused.Result.Reason, verdict.ReasonLeaving)
	finished := next[*message.Result](r.entry)
	is.Equal(finished.ID, running.ID)
	is.Equal(finished.Result.Verdict, verdict.Ran)
	is.NoErr(<-drained)
	is.Equal(r.endpoint.Starts(), map[string]int{"t1": 1})
}

func TestLeavingEndpointIsNotifiedWhenItMayStop(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{Slots: 2})
	running := r.entry.start(task("t1", 200*time.Millisecond))
	r.entry.send(running)
	r.endpoint.WaitStarted("t1")
	stopped := make(chan error, 1)
	go func() { stopped <- r.endpoint.Stop(context.Background()) }()
	next[*message.Withdraw](r.entry)
	is.Equal(next[*message.Result](r.entry).Result.Verdict, verdict.Ran)
	is.NoErr(<-stopped)
}

func TestConnectionsBoundTheTasksAtAnEndpoint(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{Slots: 8, Connections: 2})
	const tasks = 6
	is.Equal(len(next[*message.Credits](r.entry).Grants), 2)
	for range tasks {
		for len(r.entry.credits) > 0 {
			r.entry.send(r.entry.start(task("t", 20*time.Millisecond)))
		}
		is.Equal(next[*message.Result](r.entry).Result.Verdict, verdict.Ran)
	}
	is.Equal(r.endpoint.Peak(), 2)
}

func TestRestartedAgentHasEmptyJournalAndNoCredits(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{Slots: 2})
	started, late := r.entry.start(task("t1", 0)), r.entry.start(task("t2", 0))
	r.entry.send(started)
	next[*message.Result](r.entry)
	before := r.entry.conn.Peer().Incarnation
	r.kill()
	<-r.entry.closed

	_, kill := runAgent(t, r.network, r.entry)
	defer kill()
	r.entry.conn = <-r.entry.conns
	is.Equal(r.entry.conn.Peer().Name, "agent-1")
	is.True(r.entry.conn.Peer().Incarnation != before)
	restarted := time.Now().UnixMilli()
	r.entry.send(&message.JournalRequest{Service: service, Shards: []message.ShardEpoch{{Shard: 0, Epoch: 1}}})
	journal := next[*message.Journal](r.entry)
	is.Equal(len(journal.Entries), 0)
	is.True(journal.CompleteSince > 0 && journal.CompleteSince <= restarted)
	late.Stamp = r.entry.sequence
	r.entry.send(late)
	is.Equal(next[*message.Result](r.entry).Result.Verdict, verdict.NotRun)
	is.Equal(r.endpoint.Starts(), map[string]int{"t1": 1})
}

func TestEndpointMayChangeItsAddress(t *testing.T) {
	is, r := newServingFixture(t, endpoint.Options{})
	r.entry.send(r.entry.start(task("t1", 0)))
	is.Equal(next[*message.Result](r.entry).Result.Verdict, verdict.Ran)
	r.endpoint.Kill()
	moved := endpoint.New(endpoint.Options{Service: service, Name: "endpoint-1", Agent: r.agent.HTTPAddress(), Slots: 1})
	is.NoErr(moved.Start(t.Context()))
	defer moved.Kill()
	r.entry.send(r.entry.start(task("t2", 0)))
	is.Equal(next[*message.Result](r.entry).Result.Verdict, verdict.Ran)
	is.Equal(moved.Starts(), map[string]int{"t2": 1})
}
