package replica_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/replica"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// withThree runs a test of three entries under a virtual clock.
func withThree(t *testing.T, test func(t *testing.T, is *is.I, f *fleet, nodes []*node)) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startThree(t)
		defer f.close()
		test(t, is.New(t), f, nodes)
	})
}

// startThree runs three entries that share a service.
func startThree(t *testing.T) (*fleet, []*node) {
	f := newFleet(t)
	nodes := []*node{f.start("a1", "a", f.log), f.start("b1", "b", f.log), f.start("c1", "c", f.log)}
	time.Sleep(3 * time.Second)
	f.publish(nodes[0], record("press", 3, 0))
	time.Sleep(3 * time.Second)
	return f, nodes
}

func TestLogDownForAMinute(t *testing.T) {
	withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
		generation := nodes[0].Generation()
		f.log.SetFaults(memory.Faults{Down: true})
		time.Sleep(time.Minute)
		for _, n := range nodes {
			is.True(n.LeaseUntil().After(time.Now()))
			is.Equal(n.gaps, 0)
			is.Equal(n.released, 0)
		}
		_, err := nodes[0].Publish(t.Context(), record("label", 1, 0))
		is.True(errors.Is(err, replica.ErrNotPublished))

		f.log.SetFaults(memory.Faults{})
		is.True(f.publish(nodes[0], record("label", 1, 0)).Accepted)
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			_, _, ok := n.Service("label")
			is.True(ok) // in force everywhere
			is.Equal(n.gaps, 0)
		}
		is.True(nodes[0].Generation() > generation)
	})
}

// TestPublishWithLostAnswers loses answers of appends that did and did not take
// effect; in either case the record counts once.
func TestPublishWithLostAnswers(t *testing.T) {
	for name, faults := range map[string]memory.Faults{
		"written":           {LostAnswers: 1},
		"not written":       {LostAppends: 1},
		"written then not":  {LostAnswers: 1, LostAppends: 2},
		"several not":       {LostAppends: 3},
		"several of either": {LostAnswers: 3, LostAppends: 3},
	} {
		t.Run(name, func(t *testing.T) {
			withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
				f.log.SetFaults(faults)
				is.True(f.publish(nodes[0], record("label", 1, 0)).Accepted)
				is.True(!nodes[1].RegisterAgent("label", "agent-1"))
				time.Sleep(10 * time.Second)
				is.True(nodes[2].RegisterAgent("label", "agent-1"))
				is.Equal(len(nodes[2].History("label")), 1)
				is.Equal(f.copies("label"), 1) // what was written is not written again
				for _, n := range nodes {
					is.Equal(n.gaps, 0)
				}
			})
		})
	}
}

// TestAllAnswersLost loses every answer, and peers can't help: what is read
// back extends the leases all the same.
func TestAllAnswersLost(t *testing.T) {
	withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
		f.cut = true
		f.log.SetFaults(memory.Faults{LostAnswers: 1000})
		time.Sleep(time.Minute)
		for _, n := range nodes {
			is.True(n.LeaseUntil().After(time.Now()))
			is.Equal(n.gaps, 0)
		}
	})
}

func TestConflictNamesTheWinner(t *testing.T) {
	withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
		_, revision, _ := nodes[0].Service("press")
		first, second := record("press", 1, revision), record("press", 2, revision)
		first.ID, second.ID = "first", "second"
		won := f.publish(nodes[0], first)
		lost := f.publish(nodes[1], second)
		is.True(won.Accepted)
		is.True(!lost.Accepted)
		is.Equal(lost.Winner, "first")
		again := f.publish(nodes[2], first)
		is.Equal(again, won) // the same record published again changes nothing

		third := f.publish(nodes[1], record("press", 3, won.Revision))
		is.True(third.Accepted)
		first.Owners = 1
		is.NoErr(f.write(sharedlog.KindConfig, first)) // its first copy was late
		time.Sleep(time.Second)
		is.Equal(len(nodes[2].Owners("press")), 3)
	})
}

