package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/evacuation"
	"marjoramlug.example/marjoramlug/pool/executor"
	"marjoramlug.example/marjoramlug/pool/scheduler"
)

const (
	// readInterval is the interval between two reads of the store by one process, in ticks.
	readInterval = 40
	// longPause is the pause of an agent after which its state counts as unknown.
	longPause = 2 * time.Second
	// maxInbox is far above the number of events that wait for an entry.
	maxInbox = 100
)

// zoneOf returns the zone of an agent.
func zoneOf(agent int) string { return fmt.Sprintf("z%d", agent%2) }

// evacuationModel holds the operator's records, the way that they take to the processes,
// and what each agent can have learned of them.
type evacuationModel struct {
	// history holds the evacuated zones by version.
	history        [][]string
	storeDownUntil time.Duration
	// cutUntil holds, by process, the end of a cut from the store.
	cutUntil map[string]time.Duration
	reads    []pendingRead
	// orders holds when messages to agents were sent, by entries that know a state.
	orders map[message.Message]time.Duration
	known  []agentKnowledge
	// evacuatedSteps counts the steps of agents that know that their zone is evacuated.
	evacuatedSteps int
}

// pendingRead is the answer of the store on its way to an entry or an agent.
type pendingRead struct {
	at           time.Duration
	entry, agent int
	state        evacuation.State
	began        time.Duration
}

// agentKnowledge is what an agent must have learned from the events that it got.
type agentKnowledge struct {
	incarnation uint64
	// version is the highest version in any of them, or -1.
	version int64
	// informed is set once one was sent since the end of the agent's last long pause.
	informed            bool
	lastStep, resumedAt time.Duration
}

func newZoneSimulation(seed uint64) *simulation {
	sim := newSimulation(seeded{rand.New(rand.NewPCG(seed, 2))}, 3, 4)
	sim.evacuations = &evacuationModel{
		history: [][]string{nil}, cutUntil: map[string]time.Duration{}, orders: map[message.Message]time.Duration{},
		known: make([]agentKnowledge, len(sim.agents)),
	}
	for i := range sim.agents {
		sim.bootAgent(i)
	}
	return sim
}

// operate writes the operator's next record: the evacuated zones after it.
func (m *evacuationModel) operate(zones ...string) { m.history = append(m.history, zones) }

func (m *evacuationModel) state(version int) evacuation.State {
	return evacuation.State{Version: int64(version), Zones: m.history[version]}
}

// followEvacuations lets entries and agents read the store. Some reads are outdated.
func (sim *simulation) followEvacuations() {
	m := sim.evacuations
	if m == nil {
		return
	}
	read := func(entry, agent int, process string, frozenUntil time.Duration) {
		if sim.now < max(m.storeDownUntil, m.cutUntil[process], frozenUntil) {
			return
		}
		version := len(m.history) - 1
		if sim.draw.intn(4, "outdated") == 0 {
			version = max(version-sim.draw.intn(4, "by"), 0)
		}
		// The store holds a read back for some time.
		at := sim.now + time.Duration(sim.draw.intn(20, "read"))*tick
		m.reads = append(m.reads, pendingRead{at: at, entry: entry, agent: agent, state: m.state(version), began: sim.now})
	}
	for i, e := range sim.entries {
		if int(sim.now/tick)%readInterval == i {
			read(i, -1, fmt.Sprint("entry", i), e.frozenUntil)
		}
		if int(sim.now/tick)%200 == i {
			sim.shareEvacuation(i)
		}
	}
	for i, a := range sim.agents {
		if int(sim.now/tick)%readInterval == 10+i {
			read(-1, i, fmt.Sprint("agent", i), a.frozenUntil)
		}
	}
	m.reads = slices.DeleteFunc(m.reads, func(r pendingRead) bool {
		switch {
		case r.at > sim.now:
			return false
		case r.agent >= 0:
			sim.agents[r.agent].inbox = append(sim.agents[r.agent].inbox, executor.EvacuationLearned{State: r.state, ReadAt: r.began})
		default:
			sim.entries[r.entry].inbox = append(sim.entries[r.entry].inbox, scheduler.EvacuationLearned{State: r.state, Source: "store"})
		}
		return true
	})
}

// shareEvacuation sends an entry's state to the other entries.
func (sim *simulation) shareEvacuation(i int) {
	state := sim.entries[i].core.Evacuation()
	if state == nil || sim.now < sim.entries[i].frozenUntil {
		return
	}
	for other, e := range sim.entries {
		if len(e.inbox) > maxInbox {
			sim.fail("states circulate without end")
			return
		}
		if other != i {
			e.inbox = append(e.inbox, scheduler.EvacuationLearned{State: *state, Source: fmt.Sprint("entry-", i)})
		}
	}
}

func (m *evacuationModel) ordersSent(now time.Duration, orders message.Message, core *scheduler.Core) {
	if m != nil && core.Evacuation() != nil {
		m.orders[orders] = now
	}
}

