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

// tick is the step of the model's time.
const tick = 200 * time.Millisecond

var epochZero = time.Unix(1_700_000_000, 0)

// clock runs at its own rate.
type clock struct{ rate float64 }

func (c clock) at(now time.Duration) time.Time {
	return epochZero.Add(time.Duration(float64(now) * c.rate))
}

// world holds members, agents and a log, and delivers everything that is under
// way after random delays.
type world struct {
	fail    func(format string, args ...any)
	rng     *rand.Rand
	options ownership.Options
	drift   float64
	now     time.Duration
	log     []ownership.LogRecord
	ref     *ownership.State
	logDown int
	// lossy is the share of appends whose answer is lost, slow the share of
	// messages that are delayed for long, slowAppends the share of appends that
	// are delayed between the decision and the sending.
	lossy, slow, slowAppends float64
	// idle says that no more stamps and tasks are sent.
	idle    bool
	flights []flight
	nodes   []*node
	agents  []*agent
	tasks   map[ownership.Shard][]task
	started map[int]bool
	// settled holds the epochs whose owner has waited for stale starts to lapse,
	// begun those under which a start was accepted.
	settled, begun map[ownership.Shard]message.Epoch
	steps          int
	submitted      int
	accepted       int
	takeovers      int
}

type flight struct {
	at   time.Duration
	to   *node
	land func()
}

type task struct {
	id      int
	created time.Duration
}

type node struct {
	w      *world
	core   *ownership.Core
	clock  clock
	self   ownership.Member
	next   int
	acting map[ownership.Shard]*record
	stamps map[*agent]time.Time
	joins  int
	// sent lists the records that the member has decided to append.
	sent []ownership.Record
	// lapses counts how often the lease had run out before it was extended.
	lapses int
	// lose is the type of record whose first answer is lost; loseWritten says
	// whether it takes effect. refuse is the type whose next append is refused.
	lose, refuse ownership.RecordType
	loseWritten  bool
	dead         bool
	// paused, cutLog and cutPeer count the faults of these kinds in force.
	paused  int
	cutLog  int
	cutPeer int
}

// record is what an owner knows of a shard's tasks.
type record struct {
	epoch    message.Epoch
	since    time.Duration
	journals int
	known    map[int]bool
	// startsFrom is when, by the member's clock, starts need no journals.
	startsFrom time.Time
}

type agent struct {
	clock   clock
	fence   map[ownership.Shard]message.Epoch
	journal map[ownership.Shard][]int
}

func newWorld(o ownership.Options, drift float64, seed uint64, fail func(string, ...any)) *world {
	w := &world{
		fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), ref: ownership.NewState(),
		options: o, drift: drift,
		tasks: map[ownership.Shard][]task{}, started: map[int]bool{},
		settled: map[ownership.Shard]message.Epoch{},
		begun:   map[ownership.Shard]message.Epoch{},
	}
	for range 2 {
		w.agents = append(w.agents, &agent{
			clock: w.newClock(), fence: map[ownership.Shard]message.Epoch{}, journal: map[ownership.Shard][]int{},
		})
	}
	return w
}

func (w *world) newClock() clock {
	return clock{1 + w.drift*float64(2*w.rng.IntN(2)-1)}
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// after delivers something once the delay has passed and the receiver, if any,
// is not paused.
func (w *world) after(delay time.Duration, to *node, land func()) {
	w.flights = append(w.flights, flight{w.now + delay, to, land})
}

// delay is mostly short and sometimes longer than every time of the protocol.
func (w *world) delay() time.Duration {
	if w.chance(w.slow) {
		return w.upTo(20 * time.Second)
	}
	return 0
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

// during causes a fault for some time.
func (w *world) during(d time.Duration, fault *int) {
	*fault++
	w.after(d, nil, func() { *fault-- })
}

func (w *world) start(id, address string) *node {
	n := &node{
		w: w, clock: w.newClock(), stamps: map[*agent]time.Time{}, acting: map[ownership.Shard]*record{},
		self: ownership.Member{ID: ownership.MemberID(id), Address: address, Zone: address[:1]},
	}
	n.core = ownership.New(n.self, w.options)
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) live() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.dead })
}

// write puts a record at the log's end.
func (w *world) write(rec ownership.LogRecord) {
	rec.Offset = sharedlog.Offset(len(w.log) + 1)
	w.log = append(w.log, rec)
	switch {
	case rec.Record != nil:
		w.ref.Apply(rec.Offset, *rec.Record)
	case rec.Service.Deleted:
		w.ref.DeleteService(rec.Offset, rec.Service.Name)
	default:
		w.ref.SetService(rec.Offset, rec.Service.Name, rec.Service.Owners, rec.Service.Region)
	}
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	step := tick
	if w.idle {
		step = time.Second
	}
	for end := w.now + d; w.now < end; {
		w.now += step
		w.steps++
		w.deliver()
		if !w.idle {
			w.heartbeat()
		}
		for _, n := range w.live() {
			if n.paused == 0 {
				n.act()
			}
		}
	}
}

func (w *world) deliver() {
	flights := w.flights
	w.flights = nil
	for _, f := range flights {
		switch {
		case f.at > w.now || f.to != nil && f.to.paused > 0 && !f.to.dead:
			w.flights = append(w.flights, f)
		case f.to == nil || !f.to.dead:
			f.land()
		}
	}
}

