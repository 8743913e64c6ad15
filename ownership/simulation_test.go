package ownership_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// tick is the step by which simulated time advances.
const tick = 200 * time.Millisecond

// simulationStart is the wall clock time at which the simulation starts.
var simulationStart = time.Unix(1_700_000_000, 0)

// clock is a local clock; a rate of 1 is exact.
type clock struct{ rate float64 }

func (c clock) at(now time.Duration) time.Time {
	return simulationStart.Add(time.Duration(float64(now) * c.rate))
}

// simulation holds members, agents and a log, and delivers messages and appends
// after random delays.
type simulation struct {
	fail    func(format string, args ...any)
	rng     *rand.Rand
	options ownership.Options
	drift   float64
	now     time.Duration
	log     []ownership.LogRecord
	// ref is the reference state: it has applied all records of the log.
	ref *ownership.State
	// logDown counts the log outages in force.
	logDown int
	// lossRate is the fraction of appends whose answer is lost, slowRate the
	// fraction of messages with a long delay, and slowAppendRate the fraction of
	// appends that are delayed before they are sent.
	lossRate, slowRate, slowAppendRate float64
	// idle is set when no more heartbeats and tasks are sent.
	idle       bool
	deliveries []delivery
	nodes      []*node
	agents     []*agent
	tasks      map[ownership.Shard][]task
	started    map[int]bool
	// waitedEpoch holds the highest epoch whose owner has waited until StartsFrom,
	// and acceptedEpoch the highest one under which a start was accepted.
	waitedEpoch, acceptedEpoch map[ownership.Shard]message.Epoch
	steps                      int
	submitted                  int
	accepted                   int
	acquisitions               int
}

type delivery struct {
	at     time.Duration
	to     *node
	handle func()
}

type task struct {
	id      int
	created time.Duration
}

type node struct {
	sim        *simulation
	core       *ownership.Core
	clock      clock
	self       ownership.Member
	next       int
	acting     map[ownership.Shard]*ownerState
	heartbeats map[*agent]time.Time
	joins      int
	// sent lists the records for which the member has requested an append.
	sent []ownership.Record
	// expirations counts the times that the lease had expired before it was extended.
	expirations int
	// loseAnswer is the type of the record whose next answer is lost, and
	// lostAnswerWritten says whether that record is written. failAppend is the type
	// of the record whose next append fails, after any lost answer.
	loseAnswer, failAppend ownership.RecordType
	lostAnswerWritten      bool
	dead                   bool
	// paused, cutLog and cutPeer count the faults of these kinds in force.
	paused  int
	cutLog  int
	cutPeer int
}

// ownerState is an owner's knowledge of a shard's tasks.
type ownerState struct {
	epoch message.Epoch
	since time.Duration
	// journals is the number of agents that have answered a journal request.
	journals int
	// knownTasks holds the tasks that the owner has started or found in a journal.
	knownTasks map[int]bool
	// startsFrom is the time on the member's clock from which it may start tasks
	// without all journals.
	startsFrom time.Time
}

type agent struct {
	clock   clock
	fence   map[ownership.Shard]message.Epoch
	journal map[ownership.Shard][]int
}

func newSimulation(o ownership.Options, drift float64, seed uint64, fail func(string, ...any)) *simulation {
	sim := &simulation{
		fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), ref: ownership.NewState(),
		options: o, drift: drift,
		tasks: map[ownership.Shard][]task{}, started: map[int]bool{},
		waitedEpoch:   map[ownership.Shard]message.Epoch{},
		acceptedEpoch: map[ownership.Shard]message.Epoch{},
	}
	for range 2 {
		sim.agents = append(sim.agents, &agent{
			clock: sim.newClock(), fence: map[ownership.Shard]message.Epoch{}, journal: map[ownership.Shard][]int{},
		})
	}
	return sim
}

