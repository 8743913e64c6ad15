package scheduler

import (
	"math"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/pool/fairness"
)

const (
	// biasWeight is the weight of one task in the moving average of a queue's
	// estimation error; about the last fifty tasks count.
	biasWeight = 0.02
	// loadTimeConstant is the time constant of the average of a queue's offered
	// load: long compared with a job, short compared with a burst of some
	// seconds.
	loadTimeConstant = 3 * time.Second
)

// queue holds the statistics of one queue.
type queue struct {
	name  string
	fleet *fleet
	// service is that of the queue's last job.
	service string
	// urgent is set if the queue's jobs are urgent.
	urgent bool
	// eligibleAt is the last time at which an endpoint was known to take the
	// queue's tasks, or the time of its first job.
	eligibleAt time.Duration
	// logBias is the moving average of the logarithm of run time over estimate.
	logBias float64
	// offeredLoad is the load that the queue's callers submit.
	offeredLoad decayingRate
	// blame counts the crashes that the queue's jobs are blamed for; it decays with
	// each job that completes. meanWork is the mean work of these, in thousandths of a
	// core times seconds.
	blame, meanWork float64
	// survived is the number of the queue's jobs that have completed, up to maxSurvived.
	survived  float64
	crashAges crashAges
	// deadly is set while the queue's jobs crash so many endpoints that they are
	// confined to a part of them.
	deadly bool
	// share is the queue's load, backlog its waiting work, with Options.SharingFloor.
	share   *fairness.Queue
	backlog fairness.Backlog
	// limitNoted is the state of the queue's limit that was last logged, at limitNotedAt.
	limitNoted   bool
	limitNotedAt time.Duration
}

// fleet holds the statistics of all agents together.
type fleet struct {
	// medianSlowness is the median slowness of the ready agents, which stands
	// for a healthy endpoint. The mean, on which estimates rest, also includes
	// slow endpoints.
	medianSlowness float64
}

// learn updates medianSlowness.
func (f *fleet) learn(agents []*agent) {
	var values []float64
	for _, a := range agents {
		if a.isReady() && !a.cold.active {
			values = append(values, a.logSlowness)
		}
	}
	f.medianSlowness = 1
	if len(values) > 0 {
		slices.Sort(values)
		f.medianSlowness = math.Exp(values[len(values)/2])
	}
}

func (c *Core) queueOf(name string) *queue {
	q := c.queues[name]
	if q == nil {
		q = &queue{name: name, fleet: &c.fleet, eligibleAt: c.now, offeredLoad: decayingRate{timeConstant: loadTimeConstant, updatedAt: c.now}}
		c.queues[name] = q
		c.queueList = append(c.queueList, q)
	}
	return q
}

func (q *queue) bias() float64 { return math.Exp(q.logBias) }

func (q *queue) learn(ratio float64) { q.logBias += biasWeight * (math.Log(ratio) - q.logBias) }
