package ownership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
)

// driftOptions allow for a large clock drift, so that the test fails if the code
// omits a drift margin.
var driftOptions = ownership.Options{
	TTL:           6 * time.Second,
	Drift:         2 * time.Second,
	AcceptWindow:  2500 * time.Millisecond,
	OrphanTimeout: 40 * time.Second,
}

// maxDrift is the maximum deviation of a clock's rate, as a fraction, that
// driftOptions allow:
// (TTL + Drift)(1 - maxDrift) >= TTL(1 + maxDrift).
const maxDrift = 0.142

// TestNoStaleStartIsAccepted runs members under random faults and checks that
// agents accept no start of a former owner and no task twice. The checks are in
// agent.accept.
func TestNoStaleStartIsAccepted(t *testing.T) {
	var steps, accepted, acquisitions int
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(driftOptions, maxDrift, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		f := &faults{sim: sim}
		sim.write(ownership.LogRecord{Service: &ownership.ServiceChange{Name: "press", Owners: 2}})
		for range rapid.IntRange(1, maxLive).Draw(t, "members") {
			f.startMember()
		}
		sim.run(4 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"":          func(*rapid.T) { sim.run(time.Duration(sim.rng.IntN(16)) * tick) },
			"run":       f.run,
			"run long":  f.runLong,
			"pause":     f.pause,
			"kill":      f.kill,
			"supersede": f.supersede,
			"start":     f.start,
			"leave":     f.leave,
			"log down":  f.logDown,
			"cut log":   f.cutLog,
			"cut peers": f.cutPeers,
			"lossy":     f.setLossy,
			"service":   f.changeService,
			"force":     f.forceRemove,
			"reload":    f.reload,
			"replace":   f.replaceAll,
		})
		f.checkRecovery()
		steps, accepted, acquisitions = steps+sim.steps, accepted+sim.accepted, acquisitions+sim.acquisitions
	})
	t.Logf("%d steps of time, %d starts accepted, %d shards acquired", steps, accepted, acquisitions)
}

// checkRecovery stops losses, delays, heartbeats and tasks, and starts a member;
// outages and pauses end by themselves. It checks that each shard of the service
// then gets an acting owner within three times OrphanTimeout, the longest of the
// timeouts.
func (f *faults) checkRecovery() {
	sim := f.sim
	sim.lossRate, sim.slowRate, sim.slowAppendRate, sim.idle = 0, 0, 0, true
	f.startMember()
	sim.write(ownership.LogRecord{Service: &ownership.ServiceChange{Name: "press", Owners: 2}})
	sim.run(3 * driftOptions.OrphanTimeout)
	for shard := range message.ShardsPerService {
		ref := ownership.Shard{Service: "press", Index: shard}
		owner, _ := sim.ref.Owner("press", shard)
		acting := slices.ContainsFunc(sim.live(), func(n *node) bool {
			return n.core.Self() == owner.Member && n.core.MayAct(n.local(), ref, owner.Epoch)
		})
		if !acting {
			sim.fail("no member acts for %v; %s should", ref, owner.Member.ID)
		}
	}
}

// faults provides the actions of the state machine.
type faults struct {
	sim     *simulation
	started int
}

// maxLive is the maximum number of members that run at a time.
const maxLive = 4

func (f *faults) pickMember(t *rapid.T) *node {
	live := f.sim.live()
	if len(live) == 0 {
		t.Skip("no member")
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(t, "member")]
}

func (f *faults) startMember() *node {
	f.started++
	return f.sim.start(fmt.Sprintf("m%d", f.started), fmt.Sprintf("%c%d", 'a'+rune(f.started%3), f.started))
}

func (f *faults) run(t *rapid.T) {
	f.sim.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "ticks")) * tick)
}

func (f *faults) runLong(t *rapid.T) {
	f.sim.run(time.Duration(rapid.IntRange(5, 30).Draw(t, "seconds")) * time.Second)
}

func seconds(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(t, "seconds")) * time.Second
}

func (f *faults) pause(t *rapid.T) { f.sim.during(seconds(t, 20), &f.pickMember(t).paused) }

func (f *faults) cutLog(t *rapid.T) { f.sim.during(seconds(t, 60), &f.pickMember(t).cutLog) }

func (f *faults) cutPeers(t *rapid.T) { f.sim.during(seconds(t, 20), &f.pickMember(t).cutPeer) }

func (f *faults) logDown(t *rapid.T) { f.sim.during(seconds(t, 30), &f.sim.logDown) }

func (f *faults) kill(t *rapid.T) { f.pickMember(t).dead = true }

func (f *faults) supersede(t *rapid.T) {
	old := f.pickMember(t)
	old.dead = true
	f.started++
	f.sim.start(fmt.Sprintf("m%d", f.started), old.self.Address)
}

func (f *faults) start(t *rapid.T) {
	if len(f.sim.live()) >= maxLive {
		t.Skip("enough members")
	}
	f.startMember()
}

func (f *faults) leave(t *rapid.T) {
	n := f.pickMember(t)
	n.step(ownership.LeaveRequested{})
	f.sim.after(20*time.Second, nil, func() { n.dead = true })
}

func (f *faults) setLossy(t *rapid.T) {
	f.sim.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "answers lost")
	f.sim.slowAppendRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "appends slow")
	f.sim.slowRate = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "messages slow")
}

func (f *faults) changeService(t *rapid.T) {
	f.sim.write(ownership.LogRecord{Service: &ownership.ServiceChange{
		Name:    "press",
		Owners:  rapid.IntRange(1, 3).Draw(t, "owners"),
		Deleted: rapid.IntRange(0, 4).Draw(t, "delete") == 0,
	}})
}

// forceRemove removes members whose processes have ended, as an operator does.
func (f *faults) forceRemove(t *rapid.T) {
	for _, n := range f.sim.nodes {
		if n.dead && f.sim.logDown == 0 {
			f.sim.write(ownership.LogRecord{Record: &ownership.Record{
				Type: ownership.RecordForceRemove, Member: ownership.Member{ID: n.core.Self().ID}, By: "operator",
			}})
		}
	}
}

func (f *faults) reload(t *rapid.T) {
	if n := f.pickMember(t); n.canLog() && n.paused == 0 {
		n.reload()
	}
}

// replaceAll ends all members and starts two others at new addresses.
func (f *faults) replaceAll(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "replace") > 0 {
		t.Skip("rarely")
	}
	for _, n := range f.sim.live() {
		n.dead = true
	}
	f.startMember()
	f.startMember()
}
