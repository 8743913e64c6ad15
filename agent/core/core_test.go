package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// driver passes events to a core at times that the test sets.
type driver struct {
	core *Core
	now  time.Time
}

func newDriver(o Options) *driver { return &driver{core: New(o, testStartTime), now: testStartTime} }

// newOwnedDriver returns a driver whose core has one endpoint, e1, and connected
// owners.
func newOwnedDriver(t *testing.T, slots int, owners ...int) (*is.I, *driver) {
	d := newDriver(testOptions())
	d.announce("e1", slots)
	d.connectOwners(owners...)
	return is.New(t), d
}

func (d *driver) step(e Event) []Action { return d.core.Step(d.now, e) }

func (d *driver) announce(name string, slots int) []Action {
	info := message.EndpointInfo{Name: name, Slots: slots}
	return d.step(EndpointAnnounced{Service: testService, Address: name + ":80", Info: info})
}

// connectOwners connects owners, with the owners' numbers as session IDs, and makes
// them the owners of the service.
func (d *driver) connectOwners(owners ...int) []Action {
	sv := message.ServiceView{Service: testService, Configured: true}
	for _, i := range owners {
		name := ownerName(i)
		hello := message.Hello{Role: message.RoleEntry, Name: name, Incarnation: 1, Address: name + ":1"}
		d.step(SessionOpened{SessionID(i), name + ":1", hello})
		sv.Owners = append(sv.Owners, message.OwnerInfo{Name: name, Address: name + ":1"})
	}
	return d.step(Received{1, &message.View{Generation: 1, Services: []message.ServiceView{sv}}})
}

// start sends a start with an owner's first credit and a new sequence number.
func (d *driver) start(owner int, seq uint64, queued int) []Action {
	session := d.core.session(SessionID(owner))
	credit := session.creditsOf(testService)[0]
	return d.step(Received{session.id, &message.Start{
		Service: testService, Shard: owner, Epoch: 5, ID: message.StartID{Owner: uint64(owner), Seq: seq},
		Credit: credit, Endpoint: session.credits[credit].Name, Queued: queued,
		Sequence: session.sequences.next(d.now, testAcceptWindow),
	}})
}

func (d *driver) end(owner int, seq uint64, body int) []Action {
	result := message.TaskResult{Verdict: verdict.Ran, Status: 200, Body: make([]byte, body)}
	return d.step(TaskEnded{message.StartID{Owner: uint64(owner), Seq: seq}, result})
}

// sentTo returns the messages of one type to one session.
func sentTo[T message.Message](actions []Action, session SessionID) []T {
	var found []T
	for _, a := range actions {
		if send, ok := a.(Send); ok && send.Session == session {
			if m, ok := send.Message.(T); ok {
				found = append(found, m)
			}
		}
	}
	return found
}

func hasAction[T Action](actions []Action) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { _, ok := a.(T); return ok })
}

func credits(d *driver, owner int) int {
	return len(d.core.session(SessionID(owner)).credits)
}

func TestFreedSlotGoesToOwnerWithDemand(t *testing.T) {
	is, d := newOwnedDriver(t, 4, 1, 2)
	is.Equal([]int{credits(d, 1), credits(d, 2)}, []int{2, 2}) // without demand they share evenly

	d.start(1, 1, 0)
	d.start(2, 1, 9)
	actions := d.end(1, 1, 0)
	is.Equal(len(sentTo[*message.Result](actions, 1)[0].Grants), 0)
	is.Equal(len(sentTo[*message.Credits](actions, 2)[0].Grants), 1)
	is.Equal(len(sentTo[*message.Result](d.end(2, 1, 0), 2)[0].Grants), 1) // the result carries the credit
}

// A flood from one caller at one owner must not reduce the other owners to less
// than their share by callers. Urgent tasks take precedence over the shares.
func TestCreditsFollowCallers(t *testing.T) {
	for _, c := range []struct {
		name string
		a, b message.Demand
		want []int
	}{
		{"equal callers", message.Demand{Queued: 1900, Callers: 1}, message.Demand{Queued: 20, Callers: 1}, []int{4, 4}},
		{"more callers", message.Demand{Queued: 1900, Callers: 1}, message.Demand{Queued: 20, Callers: 3}, []int{2, 6}},
		{"no more than waits", message.Demand{Queued: 1900, Callers: 1}, message.Demand{Queued: 1, Callers: 1}, []int{7, 1}},
		{"urgent first", message.Demand{Queued: 1900, Callers: 9}, message.Demand{Queued: 8, Urgent: 8, Callers: 1}, []int{0, 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(testOptions())
			d.announce("e0", 1)
			d.connectOwners(1, 2)
			d.start(1, 1, 0) // the service has been announced to the owners, and no slot is free
			c.a.Service, c.b.Service = testService, testService
			d.step(Received{1, &c.a})
			d.step(Received{2, &c.b})
			d.announce("e1", 8)
			is.Equal([]int{credits(d, 1), credits(d, 2)}, c.want)
		})
	}
}

