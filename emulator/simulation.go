package emulator

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/executor"
	"marjoramlug.example/marjoramlug/pool/node"
	"marjoramlug.example/marjoramlug/pool/scheduler"
	"marjoramlug.example/marjoramlug/pool/subset"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// settleTime is the time before the first job, in which agents connect.
	settleTime = 2 * time.Second
	// drainTime is how long a run goes on after the last job: longer than any
	// deadline.
	drainTime = 20 * time.Second
	// minDeadline and deadlineObjectives give a caller's deadline: the former, and so
	// many objectives.
	minDeadline        = 1500 * time.Millisecond
	deadlineObjectives = 3
	// widthSpread is the standard deviation of the logarithm of a job's number of
	// tasks, unevenness that of the run times of its tasks.
	widthSpread = 0.4
	unevenness  = 0.15
	// runNumbersPerMilli spaces the first run numbers of submissions.
	runNumbersPerMilli = 16
	// milliCPU is the number of thousandths in a core.
	milliCPU = 1000
)

// simulation is one run of an experiment.
type simulation struct {
	experiment *Experiment
	timing     settings.Timing
	// policy is the policy by which entries place tasks.
	policy string
	clock  clock
	// random draws delays and faults, arrivals the jobs, so that the load of a seed
	// does not depend on what becomes of it.
	random, arrivals *rand.Rand
	entries          []*entryNode
	agents           []*agentNode
	links            map[uint64]*link
	sessions         uint64
	peerLinks        kernel.OrderedMap[scheduler.PeerSession, *peerLink]
	// zones lists the entries' zones, moves the present moves of callers.
	zones      []string
	moves      []Fault
	jobs       map[string]*job
	waiters    map[scheduler.Waiter]*job
	lastWaiter scheduler.Waiter
	open       int
	// aliveRuns counts the runs of each task that are alive.
	aliveRuns map[taskKey]int
	// rateFactor multiplies the rates of the classes during bursts.
	rateFactor []float64
	// deadlyShare is, by class, the share of the jobs that are deadly.
	deadlyShare []float64
	// perfect replaces entries and agents in runs with perfect knowledge.
	perfect *perfectQueue
	result  *Result
}

// job is a caller's job.
type job struct {
	id    string
	class int
	// caller numbers the callers of the class.
	caller int
	need   message.Resources
	// works holds the run time of each task on an endpoint of slowness 1.
	works     []time.Duration
	estimate  time.Duration
	objective time.Duration
	sent      time.Duration
	deadline  time.Duration
	// entry is the entry that has the job; waiter is its open request, or 0.
	entry  *entryNode
	waiter scheduler.Waiter
	done   bool
	// outcome is set once the job is done.
	outcome outcome
	// unstarted marks the tasks that have never started, started counts the others;
	// lastStart is the time of the last first start of a task.
	unstarted []bool
	started   int
	lastStart time.Duration
	// deadly is set if the first task crashes each endpoint that starts it; crashes
	// counts these, startsOverBudget the task's starts after as many as the budget
	// allows.
	deadly                    bool
	crashes, startsOverBudget int
}

// Run plays an experiment with one seed under PolicyProduct. It returns what was played
// when ctx ends before the run does, with Result.Interrupted set.
func Run(ctx context.Context, x *Experiment, seed int64) *Result {
	return RunPolicy(ctx, x, PolicyProduct, seed)
}

// RunPolicy is Run with one of the policies.
func RunPolicy(ctx context.Context, x *Experiment, policy string, seed int64) *Result {
	if policy == PolicyPerfect {
		return RunPerfect(ctx, x, seed)
	}
	s := newSimulation(x, seed)
	s.policy = policy
	s.buildFleet()
	s.play(ctx)
	return s.result
}

func newSimulation(x *Experiment, seed int64) *simulation {
	s := &simulation{
		experiment: x, timing: timing(),
		random: rand.New(rand.NewPCG(uint64(seed), 0)), arrivals: rand.New(rand.NewPCG(uint64(seed), 1)),
		links: map[uint64]*link{}, jobs: map[string]*job{},
		waiters: map[scheduler.Waiter]*job{}, aliveRuns: map[taskKey]int{},
		rateFactor: make([]float64, len(x.Classes)), deadlyShare: make([]float64, len(x.Classes)),
		result: newResult(x, seed),
	}
	for i := range s.rateFactor {
		s.rateFactor[i] = 1
	}
	return s
}