// TestOwnersDoNotDependOnTheSchema gives the fold a body that it can't read: the
// owners are the same as for a process that can.
func TestOwnersDoNotDependOnTheSchema(t *testing.T) {
	withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
		_, revision, _ := nodes[0].Service("press")
		newer := config.Record{
			ID: "newer", Service: "press", Schema: config.CurrentSchema + 1, Expect: revision,
			Body: []byte{0xa0}, Owners: 1,
		}
		is.NoErr(f.write(sharedlog.KindConfig, newer))
		time.Sleep(time.Second)
		for _, n := range nodes {
			is.Equal(len(n.Owners("press")), 1)
			s, _, _ := n.Service("press")
			is.Equal(s.Owners, 3) // the last body understood
		}
	})
}

func TestPlannedStop(t *testing.T) {
	withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		is.NoErr(nodes[0].Leave(ctx))
		is.True(!nodes[0].LeaseUntil().After(time.Now()))
		synctest.Wait()
		is.Equal(nodes[0].holds(), 0)
		f.kill(nodes[0])
		time.Sleep(5 * time.Second)
		is.Equal(nodes[1].holds()+nodes[2].holds(), message.ShardsPerService)
	})
}

// TestRemovedEntryJoinsAgain lets an operator remove an entry that runs; the log's
// answer to that is lost.
func TestRemovedEntryJoinsAgain(t *testing.T) {
	withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
		gone := nodes[0].Self().ID
		f.log.SetFaults(memory.Faults{LostAnswers: 1}) // the removal's own
		is.NoErr(nodes[1].ForceRemove(t.Context(), gone, "operator"))
		time.Sleep(10 * time.Second)
		is.True(nodes[0].Self().ID != gone)
		is.Equal(len(nodes[1].Members()), 3)
		is.Equal(nodes[0].holds()+nodes[1].holds()+nodes[2].holds(), message.ShardsPerService)
		for shard := range message.ShardsPerService {
			a, ok := nodes[2].Owner("press", shard)
			is.True(ok)
			held, ok := f.at(a.Member.Address).held[ownership.Shard{Service: "press", Index: shard}]
			is.True(ok)
			is.Equal(held, a.Epoch)
		}
	})
}

// TestReaderBeginsPastAGap trims the log; a new entry is complete only through
// a snapshot, and in an outage through a peer.
func TestReaderBeginsPastAGap(t *testing.T) {
	for name, test := range map[string]struct {
		trim, snapshot, down, cut, ready bool
	}{
		"nothing trimmed":      {ready: true},
		"with a snapshot":      {trim: true, snapshot: true, cut: true, ready: true},
		"state from a peer":    {trim: true, ready: true},
		"no source":            {trim: true, cut: true},
		"log down":             {down: true, ready: true},
		"log down, no peer":    {down: true, cut: true},
		"trimmed and log down": {trim: true, down: true, ready: true},
	} {
		t.Run(name, func(t *testing.T) {
			withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
				if test.snapshot {
					time.Sleep(2 * time.Minute)
				}
				if test.trim {
					f.log.Trim(7)
				}
				f.cut = test.cut
				f.log.SetFaults(memory.Faults{Down: test.down})
				late := f.start("d1", "d", f.log)
				time.Sleep(10 * time.Second)
				is.Equal(late.Ready(), test.ready)
				_, _, ok := late.Service("press")
				is.Equal(ok, test.ready)
				is.Equal(late.Generation() > 0, test.ready)
				if test.ready && !test.down {
					is.Equal(late.Generation(), nodes[0].Generation())
					is.Equal(len(late.Members()), 4)
				}
			})
		})
	}
}

