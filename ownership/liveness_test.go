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

// defaults are the default lease settings.
var defaults = ownership.Options{
	TTL:           4 * time.Second,
	Drift:         250 * time.Millisecond,
	AcceptWindow:  2500 * time.Millisecond,
	OrphanTimeout: 2 * time.Hour,
}

// successionBound is the maximum time that a shard may be without an acting owner
// after its owner's process has ended.
var successionBound = defaults.TTL + defaults.Drift + defaults.TTL/3

// newFaultlessSimulation returns a simulation without faults that has one service
// with one owner. The first character of a member's address is its availability
// zone.
func newFaultlessSimulation(t *testing.T, addresses ...string) *simulation {
	sim := newSimulation(defaults, 0, 1, t.Fatalf)
	for _, a := range addresses {
		sim.start("m"+a, a)
	}
	sim.run(4 * time.Second)
	sim.write(ownership.LogRecord{Service: &ownership.ServiceChange{Name: "press", Owners: 1}})
	sim.run(2 * time.Second)
	return sim
}

// owner returns the member that acts for all shards, or nil.
func (sim *simulation) owner() *node {
	for _, n := range sim.live() {
		if len(n.acting) == message.ShardsPerService {
			return n
		}
	}
	return nil
}

// guardianOf returns the member that may remove another.
func (sim *simulation) guardianOf(n *node) *node {
	id := sim.ref.NextGuardian(n.core.Self().ID)
	for _, g := range sim.live() {
		if g.core.Self().ID == id {
			return g
		}
	}
	return nil
}

// runUntilOwned advances time until a member acts for all shards, at most by bound,
// and returns the time that has passed.
func (sim *simulation) runUntilOwned(bound time.Duration) time.Duration {
	began := sim.now
	for sim.now-began < bound && sim.owner() == nil {
		sim.run(tick)
	}
	return sim.now - began
}

// kill ends the processes of members.
func kill(nodes ...*node) {
	for _, n := range nodes {
		n.dead = true
	}
}

// leave lets the owner leave and checks that its lease ends at once.
func leave(sim *simulation, owner *node) {
	owner.step(ownership.LeaveRequested{})
	if owner.core.LeaseUntil().After(owner.local()) {
		sim.fail("a leaving member may act")
	}
	sim.run(2 * tick)
	kill(owner)
}

// replace ends members and starts others, at the same addresses if suffix is empty.
func replace(sim *simulation, suffix string, nodes ...*node) {
	kill(nodes...)
	for _, n := range nodes {
		sim.start("next-"+n.self.Address, n.self.Address+suffix)
	}
}

// force removes members by operator records.
func force(sim *simulation, nodes ...*node) {
	for _, n := range nodes {
		sim.write(ownership.LogRecord{Record: &ownership.Record{
			Type: ownership.RecordForceRemove, Member: n.self, By: "operator",
		}})
	}
}

func TestSuccession(t *testing.T) {
	one, three, four := []string{"a"}, []string{"a", "b", "c"}, []string{"a", "b", "c", "d"}
	const (
		readDelay    = time.Second
		stoppedBound = readDelay
	)
	anotherLease := defaults.TTL + defaults.Drift + readDelay
	for name, test := range map[string]struct {
		members []string
		fault   func(sim *simulation, owner *node)
		bound   time.Duration
	}{
		"the owner is killed":                   {three, func(_ *simulation, o *node) { kill(o) }, successionBound},
		"the owner leaves":                      {three, leave, stoppedBound},
		"the owner is replaced at its address":  {three, func(sim *simulation, o *node) { replace(sim, "", o) }, stoppedBound},
		"the owner and its guardian are killed": {three, func(sim *simulation, o *node) { kill(o, sim.guardianOf(o)) }, successionBound + anotherLease},
		"all but one are killed":                {four, func(sim *simulation, o *node) { kill(sim.nodes[0], sim.nodes[1], sim.nodes[3]) }, successionBound + 2*anotherLease},
		"the only member is replaced elsewhere": {one, func(sim *simulation, o *node) { replace(sim, "2", o) }, successionBound},
		"all are replaced at their addresses":   {three, func(sim *simulation, _ *node) { replace(sim, "", sim.live()...) }, stoppedBound},
		"all are replaced elsewhere": {
			three, func(sim *simulation, _ *node) { replace(sim, "2", sim.live()...) }, defaults.OrphanTimeout*12/10 + successionBound,
		},
		"all are replaced elsewhere and force-removed": {
			three, func(sim *simulation, _ *node) { old := sim.live(); replace(sim, "2", old...); force(sim, old...) }, stoppedBound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newFaultlessSimulation(t, test.members...)
			owner := sim.owner()
			is.True(owner != nil)
			test.fault(sim, owner)
			took := sim.runUntilOwned(2 * test.bound)
			t.Logf("a successor acted after %v", took)
			is.True(took <= test.bound)
			is.True(sim.owner() != nil)
		})
	}
}

