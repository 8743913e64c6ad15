package ownership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// defaults are the lease settings of the product.
var defaults = ownership.Options{
	TTL:           4 * time.Second,
	Drift:         250 * time.Millisecond,
	AcceptWindow:  2500 * time.Millisecond,
	OrphanTimeout: 2 * time.Hour,
}

// successionBound is the longest that a shard may go without an owner after its
// owner's process has ended.
var successionBound = defaults.TTL + defaults.Drift + defaults.TTL/3

// newFleet returns members without faults, in three availability zones, which
// share one service with one owner.
func newFleet(t *testing.T, addresses ...string) *world {
	w := newWorld(defaults, 0, 1, t.Fatalf)
	for _, a := range addresses {
		w.start("m"+a, a)
	}
	w.run(4 * time.Second)
	w.write(ownership.LogRecord{Service: &ownership.ServiceChange{Name: "press", Owners: 1}})
	w.run(2 * time.Second)
	return w
}

func (w *world) owner() *node {
	for _, n := range w.live() {
		if len(n.acting) == message.ShardsPerService {
			return n
		}
	}
	return nil
}

// guardianOf returns the member that may remove another.
func (w *world) guardianOf(n *node) *node {
	id := w.ref.NextGuardian(n.core.Self().ID)
	for _, g := range w.live() {
		if g.core.Self().ID == id {
			return g
		}
	}
	return nil
}

// untilOwned lets time pass until a member acts for all shards, and returns how
// long it took.
func (w *world) untilOwned(bound time.Duration) time.Duration {
	began := w.now
	for w.now-began < bound && w.owner() == nil {
		w.run(tick)
	}
	return w.now - began
}

// kill ends the processes of members.
func kill(nodes ...*node) {
	for _, n := range nodes {
		n.dead = true
	}
}

func leave(w *world, owner *node) {
	owner.step(ownership.LeaveWanted{})
	if owner.core.LeaseUntil().After(owner.local()) {
		w.fail("a leaving member may act")
	}
	w.run(2 * tick)
	kill(owner)
}

// replace ends members and starts others, at their addresses or elsewhere.
func replace(w *world, where string, nodes ...*node) {
	kill(nodes...)
	for _, n := range nodes {
		w.start("next-"+n.self.Address, n.self.Address+where)
	}
}

func force(w *world, nodes ...*node) {
	for _, n := range nodes {
		w.write(ownership.LogRecord{Record: &ownership.Record{
			Type: ownership.RecordForceRemove, Member: n.self, By: "operator",
		}})
	}
}

func TestSuccession(t *testing.T) {
	one, three, four := []string{"a"}, []string{"a", "b", "c"}, []string{"a", "b", "c", "d"}
	const (
		reading = time.Second
		stopped = reading
	)
	again := defaults.TTL + defaults.Drift + reading // another lease
	for name, test := range map[string]struct {
		members []string
		fault   func(w *world, owner *node)
		bound   time.Duration
	}{
		"the owner is killed":                   {three, func(_ *world, o *node) { kill(o) }, successionBound},
		"the owner leaves":                      {three, leave, stopped},
		"the owner is replaced at its address":  {three, func(w *world, o *node) { replace(w, "", o) }, stopped},
		"the owner and its guardian are killed": {three, func(w *world, o *node) { kill(o, w.guardianOf(o)) }, successionBound + again},
		"all but one are killed":                {four, func(w *world, o *node) { kill(w.nodes[0], w.nodes[1], w.nodes[3]) }, successionBound + 2*again},
		"the only member is replaced elsewhere": {one, func(w *world, o *node) { replace(w, "2", o) }, successionBound},
		"all are replaced at their addresses":   {three, func(w *world, _ *node) { replace(w, "", w.live()...) }, stopped},
		"all are replaced elsewhere": {
			three, func(w *world, _ *node) { replace(w, "2", w.live()...) }, defaults.OrphanTimeout*12/10 + successionBound,
		},
		"all are replaced elsewhere and forced out": {
			three, func(w *world, _ *node) { old := w.live(); replace(w, "2", old...); force(w, old...) }, stopped,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newFleet(t, test.members...)
			owner := w.owner()
			is.True(owner != nil)
			test.fault(w, owner)
			took := w.untilOwned(2 * test.bound)
			t.Logf("a successor acted after %v", took)
			is.True(took <= test.bound)
			is.True(w.owner() != nil)
		})
	}
}