func TestDemandTakesCreditsFromIdleOwners(t *testing.T) {
	is, d := newOwnedDriver(t, 4, 1, 2)
	d.now = d.now.Add(ownerIdleTime)
	actions := d.step(Received{1, &message.Demand{Service: testService, Queued: 9}})
	is.Equal(len(sentTo[*message.Withdraw](actions, 2)[0].Credits), 1)
	is.Equal(len(sentTo[*message.Credits](actions, 1)[0].Grants), 1)
	is.Equal([]int{credits(d, 1), credits(d, 2)}, []int{3, 1})
}

func TestLeavingEndpointFinishesItsWork(t *testing.T) {
	is, d := newOwnedDriver(t, 2, 1)
	d.start(1, 1, 0)
	actions := d.step(EndpointLeaving{EndpointKey{testService, "e1"}})
	is.Equal(len(sentTo[*message.Withdraw](actions, 1)[0].Credits), 1)
	is.True(sentTo[*message.Announce](actions, 1)[0].Endpoints[0].Leaving)
	is.True(!hasAction[EndpointReleased](actions))
	is.Equal(len(d.announce("e1", 2)), 0) // announcement sent before the endpoint asked to leave

	actions = d.end(1, 1, 0)
	is.Equal(sentTo[*message.Result](actions, 1)[0].Result.Verdict, verdict.Ran)
	is.Equal(len(sentTo[*message.Result](actions, 1)[0].Grants), 0)
	is.True(hasAction[EndpointReleased](actions))
	is.Equal(len(sentTo[*message.Announce](actions, 1)[0].Endpoints), 0)
}

func TestUnresponsiveEndpointIsRemoved(t *testing.T) {
	is, d := newOwnedDriver(t, 1, 1)
	d.now = d.now.Add(testOptions().AnnounceTimeout)
	is.Equal(credits(d, 1), 1)
	d.step(Tick{})
	is.Equal(credits(d, 1), 1)
	d.now = d.now.Add(time.Millisecond)
	d.step(Tick{})
	is.Equal(credits(d, 1), 0)
}

func TestDrainWaitsForRunningTasksAndTheirDelivery(t *testing.T) {
	is, d := newOwnedDriver(t, 2, 1)
	d.start(1, 1, 0)
	is.True(!hasAction[Drained](d.step(DrainStarted{})))
	d.announce("e2", 2) // ignored
	is.Equal(credits(d, 1), 0)
	d.step(SessionClosed{1})
	is.True(!hasAction[Drained](d.end(1, 1, 10))) // the result has not been sent
	d.step(SessionOpened{7, "entry-1:1", message.Hello{Role: message.RoleEntry, Name: "entry-1", Incarnation: 1}})
	actions := d.step(Received{7, &message.Inquiry{Service: testService, Starts: []message.StartID{{Owner: 1, Seq: 1}}}})
	is.Equal(len(sentTo[*message.InquiryReply](actions, 7)[0].Entries), 1)
	is.True(hasAction[Drained](actions))
}

func TestDrainedAgentDoesNotReconnect(t *testing.T) {
	is, d := newOwnedDriver(t, 1, 1)
	d.step(DialFailed{"seed:1"})
	is.True(hasAction[Drained](d.step(DrainStarted{})))
	d.step(SessionClosed{1})
	d.now = d.now.Add(time.Minute)
	is.Equal(len(dials(d.step(Tick{}))), 0)
}

func TestDrainStopsWaitingForUndeliveredResults(t *testing.T) {
	is, d := newOwnedDriver(t, 1, 1)
	d.start(1, 1, 0)
	d.step(SessionClosed{1})
	d.end(1, 1, 10)
	is.True(!hasAction[Drained](d.step(DrainStarted{})))
	d.now = d.now.Add(undeliveredGrace)
	is.True(hasAction[Drained](d.step(Tick{})))
}

