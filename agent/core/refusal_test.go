package core

import (
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

func TestRefusalReasons(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*driver, *message.Start)
		reason  verdict.Reason
		counter Counter
		// granted is the number of credits for the slot that becomes free.
		granted int
	}{
		{"spent credit", func(d *driver, m *message.Start) { m.Credit-- }, verdict.ReasonCreditExpired, StartNoCredit, 0},
		{"credit of another endpoint", func(d *driver, m *message.Start) {
			d.announce("e2", 1)
			m.Endpoint = "e2"
		}, verdict.ReasonCreditExpired, StartNoCredit, 1},
		{"old sequence number", func(d *driver, m *message.Start) { d.now = d.now.Add(testAcceptWindow + 1) }, verdict.ReasonCreditExpired, StartStaleSequence, 1},
		{"sequence number never sent", func(d *driver, m *message.Start) { m.Sequence += 100 }, verdict.ReasonCreditExpired, StartStaleSequence, 1},
		{"epoch below a journal request's", func(d *driver, m *message.Start) {
			request := &message.JournalRequest{Service: testService, Shards: []message.ShardEpoch{{Shard: m.Shard, Epoch: m.Epoch + 1}}}
			d.step(Received{1, request})
		}, verdict.ReasonStaleEpoch, StartStaleEpoch, 1},
		{"leaving endpoint", func(d *driver, m *message.Start) {
			d.step(EndpointLeaving{EndpointKey{testService, "e1"}})
		}, verdict.ReasonLeaving, StartLeaving, 0},
		{"draining agent", func(d *driver, m *message.Start) { d.step(DrainStarted{}) }, verdict.ReasonLeaving, StartLeaving, 0},
		{"copy of a refused start", func(d *driver, m *message.Start) {
			wrong := *m
			wrong.Credit--
			d.step(Received{1, &wrong})
		}, verdict.ReasonCreditExpired, StartRefusedBefore, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(testOptions())
			d.announce("e1", 1)
			d.connectOwners(1)
			session := d.core.session(1)
			m := &message.Start{
				Service: testService, Shard: 1, Epoch: 5, ID: message.StartID{Owner: 1, Seq: 1},
				Credit: session.creditsOf(testService)[0], Endpoint: "e1",
				Sequence: session.sequences.next(d.now, testAcceptWindow),
			}
			test.change(d, m)
			actions := d.step(Received{1, m})
			is.True(!hasAction[Run](actions))
			result := sentTo[*message.Result](actions, 1)[0]
			is.Equal(result.ID, m.ID)
			is.Equal(result.Result.Verdict, verdict.NotRun)
			is.Equal(result.Result.Reason, test.reason)
			is.Equal(len(result.Grants), test.granted)
			is.Equal(actions[firstCount(actions)], Count{test.counter})
		})
	}
}

func firstCount(actions []Action) int {
	for i, a := range actions {
		if _, ok := a.(Count); ok {
			return i
		}
	}
	return -1
}
