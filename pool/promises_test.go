// Package pool contains tests of the joint guarantees of a pool's entries and
// agents; the cores are in scheduler and executor.
package pool

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/internal/knownred"
	"marjoramlug.example/marjoramlug/pool/executor"

	"pgregory.net/rapid"
)

// rapidChooser draws numbers from a rapid test.
type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) intn(n int, label string) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }

// seeded draws numbers from a source with a fixed seed.
type seeded struct{ source *rand.Rand }

func (c seeded) intn(n int, _ string) int { return c.source.IntN(n) }

// injectFaultOrJob injects one random fault or submits one job.
func (sim *simulation) injectFaultOrJob() {
	e := sim.draw.intn(len(sim.entries), "entry")
	a := sim.draw.intn(len(sim.agents), "agent")
	span := time.Duration(sim.draw.intn(300, "span")) * 10 * time.Millisecond
	fault := sim.draw.intn(16, "fault")
	sim.trace("fault %d entry %d agent %d for %v", fault, e, a, span)
	switch fault {
	case 0:
		sim.entries[e].frozenUntil = sim.now + span
	case 1:
		sim.agents[a].frozenUntil = sim.now + span
	case 2:
		sim.restartEntry(e)
	case 3:
		sim.bootAgent(a)
	case 4:
		if !sim.sees(e, a) {
			a = e
		}
		l := sim.links.Get([2]int{e, a})
		l.cutUntil, l.oneWay = sim.now+span, sim.draw.intn(2, "one way") == 0
	case 5:
		sim.agents[a].endpoint.crash(sim.now, span)
	case 6:
		sim.agents[a].unansweredPercent = sim.draw.intn(40, "late share")
	case 7:
		if n := len(sim.clients); n > 0 {
			sim.disconnectClient(sim.clients[n-1-sim.draw.intn(min(n, 5), "client")])
		}
	case 8:
		for key, l := range sim.links.All() {
			if key[0] == e {
				l.cutUntil, l.oneWay = sim.now+span, false
			}
		}
	case 9:
		sim.agents[a].endpoint.stalledPercent = sim.draw.intn(50, "stuck share")
	case 10:
		if !sim.sees(e, a) {
			a = e
		}
		for range 2 {
			sim.agents[a].inbox = append(sim.agents[a].inbox, executor.SessionSurplus{Session: executor.Session(sim.links.Get([2]int{e, a}).session)})
			for range 1 + sim.draw.intn(200, "until the second") {
				sim.advance()
			}
		}
	default:
		sim.submit(e, 1+sim.draw.intn(5, "tasks"), 6000, 100*time.Millisecond)
	}
}

// restartEntry restarts an entry; the connections of its clients break.
func (sim *simulation) restartEntry(i int) {
	sim.bootEntry(i)
	for _, c := range sim.clients {
		if !c.done && c.resubmitAt == 0 && c.entry == i {
			c.resubmitAt = sim.now + resubmitDelay
		}
	}
}

// TestPromises injects random faults into a small pool and checks that no task
// runs twice at the same time, that no endpoint gets more than its capacity,
// and that no job that has run is refused as "not run".
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapidChooser{t}, 3, 3)
		for range 40 {
			sim.injectFaultOrJob()
			for range 1 + sim.draw.intn(30, "steps") {
				sim.advance()
				if sim.violation != "" {
					t.Fatal(sim.violation)
				}
			}
		}
	})
}

// TestRequestDeliveredAfterAFreezeDoesNotOverlap guards against two runs of a task at the
// same time: an entry freezes, its client gives up and submits the job at another entry,
// and TCP delivers the first request while the job runs there.
func TestRequestDeliveredAfterAFreezeDoesNotOverlap(t *testing.T) {
	for freeze := 600 * time.Millisecond; freeze <= 3*time.Second; freeze += 300 * time.Millisecond {
		for sent := time.Duration(0); sent < freeze; sent += 200 * time.Millisecond {
			sim := simulateLateRequest(sent, func(e *modelEntry, now time.Duration) { e.frozenUntil = now + freeze })
			if sim.violation != "" {
				t.Fatalf("frozen for %v, request sent after %v: %s", freeze, sent, sim.violation)
			}
			if sim.clients[0].completedAt == 0 {
				t.Errorf("frozen for %v, request sent after %v: the job has not completed", freeze, sent)
			}
		}
	}
}