// killInOtherGroup ends a member that is not in the owner's guard group.
func killInOtherGroup(sim *simulation, owner *node) {
	group := []*node{owner, sim.guardianOf(owner), sim.guardianOf(sim.guardianOf(owner))}
	for _, n := range sim.live() {
		if !slices.Contains(group, n) {
			n.dead = true
			return
		}
	}
}

// TestLogOutage checks who may act during a log outage that is longer than a lease,
// and that nobody is removed when the log is available again.
func TestLogOutage(t *testing.T) {
	for name, test := range map[string]struct {
		members []string
		fault   func(sim *simulation, owner *node)
		// acts says whether the owner keeps its lease during the outage.
		acts bool
	}{
		"all live":                        {[]string{"a", "b", "c"}, func(*simulation, *node) {}, true},
		"two live":                        {[]string{"a", "b"}, func(*simulation, *node) {}, true},
		"alone":                           {[]string{"a"}, func(*simulation, *node) {}, false},
		"its guardian dies":               {[]string{"a", "b", "c"}, func(sim *simulation, o *node) { sim.guardianOf(o).dead = true }, false},
		"its guardian's guardian dies":    {[]string{"a", "b", "c"}, func(sim *simulation, o *node) { sim.guardianOf(sim.guardianOf(o)).dead = true }, false},
		"a member of another group dies":  {[]string{"a", "b", "c", "d", "e", "f"}, killInOtherGroup, true},
		"the owner can't reach its peers": {[]string{"a", "b", "c"}, func(sim *simulation, o *node) { o.cutPeer++ }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newFaultlessSimulation(t, test.members...)
			owner := sim.owner()
			sim.logDown++
			test.fault(sim, owner)
			for range 60 {
				sim.run(time.Second)
				is.Equal(sim.owner(), owner) // the owner does not change
			}
			is.Equal(owner.local().Before(owner.core.LeaseUntil()), test.acts)
			is.Equal(owner.expirations, 0)
			sim.logDown--
			sim.run(3 * defaults.TTL)
			is.True(sim.owner() != nil) // the service still has an owner
			for _, n := range sim.live() {
				is.True(n.core.IsMember())
				is.True(n.local().Before(n.core.LeaseUntil()))
			}
		})
	}
}

// TestOwnerWithoutLogAccess checks that an owner that can't reach the log keeps its
// lease by its guardian's promises while it can reach its peers, up to the orphan
// timeout.
func TestOwnerWithoutLogAccess(t *testing.T) {
	is := is.New(t)
	sim := newFaultlessSimulation(t, "a", "b", "c")
	owner := sim.owner()
	cutAt := owner.local()
	owner.cutLog++
	sim.run(defaults.OrphanTimeout - time.Minute)
	is.Equal(sim.owner(), owner)
	is.True(owner.local().Before(owner.core.LeaseUntil()))
	sim.run(2 * time.Minute)
	is.True(!owner.core.LeaseUntil().After(cutAt.Add(defaults.OrphanTimeout)))
	is.Equal(len(sim.ref.Members()), 3) // the margin for drift has not passed
	sim.run(20 * time.Minute)
	is.True(len(sim.ref.Members()) == 2) // the others have removed it
	owner.cutLog--
	sim.run(10 * time.Second)
	is.True(len(sim.ref.Members()) == 3) // it joins again
}

// TestSuccessorWaitsForItsPredecessor checks that a new owner does not acquire a
// shard until the old one has applied the loss. A service moves from one region to
// another; the old owner is running but is slow to read the change.
func TestSuccessorWaitsForItsPredecessor(t *testing.T) {
	is := is.New(t)
	x := ownership.Member{ID: "x", Address: "X", Region: "east"}
	y := ownership.Member{ID: "y", Address: "Y", Region: "west"}
	c := ownership.New(x, defaults)
	now := simulationStart
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
