package scheduler

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// render has large tasks, small has small ones.
var (
	render = jobKind{queue: "render", tasks: 2, runTime: 400 * time.Millisecond, need: 20000}
	small  = jobKind{queue: "small", tasks: 2, runTime: 170 * time.Millisecond, need: 2700}
)

func newReservingSimulation(t *testing.T, agents int, capacity int64) *simulation {
	sim := newSimulation(t, agents, capacity)
	sim.core.opts.Reservations = true
	sim.core.reservations = newReservations(sim.core.opts)
	return sim
}

// TestLargeAmongSmallAreServed guards against large tasks that starve when small ones
// may start beside them, and against small ones that are refused because the whole fleet
// is kept free for a large one: with reservations at least as many small jobs are in
// time as without, and the large ones are served.
func TestLargeAmongSmallAreServed(t *testing.T) {
	play := func(sim *simulation) (large, others float64) {
		sim.loadOf([]jobKind{render, small}, 10*time.Second, map[jobKind]float64{render: 5, small: 180})
		sim.drain()
		large, _ = sim.inTime(render.queue)
		others, _ = sim.inTime(small.queue)
		return large, others
	}
	_, before := play(newSimulation(t, 10, 26000))
	large, others := play(newReservingSimulation(t, 10, 26000))
	t.Logf("small jobs in time %.3f, without reservations %.3f; large jobs %.3f", others, before, large)
	if large < 0.9 || others < before+0.02 {
		t.Errorf("in time: %.3f of the large jobs, %.3f of the small ones, %.3f of these without reservations", large, others, before)
	}
}

// TestSimilarNeedsReserveNothing guards against a changed placement in pools in which
// all tasks need about the same, such as deployments A and B, also when they are overloaded.
func TestSimilarNeedsReserveNothing(t *testing.T) {
	play := func(sim *simulation) Counters {
		wide := press
		wide.need = 9000
		sim.loadOf([]jobKind{check, wide, label}, 3*time.Second, map[jobKind]float64{check: 55, wide: 10, label: 160})
		if r := sim.core.reservations; r != nil && r.book.Len() > 0 {
			t.Errorf("%d endpoints are reserved", r.book.Len())
		}
		sim.drain()
		return sim.core.Counters()
	}
	if off, on := play(newSimulation(t, 11, 64000)), play(newReservingSimulation(t, 11, 64000)); off != on {
		t.Errorf("without reservations %+v, with them %+v", off, on)
	}
}

// reserve returns a simulation in which small tasks run on each of four endpoints and a
// large one has reserved one of them, and the index of that one.
func reserve(t *testing.T) (sim *simulation, reserved int) {
	sim = newReservingSimulation(t, 4, 26000)
	for range 14 {
		sim.submitExactly(small, 200*time.Millisecond, 200*time.Millisecond)
	}
	large := render
	large.tasks = 1
	sim.submitExactly(large, 400*time.Millisecond, 400*time.Millisecond)
	sim.now += holdInterval
	sim.apply(Tick{})
	for i := range sim.agents {
		if sim.core.reservations.book.At(i) != nil {
			return sim, i
		}
	}
	t.Fatal("nothing is reserved")
	return nil, 0
}

// TestBackfillMustEndBeforeTheReservedTask guards against small tasks that take the
// capacity that a large one waits for: long ones stay off a reserved endpoint, short and
// urgent ones may use it, and the large one starts there.
func TestBackfillMustEndBeforeTheReservedTask(t *testing.T) {
	sim, i := reserve(t)
	a := sim.core.agentList[i]
	job := func(estimate time.Duration, urgent bool) *job {
		return &job{Job: &Job{
			ID: "j", Service: "s", Urgent: urgent, Need: message.Resources{MilliCPU: 2700}, Estimate: estimate, Stretch: 1.6,
		}, queue: sim.core.queueOf("other"), received: sim.now, tasks: make([]task, 1), waiting: 1}
	}
	if sim.core.reservationAllows(a, job(time.Second, false)) {
		t.Error("a long task may start on a reserved endpoint")
	}
	if !sim.core.reservationAllows(a, job(10*time.Millisecond, false)) {
		t.Error("a short task may not start on a reserved endpoint")
	}
	if !sim.core.overridesReservations(job(time.Second, true)) || sim.core.overridesReservations(job(time.Second, false)) {
		t.Error("an urgent job has to wait for a less urgent one, or another one has not")
	}
	sim.drain()
	if share, _ := sim.inTime(render.queue); sim.core.reservations.book.Len() > 0 || share == 0 {
		t.Errorf("after the load: %d endpoints reserved, %.0f of the large jobs in time", sim.core.reservations.book.Len(), share)
	}
}