// simulateLateRequest disturbs an entry, submits a job to it later and simulates until the
// job has ended everywhere.
func simulateLateRequest(sent time.Duration, disturb func(e *modelEntry, now time.Duration)) *simulation {
	sim := newSimulation(seeded{rand.New(rand.NewPCG(1, 0))}, 2, 4)
	sim.noFailures = true
	sim.advanceBy(200)
	disturb(sim.entries[0], sim.now)
	sim.advanceBy(int(sent / tick))
	sim.submit(0, 2, 6000, 900*time.Millisecond)
	sim.advanceBy(int(7 * time.Second / tick))
	return sim
}

// TestRequestDeliveredAfterACutDoesNotOverlap guards against two runs of a task at the same
// time: a running entry is cut off from its clients alone, and TCP delivers a request to
// it after the cut, while the job runs at the entry where its client has resubmitted it.
func TestRequestDeliveredAfterACutDoesNotOverlap(t *testing.T) {
	violation := ""
	for cut := 600 * time.Millisecond; cut <= 3*time.Second && violation == ""; cut += 300 * time.Millisecond {
		violation = simulateLateRequest(0, func(e *modelEntry, now time.Duration) { e.clientsCutUntil = now + cut }).violation
	}
	knownred.Expect(t, violation == "", "%s", violation)
}

// traceSeed is the seed whose simulation is printed event by event.
var traceSeed = flag.Uint64("day", 0, "seed whose simulation is printed")

// TestPromisesSeeds runs longer simulations with fixed seeds. failedSeeds lists
// each seed that has ever failed, with its cause.
func TestPromisesSeeds(t *testing.T) {
	var seeds []uint64
	for s := uint64(1); s <= 100; s++ {
		seeds = append(seeds, s)
	}
	for seed := range failedSeeds {
		seeds = append(seeds, seed)
	}
	starts, completed := 0, 0
	for _, seed := range seeds {
		sim := simulateSeed(seed, false)
		if sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		}
		starts += sim.starts
		completed += sim.completed
	}
	if starts == 0 || completed == 0 {
		t.Fatalf("the simulation covered nothing: %d starts, %d completed jobs", starts, completed)
	}
	t.Logf("%d starts, %d completed jobs", starts, completed)
}

// simulateSeed runs one simulation of about eight seconds.
func simulateSeed(seed uint64, lateAcrossIncarnations bool) *simulation {
	sim := newSimulation(seeded{rand.New(rand.NewPCG(seed, 0))}, 3, 4)
	sim.lateAcrossIncarnations, sim.traced = lateAcrossIncarnations, seed == *traceSeed
	for range 150 {
		sim.injectFaultOrJob()
		if lateAcrossIncarnations {
			sim.provokeLateOrders()
		}
		for range 1 + sim.draw.intn(20, "steps") {
			sim.advance()
		}
	}
	return sim
}

// newUnansweredSimulation returns a connected pool of two entries and eight
// endpoints that leave a share of the calls, in percent, unanswered.
func newUnansweredSimulation(seed uint64, unansweredPercent int) *simulation {
	sim := newSimulation(seeded{rand.New(rand.NewPCG(seed, 0))}, 2, 8)
	sim.noFailures = true
	sim.advanceBy(20)
	for _, a := range sim.agents {
		a.unansweredPercent = unansweredPercent
	}
	return sim
}

func (sim *simulation) advanceBy(ticks int) {
	for range ticks {
		sim.advance()
	}
}

