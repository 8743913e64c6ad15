package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// promises asks a member for a promise and returns whether it gives it.
func (n *node) promises(from ownership.MemberID) bool {
	actions := n.core.Step(n.local(), ownership.PromiseRequested{From: from, Joined: n.w.joinOf(from), SentAt: 1})
	answer, ok := find[ownership.AnswerPromise](actions)
	return ok && answer.Granted
}

// joinOf returns the offset of a member's first join.
func (w *world) joinOf(id ownership.MemberID) sharedlog.Offset {
	for _, rec := range w.log {
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

// TestPromiseRefused lists when a guardian must not promise.
func TestPromiseRefused(t *testing.T) {
	// lapse cuts the ward off until its guardian has sent a removal.
	lapse := func(w *world, ward, guardian *node) {
		ward.paused++
		for guardian.removals() == 0 {
			w.run(tick)
		}
	}
	for name, test := range map[string]struct {
		prepare func(w *world, ward, guardian *node)
		granted bool
	}{
		"while all is well":        {func(*world, *node, *node) {}, true},
		"own lease has ended":      {func(w *world, _, g *node) { g.cutLog, g.cutPeer = 1, 1; w.run(defaults.TTL) }, false},
		"own membership is ending": {func(w *world, _, g *node) { g.core.Step(g.local(), ownership.LeaveWanted{}) }, false},
		"removal is under way": {func(w *world, ward, g *node) {
			w.slowAppends = 1
			ward.cutLog++
			lapse(w, ward, g)
		}, false},
		"removal's answer was lost": {func(w *world, ward, g *node) {
			g.lose = ownership.RecordRemove
			lapse(w, ward, g)
			w.run(2 * tick)
		}, false},
		"removal's answer was lost and the next refused": {func(w *world, ward, g *node) {
			g.lose, g.refuse = ownership.RecordRemove, ownership.RecordRemove
			lapse(w, ward, g)
			for g.removals() < 2 {
				w.run(tick)
			}
			g.cutLog++
			w.run(3 * tick)
		}, false},
		"removed, but a copy of its join came later": {func(w *world, ward, g *node) {
			lapse(w, ward, g)
			w.run(2 * tick)
			again := *w.log[w.joinOf(ward.self.ID)-1].Record
			again.Applied = sharedlog.Offset(len(w.log))
			w.write(ownership.LogRecord{Record: &again})
			w.run(2 * tick)
		}, false},
		"removal was refused": {func(w *world, ward, g *node) {
			g.refuse = ownership.RecordRemove
			lapse(w, ward, g)
			g.cutLog++
			w.run(3 * tick)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newFleet(t, "a", "b", "c")
			ward := w.owner()
			guardian := w.guardianOf(ward)
			test.prepare(w, ward, guardian)
			is.Equal(guardian.promises(ward.core.Self().ID), test.granted)
			is.Equal(guardian.promises("stranger"), false)
		})
	}
}

// TestPromiseHolds checks that a guardian keeps what it has promised.
func TestPromiseHolds(t *testing.T) {
	is := is.New(t)
	w := newFleet(t, "a", "b", "c")
	ward := w.owner()
	guardian := w.guardianOf(ward)
	ward.paused++
	w.run(defaults.TTL / 2)
	is.True(guardian.promises(ward.core.Self().ID))
	w.run(defaults.TTL)
	is.Equal(guardian.removals(), 0)
	w.run(2 * time.Second)
	is.Equal(guardian.removals(), 1)
}

// TestSuccessorOfAGuardianWaits checks that a guardianship that passes on gives
// a whole lease, as the last guardian may have promised one.
func TestSuccessorOfAGuardianWaits(t *testing.T) {
	is := is.New(t)
	w := newFleet(t, "a", "b", "c")
	ward := w.owner()
	guardian := w.guardianOf(ward)
	other := w.guardianOf(guardian)
	ward.cutLog++
	w.run(time.Minute) // it lives on promises
	guardian.dead = true
	for other.removals() == 0 {
		w.run(tick)
	}
	w.run(defaults.TTL)
	is.Equal(other.removals(), 1)
	w.run(2 * time.Second)
	is.Equal(other.removals(), 2)
}

// TestEveryPossibleGuardianPromises checks that a renewal whose answer is lost
// makes its guardian's promise necessary too.
func TestEveryPossibleGuardianPromises(t *testing.T) {
	is := is.New(t)
	w := newFleet(t, "a", "b")
	ward := w.owner()
	first := w.guardianOf(ward)
	w.start("mc", "c") // the next renewal may name another guardian
	w.start("mab", "ab")
	for w.guardianOf(ward) == first {
		w.run(tick)
	}
	second := w.guardianOf(ward)
	ward.lose = ownership.RecordRenew
	sent := len(ward.sent)
	for len(ward.sent) == sent {
		w.run(tick)
	}
	is.Equal(ward.sent[sent].Guardian, second.core.Self().ID)
	w.run(3 * tick) // a read finds no renewal, but it may yet appear
	ward.cutLog++
	second.cutPeer++
	before := ward.core.LeaseUntil()
	w.run(defaults.TTL)
	is.Equal(ward.core.LeaseUntil(), before) // the first one's promise is not enough
	second.cutPeer--
	w.run(2 * time.Second)
	is.True(ward.core.LeaseUntil().After(before))
}

// TestLostAnswers loses the answer of each kind of record that the core writes,
// once with and once without the record taking effect.
func TestLostAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		kind  ownership.RecordType
		cause func(w *world, n *node)
		done  func(w *world, n *node) bool
	}{
		"join": {
			ownership.RecordJoin, func(*world, *node) {},
			func(_ *world, n *node) bool { return n.core.IsMember() },
		},
		"renew": {
			ownership.RecordRenew, func(w *world, _ *node) { w.run(3 * time.Second) },
			func(_ *world, n *node) bool { return n.local().Before(n.core.LeaseUntil()) },
		},
		"remove": {
			ownership.RecordRemove,
			func(w *world, n *node) { w.run(4 * time.Second); w.nodes[0].dead = true },
			func(w *world, _ *node) bool { return len(w.ref.Members()) == 1 },
		},
		"leave": {
			ownership.RecordLeave,
			func(w *world, n *node) { w.run(4 * time.Second); n.step(ownership.LeaveWanted{}) },
			func(w *world, _ *node) bool { return len(w.ref.Members()) == 1 },
		},
	} {
		for _, written := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				w := newFleet(t, "a")
				n := w.start("mb", "b")
				n.lose = test.kind
				n.loseWritten = written
				test.cause(w, n)
				w.run(10 * time.Second)
				is.True(test.done(w, n))
				count := 0
				for _, r := range w.log {
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
