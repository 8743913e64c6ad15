package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// A queue is deadly if the crashes that its jobs cause cost more capacity than the jobs
// need. Which of its jobs are deadly shows only when they run, so that all of them are
// confined to a part of the endpoints until enough have completed.

const (
	// queueBlameWeight is the weight of one completed job in the moving average of the
	// crashes per job of a queue; about the last 48 jobs of all entries count.
	queueBlameWeight = 1.0 / 48
	// priorCrashes in priorJobs is the assumed risk of a queue of which nothing is known.
	// maxSurvived bounds the completed jobs that speak for a queue.
	priorCrashes = 0.1
	priorJobs    = 20
	maxSurvived  = 1000
	// leastBlame is the blame below which completed jobs are not shared with other
	// entries.
	leastBlame = 0.05
	// minQueueBlame is the blame from which a queue can count as deadly: more than one
	// crash, which proves nothing of a kind of job.
	minQueueBlame = 1.2
	// releaseBlame is the blame below which a deadly queue is trusted again.
	releaseBlame = 1
	// maxDeadlyShare is the share of the load up to which queues can begin to count as
	// deadly, releaseShare the one up to which they go on.
	maxDeadlyShare = 0.8
	releaseShare   = 0.9
	// maxQueueBlame bounds the blame, and with it the number of sound jobs after which
	// a queue is trusted again.
	maxQueueBlame = 3
	// crashOutage is the usual time for which a crashed endpoint is away.
	crashOutage = 3 * time.Second
	// neighbourLoss is the capacity that a crash costs in all, over that of the outage:
	// the work of the runs on the endpoint is lost too, and answers come late.
	neighbourLoss = 2
)

func (q *queue) addBlame(blame float64) { q.blame = min(max(q.blame+blame, 0), maxQueueBlame) }

// jobSurvived takes in a completed job and its work, in thousandths of a core times
// seconds.
func (q *queue) jobSurvived(work float64) {
	q.survived = min(q.survived+1, maxSurvived)
	q.reduceBlame(1)
	if q.meanWork == 0 {
		q.meanWork = work
	}
	q.meanWork += queueBlameWeight * (work - q.meanWork)
}

// reduceBlame takes in that a number of jobs have completed.
func (q *queue) reduceBlame(jobs int) {
	q.blame *= math.Pow(1-queueBlameWeight, float64(max(jobs, 0)))
}

// jobsSurvivedElsewhere takes in the jobs that another entry has completed, by queue.
func (c *Core) jobsSurvivedElsewhere(jobs map[string]int) {
	for name, n := range jobs {
		if q := c.queues[name]; q != nil {
			q.reduceBlame(n)
		}
	}
}

// risk returns the probability that a job of the queue crashes its endpoint: at first a
// tenth of a crash in the jobs that have completed, so that a queue is not suspected more
// than another for the number of its jobs.
func (q *queue) risk() float64 {
	return max(priorCrashes/(q.survived+priorJobs), q.blame*queueBlameWeight)
}

// updateDeadly decides which queues count as deadly and reports whether there is one. If
// almost all load is theirs, some are left out: there is little to keep them from.
func (c *Core) updateDeadly() bool {
	if !slices.ContainsFunc(c.queueList, func(q *queue) bool { return q.deadly || q.blame >= minQueueBlame }) {
		return false
	}
	capacity := c.meanCapacity()
	all := 0.0
	for _, q := range c.queueList {
		all += q.offeredLoad.rate(c.now)
	}
	queues := slices.Clone(c.queueList)
	slices.SortStableFunc(queues, compareDeadly)
	confined := 0.0
	for _, q := range queues {
		share := q.offeredLoad.rate(c.now) / max(all, 1)
		limit := maxDeadlyShare
		if q.deadly {
			limit = releaseShare
		}
		deadly := q.crashesCostMoreThanWork(capacity) && confined+share <= limit
		if deadly {
			confined += share
		}
		c.setDeadly(q, deadly, share)
	}
	return confined > 0
}