// heartbeat sends each member a stamp of each agent.
func (w *world) heartbeat() {
	for _, a := range w.agents {
		sent := a.clock.at(w.now)
		for _, n := range w.live() {
			w.after(w.delay(), n, func() {
				if sent.After(n.stamps[a]) {
					n.stamps[a] = sent
				}
			})
		}
	}
}

func (n *node) local() time.Time { return n.clock.at(n.w.now) }

func (n *node) canLog() bool { return n.w.logDown == 0 && n.cutLog == 0 }

func (n *node) act() {
	n.read()
	n.step(ownership.Tick{})
	if !n.w.idle {
		n.submit()
	}
}

func (n *node) read() {
	if !n.canLog() {
		n.step(ownership.ReadFailed{})
		return
	}
	began := n.local()
	for n.next < len(n.w.log) {
		rec := n.w.log[n.next]
		n.next++
		n.step(rec)
	}
	n.step(ownership.CaughtUp{Began: began})
	n.compare()
}

// compare checks that the state is the same as any other reader's.
func (n *node) compare() {
	if !n.w.chance(0.05) {
		return
	}
	mine, err1 := n.core.State().Encode()
	other, err2 := n.w.ref.Encode()
	if err1 != nil || err2 != nil || !bytes.Equal(mine, other) {
		n.w.fail("%s holds another state than the log gives", n.core.Self().ID)
	}
}

// reload takes the state from a snapshot instead of reading records.
func (n *node) reload() {
	data, err := n.w.ref.Encode()
	if err != nil || n.next >= len(n.w.log) {
		return
	}
	s, err := ownership.DecodeState(data)
	if err != nil {
		n.w.fail("decode: %v", err)
		return
	}
	n.next = len(n.w.log)
	n.step(ownership.StateLoaded{State: s})
}

func (n *node) step(ev ownership.Event) {
	before := n.core.LeaseUntil()
	for _, a := range n.core.Step(n.local(), ev) {
		n.perform(a)
	}
	if after := n.core.LeaseUntil(); !before.IsZero() && after.After(before) && before.Before(n.local()) {
		n.lapses++
	}
}

func (n *node) perform(a ownership.Action) {
	w := n.w
	switch a := a.(type) {
	case ownership.Append:
		n.sent = append(n.sent, a.Record)
		delay := w.delay()
		if w.chance(w.slowAppends) {
			delay = w.upTo(10 * time.Second)
		}
		w.after(delay, nil, func() { n.append(a) })
	case ownership.AskPromise:
		from := n.core.Self().ID
		n.toPeer(a.Peer.ID, func(p *node) { p.step(ownership.PromiseRequested{From: from, Joined: a.Joined, SentAt: a.SentAt}) })
	case ownership.AnswerPromise:
		from := n.core.Self().ID
		n.toPeer(a.To, func(p *node) {
			p.step(ownership.PromiseReceived{From: from, SentAt: a.SentAt, Granted: a.Granted})
		})
	case ownership.ShardAcquired:
		w.takeovers++
		r := &record{epoch: a.Epoch, since: w.now, known: map[int]bool{}, startsFrom: a.StartsFrom}
		n.acting[a.Shard] = r
		for _, agent := range w.agents {
			w.after(w.delay(), nil, func() { agent.answer(w, n, a.Shard, r) })
		}
	case ownership.ShardReleased:
		// The part that starts tasks may learn of it late; MayAct keeps it safe.
		r := n.acting[a.Shard]
		w.after(w.delay(), nil, func() {
			if n.acting[a.Shard] == r {
				delete(n.acting, a.Shard)
			}
		})
	case ownership.Expelled:
		n.joins++
		self := n.self
		self.ID = ownership.MemberID(fmt.Sprintf("%s.%d", self.ID, n.joins))
		n.step(ownership.RejoinWanted{Self: self})
	}
}

// append writes a record, or loses its answer, or both, or writes it late.
func (n *node) append(a ownership.Append) {
	w := n.w
	answer := func(ev ownership.Event) { w.after(w.delay(), n, func() { n.step(ev) }) }
	rec := ownership.LogRecord{Record: &a.Record}
	switch {
	case n.lose == a.Record.Type:
		n.lose = 0
		answer(ownership.AppendUnknown{ID: a.ID})
		if n.loseWritten {
			w.write(rec)
		}
	case n.refuse == a.Record.Type && n.lose == 0:
		n.refuse = 0
		answer(ownership.AppendFailed{ID: a.ID})
	case !n.canLog():
		answer(ownership.AppendFailed{ID: a.ID})
	case !w.chance(w.lossy):
		w.write(rec)
		answer(ownership.AppendDone{ID: a.ID})
	default:
		answer(ownership.AppendUnknown{ID: a.ID})
		if w.chance(0.7) {
			w.after(w.upTo(20*time.Second)*time.Duration(w.rng.IntN(2)), nil, func() { w.write(rec) })
		}
	}
}

func (n *node) toPeer(id ownership.MemberID, land func(*node)) {
	for _, p := range n.w.nodes {
		if p.core.Self().ID == id && n.cutPeer == 0 && p.cutPeer == 0 {
			n.w.after(n.w.delay(), p, func() {
				if p.core.Self().ID == id {
					land(p)
				}
			})
		}
	}
}
