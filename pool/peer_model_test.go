package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/scheduler"
)

// peerModel holds the connections between entries of a simulation with load sharing: one
// from each entry to each other, over which the former forwards jobs.
type peerModel struct {
	links    kernel.OrderedMap[[2]int, *peerLink]
	forwards map[scheduler.ForwardEvent]int
}

// peerLink is a connection that an entry, the origin, has opened to another one, the host.
type peerLink struct {
	session                        scheduler.PeerSession
	originIncarnation, incarnation uint64
	toHost, toOrigin               []delayed
	// hostCutUntil and originCutUntil are the ends of cuts of messages to either side.
	hostCutUntil, originCutUntil, reopenAt time.Duration
}

// newSharingSimulation returns a pool in which each entry sees two of the agents, one of
// which it shares with the next entry.
func newSharingSimulation(draw chooser, entries int) *simulation {
	sim := newSimulation(draw, 0, 0)
	sim.peers = &peerModel{forwards: map[scheduler.ForwardEvent]int{}}
	for i := range entries {
		sim.entries = append(sim.entries, &modelEntry{})
		sim.bootEntry(i)
	}
	for i := range entries + 1 {
		sim.agents = append(sim.agents, &modelAgent{name: fmt.Sprintf("agent-%d", i), endpoint: newModelEndpoint(i)})
		sim.bootAgent(i)
	}
	sim.connect()
	return sim
}

// sees reports whether an agent works for an entry.
func (sim *simulation) sees(entry, agent int) bool {
	return sim.peers == nil || agent == entry || agent == entry+1
}

// advancePeers opens and closes connections between entries and delivers their messages.
func (sim *simulation) advancePeers() {
	if sim.peers == nil {
		return
	}
	for from := range sim.entries {
		for to := range sim.entries {
			if from == to {
				continue
			}
			key := [2]int{from, to}
			l := sim.peers.links.Get(key)
			if l == nil {
				l = &peerLink{}
				sim.peers.links.Set(key, l)
			}
			origin, host := sim.entries[from], sim.entries[to]
			if l.session != 0 && (l.originIncarnation != origin.incarnation || l.incarnation != host.incarnation) {
				sim.closePeerLink(key)
			}
			up := sim.now >= max(l.hostCutUntil, l.originCutUntil, origin.frozenUntil, host.frozenUntil, l.reopenAt)
			if l.session == 0 && up {
				sim.sessions++
				l.session, l.originIncarnation, l.incarnation = scheduler.PeerSession(sim.sessions), origin.incarnation, host.incarnation
				origin.inbox = append(origin.inbox, scheduler.PeerConnected{Peer: l.session, Name: fmt.Sprint("entry-", to)})
			}
			for len(l.toHost) > 0 && l.toHost[0].at <= sim.now && sim.now >= l.hostCutUntil {
				host.inbox = append(host.inbox, scheduler.ForwardReceived{
					Origin: l.session, Name: fmt.Sprint("entry-", from), Orders: l.toHost[0].m.(*message.ForwardOrders),
				})
				l.toHost = l.toHost[1:]
			}
			for len(l.toOrigin) > 0 && l.toOrigin[0].at <= sim.now && sim.now >= l.originCutUntil {
				origin.inbox = append(origin.inbox, scheduler.PeerReported{Peer: l.session, Report: l.toOrigin[0].m.(*message.ForwardReport)})
				l.toOrigin = l.toOrigin[1:]
			}
		}
	}
}

// closePeerLink ends a connection. A side whose messages are cut off learns of it from the
// silence only.
func (sim *simulation) closePeerLink(key [2]int) {
	l := sim.peers.links.Get(key)
	origin, host := sim.entries[key[0]], sim.entries[key[1]]
	if origin.incarnation == l.originIncarnation && sim.now >= l.originCutUntil {
		origin.inbox = append(origin.inbox, scheduler.PeerDisconnected{Peer: l.session})
	}
	if host.incarnation == l.incarnation && sim.now >= l.hostCutUntil {
		host.inbox = append(host.inbox, scheduler.OriginDisconnected{Origin: l.session})
	}
	l.session, l.toHost, l.toOrigin, l.reopenAt = 0, nil, nil, sim.now+10*tick
}

