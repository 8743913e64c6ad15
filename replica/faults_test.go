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

// withThreeEntries runs a test with three entries and a virtual clock.
func withThreeEntries(t *testing.T, test func(t *testing.T, is *is.I, c *cluster, nodes []*node)) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startThreeEntries(t)
		defer c.close()
		test(t, is.New(t), c, nodes)
	})
}

// startThreeEntries starts three entries that share a service.
func startThreeEntries(t *testing.T) (*cluster, []*node) {
	c := newCluster(t)
	nodes := []*node{c.start("a1", "a", c.log), c.start("b1", "b", c.log), c.start("c1", "c", c.log)}
	time.Sleep(3 * time.Second)
	c.publish(nodes[0], record("press", 3, 0))
	time.Sleep(3 * time.Second)
	return c, nodes
}

func TestLogDownForAMinute(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		generation := nodes[0].Generation()
		c.log.SetFaults(memory.Faults{Down: true})
		time.Sleep(time.Minute)
		for _, n := range nodes {
			is.True(n.LeaseUntil().After(time.Now()))
			is.Equal(n.leaseGaps, 0)
			is.Equal(n.releasedShards, 0)
		}
		_, err := nodes[0].Publish(t.Context(), record("label", 1, 0))
		is.True(errors.Is(err, replica.ErrNotPublished))

		c.log.SetFaults(memory.Faults{})
		is.True(c.publish(nodes[0], record("label", 1, 0)).Accepted)
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			_, _, ok := n.Service("label")
			is.True(ok) // the new configuration has reached every entry
			is.Equal(n.leaseGaps, 0)
		}
		is.True(nodes[0].Generation() > generation)
	})
}

// TestPublishWithLostAnswers loses the answers to appends that were written and to
// appends that were not. In either case the record must take effect exactly once.
func TestPublishWithLostAnswers(t *testing.T) {
	for name, faults := range map[string]memory.Faults{
		"written":           {LostAnswers: 1},
		"not written":       {LostAppends: 1},
		"written then not":  {LostAnswers: 1, LostAppends: 2},
		"several not":       {LostAppends: 3},
		"several of either": {LostAnswers: 3, LostAppends: 3},
	} {
		t.Run(name, func(t *testing.T) {
			withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
				c.log.SetFaults(faults)
				is.True(c.publish(nodes[0], record("label", 1, 0)).Accepted)
				is.True(!nodes[1].RegisterAgent("label", "agent-1"))
				time.Sleep(10 * time.Second)
				is.True(nodes[2].RegisterAgent("label", "agent-1"))
				is.Equal(len(nodes[2].History("label")), 1)
				is.Equal(c.configRecords("label"), 1) // a record that was written is not written again
				for _, n := range nodes {
					is.Equal(n.leaseGaps, 0)
				}
			})
		})
	}
}

// TestAllAnswersLost loses the answer to every append while peers can't be reached
// for promises. The renewals read back from the log must extend the leases.
func TestAllAnswersLost(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		c.partitioned = true
		c.log.SetFaults(memory.Faults{LostAnswers: 1000})
		time.Sleep(time.Minute)
		for _, n := range nodes {
			is.True(n.LeaseUntil().After(time.Now()))
			is.Equal(n.leaseGaps, 0)
		}
	})
}

func TestConflictReportsWinner(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		_, revision, _ := nodes[0].Service("press")
		first, second := record("press", 1, revision), record("press", 2, revision)
		first.ID, second.ID = "first", "second"
		won := c.publish(nodes[0], first)
		lost := c.publish(nodes[1], second)
		is.True(won.Accepted)
		is.True(!lost.Accepted)
		is.Equal(lost.Winner, "first")
		again := c.publish(nodes[2], first)
		is.Equal(again, won) // publishing the same record again changes nothing

		third := c.publish(nodes[1], record("press", 3, won.Revision))
		is.True(third.Accepted)
		first.Owners = 1
		is.NoErr(c.appendRecord(sharedlog.KindConfig, first)) // a late copy of the record
		time.Sleep(time.Second)
		is.Equal(len(nodes[2].Owners("press")), 3)
	})
}