func (sim *simulation) newClock() clock {
	return clock{1 + sim.drift*float64(2*sim.rng.IntN(2)-1)}
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// after calls handle once the delay has passed and the receiver, if any, is not
// paused. Nothing is delivered to a dead receiver.
func (sim *simulation) after(delay time.Duration, to *node, handle func()) {
	sim.deliveries = append(sim.deliveries, delivery{sim.now + delay, to, handle})
}

// delay returns the delay of a message: mostly none, and sometimes longer than TTL,
// Drift and AcceptWindow.
func (sim *simulation) delay() time.Duration {
	if sim.chance(sim.slowRate) {
		return sim.upTo(20 * time.Second)
	}
	return 0
}

func (sim *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

// during keeps a fault in force for the given time.
func (sim *simulation) during(d time.Duration, fault *int) {
	*fault++
	sim.after(d, nil, func() { *fault-- })
}

func (sim *simulation) start(id, address string) *node {
	n := &node{
		sim: sim, clock: sim.newClock(), heartbeats: map[*agent]time.Time{}, acting: map[ownership.Shard]*ownerState{},
		self: ownership.Member{ID: ownership.MemberID(id), Address: address, Zone: address[:1]},
	}
	n.core = ownership.New(n.self, sim.options)
	sim.nodes = append(sim.nodes, n)
	return n
}

func (sim *simulation) live() []*node {
	return slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n.dead })
}

// write appends a record to the log and applies it to the reference state.
func (sim *simulation) write(rec ownership.LogRecord) {
	rec.Offset = sharedlog.Offset(len(sim.log) + 1)
	sim.log = append(sim.log, rec)
	switch {
	case rec.Record != nil:
		sim.ref.Apply(rec.Offset, *rec.Record)
	case rec.Service.Deleted:
		sim.ref.DeleteService(rec.Offset, rec.Service.Name)
	default:
		sim.ref.SetService(rec.Offset, rec.Service.Name, rec.Service.Owners, rec.Service.Region)
	}
}

// run advances time by d.
func (sim *simulation) run(d time.Duration) {
	step := tick
	if sim.idle {
		step = time.Second
	}
	for end := sim.now + d; sim.now < end; {
		sim.now += step
		sim.steps++
		sim.deliver()
		if !sim.idle {
			sim.heartbeat()
		}
		for _, n := range sim.live() {
			if n.paused == 0 {
				n.act()
			}
		}
	}
}

func (sim *simulation) deliver() {
	deliveries := sim.deliveries
	sim.deliveries = nil
	for _, d := range deliveries {
		switch {
		case d.at > sim.now || d.to != nil && d.to.paused > 0 && !d.to.dead:
			sim.deliveries = append(sim.deliveries, d)
		case d.to == nil || !d.to.dead:
			d.handle()
		}
	}
}

// heartbeat sends a heartbeat from each agent to each member, with the time on the
// agent's clock.
func (sim *simulation) heartbeat() {
	for _, a := range sim.agents {
		sent := a.clock.at(sim.now)
		for _, n := range sim.live() {
			sim.after(sim.delay(), n, func() {
				if sent.After(n.heartbeats[a]) {
					n.heartbeats[a] = sent
				}
			})
		}
	}
}

func (n *node) local() time.Time { return n.clock.at(n.sim.now) }

func (n *node) canLog() bool { return n.sim.logDown == 0 && n.cutLog == 0 }

func (n *node) act() {
	n.read()
	n.step(ownership.Tick{})
	if !n.sim.idle {
		n.submit()
	}
}

func (n *node) read() {
	if !n.canLog() {
		n.step(ownership.ReadFailed{})
		return
	}
	began := n.local()
	for n.next < len(n.sim.log) {
		rec := n.sim.log[n.next]
		n.next++
		n.step(rec)
	}
	n.step(ownership.CaughtUp{Began: began})
	n.checkState()
}

// checkState checks in a fraction of the calls that the member's state equals the
// reference state.
func (n *node) checkState() {
	if !n.sim.chance(0.05) {
		return
	}
	mine, err1 := n.core.State().Encode()
	other, err2 := n.sim.ref.Encode()
	if err1 != nil || err2 != nil || !bytes.Equal(mine, other) {
		n.sim.fail("state of %s differs from the reference state", n.core.Self().ID)
	}
}