// executeForwardAction carries out an action of an entry that concerns other entries.
func (sim *simulation) executeForwardAction(i int, action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.SendForwardOrders:
		for key, l := range sim.peers.links.All() {
			if key[0] == i && l.session == action.Peer {
				l.toHost = append(l.toHost, delayed{sim.now + sim.delay(), clone(action.Orders)})
			}
		}
	case scheduler.SendForwardReport:
		for key, l := range sim.peers.links.All() {
			if key[1] == i && l.session == action.Origin {
				l.toOrigin = append(l.toOrigin, delayed{sim.now + sim.delay(), clone(action.Report)})
			}
		}
	case scheduler.ForwardNote:
		sim.peers.forwards[action.What]++
	}
}

// injectSharingFault injects a fault between entries, a burst of jobs at one entry, or
// what injectFaultOrJob does.
func (sim *simulation) injectSharingFault() {
	if sim.draw.intn(2, "kind") == 0 {
		sim.injectFaultOrJob()
		return
	}
	from := sim.draw.intn(len(sim.entries), "origin")
	to := (from + 1 + sim.draw.intn(len(sim.entries)-1, "host")) % len(sim.entries)
	key := [2]int{from, to}
	l := sim.peers.links.Get(key)
	until := sim.now + time.Duration(sim.draw.intn(200, "cut"))*10*time.Millisecond
	fault := sim.draw.intn(8, "fault between entries")
	sim.trace("fault %d between entries %d and %d until %v", fault, from, to, until)
	switch {
	case fault == 0 && l != nil:
		l.hostCutUntil = until
	case fault == 1 && l != nil:
		l.originCutUntil = until
	case fault == 2 && l != nil:
		l.hostCutUntil, l.originCutUntil = until, until
	case fault == 3 && l != nil && l.session != 0:
		sim.closePeerLink(key)
	default:
		for range 4 + sim.draw.intn(6, "burst") {
			sim.submit(from, 1+sim.draw.intn(5, "tasks"), 6000, time.Duration(1+sim.draw.intn(8, "estimate"))*100*time.Millisecond)
		}
	}
}

// TestForwardedJobsKeepThePromises injects random faults, also between entries, into a pool
// whose entries see different agents and forward jobs: no task may run twice at the same
// time, and no job that has run be refused as "not run".
func TestForwardedJobsKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSharingSimulation(rapidChooser{t}, 3)
		sim.advanceBy(250)
		for range 30 {
			sim.injectSharingFault()
			for range 1 + sim.draw.intn(30, "steps") {
				sim.advance()
				if sim.violation != "" {
					t.Fatal(sim.violation)
				}
			}
		}
	})
}

// TestForwardedJobsSeeds does the same with fixed seeds for longer, and checks that jobs
// were accepted, given back and lost meanwhile.
func TestForwardedJobsSeeds(t *testing.T) {
	total := map[scheduler.ForwardEvent]int{}
	for seed := uint64(1); seed <= 50; seed++ {
		sim := simulateSharingSeed(seed)
		if sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		}
		for what, n := range sim.peers.forwards {
			total[what] += n
		}
	}
	t.Logf("forwarded jobs: %v", total)
	for what := scheduler.ForwardSent; what <= scheduler.ForwardReceivedJob; what++ {
		if total[what] < 20 {
			t.Errorf("the simulation covered too little: %d jobs %s", total[what], what)
		}
	}
}

func simulateSharingSeed(seed uint64) *simulation {
	sim := newSharingSimulation(seeded{rand.New(rand.NewPCG(seed, 0))}, 4)
	sim.traced = seed == *traceSeed
	sim.advanceBy(250)
	for range 100 {
		sim.injectSharingFault()
		sim.advanceBy(1 + sim.draw.intn(25, "steps"))
	}
	return sim
}