// TestLateSnapshot writes a snapshot long after it was taken, as a paused
// process does: no reader goes back to it.
func TestLateSnapshot(t *testing.T) {
	withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
		reply := nodes[0].HandlePeer("", &message.StateRequest{}).(*message.StateReply)
		old, err := config.DecodeSnapshot(reply.Snapshot)
		is.NoErr(err)
		_, revision, _ := nodes[0].Service("press")
		is.True(f.publish(nodes[0], record("press", 1, revision)).Accepted)
		is.NoErr(f.write(sharedlog.KindSnapshot, old))
		late := f.start("d1", "d", f.log)
		time.Sleep(5 * time.Second)
		for _, n := range append(nodes, late) {
			s, _, _ := n.Service("press")
			is.Equal(s.Owners, 1)
			is.Equal(n.Generation(), nodes[0].Generation())
		}
	})
}

// TestAgentsLeaveTheRoster lets an agent be absent from some or all owners for
// longer than jobs are resubmitted.
func TestAgentsLeaveTheRoster(t *testing.T) {
	for name, connected := range map[string][]bool{
		"gone":              {false, false, false},
		"seen by one owner": {false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
				for i, n := range nodes {
					n.RegisterAgent("press", "agent-1")
					n.connected.Store(connected[i])
				}
				time.Sleep(testOwnership().ResubmitWindow)
				is.True(nodes[0].RegisterAgent("press", "agent-1")) // not gone yet
				time.Sleep(testOwnership().ResubmitWindow / 2)
				is.Equal(len(nodes[0].Roster("press")), 1)
				time.Sleep(testOwnership().ResubmitWindow/2 + time.Minute)
				is.Equal(len(nodes[0].Roster("press")) == 1, connected[2])
				is.True(!nodes[0].RegisterAgent("press", "agent-1"))
				nodes[0].forgetReports()
				time.Sleep(2 * time.Second)
				is.True(nodes[0].RegisterAgent("press", "agent-1"))
				is.True(nodes[0].heardOf("press/agent-1"))
			})
		})
	}
}

// TestNewOwnersKeepTheRoster kills the only owner that had a session with an
// agent: those who come after it can't know how long ago that was.
func TestNewOwnersKeepTheRoster(t *testing.T) {
	withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
		f.publish(nodes[0], record("label", 1, 0))
		time.Sleep(time.Second)
		owner := f.at(nodes[0].Owners("label")[0].Address)
		owner.RegisterAgent("label", "agent-1")
		time.Sleep(time.Second)
		f.kill(owner)
		time.Sleep(testOwnership().ResubmitWindow)
		witness := nodes[0]
		if witness == owner {
			witness = nodes[1]
		}
		next := f.at(witness.Owners("label")[0].Address)
		a, _ := next.Owner("label", 0)
		is.True(next.MayAct("label", 0, a.Epoch)) // it took over
		is.Equal(len(next.Roster("label")), 1)
		time.Sleep(time.Minute)
		is.Equal(len(next.Roster("label")), 0)
	})
}

// TestWaitsWithoutSpinning registers an agent at an entry that can't read the
// log. It must not wake up all the time.
func TestWaitsWithoutSpinning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		defer f.close()
		f.log.SetFaults(memory.Faults{Down: true})
		n := f.start("a1", "a", f.log)
		is.True(!n.RegisterAgent("press", "agent-1"))
		time.Sleep(time.Minute)
		is.True(n.metrics.Counters()["replica.wakes"] < 60*10)
	})
}

// TestAtRest counts what three entries append and read in a minute in which
// nothing happens.
func TestAtRest(t *testing.T) {
	withThree(t, func(t *testing.T, is *is.I, f *fleet, nodes []*node) {
		time.Sleep(5 * time.Minute) // the first snapshots are written by now
		before, err := f.log.Bounds(t.Context())
		is.NoErr(err)
		time.Sleep(time.Minute)
		after, err := f.log.Bounds(t.Context())
		is.NoErr(err)
		appends := int(after.Next - before.Next)
		t.Logf("%d appends a minute by 3 entries at rest", appends)
		o := testOwnership()
		perEntry := int(time.Minute / (o.LeaseTTL / 3))
		is.True(appends >= 3*(perEntry-1) && appends <= 3*(perEntry+1))
		is.Equal(nodes[0].gaps, 0)
	})
}
