package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// overhead is the time for a round trip from this entry to an endpoint and
	// for the answer to the caller, which counts against the objective. On the
	// target platform this takes 8 ms.
	overhead = 8 * time.Millisecond
	// fitMargin is the share of the remaining time that a placement may use:
	// run times of similar tasks differ by about 15 %.
	fitMargin = 0.9
	// hopelessFactor is the multiple of the remaining time above which a task's
	// predicted run time is so long that the task rather waits for a busy endpoint
	// on which it would be in time.
	hopelessFactor = 1.5
	// backfillTime is how long smaller tasks may start before a larger one that
	// fits nowhere: at usual load about ten tasks end in this time.
	backfillTime = 20 * time.Millisecond
	// demandInterval is the minimum interval between messages that contain only
	// a change of demand.
	demandInterval = 5 * time.Millisecond
	// startRateTimeConstant is the time constant of the average rate of starts.
	startRateTimeConstant = time.Second
)

// demandBandWidth is the distance between the ranks of the bands in the demands of entries.
const demandBandWidth = 100

// The priority bands, in the order in which their jobs start.
const (
	bandUrgent = iota
	bandInTime
	bandLate
	bandTooLate
	bandSuspect
)

// band returns the job's priority band: urgent jobs first, then jobs that can
// still meet their objective, then late ones, then those whose answer would
// come too late to be of use. A late job that lacks only a few tasks keeps its
// band: little additional work makes all of its work useful.
func (c *Core) band(j *job) int {
	useful := c.now+j.expectedRunTime() < j.received+usefulObjectiveFactor*j.objective()
	switch {
	case j.blameOf() >= strongBlame:
		return bandSuspect
	case j.late && !useful:
		return bandTooLate
	case j.late && !j.nearlyAllStarted():
		return bandLate
	case j.Urgent:
		return bandUrgent
	default:
		return bandInTime
	}
}

// nearlyAllStarted reports whether at most one in onTimeValueRatio tasks waits.
func (j *job) nearlyAllStarted() bool {
	return j.runs > 0 && j.waiting*onTimeValueRatio <= len(j.tasks)
}

// rank orders jobs by band and, within a band, by the offered load of their
// queue, rounded to whole cores: when capacity is short, the queue with the
// smallest offered load is served completely before a larger one gets more
// (max-min fairness between queues).
func (c *Core) rank(j *job) float64 {
	if c.sharing != nil {
		return c.sharedRank(j)
	}
	const bandWidth = 1e9
	return float64(c.band(j))*bandWidth + math.Round(j.queue.offeredLoad.rate(c.now)/1000)
}

// demandRank ranks the demands of several entries in the same order as rank. It
// uses the queue's share of this entry's load, rounded to a power of two. The
// load itself would not do: an entry that receives more jobs of a queue than
// the others would rank behind them. Without rounding, small differences
// between the shares would decide.
func (c *Core) demandRank(j *job) float64 {
	if c.sharing != nil {
		return c.sharedDemandRank(j)
	}
	const doublings = 10
	total := 0.0
	for _, q := range c.queueList {
		total += q.offeredLoad.rate(c.now)
	}
	share := j.queue.offeredLoad.rate(c.now) / max(total, 1)
	return float64(c.band(j))*demandBandWidth + max(0, doublings+math.Round(math.Log2(max(share, 1e-6))))
}

// candidates returns the jobs that wait for starts, ordered by rank. A job that
// was submitted again is left out while runs of its earlier submission remain.
func (c *Core) candidates() []*job {
	var list []*job
	ranks := map[*job]float64{}
	for _, j := range c.jobOrder {
		if !j.answered && j.waiting > 0 && c.remainingRuns[j.ID] == 0 {
			list = append(list, j)
			ranks[j] = c.rank(j)
		}
	}
	slices.SortStableFunc(list, func(a, b *job) int {
		return cmp.Or(cmp.Compare(ranks[a], ranks[b]), compareStarted(a, b), cmp.Compare(a.share.queuedAt, b.share.queuedAt))
	})
	return list
}

// compareStarted puts jobs with started tasks first: their completed work is
// lost if the last task does not run.
func compareStarted(a, b *job) int {
	switch {
	case a.runs > 0 && b.runs == 0:
		return -1
	case a.runs == 0 && b.runs > 0:
		return 1
	}
	return 0
}