// compareDeadly orders queues by how much their confinement spares the others: those first
// that are confined already, then those whose jobs cause the most crashes for their work.
func compareDeadly(a, b *queue) int {
	if a.deadly != b.deadly {
		if a.deadly {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.risk()*a.meanWork, a.risk()*b.meanWork)
}

// crashesCostMoreThanWork reports whether the crashes that a queue's jobs cause cost
// more capacity than the jobs need. A queue whose blame has fallen below the minimum
// keeps its state for some more jobs.
func (q *queue) crashesCostMoreThanWork(endpointCapacity float64) bool {
	least := minQueueBlame
	if q.deadly {
		least = releaseBlame
	}
	loss := q.risk() * neighbourLoss * endpointCapacity * crashOutage.Seconds()
	return q.blame >= least && loss >= q.meanWork
}

func (c *Core) setDeadly(q *queue, deadly bool, shareOfLoad float64) {
	if deadly == q.deadly {
		return
	}
	q.deadly = deadly
	c.confinementOf(q.service).queueConfined(deadly, shareOfLoad)
	what := "queue confined"
	if !deadly {
		what = "queue released"
	}
	c.emit(Note{What: what, Subject: q.name, Detail: fmt.Sprintf("%.2f crashes", q.blame)})
}

// meanCapacity returns the mean capacity of the endpoints in thousandths of a core.
func (c *Core) meanCapacity() float64 {
	sum, n := 0.0, 0.0
	for _, a := range c.agentList {
		if a.endpoint != nil {
			sum += float64(a.endpoint.Capacity.MilliCPU)
			n++
		}
	}
	return sum / max(n, 1)
}

// isConfined reports whether a job may run only on a part of the endpoints.
func (j *job) isConfined() bool { return j.queue.deadly || j.isSuspect() }

// confinedRoom reports whether a confined job of which nothing runs can start all its
// tasks at once, or as many as the endpoints have capacity for. With a part of them it
// would keep others from an endpoint that may soon crash, and be late itself.
func (c *Core) confinedRoom(j *job) bool {
	if j.runs > 0 {
		return true
	}
	waiting := int64(j.waiting)
	free, capacity := int64(0), int64(0)
	for _, a := range c.agentList {
		if c.eligible(a, j, false) {
			free += j.Need.Copies(a.freeCapacity(), waiting)
			capacity += j.Need.Copies(a.endpoint.Capacity, waiting)
		}
	}
	return free > 0 && free >= min(waiting, capacity)
}

// confinedShare is the share of the endpoints' capacity that this entry expects for its
// confined jobs; other entries use the same endpoints.
const confinedShare = 0.5

// confinedWait estimates how long a confined job waits for the confined jobs that rank
// before it.
func (c *Core) confinedWait(j *job) time.Duration {
	rate := 0.0
	for _, a := range c.agentList {
		if c.eligible(a, j, false) {
			rate += confinedShare * a.weightedCapacity()
		}
	}
	return duration(c.workBefore(j, true) / max(rate, minStartRateMilliCPU))
}

// confinedDelay returns how much longer a task of a confined job runs on the fastest
// endpoint that is open to it than on an average one.
func (c *Core) confinedDelay(j *job) time.Duration {
	fastest := math.Inf(1)
	for _, a := range c.agentList {
		if c.eligible(a, j, false) {
			fastest = min(fastest, a.slowness())
		}
	}
	if math.IsInf(fastest, 1) {
		return 0
	}
	return time.Duration(max(fastest-1, 0) * float64(j.expectedRunTime()))
}

// refuseUnplaceable refuses the confined jobs that were submitted in this step and to
// which no endpoint is open: those are away for seconds.
func (c *Core) refuseUnplaceable() {
	if c.isolations == nil || c.now-c.settlingSince <= settleTime {
		return
	}
	for i := len(c.jobOrder) - 1; i >= 0 && c.jobOrder[i].received == c.now; i-- {
		if j := c.jobOrder[i]; !j.answered && j.runs == 0 && j.isConfined() {
			c.reviewConfined(j)
		}
	}
}

// reviewConfined ends a waiting job that is confined and can't be completed while the
// answer is of use: endpoints to which it is confined are often away for seconds.
func (c *Core) reviewConfined(j *job) {
	wait := c.confinedWait(j)
	cause := "the wait for an isolated endpoint would be " + wait.Round(time.Millisecond).String()
	if !c.anyEligible(j) {
		cause = "no isolated endpoint takes tasks"
		wait = crashOutage
	}
	latest := min(j.received+usefulObjectiveFactor*j.objective(), j.Deadline) - j.expectedRunTime()
	if j.queue.deadly && j.runs == 0 {
		// A late answer is not worth the risk of a crash: the endpoint is kept for a job
		// that can be in time.
		latest = min(latest, j.latestStart()-c.confinedDelay(j))
	}
	if c.now+wait <= latest {
		return
	}
	if j.runs == 0 {
		c.finish(j, JobRefused, cause)
		return
	}
	c.finish(j, JobExpired, cause)
}