// reload loads the state from a snapshot instead of reading records.
func (n *node) reload() {
	data, err := n.sim.ref.Encode()
	if err != nil || n.next >= len(n.sim.log) {
		return
	}
	s, err := ownership.DecodeState(data)
	if err != nil {
		n.sim.fail("decode: %v", err)
		return
	}
	n.next = len(n.sim.log)
	n.step(ownership.StateLoaded{State: s})
}

func (n *node) step(ev ownership.Event) {
	before := n.core.LeaseUntil()
	for _, a := range n.core.Step(n.local(), ev) {
		n.perform(a)
	}
	if after := n.core.LeaseUntil(); !before.IsZero() && after.After(before) && before.Before(n.local()) {
		n.expirations++
	}
}

func (n *node) perform(a ownership.Action) {
	sim := n.sim
	switch a := a.(type) {
	case ownership.Append:
		n.sent = append(n.sent, a.Record)
		delay := sim.delay()
		if sim.chance(sim.slowAppendRate) {
			delay = sim.upTo(10 * time.Second)
		}
		sim.after(delay, nil, func() { n.append(a) })
	case ownership.AskPromise:
		from := n.core.Self().ID
		n.toPeer(a.Peer.ID, func(p *node) { p.step(ownership.PromiseRequested{From: from, Joined: a.Joined, SentAt: a.SentAt}) })
	case ownership.AnswerPromise:
		from := n.core.Self().ID
		n.toPeer(a.To, func(p *node) {
			p.step(ownership.PromiseReceived{From: from, SentAt: a.SentAt, Granted: a.Granted})
		})
	case ownership.ShardAcquired:
		sim.acquisitions++
		r := &ownerState{epoch: a.Epoch, since: sim.now, knownTasks: map[int]bool{}, startsFrom: a.StartsFrom}
		n.acting[a.Shard] = r
		for _, agent := range sim.agents {
			sim.after(sim.delay(), nil, func() { agent.answer(sim, n, a.Shard, r) })
		}
	case ownership.ShardReleased:
		// The part that starts tasks may be notified late; MayAct prevents starts.
		r := n.acting[a.Shard]
		sim.after(sim.delay(), nil, func() {
			if n.acting[a.Shard] == r {
				delete(n.acting, a.Shard)
			}
		})
	case ownership.Expelled:
		n.joins++
		self := n.self
		self.ID = ownership.MemberID(fmt.Sprintf("%s.%d", self.ID, n.joins))
		n.step(ownership.RejoinRequested{Self: self})
	}
}

// append writes a record, possibly late or not at all, and answers or loses the
// answer.
func (n *node) append(a ownership.Append) {
	sim := n.sim
	answer := func(ev ownership.Event) { sim.after(sim.delay(), n, func() { n.step(ev) }) }
	rec := ownership.LogRecord{Record: &a.Record}
	switch {
	case n.loseAnswer == a.Record.Type:
		n.loseAnswer = 0
		answer(ownership.AppendUnknown{ID: a.ID})
		if n.lostAnswerWritten {
			sim.write(rec)
		}
	case n.failAppend == a.Record.Type && n.loseAnswer == 0:
		n.failAppend = 0
		answer(ownership.AppendFailed{ID: a.ID})
	case !n.canLog():
		answer(ownership.AppendFailed{ID: a.ID})
	case !sim.chance(sim.lossRate):
		sim.write(rec)
		answer(ownership.AppendDone{ID: a.ID})
	default:
		answer(ownership.AppendUnknown{ID: a.ID})
		if sim.chance(0.7) {
			sim.after(sim.upTo(20*time.Second)*time.Duration(sim.rng.IntN(2)), nil, func() { sim.write(rec) })
		}
	}
}

func (n *node) toPeer(id ownership.MemberID, handle func(*node)) {
	for _, p := range n.sim.nodes {
		if p.core.Self().ID == id && n.cutPeer == 0 && p.cutPeer == 0 {
			n.sim.after(n.sim.delay(), p, func() {
				if p.core.Self().ID == id {
					handle(p)
				}
			})
		}
	}
}
