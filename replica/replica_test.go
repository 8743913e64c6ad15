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

// fleet runs replicas on one log and carries messages between them.
type fleet struct {
	t    *testing.T
	log  *memory.Log
	mu   sync.Mutex
	byID map[string]*node
	// cut makes peers unreachable.
	cut bool
}

// node is one entry: its replica and what its observer was told.
type node struct {
	*replica.Replica
	address string
	stop    context.CancelFunc
	ended   chan struct{}

	mu         sync.Mutex
	held       map[ownership.Shard]message.Epoch
	acquiredAt map[ownership.Shard]time.Time
	released   int
	configured map[string]config.Service
	agents     map[string]bool
	connected  atomic.Bool
	metrics    *telemetry.Registry
	// gaps counts the times at which the lease had run out before it was renewed.
	lease time.Time
	gaps  int
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, log: memory.New(memory.Options{}), byID: map[string]*node{}}
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
func (f *fleet) start(id, address string, log sharedlog.Log) *node {
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
		Log:  log, Platform: p, Ownership: o, Observer: n, Peers: peers{f, id, address},
		Seeds:     []string{"a", "b", "c"},
		Metrics:   n.metrics,
		Connected: func(string, string) bool { return n.connected.Load() },
		Jitter:    func(d time.Duration) time.Duration { return d / 2 },
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	n.stop = cancel
	f.mu.Lock()
	f.byID[id] = n
	f.mu.Unlock()
	go func() {
		defer close(n.ended)
		_ = n.Run(ctx)
	}()
	return n
}

// kill ends an entry without a leave.
func (f *fleet) kill(n *node) {
	n.stop()
	<-n.ended
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, other := range f.byID {
		if other == n {
			delete(f.byID, id)
		}
	}
}

func (f *fleet) close() {
	f.mu.Lock()
	nodes := make([]*node, 0, len(f.byID))
	for _, n := range f.byID {
		nodes = append(nodes, n)
	}
	f.mu.Unlock()
	for _, n := range nodes {
		f.kill(n)
	}
}

func (f *fleet) at(address string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.byID {
		if n.address == address && !f.cut {
			return n
		}
	}
	return nil
}

type peers struct {
	f       *fleet
	id      string
	address string
}

func (p peers) Send(_ ownership.MemberID, address string, m message.Message) error {
	n := p.f.at(address)
	if n == nil {
		return fmt.Errorf("no entry at %s", address)
	}
	reply := n.HandlePeer(p.id, m)
	if back := p.f.at(p.address); reply != nil && back != nil {
		back.HandlePeer(string(n.Self().ID), reply)
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
	n.released++
}

func (n *node) LeaseChanged(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.lease.IsZero() && n.lease.Before(time.Now()) {
		n.gaps++
	}
	n.lease = until
}

func (n *node) Configured(s config.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configured[s.Name] = s
}

func (n *node) Deconfigured(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.configured, service)
}

func (n *node) AgentRegistered(service, agent string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agents[service+"/"+agent] = true
}

// forgetReports drops what AgentRegistered has told so far.
func (n *node) forgetReports() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.agents)
}

func (n *node) heardOf(agent string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.agents[agent]
}

func (n *node) ViewChanged(uint64) {}

func (n *node) holds() int {
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

// publish writes a service's record and returns what the log decided.
func (f *fleet) publish(n *node, r config.Record) config.Outcome {
	f.t.Helper()
	outcome, err := n.Publish(f.t.Context(), r)
	if err != nil {
		f.t.Fatalf("publish %s: %v", r.Service, err)
	}
	return outcome
}

// write writes a record past the replicas.
func (f *fleet) write(kind sharedlog.RecordKind, body any) error {
	data, err := sharedlog.Seal(kind, body)
	if err != nil {
		return err
	}
	_, err = f.log.Append(f.t.Context(), data)
	return err
}

// copies counts the operators' records for a service in the log.
func (f *fleet) copies(service string) int {
	records, err := f.log.Read(f.t.Context(), 1, 100000)
	if err != nil {
		f.t.Fatal(err)
	}
	count := 0
	for _, rec := range records {
		var r config.Record
		kind, body, err := sharedlog.Unseal(rec.Data)
		if err == nil && kind == sharedlog.KindConfig && sharedlog.DecodeBody(body, &r) == nil && r.Service == service {
			count++
		}
	}
	return count
}

func TestThreeEntriesShareAService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		defer f.close()
		nodes := []*node{f.start("a1", "a", f.log), f.start("b1", "b", f.log), f.start("c1", "c", f.log)}
		time.Sleep(3 * time.Second)
		is.Equal(len(nodes[0].Members()), 3)
		is.True(nodes[0].Ready())

		is.True(f.publish(nodes[1], record("press", 3, 0)).Accepted)
		time.Sleep(time.Second)
		total := 0
		for _, n := range nodes {
			total += n.holds()
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