// place starts the waiting tasks that fit, and sets demand for the first job
// that does not fit.
func (c *Core) place() {
	c.demand, c.demandService = message.RunDemand{}, ""
	if c.waiting == 0 {
		c.renewReservations(nil)
		return
	}
	candidates := c.candidates()
	c.renewReservations(candidates)
	c.placeAll(candidates, true)
	c.placeAll(candidates, false)
}

// placeAll starts the waiting tasks of jobs in their order, with inTime only on
// endpoints on which they still meet their objective.
func (c *Core) placeAll(candidates []*job, inTime bool) {
	var blocked *job
	for _, j := range candidates {
		if j.answered || j.waiting == 0 || inTime && j.late {
			continue
		}
		if j.isConfined() {
			// It waits for few endpoints only and must not keep others from the rest.
			if c.confinedRoom(j) {
				c.placeJob(j, inTime)
			}
			continue
		}
		if blocked != nil && blocked.Service == j.Service && c.blocks(blocked, j) {
			continue
		}
		if c.placeJob(j, inTime) != noCapacity || blocked != nil && !c.holdsReservation(blocked) {
			continue
		}
		blocked = j
		c.demand = message.RunDemand{Count: int64(j.waiting), Rank: c.demandRank(j), Need: j.Need}
		c.demandService = j.Service
	}
}

// blocks reports whether a job that fits nowhere keeps a job behind it from starting.
func (c *Core) blocks(blocked, j *job) bool {
	if c.holdsReservation(j) {
		return false
	}
	return !smaller(j.Need, blocked.Need) || c.now-blocked.received > backfillTime && !c.holdsReservation(blocked)
}

// placement is the result of looking for an endpoint for a task.
type placement uint8

const (
	// placed means that no task is left that may start now.
	placed placement = iota
	// tooSlow means that the endpoints with free capacity are too slow for the
	// job's objective.
	tooSlow
	// noCapacity means that no endpoint has enough free capacity.
	noCapacity
)

func smaller(a, b message.Resources) bool { return a.MilliCPU < b.MilliCPU }

// demandFor returns the demand to report to an agent.
func (c *Core) demandFor(a *agent) message.RunDemand {
	if demand, reserved := c.reservedDemand(a); reserved {
		return demand
	}
	if a.endpoint == nil || a.endpoint.Service != c.demandService {
		return message.RunDemand{}
	}
	return c.demand
}

// placeJob starts the job's waiting tasks. It stops at the first task that may
// start now and finds no agent, and returns why.
func (c *Core) placeJob(j *job, inTime bool) placement {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskWaiting || c.now < t.notBefore {
			continue
		}
		if !c.withinBudget(j, i) {
			return placed
		}
		a, result := c.pick(j, t, inTime)
		if a == nil {
			return result
		}
		c.start(j, i, a)
	}
	return placed
}

// pick returns the agent with the slowest endpoint on which the job still meets
// its objective, so that fast ones stay free for tasks that need them; if there
// is none, the fastest, unless inTime is set or that one is hopelessly slow. Paused
// agents are used only if no other agent is eligible. It returns nil and the reason
// if no agent can take the task now.
func (c *Core) pick(j *job, t *task, inTime bool) (*agent, placement) {
	a, result := c.pickAmong(j, t, false, inTime)
	if a == nil && c.overridesReservations(j) {
		a, result = c.pickReserved(j, t, inTime)
	}
	if a != nil || c.anyEligible(j) {
		return a, result
	}
	return c.pickAmong(j, t, true, inTime)
}