// TestOwnersDoNotDependOnTheSchema publishes a configuration whose schema this
// version can't decode. The assignment of shards must be the same as in a process
// that can.
func TestOwnersDoNotDependOnTheSchema(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		_, revision, _ := nodes[0].Service("press")
		newer := config.Record{
			ID: "newer", Service: "press", Schema: config.CurrentSchema + 1, Expect: revision,
			Body: []byte{0xa0}, Owners: 1,
		}
		is.NoErr(c.appendRecord(sharedlog.KindConfig, newer))
		time.Sleep(time.Second)
		for _, n := range nodes {
			is.Equal(len(n.Owners("press")), 1)
			s, _, _ := n.Service("press")
			is.Equal(s.Owners, 3) // from the newest body that this version can decode
		}
	})
}

func TestPlannedStop(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		is.NoErr(nodes[0].Leave(ctx))
		is.True(!nodes[0].LeaseUntil().After(time.Now()))
		synctest.Wait()
		is.Equal(nodes[0].heldShards(), 0)
		c.kill(nodes[0])
		time.Sleep(5 * time.Second)
		is.Equal(nodes[1].heldShards()+nodes[2].heldShards(), message.ShardsPerService)
	})
}

// TestRemovedEntryRejoins removes an entry that is still running, and loses the
// answer to the removal's append. The entry must rejoin under a new ID, and the
// owners of all shards must agree with the log.
func TestRemovedEntryRejoins(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		removed := nodes[0].Self().ID
		c.log.SetFaults(memory.Faults{LostAnswers: 1}) // the answer to the removal
		is.NoErr(nodes[1].ForceRemove(t.Context(), removed, "operator"))
		time.Sleep(10 * time.Second)
		is.True(nodes[0].Self().ID != removed)
		is.Equal(len(nodes[1].Members()), 3)
		is.Equal(nodes[0].heldShards()+nodes[1].heldShards()+nodes[2].heldShards(), message.ShardsPerService)
		for shard := range message.ShardsPerService {
			a, ok := nodes[2].Owner("press", shard)
			is.True(ok)
			held, ok := c.entryAt(a.Member.Address).held[ownership.Shard{Service: "press", Index: shard}]
			is.True(ok)
			is.Equal(held, a.Epoch)
		}
	})
}

// TestStartWithTrimmedLog starts an entry whose log is trimmed or unavailable. It
// must become ready only with a complete state: from the whole log, a snapshot or a
// peer.
func TestStartWithTrimmedLog(t *testing.T) {
	for name, test := range map[string]struct {
		trim, snapshot, down, partitioned, ready bool
	}{
		"nothing trimmed":      {ready: true},
		"with a snapshot":      {trim: true, snapshot: true, partitioned: true, ready: true},
		"state from a peer":    {trim: true, ready: true},
		"no source":            {trim: true, partitioned: true},
		"log down":             {down: true, ready: true},
		"log down, no peer":    {down: true, partitioned: true},
		"trimmed and log down": {trim: true, down: true, ready: true},
	} {
		t.Run(name, func(t *testing.T) {
			withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
				if test.snapshot {
					time.Sleep(2 * time.Minute)
				}
				if test.trim {
					c.log.Trim(7)
				}
				c.partitioned = test.partitioned
				c.log.SetFaults(memory.Faults{Down: test.down})
				joiner := c.start("d1", "d", c.log)
				time.Sleep(10 * time.Second)
				is.Equal(joiner.Ready(), test.ready)
				_, _, ok := joiner.Service("press")
				is.Equal(ok, test.ready)
				is.Equal(joiner.Generation() > 0, test.ready)
				if test.ready && !test.down {
					is.Equal(joiner.Generation(), nodes[0].Generation())
					is.Equal(len(joiner.Members()), 4)
				}
			})
		})
	}
}

