package replica_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/replica"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
	"marjoramlug.example/marjoramlug/telemetry"
)

// cluster runs replicas on one log and passes messages between them.
type cluster struct {
	t    *testing.T
	log  *memory.Log
	mu   sync.Mutex
	byID map[string]*node
	// partitioned makes all peers unreachable.
	partitioned bool
}

// node is one entry: its replica and the events that its observer received.
type node struct {
	*replica.Replica
	address string
	stop    context.CancelFunc
	ended   chan struct{}

	mu             sync.Mutex
	held           map[ownership.Shard]message.Epoch
	acquiredAt     map[ownership.Shard]time.Time
	releasedShards int
	configured     map[string]config.Service
	agents         map[string]bool
	connected      atomic.Bool
	metrics        *telemetry.Registry
	// lease is the end of the current lease, and leaseGaps the number of times that
	// the lease expired before it was renewed.
	lease     time.Time
	leaseGaps int
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, log: memory.New(memory.Options{}), byID: map[string]*node{}}
}

func testSettings() (settings.Platform, settings.Ownership) {
	e := new(settings.Entry)
	e.ApplyDefaults()
	return e.Platform, e.Ownership
}

func testOwnership() settings.Ownership {
	_, o := testSettings()
	return o
}

// start runs an entry at an address.
func (c *cluster) start(id, address string, log sharedlog.Log) *node {
	p, o := testSettings()
	n := &node{
		address: address, ended: make(chan struct{}),
		held:       map[ownership.Shard]message.Epoch{},
		acquiredAt: map[ownership.Shard]time.Time{},
		configured: map[string]config.Service{},
		agents:     map[string]bool{},
		metrics:    telemetry.New(),
	}
	n.Replica = replica.New(replica.Options{
		Self: ownership.Member{ID: ownership.MemberID(id), Address: address, Zone: "z" + address},
		Log:  log, Platform: p, Ownership: o, Observer: n, Peers: peers{c, id, address},
		Seeds:     []string{"a", "b", "c"},
		Metrics:   n.metrics,
		Connected: func(string, string) bool { return n.connected.Load() },
		Jitter:    func(d time.Duration) time.Duration { return d / 2 },
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	n.stop = cancel
	c.mu.Lock()
	c.byID[id] = n
	c.mu.Unlock()
	go func() {
		defer close(n.ended)
		_ = n.Run(ctx)
	}()
	return n
}

// kill stops an entry without a leave.
func (c *cluster) kill(n *node) {
	n.stop()
	<-n.ended
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, other := range c.byID {
		if other == n {
			delete(c.byID, id)
		}
	}
}

func (c *cluster) close() {
	c.mu.Lock()
	nodes := make([]*node, 0, len(c.byID))
	for _, n := range c.byID {
		nodes = append(nodes, n)
	}
	c.mu.Unlock()
	for _, n := range nodes {
		c.kill(n)
	}
}

func (c *cluster) entryAt(address string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.byID {
		if n.address == address && !c.partitioned {
			return n
		}
	}
	return nil
}

type peers struct {
	c       *cluster
	id      string
	address string
}

func (p peers) Send(_ ownership.MemberID, address string, m message.Message) error {
	n := p.c.entryAt(address)
	if n == nil {
		return fmt.Errorf("no entry at %s", address)
	}
	reply := n.HandleMessage(p.id, m)
	if back := p.c.entryAt(p.address); reply != nil && back != nil {
		back.HandleMessage(string(n.Self().ID), reply)
	}
	return nil
}

func (n *node) Acquired(a ownership.ShardAcquired, _ []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[a.Shard] = a.Epoch
	n.acquiredAt[a.Shard] = time.Now()
}

func (n *node) Released(service string, shard int, _ message.Epoch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.held, ownership.Shard{Service: service, Index: shard})
	n.releasedShards++
}

func (n *node) LeaseChanged(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.lease.IsZero() && n.lease.Before(time.Now()) {
		n.leaseGaps++
	}
	n.lease = until
}

func (n *node) Configured(s config.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configured[s.Name] = s
}

func (n *node) ServiceDeleted(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.configured, service)
}

func (n *node) AgentRegistered(service, agent string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agents[service+"/"+agent] = true
}

// clearRegistrations clears the calls of AgentRegistered recorded so far.
func (n *node) clearRegistrations() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.agents)
}

func (n *node) wasRegistered(agent string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.agents[agent]
}

func (n *node) ViewChanged(uint64) {}

func (n *node) heldShards() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.held)
}

func record(service string, owners int, expect config.Revision) config.Record {
	s := config.Service{Name: service, Owners: owners}
	body, err := config.EncodeBody(config.SchemaV1, s)
	if err != nil {
		panic(err)
	}
	return config.Record{Service: service, Schema: config.SchemaV1, Expect: expect, Body: body}
}

// publish publishes a service's record through n and returns the outcome.
func (c *cluster) publish(n *node, r config.Record) config.Outcome {
	c.t.Helper()
	outcome, err := n.Publish(c.t.Context(), r)
	if err != nil {
		c.t.Fatalf("publish %s: %v", r.Service, err)
	}
	return outcome
}

// appendRecord appends a record to the log directly, bypassing the replicas.
func (c *cluster) appendRecord(kind sharedlog.RecordKind, body any) error {
	data, err := sharedlog.EncodeRecord(kind, body)
	if err != nil {
		return err
	}
	_, err = c.log.Append(c.t.Context(), data)
	return err
}

// configRecords returns the number of operators' records for a service in the log.
func (c *cluster) configRecords(service string) int {
	records, err := c.log.Read(c.t.Context(), 1, 100000)
	if err != nil {
		c.t.Fatal(err)
	}
	count := 0
	for _, rec := range records {
		var r config.Record
		kind, body, err := sharedlog.DecodeRecord(rec.Data)
		if err == nil && kind == sharedlog.KindConfig && sharedlog.DecodeBody(body, &r) == nil && r.Service == service {
			count++
		}
	}
	return count
}

func TestThreeEntriesShareAService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		defer c.close()
		nodes := []*node{c.start("a1", "a", c.log), c.start("b1", "b", c.log), c.start("c1", "c", c.log)}
		time.Sleep(3 * time.Second)
		is.Equal(len(nodes[0].Members()), 3)
		is.True(nodes[0].Ready())

		is.True(c.publish(nodes[1], record("press", 3, 0)).Accepted)
		time.Sleep(time.Second)
		total := 0
		for _, n := range nodes {
			total += n.heldShards()
			is.Equal(len(n.Owners("press")), 3)
			is.Equal(n.Generation(), nodes[0].Generation())
		}
		is.Equal(total, message.ShardsPerService)

		is.True(!nodes[2].RegisterAgent("press", "agent-1"))
		time.Sleep(time.Second)
		is.True(nodes[0].RegisterAgent("press", "agent-1"))
		is.True(nodes[1].agents["press/agent-1"])
	})
}
