package scheduler

import (
	"math"
	"time"
)

// The speed of endpoints is learned from the run times and the progress of their runs.

const (
	// slownessWeight is the weight of one task in the moving average of an
	// agent's slowness; about the last ten tasks count.
	slownessWeight = 0.1
	// maxLogRatio bounds the effect of one task on an agent's slowness.
	maxLogRatio = 2.5
	// slowdownValidity is how long a reported slowdown is used.
	slowdownValidity = 300 * time.Millisecond
	// maxSlowdownDeviation is the factor by which the learned slowness and the
	// predicted one may differ from the reported slowdown; beyond it the slowdown
	// limits both. Estimates of single jobs are off by 40 %.
	maxSlowdownDeviation = 1.6
	// maxRunDeviation is the same for the run time of a single task.
	maxRunDeviation = 2
	// probeInterval is how long an idle endpoint that counts as slow stays without
	// news before it gets one task, whose run time shows whether it still is.
	probeInterval = 500 * time.Millisecond
	// probedSlowness is the slowness, relative to the median endpoint, above which
	// an endpoint gets so few tasks that it has to be probed.
	probedSlowness = 2
	// minOverrunSamples is the minimum number of runs from which an overrun is
	// derived.
	minOverrunSamples = 3
)

func (a *agent) slowness() float64 { return math.Exp(a.logSlowness) }

// runTime predicts the run time of a job's task on an agent, in nanoseconds:
// the learned factors applied to the estimate, limited by the reported slowdown
// of the agent's current runs.
func (c *Core) runTime(j *job, a *agent) float64 {
	return float64(j.Estimate) * c.runTimeFactor(j.queue.bias(), a)
}

// runTimeFactor returns what an estimate is multiplied by, for a queue's bias and an agent.
func (c *Core) runTimeFactor(bias float64, a *agent) float64 {
	slowness := a.slowness()
	if assumed := a.cold.assumedSlowness(a); assumed > 0 {
		slowness = assumed
	} else if c.probeDue(a) {
		slowness = c.fleet.medianSlowness
	}
	factor := bias * slowness * max(1, a.overrun)
	if a.slowdown > 0 && c.now-a.slowdownAt < slowdownValidity {
		factor = min(max(factor, a.slowdown/maxSlowdownDeviation), a.slowdown*maxSlowdownDeviation)
	}
	return factor
}

// probeDue reports whether an endpoint that counts as slow should get one task as
// if it were not: it runs nothing, so that nothing else would show its recovery.
func (c *Core) probeDue(a *agent) bool {
	return !a.cold.active && a.slowness() > probedSlowness*c.fleet.medianSlowness && a.runs.Len() == 0 && c.now-a.speedKnownAt > probeInterval
}

// limitSlowness keeps the learned slowness within a factor of an observed one.
func (a *agent) limitSlowness(observed, factor float64) {
	a.logSlowness = min(max(a.logSlowness, math.Log(observed/factor)), math.Log(observed*factor))
}

// estimateOverrun compares an agent's current runs with their expected run
// times. A single long run may have had a wrong estimate; several long runs
// indicate a slow endpoint.
func (c *Core) estimateOverrun(a *agent) float64 {
	sum, n := 0.0, 0
	for _, r := range a.runs.All() {
		if r.expected > 0 {
			n++
			sum += math.Log(max(1, float64(c.now-r.started)/float64(r.expected)))
		}
	}
	if n < minOverrunSamples {
		return 1
	}
	return math.Exp(sum / float64(n))
}

// learnSpeed updates the estimates of the queue and of the agent's slowness
// with a completed run.
func (c *Core) learnSpeed(r *run, took time.Duration) {
	if r.job.Estimate <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(r.job.Estimate)
	r.job.queue.learn(ratio)
	residual := math.Log(ratio) - r.job.queue.logBias
	residual = min(max(residual, -maxLogRatio), maxLogRatio)
	weight := slownessWeight
	if r.agent.cold.takeFirstMeasurement(r) {
		weight = 1
	}
	r.agent.logSlowness += weight * (residual - r.agent.logSlowness)
	r.agent.limitSlowness(math.Exp(residual), maxRunDeviation)
	r.agent.speedKnownAt = c.now
}
