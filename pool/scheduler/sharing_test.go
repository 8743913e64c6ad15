package scheduler

import (
	"fmt"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"

	"github.com/matryer/is"
)

// newSharingSimulation is newSimulation with capacity shared between priorities, queues and
// callers.
func newSharingSimulation(t *testing.T, agents int, capacity int64) *simulation {
	sim := newSimulation(t, agents, capacity)
	sim.core.opts.SharingFloor = 1
	sim.core.sharing = newSharing(1)
	return sim
}

// submitFrom submits a job of a caller.
func (sim *simulation) submitFrom(k jobKind, caller string) *testJob {
	sim.caller = caller
	defer func() { sim.caller = "" }()
	return sim.submit(k)
}

// TestSharingServesAllQueuesInOverload guards against starvation of a queue, or of its widest
// jobs, by others when the load of all is above the capacity.
func TestSharingServesAllQueuesInOverload(t *testing.T) {
	sim := newSharingSimulation(t, 11, 64000)
	wide := jobKind{queue: "label", tasks: 8, runTime: label.runTime}
	var wideJobs []*testJob
	for second := range 8 {
		sim.load(900*time.Millisecond, map[jobKind]float64{check: 50, press: 9, label: 120})
		for range 2 + second%2 {
			wideJobs = append(wideJobs, sim.submit(wide))
			sim.load(40*time.Millisecond, map[jobKind]float64{check: 50, press: 9, label: 120})
		}
	}
	sim.drain()
	for queue, least := range map[string]float64{"check": 0.9, "press": 0.42, "label": 0.42} {
		if share, refused := sim.inTime(queue); share < least {
			t.Errorf("%s: %.2f in time, %.2f refused, want %.2f", queue, share, refused, least)
		}
	}
	done := 0
	for _, j := range wideJobs {
		if !j.answer.Failed {
			done++
		}
	}
	if share, _ := sim.inTime("label"); float64(done) < 0.5*share*float64(len(wideJobs)) {
		t.Errorf("%d of %d wide jobs were completed, %.2f of their queue were in time", done, len(wideJobs), share)
	}
}

// TestHotCallerPaysForItsLoad guards against a caller with most of a queue's load that takes
// the shares of the others, or that gets nothing itself.
func TestHotCallerPaysForItsLoad(t *testing.T) {
	sim := newSharingSimulation(t, 3, 64000)
	done, all := map[bool]int{}, map[bool]int{}
	var jobs []*testJob
	for range 8000 {
		if sim.random.Float64() < 0.1 {
			caller := "hot"
			if sim.random.Float64() < 0.4 {
				caller = fmt.Sprint("caller-", sim.random.IntN(20))
			}
			jobs = append(jobs, sim.submitFrom(label, caller))
		}
		sim.advance()
	}
	sim.drain()
	for _, j := range jobs {
		hot := j.Caller == "hot"
		all[hot]++
		if !j.answer.Failed {
			done[hot]++
		}
	}
	others, hot := float64(done[false])/float64(all[false]), float64(done[true])/float64(all[true])
	if others < 0.85 || hot < 0.3 || hot > others-0.1 {
		t.Errorf("%.2f of the hot caller's jobs were completed, %.2f of the others'", hot, others)
	}
}

// TestSharedDemandRanks guards against entries that starve each other's jobs while some share
// capacity and others do not: urgent jobs within their share rank like urgent jobs elsewhere,
// others like jobs that are not urgent, and late ones behind both.
func TestSharedDemandRanks(t *testing.T) {
	is := is.New(t)
	rank := func(sharing, urgent, late bool) float64 {
		core := New(Options{})
		if sharing {
			core.sharing = newSharing(0.5)
		}
		core.now = time.Minute
		j := &job{
			Job:   &Job{Urgent: urgent, Queue: "q", Estimate: 60 * time.Millisecond, Stretch: 1.6, Slack: 60 * time.Millisecond},
			queue: core.queueOf("q"), tasks: make([]task, 8), waiting: 8, late: late, received: core.now,
		}
		core.shareSubmitted(j)
		return core.demandRank(j)
	}
	for _, sharing := range []bool{false, true} {
		is.True(rank(sharing, true, false) < rank(!sharing, false, false)) // urgent ones first
		is.True(rank(sharing, false, false) < rank(!sharing, true, true))  // late ones last
	}
}