func (c *Core) pickAmong(j *job, t *task, includePaused, inTime bool) (*agent, placement) {
	timeLeft := float64(j.received+j.objective()-overhead-c.now) * fitMargin
	result := noCapacity
	var best *agent
	bestMeets, bestRunTime, busyMeets := false, 0.0, false
	for _, a := range c.agentList {
		if !c.eligible(a, j, includePaused) || slices.Contains(t.avoid, a) || c.atSpreadLimit(j, a) {
			continue
		}
		fits := j.Need.Fits(a.freeCapacity())
		if !fits && (inTime || j.late || busyMeets) {
			continue
		}
		if fits && !c.reservationAllows(a, j) {
			continue
		}
		predicted := c.runTime(j, a)
		meets := predicted <= timeLeft
		if !fits {
			busyMeets = meets
			continue
		}
		if inTime && !meets {
			result = tooSlow
			continue
		}
		better := best == nil || meets && !bestMeets
		if !better && meets == bestMeets {
			better = predicted < bestRunTime
			if meets {
				better = predicted > bestRunTime
			}
			if similar(predicted, bestRunTime) {
				better = a.freeCapacity().MilliCPU > best.freeCapacity().MilliCPU
			}
		}
		if better {
			best, bestMeets, bestRunTime = a, meets, predicted
		}
	}
	if best != nil && busyMeets && bestRunTime > hopelessFactor*timeLeft {
		return nil, tooSlow
	}
	return best, result
}

// similar reports whether two predicted run times differ by less than the
// precision of the prediction.
func similar(a, b float64) bool {
	const share = 0.1
	return math.Abs(a-b) <= share*max(a, b)
}

// eligible reports whether an agent may get tasks of a job, regardless of its
// free capacity.
func (c *Core) eligible(a *agent, j *job, paused bool) bool {
	if !a.isReady() || a.endpoint.Service != j.Service {
		return false
	}
	if j.Label != "" && !slices.Contains(a.endpoint.Labels, j.Label) {
		return false
	}
	if !c.isolationAllows(a, j) {
		return false
	}
	if paused || a.failures < failuresToPause {
		return true
	}
	// After its pause an agent must complete one task before it gets more.
	return c.now >= a.paused && a.runs.Len() == 0
}

// anyEligible reports whether an agent could take the job once it has free
// capacity.
func (c *Core) anyEligible(j *job) bool {
	return slices.ContainsFunc(c.agentList, func(a *agent) bool {
		return a.failures < failuresToPause && c.eligible(a, j, false)
	})
}

// atSpreadLimit reports whether the agent runs as many tasks of the job as
// Job.Spread permits.
func (c *Core) atSpreadLimit(j *job, a *agent) bool {
	if j.Spread <= 0 {
		return false
	}
	n := 0
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil && r.agent == a {
			n++
		}
	}
	return n >= j.Spread
}

// someEndpointFits reports whether an idle endpoint could run the job's tasks.
// It returns true if no endpoint of the service is connected.
func (c *Core) someEndpointFits(j *job) bool {
	serviceSeen := false
	for _, a := range c.agentList {
		if a.endpoint == nil || a.endpoint.Service != j.Service {
			continue
		}
		serviceSeen = true
		if j.Need.Fits(a.endpoint.Capacity) && (j.Label == "" || slices.Contains(a.endpoint.Labels, j.Label)) {
			return true
		}
	}
	return !serviceSeen
}

func (c *Core) start(j *job, i int, a *agent) {
	t := &j.tasks[i]
	ref := message.RunRef{Job: j.ID, Task: i, Number: j.FirstRun + t.nextRun}
	t.nextRun++
	r := &run{
		ref: ref, job: j, task: i, agent: a, incarnation: a.incarnation, started: c.now,
		expected: time.Duration(float64(j.expectedRunTime()) * a.slowness()),
	}
	t.state, t.run = taskRunning, r
	a.runs.Set(ref, r)
	runStart := a.starts[j.ID]
	if runStart == nil {
		runStart = &message.RunStart{
			Job: j.ID, Payload: j.Payload, Need: j.Need, EstimateMillis: j.Estimate.Milliseconds(), Queue: j.Queue,
			Isolated: j.isSuspect(), Confined: j.queue.deadly,
		}
		a.starts[j.ID] = runStart
		a.startOrder = append(a.startOrder, j.ID)
	}
	runStart.Runs = append(runStart.Runs, message.TaskRun{Task: i, Number: ref.Number})
	a.pendingNeed = a.pendingNeed.Plus(j.Need)
	if j.runs == 0 {
		j.firstStart = c.now
	}
	j.runs++
	j.waiting--
	c.waiting--
	c.counters.Runs++
	if a.evacuation.active {
		c.counters.EvacuatedStarts++
	}
	c.started.add(c.now, j.work(1))
	c.shareStarted(j, 1)
	c.isolationStarted(j, i, a)
}
