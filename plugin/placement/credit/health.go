package credit

import (
	"time"

	"marjoramlug.example/marjoramlug/plugin/internal/indexheap"
)

const (
	// failureWeight is the weight of one run in an endpoint's failure rate.
	failureWeight = 0.15
	// outlierExcess is by how much an endpoint must fail more often than its peers to
	// be quarantined.
	outlierExcess = 0.5
	// penaltyThreshold is the excess from which failures make an endpoint less wanted,
	// and aversion by how much, as a logarithm of slowness.
	penaltyThreshold = 0.1
	penaltyWeight    = 4
	// maxQuarantinedShare bounds the part of the endpoints that may be quarantined:
	// when more fail, the cause is not the endpoints.
	maxQuarantinedShare = 0.3
	// minTrialDelay is the time until the first trial task, which doubles with each
	// that fails, up to longestPause.
	minTrialDelay = time.Second
	maxTrialDelay = time.Minute
	// requiredTrials is the number of trial tasks in a row that end a quarantine.
	requiredTrials = 2
)

// health is what an endpoint's failures say about it.
type health struct {
	// rates is the decayed failure rate by class.
	rates map[string]float64
	// excessRate is the decayed difference to the peers' failure rates.
	excessRate float64
	// quarantined endpoints get single trial tasks from nextTrial on.
	quarantined  bool
	nextTrial    time.Time
	trialDelay   time.Duration
	trialsPassed int
	// trialRunning says that a trial task is running. Runs that began before the
	// quarantine end without consequences.
	trialRunning bool
	position     int
}

// classFailures sums the failure rates of the endpoints that have run a class.
type classFailures struct {
	sum       float64
	endpoints int
}

// peerRate is the mean rate of the other endpoints, false when there is none.
func (c *classFailures) peerRate(own float64) (float64, bool) {
	if c.endpoints < 2 {
		return 0, false
	}
	return max(0, c.sum-own) / float64(c.endpoints-1), true
}

// recordResult learns from the end of a run.
func (p *Placement) recordResult(e *endpoint, class string, failed bool) {
	c := p.failures[class]
	if c == nil {
		c = &classFailures{}
		p.failures[class] = c
	}
	if e.health.rates == nil {
		e.health.rates = map[string]float64{}
	}
	own, known := e.health.rates[class]
	if !known {
		c.endpoints++
	}
	result := 0.0
	if failed {
		result = 1
	}
	updated := own + failureWeight*(result-own)
	c.sum += updated - own
	e.health.rates[class] = updated
	if peerRate, ok := c.peerRate(updated); ok {
		e.health.excessRate += failureWeight * (result - peerRate - e.health.excessRate)
	}
}

// removeHealth takes a removed endpoint out of its peers' rates.
func (p *Placement) removeHealth(e *endpoint) {
	for class, rate := range e.health.rates {
		p.failures[class].sum -= rate
		p.failures[class].endpoints--
	}
	if e.health.quarantined {
		p.quarantined--
	}
}

// updateQuarantine quarantines an outlier, or takes the result of its trial.
func (p *Placement) updateQuarantine(now time.Time, e *endpoint, failed bool) {
	h := &e.health
	switch {
	case h.trialRunning:
		h.trialRunning = false
		p.finishTrial(now, e, failed)
	case !h.quarantined && failed && h.excessRate > outlierExcess && p.mayQuarantine():
		p.beginQuarantine(now, e)
	}
}

// finishTrial ends a quarantine after enough trials that ended well, or when the
// peers have come to fail as well. Other failures lengthen the pause.
func (p *Placement) finishTrial(now time.Time, e *endpoint, failed bool) {
	h := &e.health
	if failed && h.excessRate > outlierExcess {
		h.trialsPassed = 0
		h.trialDelay = min(2*h.trialDelay, maxTrialDelay)
		p.setNextTrial(e, now.Add(h.trialDelay))
		return
	}
	h.trialsPassed++
	p.setNextTrial(e, now)
	if failed || h.trialsPassed >= requiredTrials {
		p.endQuarantine(e)
	}
}

func (p *Placement) mayQuarantine() bool {
	return float64(p.quarantined+1) <= maxQuarantinedShare*float64(len(p.endpoints))
}

func (p *Placement) beginQuarantine(now time.Time, e *endpoint) {
	p.unindex(e)
	p.quarantined++
	p.quarantines++
	e.health.quarantined = true
	e.health.trialsPassed = 0
	e.health.trialDelay = minTrialDelay
	e.health.nextTrial = now.Add(minTrialDelay)
	p.index(e)
}

func (p *Placement) endQuarantine(e *endpoint) {
	p.unindex(e)
	p.quarantined--
	e.health.quarantined = false
	e.health.excessRate = 0
	p.index(e)
}

// Quarantined returns how many endpoints are quarantined and how many
// quarantines have begun.
func (p *Placement) Quarantined() (now int, begun uint64) { return p.quarantined, p.quarantines }

// setNextTrial moves the next trial.
func (p *Placement) setNextTrial(e *endpoint, at time.Time) {
	e.health.nextTrial = at
	if p.trials.Contains(e) {
		p.trials.Fix(e)
	}
}

// dueTrial returns the quarantined endpoint whose trial is due, or nil.
func (p *Placement) dueTrial(now time.Time) *endpoint {
	if p.trials.Len() == 0 || p.trials.Top().health.nextTrial.After(now) {
		return nil
	}
	return p.trials.Top()
}

// beginTrial puts the next trial off until this one has ended, or is lost.
func (p *Placement) beginTrial(now time.Time, e *endpoint) {
	e.health.trialRunning = true
	p.setNextTrial(e, now.Add(maxTrialDelay))
}

func newTrials() *indexheap.Heap[*endpoint] {
	return indexheap.New(
		func(a, b *endpoint) bool { return a.health.nextTrial.Before(b.health.nextTrial) },
		func(e *endpoint) *int { return &e.health.position },
	)
}
