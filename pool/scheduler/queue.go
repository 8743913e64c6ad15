package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// biasWeight is the weight of one task in what is learned of a queue's
	// estimates: about the last fifty tasks count.
	biasWeight = 0.02
	// loadTimeConstant is the time over which a queue's offered load is averaged: long
	// against a job, short against a burst of some seconds.
	loadTimeConstant = 3 * time.Second
)

// queue is what is learned of one queue.
type queue struct {
	fleet *fleet
	// logBias is the mean logarithm of run time over estimate.
	logBias float64
	// offered is the load that the queue's callers submit.
	offeredLoad decayingRate
}

// fleet is what is learned of all agents together.
type fleet struct {
	// sound is the slowness of a sound endpoint: the median. The mean, on which
	// estimates rest, also counts slow ones.
	medianSlowness float64
}

// learn finds the sound endpoint again.
func (f *fleet) learn(agents []*agent) {
	var slowness []float64
	for _, a := range agents {
		if a.isReady() {
			slowness = append(slowness, a.logSlow)
		}
	}
	f.medianSlowness = 1
	if len(slowness) > 0 {
		slices.Sort(slowness)
		f.medianSlowness = math.Exp(slowness[len(slowness)/2])
	}
}

func (c *Core) queueOf(name string) *queue {
	q := c.queues[name]
	if q == nil {
		q = &queue{fleet: &c.fleet, offeredLoad: decayingRate{timeConstant: loadTimeConstant, updatedAt: c.now}}
		c.queues[name] = q
	}
	return q
}

func (q *queue) bias() float64 { return math.Exp(q.logBias) }

func (q *queue) learn(ratio float64) { q.logBias += biasWeight * (math.Log(ratio) - q.logBias) }
