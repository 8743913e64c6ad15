// Package pool holds the proofs that entries and agents of a pool keep their
// promises together; the cores are in scheduler and worker.
package pool

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/pool/worker"

	"pgregory.net/rapid"
)

// rapidChooser draws from a rapid test.
type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) intn(n int, label string) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }

// seeded draws from a source with a fixed seed.
type seeded struct{ source *rand.Rand }

func (c seeded) intn(n int, _ string) int { return c.source.IntN(n) }

// injectFaultOrJob draws one fault or one job.
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
		sim.killEntry(e)
	case 3:
		sim.bootAgent(a)
	case 4:
		l := sim.links.Get([2]int{e, a})
		l.cutUntil, l.oneWay = sim.now+span, sim.draw.intn(2, "one way") == 0
	case 5:
		sim.agents[a].endpoint.crash(sim.now, span)
	case 6:
		sim.agents[a].latePercent = sim.draw.intn(40, "late share")
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
		for range 2 {
			sim.agents[a].inbox = append(sim.agents[a].inbox, worker.SessionSurplus{Session: worker.Session(sim.links.Get([2]int{e, a}).session)})
			for range 1 + sim.draw.intn(200, "until the second") {
				sim.advance()
			}
		}
	default:
		sim.submit(e, 1+sim.draw.intn(5, "tasks"), 6000, 100*time.Millisecond)
	}
}

// killEntry restarts an entry; its clients' connections break.
func (sim *simulation) killEntry(i int) {
	sim.bootEntry(i)
	for _, c := range sim.clients {
		if !c.done && c.resubmitAt == 0 && c.entry == i {
			c.resubmitAt = sim.now + retransmit
		}
	}
}

// TestPromises plays random faults on a small pool: no task runs twice at the
// same time, no endpoint gets more than its capacity, and no refusal says "not
// run" of a job that has run.
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

// traceSeed prints all that happens on the day of one seed.
var traceSeed = flag.Uint64("day", 0, "seed of a day to print")

// TestPromisesSeeds plays longer days with fixed seeds. Each seed that ever
// failed stands in failedSeeds with its cause.
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
		sim := playSeed(seed, false)
		if sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		}
		starts += sim.starts
		completed += sim.completed
	}
	if starts == 0 || completed == 0 {
		t.Fatalf("nothing was proved: %d starts, %d completed jobs", starts, completed)
	}
	t.Logf("%d starts, %d completed jobs", starts, completed)
}

// playSeed plays one day of about eight seconds.
func playSeed(seed uint64, lateAcrossIncarnations bool) *simulation {
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

// TestUnansweredOrdersDelayTasksLittle answers the pattern "workers leave
// orders unanswered": with one call in 15 unanswered, nine jobs of ten have all
// their tasks started within the 156 ms in which a short job has to be done.
func TestUnansweredOrdersDelayTasksLittle(t *testing.T) {
	sim := newSimulation(seeded{rand.New(rand.NewPCG(7, 0))}, 2, 8)
	sim.noFailures = true
	for range 20 {
		sim.advance()
	}
	for _, a := range sim.agents {
		a.latePercent = 7
	}
	for i := range 200 {
		sim.submit(i%2, 4, 6000, 100*time.Millisecond)
		for range 20 {
			sim.advance()
		}
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
		t.Errorf("%d of %d jobs were held up", lateJobs, len(sim.clients))
	}
}

// provokeLateOrders makes the known fault likely: many late orders to endpoints
// that crash.
func (sim *simulation) provokeLateOrders() {
	for _, a := range sim.agents {
		a.latePercent = 50
	}
	if sim.draw.intn(4, "crash") == 0 {
		sim.agents[sim.draw.intn(len(sim.agents), "agent")].endpoint.crash(sim.now, 50*time.Millisecond)
	}
}

// failedSeeds lists seeds of TestPromisesSeeds that have failed, each with its
// cause. Later changes of the model or of a core change what a seed plays.
var failedSeeds = map[uint64]string{
	1:    "runs of an entry that was given up for silence were told as never started",
	28:   "a late order of an earlier process outranked the fence of a reborn endpoint",
	319:  "a run that a reborn endpoint had taken was ended with the endpoint's earlier life",
	3106: "a start that an earlier life of the endpoint had carried out was told as never started",
	578:  "room of a run in a reborn endpoint was given away",
}

// TestLateOrderToLaterLife is a known fault: an order that is carried out
// seconds late, at a later life of its endpoint whose agent is frozen, overlaps
// with the task's next run. Whether the platform lets an order outlive the
// life that it was sent to is an open question.
func TestLateOrderToLaterLife(t *testing.T) {
	const seeds = 2000
	for seed := uint64(1); seed <= seeds; seed++ {
		if sim := playSeed(seed, true); sim.violation != "" {
			t.Logf("known fault, see KNOWN-RED.txt: seed %d: %s", seed, sim.violation)
			return
		}
	}
	t.Errorf("met, remove it from KNOWN-RED.txt: no violation in %d seeds", seeds)
}