// TestUnansweredOrdersDelayTasksLittle guards against jobs that are late
// because endpoints leave calls unanswered: with one call in 15 unanswered,
// nine of ten jobs have all their tasks started within the 156 ms in which a
// short job has to complete.
func TestUnansweredOrdersDelayTasksLittle(t *testing.T) {
	sim := newUnansweredSimulation(7, 7)
	for i := range 200 {
		sim.submit(i%2, 4, 6000, 100*time.Millisecond)
		sim.advanceBy(20)
	}
	lateJobs := 0
	for _, c := range sim.clients {
		if c.lastStartAt-c.sent > 156*time.Millisecond {
			lateJobs++
		}
	}
	if sim.violation != "" {
		t.Error(sim.violation)
	}
	if lateJobs > len(sim.clients)/10 {
		t.Errorf("%d of %d jobs were delayed", lateJobs, len(sim.clients))
	}
}

// TestUnansweredCallsLeaveCapacityUsable guards against queues that grow because
// endpoints leave calls unanswered: a start without an answer and an end that a
// lost poll did not show must not keep capacity idle. With 15 of 100 calls
// unanswered and four fifths of the capacity in use, seven of ten jobs complete
// within their objective of 1.6 times their run time and 60 ms.
func TestUnansweredCallsLeaveCapacityUsable(t *testing.T) {
	sim := newUnansweredSimulation(11, 15)
	// 8 endpoints run 3 tasks of 220 ms on average at a time: 109 tasks a second,
	// of which 86 are submitted.
	for i := range 300 {
		sim.submit(i%2, 3, 6000, 220*time.Millisecond)
		sim.advanceBy(7)
	}
	sim.advanceBy(800)
	inTime := 0
	for _, c := range sim.clients {
		// The last task takes 420 ms at most.
		if c.completedAt > 0 && c.completedAt-c.sent <= 732*time.Millisecond {
			inTime++
		}
	}
	if sim.violation != "" {
		t.Error(sim.violation)
	}
	if inTime*10 < len(sim.clients)*7 {
		t.Errorf("%d of %d jobs were in time", inTime, len(sim.clients))
	}
}

// provokeLateOrders makes the known fault likely: many late orders to endpoints
// that crash.
func (sim *simulation) provokeLateOrders() {
	for _, a := range sim.agents {
		a.unansweredPercent = 50
	}
	if sim.draw.intn(4, "crash") == 0 {
		sim.agents[sim.draw.intn(len(sim.agents), "agent")].endpoint.crash(sim.now, 50*time.Millisecond)
	}
}

// failedSeeds lists the seeds of TestPromisesSeeds that have failed, each with
// its cause. A change of the model or of a core changes what a seed simulates.
var failedSeeds = map[uint64]string{
	1:    "runs of an entry that was dropped as unresponsive were reported as never started",
	28:   "a late order of an earlier process outranked the fence of a restarted endpoint",
	319:  "a run that a restarted endpoint had accepted was ended with the endpoint's earlier incarnation",
	3106: "a start that an earlier incarnation of the endpoint had executed was reported as never started",
	578:  "capacity used by a run on a restarted endpoint was given to another run",
}

// TestLateOrderToLaterLife reproduces a known fault: an order that is executed
// seconds late, by a later incarnation of its endpoint whose agent is frozen,
// overlaps with the task's next run. Whether the platform lets an order outlive
// the incarnation that it was sent to is an open question.
func TestLateOrderToLaterLife(t *testing.T) {
	const seeds = 2000
	for seed := uint64(1); seed <= seeds; seed++ {
		if sim := simulateSeed(seed, true); sim.violation != "" {
			t.Logf("known fault, see KNOWN-RED.txt: seed %d: %s", seed, sim.violation)
			return
		}
	}
	t.Errorf("met, remove it from KNOWN-RED.txt: no violation in %d seeds", seeds)
}