func TestResultsFollowTheShardToItsNewOwner(t *testing.T) {
	is, d := newOwnedDriver(t, 2, 1, 2)
	d.start(1, 1, 0)
	request := &message.JournalRequest{Service: testService, Shards: []message.ShardEpoch{{Shard: 1, Epoch: 6}}}
	journal := sentTo[*message.Journal](d.step(Received{2, request}), 2)[0]
	is.Equal(journal.Entries[0].State, message.StartRunning)
	// A cancellation by the former owner is ignored.
	cancel := &message.Cancel{Service: testService, Starts: []message.StartID{{Owner: 1, Seq: 1}}}
	is.True(!hasAction[CancelRun](d.step(Received{1, cancel})))
	is.True(hasAction[CancelRun](d.step(Received{2, cancel})))
	actions := d.end(1, 1, 0)
	is.Equal(len(sentTo[*message.Result](actions, 1)), 0)
	is.Equal(len(sentTo[*message.Result](actions, 2)), 1)
}

func TestStaleJournalRequestChangesNothing(t *testing.T) {
	is, d := newOwnedDriver(t, 2, 1, 2)
	d.start(1, 1, 0)
	request := &message.JournalRequest{Service: testService, Shards: []message.ShardEpoch{{Shard: 1, Epoch: 4}}}
	is.Equal(len(sentTo[*message.Journal](d.step(Received{2, request}), 2)), 0)
	is.Equal(len(sentTo[*message.Result](d.end(1, 1, 0), 1)), 1)
}

func TestLargeJournalComesInParts(t *testing.T) {
	is := is.New(t)
	o := testOptions()
	o.JournalBytes = 1 << 20
	d := newDriver(o)
	d.announce("e1", 1)
	d.connectOwners(1)
	const tasks, body = 5, 100 << 10
	for seq := range uint64(tasks) {
		d.start(1, seq+1, 0)
		d.end(1, seq+1, body)
	}
	request := &message.JournalRequest{Service: testService, Shards: []message.ShardEpoch{{Shard: 1, Epoch: 6}}}
	parts := sentTo[*message.Journal](d.step(Received{1, request}), 1)
	is.Equal(len(parts), 3)
	is.Equal([]bool{parts[0].More, parts[1].More, parts[2].More}, []bool{true, true, false})
	is.Equal([]int{len(parts[0].Entries), len(parts[1].Entries), len(parts[2].Entries)}, []int{2, 2, 1})
}

func TestAnswersAreEvictedDeliveredOnesFirst(t *testing.T) {
	is := is.New(t)
	d := newDriver(testOptions()) // JournalBytes is 1000
	d.announce("e1", 3)
	d.connectOwners(1)
	for seq := range uint64(3) {
		d.start(1, seq+1, 0)
	}
	d.step(SessionClosed{1})
	d.end(1, 1, 400) // not sent: no session
	d.connectOwners(1)
	d.end(1, 2, 400)
	d.end(1, 3, 400)
	d.step(Tick{})
	reasons := map[uint64]verdict.Reason{}
	for id, e := range d.core.journal.starts {
		reasons[id.Seq] = e.Result.Reason
	}
	is.Equal(reasons, map[uint64]verdict.Reason{1: verdict.ReasonNone, 2: verdict.ReasonAnswerEvicted, 3: verdict.ReasonNone})
}

func TestStartsBeyondTheBoundMoveCompleteSince(t *testing.T) {
	is := is.New(t)
	o := testOptions()
	o.JournalStarts = 2
	d := newDriver(o)
	d.announce("e1", 1)
	d.connectOwners(1)
	for seq := range uint64(3) {
		d.now = d.now.Add(time.Second)
		d.start(1, seq+1, 0)
		d.end(1, seq+1, 0)
	}
	d.step(Tick{})
	is.Equal(len(d.core.journal.starts), 2)
	is.Equal(d.core.journal.completeSince, testStartTime.Add(time.Second).UnixMilli()+1)
}

// TestEndpointsAreBounded guards against announcements under ever new names that take the
// agent's memory, and against a bound that refuses the endpoints that it has.
func TestEndpointsAreBounded(t *testing.T) {
	d := newDriver(testOptions())
	for i := range maxEndpoints + 10 {
		d.announce(fmt.Sprint("endpoint-", i), 1)
	}
	d.announce("endpoint-0", 2)
	if got := d.core.endpoints(); got != maxEndpoints {
		t.Errorf("%d endpoints are known", got)
	}
	if got := d.core.endpoint(EndpointKey{testService, "endpoint-0"}).info.Slots; got != 2 {
		t.Errorf("a known endpoint has %d slots after it announced 2", got)
	}
}