func (s *simulation) play(ctx context.Context) {
	x := s.experiment
	for i := range x.Classes {
		s.clock.at(settleTime, func() { s.nextArrival(i) })
	}
	for _, f := range x.Faults {
		s.clock.at(settleTime+f.At, func() { s.strike(f) })
	}
	end := settleTime + x.Length
	s.clock.run(end+drainTime, func() bool {
		return ctx.Err() != nil || s.clock.now > end && s.open == 0
	})
	s.result.Interrupted = ctx.Err() != nil
	s.result.finish(s)
}

func (s *simulation) buildFleet() {
	var addresses []string
	for _, g := range s.experiment.Fleet.Entries {
		for range g.Count {
			n := &entryNode{sim: s, name: fmt.Sprintf("entry-%d", len(s.entries)), zone: g.Zone, cores: g.Cores, weight: g.Weight}
			if !slices.Contains(s.zones, g.Zone) {
				s.zones = append(s.zones, g.Zone)
			}
			n.boot()
			s.entries = append(s.entries, n)
			addresses = append(addresses, n.name)
		}
	}
	byName := map[string]*entryNode{}
	for _, n := range s.entries {
		byName[n.name] = n
		s.clock.every(node.EntryTick, func() { n.deliver(scheduler.Tick{}) })
		s.clock.every(node.StateInterval, n.shareLoads)
	}
	for _, g := range s.experiment.Fleet.Agents {
		for range g.Count {
			a := &agentNode{sim: s, name: fmt.Sprintf("agent-%d", len(s.agents))}
			a.endpoint = &endpoint{
				sim: s, agent: a, capacity: message.Resources{MilliCPU: int64(g.Cores * milliCPU)},
				slowness: g.Slowness,
			}
			a.endpoint.boot()
			for _, address := range subset.Preference(a.name, addresses) {
				a.preference = append(a.preference, byName[address])
			}
			a.boot()
			s.agents = append(s.agents, a)
			s.clock.every(node.AgentTick, func() { a.deliver(executor.Tick{}) })
			s.clock.every(announceInterval, a.endpoint.announce)
		}
	}
	s.reconnect()
	s.clock.every(surplusInterval, s.releaseSurplus)
}

// delay draws the one-way delay of a message between an entry and an agent.
func (s *simulation) delay() time.Duration {
	return time.Duration((1 + s.random.ExpFloat64()*0.1) * float64(s.experiment.Fleet.Delay))
}

// nextArrival submits a job of a class and plans the next one.
func (s *simulation) nextArrival(class int) {
	if s.clock.now >= settleTime+s.experiment.Length {
		return
	}
	rate := s.experiment.Classes[class].Rate * s.rateFactor[class]
	s.clock.after(time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.clock.now < settleTime+s.experiment.Length {
			s.submit(s.newJob(class))
		}
		s.nextArrival(class)
	})
}

// logNormal draws from a log-normal distribution with mean 1.
func (s *simulation) logNormal(deviation float64) float64 {
	return math.Exp(s.arrivals.NormFloat64()*deviation - deviation*deviation/2)
}

func (s *simulation) newJob(class int) *job {
	c := &s.experiment.Classes[class]
	tasks := max(1, int(math.Round(float64(c.Tasks)*s.logNormal(widthSpread))))
	if c.MaxTasks > 0 {
		tasks = min(tasks, c.MaxTasks)
	}
	work := float64(c.Work) * s.logNormal(c.Spread)
	j := &job{
		id: fmt.Sprintf("job-%d", len(s.jobs)), class: class, sent: s.clock.now,
		need:     message.Resources{MilliCPU: int64(c.Cores * milliCPU)},
		estimate: max(time.Duration(work*s.logNormal(c.EstimateError)), time.Millisecond),
	}
	j.unstarted = make([]bool, tasks)
	longest := time.Duration(0)
	for i := range tasks {
		j.unstarted[i] = true
		t := max(time.Duration(work*s.logNormal(unevenness)), time.Millisecond)
		j.works = append(j.works, t)
		longest = max(longest, t)
	}
	j.objective = time.Duration(c.Stretch*float64(longest)) + c.Slack
	j.deadline = j.sent + minDeadline + deadlineObjectives*j.objective
	j.deadly = s.deadlyShare[class] > 0 && s.arrivals.Float64() < s.deadlyShare[class]
	j.caller = s.drawCaller(c)
	s.jobs[j.id] = j
	s.open++
	s.result.submitted(j)
	return j
}

