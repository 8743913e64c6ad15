package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// grantsPromise requests a promise from a member and reports whether it is granted.
func (n *node) grantsPromise(from ownership.MemberID) bool {
	actions := n.core.Step(n.local(), ownership.PromiseRequested{From: from, Joined: n.sim.joinOf(from), SentAt: 1})
	answer, ok := find[ownership.AnswerPromise](actions)
	return ok && answer.Granted
}

// joinOf returns the offset of a member's first join.
func (sim *simulation) joinOf(id ownership.MemberID) sharedlog.Offset {
	for _, rec := range sim.log {
		if rec.Record != nil && rec.Record.Type == ownership.RecordJoin && rec.Record.Member.ID == id {
			return rec.Offset
		}
	}
	return 0
}

// removals returns the number of removals that a member has sent.
func (n *node) removals() int {
	count := 0
	for _, r := range n.sent {
		if r.Type == ownership.RecordRemove {
			count++
		}
	}
	return count
}

// TestPromiseRefused lists the conditions under which a guardian must refuse a
// promise.
func TestPromiseRefused(t *testing.T) {
	// expireLease pauses the guarded member until its guardian has sent a removal.
	expireLease := func(sim *simulation, guarded, guardian *node) {
		guarded.paused++
		for guardian.removals() == 0 {
			sim.run(tick)
		}
	}
	for name, test := range map[string]struct {
		prepare func(sim *simulation, guarded, guardian *node)
		granted bool
	}{
		"no fault":                 {func(*simulation, *node, *node) {}, true},
		"own lease has ended":      {func(sim *simulation, _, g *node) { g.cutLog, g.cutPeer = 1, 1; sim.run(defaults.TTL) }, false},
		"own membership is ending": {func(sim *simulation, _, g *node) { g.core.Step(g.local(), ownership.LeaveRequested{}) }, false},
		"removal is in transit": {func(sim *simulation, guarded, g *node) {
			sim.slowAppendRate = 1
			guarded.cutLog++
			expireLease(sim, guarded, g)
		}, false},
		"removal's answer was lost": {func(sim *simulation, guarded, g *node) {
			g.loseAnswer = ownership.RecordRemove
			expireLease(sim, guarded, g)
			sim.run(2 * tick)
		}, false},
		"removal's answer was lost and the next append failed": {func(sim *simulation, guarded, g *node) {
			g.loseAnswer, g.failAppend = ownership.RecordRemove, ownership.RecordRemove
			expireLease(sim, guarded, g)
			for g.removals() < 2 {
				sim.run(tick)
			}
			g.cutLog++
			sim.run(3 * tick)
		}, false},
		"removed, but a copy of its join came later": {func(sim *simulation, guarded, g *node) {
			expireLease(sim, guarded, g)
			sim.run(2 * tick)
			again := *sim.log[sim.joinOf(guarded.self.ID)-1].Record
			again.Applied = sharedlog.Offset(len(sim.log))
			sim.write(ownership.LogRecord{Record: &again})
			sim.run(2 * tick)
		}, false},
		"removal's append failed": {func(sim *simulation, guarded, g *node) {
			g.failAppend = ownership.RecordRemove
			expireLease(sim, guarded, g)
			g.cutLog++
			sim.run(3 * tick)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newFaultlessSimulation(t, "a", "b", "c")
			guarded := sim.owner()
			guardian := sim.guardianOf(guarded)
			test.prepare(sim, guarded, guardian)
			is.Equal(guardian.grantsPromise(guarded.core.Self().ID), test.granted)
			is.Equal(guardian.grantsPromise("nonmember"), false)
		})
	}
}

// TestPromiseHolds checks that a guardian does not remove a member while its
// promise to it is valid.
func TestPromiseHolds(t *testing.T) {
	is := is.New(t)
	sim := newFaultlessSimulation(t, "a", "b", "c")
	guarded := sim.owner()
	guardian := sim.guardianOf(guarded)
	guarded.paused++
	sim.run(defaults.TTL / 2)
	is.True(guardian.grantsPromise(guarded.core.Self().ID))
	sim.run(defaults.TTL)
	is.Equal(guardian.removals(), 0)
	sim.run(2 * time.Second)
	is.Equal(guardian.removals(), 1)
}

