package executor

import (
	"testing"

	"marjoramlug.example/marjoramlug/message"
)

// TestHeldCapacityGrowsUntilTheTaskFits guards against small tasks of one entry that
// take, piece by piece, what becomes free for a large task of another, against two large
// ones that each hold a part and wait for each other, and against capacity that stays
// held when the demand has ended.
func TestHeldCapacityGrowsUntilTheTaskFits(t *testing.T) {
	r := readyHarness(t)
	demand := func(s Session, count int64) {
		r.seq++
		r.step(OrdersReceived{Session: s, Orders: &message.RunOrders{
			Seq: r.seq, ReportTimestamp: r.reportTimestamp[s],
			Demand: &message.RunDemand{Count: count, Rank: float64(s), Need: message.Resources{MilliCPU: 8000}, Hold: true},
		}})
	}
	free := func(s Session) int64 { return r.core.freeFor(r.core.sessions[s]).MilliCPU }
	for s := Session(2); s <= 3; s++ {
		r.step(SessionOpened{Session: s, Entry: string(rune('a' + s)), Incarnation: 1})
	}
	r.orders(3, "small", 3, 3000)
	starts := actionsOf[StartCall](r)
	for _, start := range starts {
		r.step(StartAnswered{Call: start.Call, Run: start.Run, Result: StartAccepted, Clock: Clock{6100, true}})
	}
	demand(1, 1)
	demand(2, 1)
	for i, start := range starts {
		r.core.end(r.core.runs.Get(start.Run), message.RunDone)
		r.step(Tick{})
		// What the first task does not need is held for the second.
		if got, want := free(1), min(int64(1000+3000*(i+1)), 8000); got != want {
			t.Errorf("after %d ends: %d thousandths for the large task, want %d", i+1, got, want)
		}
		if got := free(3); got != 0 {
			t.Errorf("after %d ends: %d thousandths for others", i+1, got)
		}
	}
	r.orders(1, "large", 1, 8000)
	if n := len(actionsOf[StartCall](r)); n != 1 {
		t.Errorf("%d starts of the large task: %+v", n, r.actions)
	}
	demand(1, 0)
	demand(2, 0)
	r.now += 2 * offerTime
	r.step(Tick{})
	if got := free(3); got != 2000 {
		t.Errorf("%d thousandths free after the demands have ended", got)
	}
}