// TestReservedJobsDoNotBlockOthers guards against a fleet that is kept free for one large
// job although it has reserved what it needs, and against a large job that can't use its
// reservation because a smaller job before it fits nowhere.
func TestReservedJobsDoNotBlockOthers(t *testing.T) {
	sim, _ := reserve(t)
	var large *job
	for _, j := range sim.core.jobOrder {
		if j.Queue == render.queue {
			large = j
		}
	}
	waiting := &job{Job: &Job{ID: "j", Need: message.Resources{MilliCPU: 2700}}}
	unreserved := &job{Job: &Job{ID: "k", Need: large.Need}}
	sim.core.now += 2 * backfillTime
	if sim.core.blocks(large, waiting) || sim.core.blocks(waiting, large) {
		t.Error("a job with a reservation blocks a smaller one, or is blocked by it")
	}
	if !sim.core.blocks(unreserved, waiting) || !sim.core.blocks(waiting, unreserved) {
		t.Error("a job without a reservation does not block a smaller one, or is not blocked by it")
	}
}

// TestReservedAgentIsAskedToHold guards against capacity that becomes free on a reserved
// endpoint and goes to another entry, and against an agent that holds it for nothing.
func TestReservedAgentIsAskedToHold(t *testing.T) {
	sim, reserved := reserve(t)
	asked := map[int]bool{}
	for i, a := range sim.core.agentList {
		asked[i] = a.demand.Hold && a.demand.Need.MilliCPU == render.need
	}
	for i, holds := range asked {
		if holds != (sim.core.reservations.book.At(i) != nil) {
			t.Errorf("agent %d, endpoint %d reserved: asked to hold: %v", i, reserved, holds)
		}
	}
	a := sim.core.agentList[reserved]
	a.demand.Hold = false
	if sim.core.demandChanged(a) {
		t.Error("each move of a reservation costs a message")
	}
	sim.core.now += holdInterval
	if !sim.core.demandChanged(a) {
		t.Error("an agent with other demand is not asked to hold")
	}
	for started := false; !started; {
		sim.advance()
		for _, j := range sim.core.jobOrder {
			started = started || j.Queue == render.queue && j.runs > 0
		}
	}
	for i, a := range sim.core.agentList {
		if a.demand.Hold {
			t.Errorf("agent %d holds capacity for a task that has started", i)
		}
	}
}

// TestEvacuatedEndpointsAreNotReserved guards against a large task that waits for an
// endpoint of an evacuated zone, and against an agent there that is asked to hold capacity.
func TestEvacuatedEndpointsAreNotReserved(t *testing.T) {
	sim, i := reserve(t)
	for k := range sim.agents {
		sim.describe(k, 0)
	}
	sim.evacuate(1, []string{"even", "odd"}[i%2])
	if sim.core.reservations.book.Len() == 0 {
		t.Error("no endpoint of the other zone is reserved")
	}
	for k, a := range sim.core.agentList {
		if k%2 != i%2 {
			continue
		}
		if sim.core.reservations.book.At(k) != nil || sim.core.demandFor(a).Hold {
			t.Errorf("endpoint %d of the evacuated zone is reserved", k)
		}
	}
}

// TestForwardedJobsReserveNothing guards against endpoints that are kept for a job that
// another entry runs, from the step in which it is forwarded.
func TestForwardedJobsReserveNothing(t *testing.T) {
	sim, i := reserve(t)
	for _, j := range sim.core.jobOrder {
		if j.Queue == render.queue {
			sim.core.forwardTo(j, &peer{}, "")
		}
	}
	if sim.core.demandFor(sim.core.agentList[i]).Hold {
		t.Error("an agent is asked to hold capacity for a job that is away")
	}
	sim.apply(Tick{})
	if n := sim.core.reservations.book.Len(); n > 0 {
		t.Errorf("%d endpoints are reserved for a job that is away", n)
	}
}