// TestLateSnapshot appends a snapshot after a record that it does not cover, as a
// paused process may do. No reader may return to its older state.
func TestLateSnapshot(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		reply := nodes[0].HandleMessage("", &message.StateRequest{}).(*message.StateReply)
		old, err := config.DecodeSnapshot(reply.Snapshot)
		is.NoErr(err)
		_, revision, _ := nodes[0].Service("press")
		is.True(c.publish(nodes[0], record("press", 1, revision)).Accepted)
		is.NoErr(c.appendRecord(sharedlog.KindSnapshot, old))
		joiner := c.start("d1", "d", c.log)
		time.Sleep(5 * time.Second)
		for _, n := range append(nodes, joiner) {
			s, _, _ := n.Service("press")
			is.Equal(s.Owners, 1)
			is.Equal(n.Generation(), nodes[0].Generation())
		}
	})
}

// TestAbsentAgentsLeaveTheRoster lets an agent have no session with some or all
// owners for longer than the absence timeout. It must leave the roster only if it is
// absent from all of them, and an owner that has reported it as absent must register
// it again before it may get starts.
func TestAbsentAgentsLeaveTheRoster(t *testing.T) {
	for name, connected := range map[string][]bool{
		"absent from all owners": {false, false, false},
		"connected to one owner": {false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
				for i, n := range nodes {
					n.RegisterAgent("press", "agent-1")
					n.connected.Store(connected[i])
				}
				time.Sleep(testOwnership().ResubmitWindow)
				is.True(nodes[0].RegisterAgent("press", "agent-1")) // not reported as absent yet
				time.Sleep(testOwnership().ResubmitWindow / 2)
				is.Equal(len(nodes[0].Roster("press")), 1)
				time.Sleep(testOwnership().ResubmitWindow/2 + time.Minute)
				is.Equal(len(nodes[0].Roster("press")) == 1, connected[2])
				is.True(!nodes[0].RegisterAgent("press", "agent-1"))
				nodes[0].clearRegistrations()
				time.Sleep(2 * time.Second)
				is.True(nodes[0].RegisterAgent("press", "agent-1"))
				is.True(nodes[0].wasRegistered("press/agent-1"))
			})
		})
	}
}

// TestNewOwnersKeepTheRoster kills the only owner that had a session with an agent.
// The new owner can't know when that session ended, so that it must keep the agent
// in the roster for the whole absence timeout after its takeover.
func TestNewOwnersKeepTheRoster(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		c.publish(nodes[0], record("label", 1, 0))
		time.Sleep(time.Second)
		owner := c.entryAt(nodes[0].Owners("label")[0].Address)
		owner.RegisterAgent("label", "agent-1")
		time.Sleep(time.Second)
		c.kill(owner)
		time.Sleep(testOwnership().ResubmitWindow)
		survivor := nodes[0]
		if survivor == owner {
			survivor = nodes[1]
		}
		next := c.entryAt(survivor.Owners("label")[0].Address)
		a, _ := next.Owner("label", 0)
		is.True(next.MayAct("label", 0, a.Epoch)) // it took over
		is.Equal(len(next.Roster("label")), 1)
		time.Sleep(time.Minute)
		is.Equal(len(next.Roster("label")), 0)
	})
}

// TestNoBusyLoopWhileLogIsDown registers an agent at an entry that can't read the
// log. The pending registration must not make actionLoop run without waiting.
func TestNoBusyLoopWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		defer c.close()
		c.log.SetFaults(memory.Faults{Down: true})
		n := c.start("a1", "a", c.log)
		is.True(!n.RegisterAgent("press", "agent-1"))
		time.Sleep(time.Minute)
		is.True(n.metrics.Counters()["replica.wakes"] < 60*10)
	})
}

// TestIdleAppendRate checks that three idle entries append only their lease renewals,
// three per lease duration and entry.
func TestIdleAppendRate(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		time.Sleep(5 * time.Minute) // the first snapshots are written by now
		before, err := c.log.Bounds(t.Context())
		is.NoErr(err)
		time.Sleep(time.Minute)
		after, err := c.log.Bounds(t.Context())
		is.NoErr(err)
		appends := int(after.Next - before.Next)
		t.Logf("%d appends per minute by 3 idle entries", appends)
		o := testOwnership()
		perEntry := int(time.Minute / (o.LeaseTTL / 3))
		is.True(appends >= 3*(perEntry-1) && appends <= 3*(perEntry+1))
		is.Equal(nodes[0].leaseGaps, 0)
	})
}