func killInOtherGroup(w *world, owner *node) {
	group := []*node{owner, w.guardianOf(owner), w.guardianOf(w.guardianOf(owner))}
	for _, n := range w.live() {
		if !slices.Contains(group, n) {
			n.dead = true
			return
		}
	}
}

// TestLogOutage takes the log away for longer than any lease.
func TestLogOutage(t *testing.T) {
	for name, test := range map[string]struct {
		members []string
		fault   func(w *world, owner *node)
		// acts says whether the owner acts during the outage.
		acts bool
	}{
		"all live":                  {[]string{"a", "b", "c"}, func(*world, *node) {}, true},
		"two live":                  {[]string{"a", "b"}, func(*world, *node) {}, true},
		"alone":                     {[]string{"a"}, func(*world, *node) {}, false},
		"its guardian dies":         {[]string{"a", "b", "c"}, func(w *world, o *node) { w.guardianOf(o).dead = true }, false},
		"its guardian's does":       {[]string{"a", "b", "c"}, func(w *world, o *node) { w.guardianOf(w.guardianOf(o)).dead = true }, false},
		"another group's does":      {[]string{"a", "b", "c", "d", "e", "f"}, killInOtherGroup, true},
		"the owner is cut from all": {[]string{"a", "b", "c"}, func(w *world, o *node) { o.cutPeer++ }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newFleet(t, test.members...)
			owner := w.owner()
			w.logDown++
			test.fault(w, owner)
			for range 60 {
				w.run(time.Second)
				is.Equal(w.owner(), owner) // no owner changes
			}
			is.Equal(owner.local().Before(owner.core.LeaseUntil()), test.acts)
			is.Equal(owner.lapses, 0)
			w.logDown--
			w.run(3 * defaults.TTL)
			is.True(w.owner() != nil) // service goes on
			for _, n := range w.live() {
				is.True(n.core.IsMember())
				is.True(n.local().Before(n.core.LeaseUntil()))
			}
		})
	}
}

// TestOwnerCutFromTheLog keeps its lease by its guardian's promise as long as
// peers reach it, up to the orphan timeout.
func TestOwnerCutFromTheLog(t *testing.T) {
	is := is.New(t)
	w := newFleet(t, "a", "b", "c")
	owner := w.owner()
	cut := owner.local()
	owner.cutLog++
	w.run(defaults.OrphanTimeout - time.Minute)
	is.Equal(w.owner(), owner)
	is.True(owner.local().Before(owner.core.LeaseUntil()))
	w.run(2 * time.Minute)
	is.True(!owner.core.LeaseUntil().After(cut.Add(defaults.OrphanTimeout)))
	is.Equal(len(w.ref.Members()), 3) // the margin for drift has not passed
	w.run(20 * time.Minute)
	is.True(len(w.ref.Members()) == 2) // the others have removed it
	owner.cutLog--
	w.run(10 * time.Second)
	is.True(len(w.ref.Members()) == 3) // it joins again
}

// TestSuccessorWaitsForItsPredecessor moves a service from one region to
// another, where the old owner lives but is slow to read of it.
func TestSuccessorWaitsForItsPredecessor(t *testing.T) {
	is := is.New(t)
	x := ownership.Member{ID: "x", Address: "X", Region: "east"}
	y := ownership.Member{ID: "y", Address: "Y", Region: "west"}
	c := ownership.New(x, defaults)
	now := epochZero
	var startsFrom time.Time
	acquired := func(ev ownership.Event) bool {
		a, ok := find[ownership.ShardAcquired](c.Step(now, ev))
		startsFrom = a.StartsFrom
		return ok
	}
	service := func(region string) *ownership.ServiceChange {
		return &ownership.ServiceChange{Name: "press", Owners: 1, Region: region}
	}
	early, late := renew("y", 2, 3, "x"), renew("y", 3, 4, "x")
	for i, ev := range []ownership.LogRecord{
		{Record: &ownership.Record{Type: ownership.RecordJoin, Member: x}},
		{Record: &ownership.Record{Type: ownership.RecordJoin, Member: y}},
		{Service: service("west")},
		{Service: service("east")},
		{Record: &early},
	} {
		ev.Offset = sharedlog.Offset(i + 1)
		is.True(!acquired(ev))
	}
	now = now.Add(time.Hour)
	is.True(!acquired(ownership.Tick{})) // y has not applied its loss
	is.True(acquired(ownership.LogRecord{Offset: 6, Record: &late}))
	is.Equal(startsFrom, now.Add(defaults.AcceptWindow+defaults.Drift))
}