// drawCaller draws who submits a job of a class.
func (s *simulation) drawCaller(c *Class) int {
	switch {
	case c.Callers < 2:
		return 0
	case c.HotShare == 0:
		return s.arrivals.IntN(c.Callers)
	case s.arrivals.Float64() < c.HotShare:
		return 0
	}
	return 1 + s.arrivals.IntN(c.Callers-1)
}

// submit sends a job to a live entry, drawn by weight. Without one it is sent again
// later.
func (s *simulation) submit(j *job) {
	if s.clock.now >= j.deadline {
		s.finish(j, outcomeFailed)
		return
	}
	if s.perfect != nil {
		s.perfect.submit(j)
		return
	}
	j.entry = s.drawEntry()
	if j.entry == nil {
		s.clock.after(s.timing.ResubmitDelay, func() { s.submit(j) })
		return
	}
	c := &s.experiment.Classes[j.class]
	s.lastWaiter++
	j.waiter = s.lastWaiter
	s.waiters[j.waiter] = j
	j.entry.deliver(scheduler.JobSubmitted{Waiter: j.waiter, Job: &scheduler.Job{
		ID: j.id, Queue: c.Name, Service: service, Urgent: c.Urgent, Tasks: len(j.works), Need: j.need,
		Priority: c.Priority, Caller: fmt.Sprintf("caller-%d", j.caller),
		Estimate: j.estimate, Stretch: c.Stretch, Slack: c.Slack, Attempts: 3,
		Deadline: j.deadline, ConnectedAt: s.clock.now, FirstRun: s.clock.now.Milliseconds() * runNumbersPerMilli,
	}})
	entry, waiter := j.entry, j.waiter
	s.clock.at(j.deadline, func() {
		if !j.done && j.waiter == waiter {
			entry.deliver(scheduler.WaiterDisconnected{Waiter: waiter})
			s.finish(j, outcomeFailed)
		}
	})
}

// drawEntry returns a live entry, drawn by weight, or nil if there is none.
func (s *simulation) drawEntry() *entryNode {
	total := 0.0
	for _, n := range s.entries {
		if n.alive {
			total += s.weightNow(n)
		}
	}
	at := s.random.Float64() * total
	var drawn *entryNode
	for _, n := range s.entries {
		if !n.alive {
			continue
		}
		drawn = n
		if at -= s.weightNow(n); at < 0 {
			break
		}
	}
	return drawn
}

// answered ends a job, unless its caller has given up.
func (s *simulation) answered(a scheduler.Answer) {
	j := s.waiters[a.Waiter]
	if j == nil {
		return
	}
	switch {
	case a.Answer.Verdict == verdict.NotRun:
		if s.refusedWhileFree(j) {
			s.result.RefusedWhileFree++
		}
		s.finish(j, outcomeRefused)
	case a.Answer.Failed:
		if a.Answer.Reason == verdict.ReasonTaskFailed && !j.deadly {
			s.result.GivenUp++
		}
		s.finish(j, outcomeFailed)
	default:
		s.finish(j, j.completedAt(s.clock.now))
	}
}

// completedAt returns the outcome of a job that completes at the given time.
func (j *job) completedAt(now time.Duration) outcome {
	switch age := now - j.sent; {
	case age <= j.objective:
		return outcomeInTime
	case age <= lateObjectives*j.objective:
		return outcomeLate
	}
	return outcomeUseless
}

func (s *simulation) finish(j *job, o outcome) {
	if j.done {
		return
	}
	j.done, j.outcome = true, o
	delete(s.waiters, j.waiter)
	s.open--
	s.result.ended(s, j, o)
}

// entryDied breaks the connections of an entry's callers, which submit again.
func (s *simulation) entryDied(n *entryNode) {
	for _, waiter := range slices.Sorted(maps.Keys(s.waiters)) {
		j := s.waiters[waiter]
		if j.entry != n {
			continue
		}
		delete(s.waiters, waiter)
		j.waiter = 0
		s.clock.after(s.timing.ResubmitDelay, func() { s.submit(j) })
	}
}