// TestSuccessorOfAGuardianWaits checks that a new guardian waits a whole lease
// before it removes a member, as the former guardian may have promised one.
func TestSuccessorOfAGuardianWaits(t *testing.T) {
	is := is.New(t)
	sim := newFaultlessSimulation(t, "a", "b", "c")
	guarded := sim.owner()
	guardian := sim.guardianOf(guarded)
	other := sim.guardianOf(guardian)
	guarded.cutLog++
	sim.run(time.Minute) // promises keep its lease valid
	guardian.dead = true
	for other.removals() == 0 {
		sim.run(tick)
	}
	sim.run(defaults.TTL)
	is.Equal(other.removals(), 1)
	sim.run(2 * time.Second)
	is.Equal(other.removals(), 2)
}

// TestEveryPossibleGuardianPromises checks that after a renewal whose answer was
// lost, the lease is extended only if the guardian named in it also promises.
func TestEveryPossibleGuardianPromises(t *testing.T) {
	is := is.New(t)
	sim := newFaultlessSimulation(t, "a", "b")
	guarded := sim.owner()
	first := sim.guardianOf(guarded)
	sim.start("mc", "c") // the next renewal may name another guardian
	sim.start("mab", "ab")
	for sim.guardianOf(guarded) == first {
		sim.run(tick)
	}
	second := sim.guardianOf(guarded)
	guarded.loseAnswer = ownership.RecordRenew
	sent := len(guarded.sent)
	for len(guarded.sent) == sent {
		sim.run(tick)
	}
	is.Equal(guarded.sent[sent].Guardian, second.core.Self().ID)
	sim.run(3 * tick) // a read finds no renewal, but it may still appear
	guarded.cutLog++
	second.cutPeer++
	before := guarded.core.LeaseUntil()
	sim.run(defaults.TTL)
	is.Equal(guarded.core.LeaseUntil(), before) // the first guardian's promise is not enough
	second.cutPeer--
	sim.run(2 * time.Second)
	is.True(guarded.core.LeaseUntil().After(before))
}

// TestLostAnswers checks that the core recovers from a lost answer to each type of
// record that it writes, whether or not the record was written.
func TestLostAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		kind  ownership.RecordType
		cause func(sim *simulation, n *node)
		done  func(sim *simulation, n *node) bool
	}{
		"join": {
			ownership.RecordJoin, func(*simulation, *node) {},
			func(_ *simulation, n *node) bool { return n.core.IsMember() },
		},
		"renew": {
			ownership.RecordRenew, func(sim *simulation, _ *node) { sim.run(3 * time.Second) },
			func(_ *simulation, n *node) bool { return n.local().Before(n.core.LeaseUntil()) },
		},
		"remove": {
			ownership.RecordRemove,
			func(sim *simulation, n *node) { sim.run(4 * time.Second); sim.nodes[0].dead = true },
			func(sim *simulation, _ *node) bool { return len(sim.ref.Members()) == 1 },
		},
		"leave": {
			ownership.RecordLeave,
			func(sim *simulation, n *node) { sim.run(4 * time.Second); n.step(ownership.LeaveRequested{}) },
			func(sim *simulation, _ *node) bool { return len(sim.ref.Members()) == 1 },
		},
	} {
		for _, written := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				sim := newFaultlessSimulation(t, "a")
				n := sim.start("mb", "b")
				n.loseAnswer = test.kind
				n.lostAnswerWritten = written
				test.cause(sim, n)
				sim.run(10 * time.Second)
				is.True(test.done(sim, n))
				count := 0
				for _, r := range sim.log {
					if r.Record != nil && r.Record.Type == test.kind {
						count++
					}
				}
				if test.kind == ownership.RecordRemove || test.kind == ownership.RecordLeave {
					is.Equal(count, 1) // a record that took effect is not written again
				}
			})
		}
	}
}