// delivered records what an agent learns from an event.
func (m *evacuationModel) delivered(now time.Duration, i int, a *modelAgent, ev executor.Event) {
	if m == nil {
		return
	}
	k := &m.known[i]
	if k.incarnation != a.incarnation {
		*k = agentKnowledge{incarnation: a.incarnation, version: -1, lastStep: now}
	}
	if now-k.lastStep > longPause {
		k.informed, k.resumedAt = false, now
	}
	k.lastStep = now
	if k.version >= 0 && slices.Contains(m.history[k.version], zoneOf(i)) {
		m.evacuatedSteps++
	}
	switch ev := ev.(type) {
	case executor.EvacuationLearned:
		k.version = max(k.version, ev.State.Version)
		k.informed = k.informed || ev.ReadAt >= k.resumedAt
	case executor.OrdersReceived:
		if sent, ok := m.orders[ev.Orders]; ok {
			k.informed = k.informed || sent >= k.resumedAt
		}
		if ev.Orders.Evacuation != nil {
			k.version = max(k.version, ev.Orders.Evacuation.Version)
		}
	}
}

// checkEvacuated fails if an agent starts a task in a zone that it must know is evacuated,
// or before it can know.
func (sim *simulation) checkEvacuated(i int, start executor.StartCall) {
	m := sim.evacuations
	if m == nil {
		return
	}
	switch k := m.known[i]; {
	case k.version < 0 || !k.informed:
		sim.fail("agent %d starts %v, but has not learned whether its zone is evacuated", i, start.Run)
	case slices.Contains(m.history[k.version], zoneOf(i)):
		sim.fail("agent %d starts %v in %s, which is evacuated in version %d", i, start.Run, zoneOf(i), k.version)
	}
}

// injectEvacuation writes a record, or makes the store unavailable to all or one process.
func (sim *simulation) injectEvacuation() {
	m := sim.evacuations
	span := time.Duration(sim.draw.intn(300, "span of the store's fault")) * 10 * time.Millisecond
	switch sim.draw.intn(6, "evacuation") {
	case 0:
		m.operate("z0")
	case 1:
		m.operate("z1")
	case 2, 3:
		m.operate()
	case 4:
		m.storeDownUntil = sim.now + span
	case 5:
		process := fmt.Sprint("entry", sim.draw.intn(3, "entry"))
		if sim.draw.intn(2, "role") == 0 {
			process = fmt.Sprint("agent", sim.draw.intn(4, "agent"))
		}
		m.cutUntil[process] = sim.now + span
	}
}

// TestNoStartInAnEvacuatedZone guards against starts in a zone that the agent knows is
// evacuated, or by an agent that can't know: with two zones evacuated in turn, reads that are
// late, repeated or outdated, a store that is unavailable, and all faults of TestPromises.
// When the last evacuation has ended, all endpoints take tasks again.
func TestNoStartInAnEvacuatedZone(t *testing.T) {
	starts, records, evacuatedSteps := 0, 0, 0
	for seed := uint64(1); seed <= 15; seed++ {
		sim := newZoneSimulation(seed)
		for range 150 {
			sim.injectFaultOrJob()
			if sim.draw.intn(4, "operator") == 0 {
				sim.injectEvacuation()
			}
			sim.submit(sim.draw.intn(3, "entry"), 3, 6000, 100*time.Millisecond)
			for range 1 + sim.draw.intn(20, "steps") {
				sim.advance()
			}
			if sim.violation != "" {
				break
			}
		}
		starts += sim.starts
		records += len(sim.evacuations.history)
		evacuatedSteps += sim.evacuations.evacuatedSteps
		if sim.violation == "" {
			sim.endEvacuations()
		}
		if sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		}
	}
	t.Logf("%d starts, %d records, %d steps of agents in evacuated zones", starts, records, evacuatedSteps)
	if starts == 0 || evacuatedSteps == 0 {
		t.Error("nothing was checked")
	}
}

// endEvacuations ends all evacuations and faults, and checks that all endpoints take tasks.
func (sim *simulation) endEvacuations() {
	sim.evacuations.operate()
	sim.evacuations.storeDownUntil = 0
	clear(sim.evacuations.cutUntil)
	for _, a := range sim.agents {
		a.unansweredPercent, a.endpoint.stalledPercent = 0, 0
	}
	sim.advanceBy(int(7 * time.Second / tick))
	accepted := make([]int64, len(sim.agents))
	for i, a := range sim.agents {
		accepted[i] = a.core.Counters().Accepted
	}
	for i := range 40 {
		sim.submit(i%3, 4, 6000, 100*time.Millisecond)
		sim.advanceBy(10)
	}
	for i, a := range sim.agents {
		if a.core.Counters().Accepted == accepted[i] {
			sim.fail("agent %d takes no tasks after the last evacuation", i)
		}
	}
}