// TestRefusedStartsAreNotCharged guards against callers that pay for starts that never were.
func TestRefusedStartsAreNotCharged(t *testing.T) {
	is := is.New(t)
	sim := newSharingSimulation(t, 1, 64000)
	sim.submit(label)
	for ref := range sim.agents[0].running {
		sim.agents[0].end(ref, message.RunRefused, sim.now)
	}
	sim.core.handleReport(1, &message.RunReport{Ends: sim.agents[0].ends, Timestamp: 9})
	for _, load := range sim.core.QueueLoads() {
		is.True(load.Offered > 1)
		is.True(load.Served < 1)
	}
}

// TestRefusedCallersComeBackSpread guards against refused callers that all come back in the
// same second of an overload, and against limits that operators can't see.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	sim := newSharingSimulation(t, 2, 64000)
	limited := 0
	sim.noted = func(n Note) {
		if n.What == "queue limited" {
			limited++
		}
	}
	sim.load(4*time.Second, usualLoad)
	if beyond := sim.core.Counters().BeyondShare; limited == 0 || limited > 15 || beyond == 0 {
		t.Errorf("%d log lines of limits, %d jobs refused beyond their share", limited, beyond)
	}
	sim.drain()
	delays := map[int64]int{}
	for _, j := range sim.jobs {
		if j.answer.Verdict == verdict.NotRun {
			delays[j.answer.RetryAfterMillis]++
		}
	}
	if delays[1000] == 0 || delays[2000] == 0 || delays[3000] == 0 {
		t.Errorf("refusals by retry delay: %v", delays)
	}
	for delay := range delays {
		if delay%1000 != 0 || delay < 1000 || delay > 5000 {
			t.Errorf("a retry delay of %d ms", delay)
		}
	}
}

// BenchmarkStep measures a step in which all waiting jobs are ranked and an eighth is reviewed, with
// 5,000 waiting tasks.
func BenchmarkStep(b *testing.B) {
	for _, floor := range []float64{0, 0.5} {
		b.Run(fmt.Sprintf("floor=%v", floor), func(b *testing.B) {
			core := New(Options{HeartbeatTimeout: time.Hour, ResubmitDelay: time.Hour, MaxWaiting: 1 << 30, SharingFloor: floor})
			now := time.Second
			core.Step(now, AgentConnected{Session: 1, Agent: "a", Incarnation: 1})
			core.Step(now, AgentReported{Session: 1, Report: &message.RunReport{Endpoint: &message.PoolEndpoint{
				Name: "a", Service: "s", Capacity: message.Resources{MilliCPU: 64000}, Ready: true,
			}}})
			for i := range 1500 {
				k := []jobKind{check, press, label, label, label, label}[i%6]
				core.Step(now, JobSubmitted{Waiter: Waiter(i + 1), Job: &Job{
					ID: fmt.Sprint(i), Queue: k.queue, Caller: fmt.Sprint(i % 100), Service: "s", Urgent: k.urgent, Tasks: k.tasks,
					Need: message.Resources{MilliCPU: 6200}, Estimate: time.Hour, Stretch: 1e6, Deadline: 1 << 62, FirstRun: 1,
				}})
			}
			for _, j := range core.jobOrder {
				j.Estimate = time.Millisecond // nothing is refused
			}
			for b.Loop() {
				now += expireInterval
				for i, j := range core.jobOrder {
					if i%8 == int(now/expireInterval)%8 {
						j.reviewAt = now
					}
				}
				core.Step(now, Tick{})
			}
			b.ReportMetric(float64(core.waiting), "waiting-tasks")
		})
	}
}
