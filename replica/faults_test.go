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

// withThreeEntries runs a test of three entries under a virtual clock.
func withThreeEntries(t *testing.T, test func(t *testing.T, is *is.I, c *cluster, nodes []*node)) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startThreeEntries(t)
		defer c.close()
		test(t, is.New(t), c, nodes)
	})
}

// startThreeEntries runs three entries that share a service.
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
			is.True(ok) // in force everywhere
			is.Equal(n.leaseGaps, 0)
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
			withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
				c.log.SetFaults(faults)
				is.True(c.publish(nodes[0], record("label", 1, 0)).Accepted)
				is.True(!nodes[1].RegisterAgent("label", "agent-1"))
				time.Sleep(10 * time.Second)
				is.True(nodes[2].RegisterAgent("label", "agent-1"))
				is.Equal(len(nodes[2].History("label")), 1)
				is.Equal(c.configRecords("label"), 1) // what was written is not written again
				for _, n := range nodes {
					is.Equal(n.leaseGaps, 0)
				}
			})
		})
	}
}

// TestAllAnswersLost loses every answer, and peers can't help: what is read
// back extends the leases all the same.
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
		is.Equal(again, won) // the same record published again changes nothing

		third := c.publish(nodes[1], record("press", 3, won.Revision))
		is.True(third.Accepted)
		first.Owners = 1
		is.NoErr(c.appendRecord(sharedlog.KindConfig, first)) // its first copy was late
		time.Sleep(time.Second)
		is.Equal(len(nodes[2].Owners("press")), 3)
	})
}

// TestOwnersDoNotDependOnTheSchema gives the fold a body that it can't read: the
// owners are the same as for a process that can.
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
			is.Equal(s.Owners, 3) // the last body understood
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

// TestRemovedEntryRejoins lets an operator remove an entry that runs; the log's
// answer to that is lost.
func TestRemovedEntryRejoins(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		removed := nodes[0].Self().ID
		c.log.SetFaults(memory.Faults{LostAnswers: 1}) // the removal's own
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

// TestStartWithTrimmedLog trims the log; a new entry is complete only through
// a snapshot, and in an outage through a peer.
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

// TestLateSnapshot writes a snapshot long after it was taken, as a paused
// process does: no reader goes back to it.
func TestLateSnapshot(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		reply := nodes[0].HandlePeer("", &message.StateRequest{}).(*message.StateReply)
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

// TestAbsentAgentsLeaveTheRoster lets an agent be absent from some or all owners for
// longer than jobs are resubmitted.
func TestAbsentAgentsLeaveTheRoster(t *testing.T) {
	for name, connected := range map[string][]bool{
		"gone":              {false, false, false},
		"seen by one owner": {false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
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
				nodes[0].clearRegistrations()
				time.Sleep(2 * time.Second)
				is.True(nodes[0].RegisterAgent("press", "agent-1"))
				is.True(nodes[0].wasRegistered("press/agent-1"))
			})
		})
	}
}

// TestNewOwnersKeepTheRoster kills the only owner that had a session with an
// agent: those who come after it can't know how long ago that was.
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
// log. It must not wake up all the time.
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

// TestIdleAppendRate counts what three entries append and read in a minute in which
// nothing happens.
func TestIdleAppendRate(t *testing.T) {
	withThreeEntries(t, func(t *testing.T, is *is.I, c *cluster, nodes []*node) {
		time.Sleep(5 * time.Minute) // the first snapshots are written by now
		before, err := c.log.Bounds(t.Context())
		is.NoErr(err)
		time.Sleep(time.Minute)
		after, err := c.log.Bounds(t.Context())
		is.NoErr(err)
		appends := int(after.Next - before.Next)
		t.Logf("%d appends a minute by 3 entries at rest", appends)
		o := testOwnership()
		perEntry := int(time.Minute / (o.LeaseTTL / 3))
		is.True(appends >= 3*(perEntry-1) && appends <= 3*(perEntry+1))
		is.Equal(nodes[0].leaseGaps, 0)
	})
}
