package credit

import (
	"time"

	"marjoramlug.example/marjoramlug/plugin/internal/indexheap"
)

const (
	// failureWeight is the weight of one run in an endpoint's failure rate, an
	// exponential moving average.
	failureWeight = 0.15
	// outlierExcess is the excess of an endpoint's failure rate over its peers'
	// above which it is quarantined.
	outlierExcess = 0.5
	// penaltyThreshold is the excess failure rate from which an endpoint's cost is
	// raised; penaltyWeight is the increase, as a logarithm of slowness, for each
	// unit of excess above it.
	penaltyThreshold = 0.1
	penaltyWeight    = 4
	// maxQuarantinedShare bounds the share of the endpoints that may be
	// quarantined: when more of them fail, the cause is not the endpoints.
	maxQuarantinedShare = 0.3
	// minTrialDelay is the delay before the first trial task. Each failed trial
	// doubles the delay up to maxTrialDelay.
	minTrialDelay = time.Second
	maxTrialDelay = time.Minute
	// requiredTrials is the number of consecutive successful trial tasks that end
	// a quarantine.
	requiredTrials = 2
)

// health holds an endpoint's failure rates and its quarantine state.
type health struct {
	// rates holds the decayed failure rate by class.
	rates map[string]float64
	// excessRate is the decayed difference to the mean failure rate of the peers.
	excessRate float64
	// quarantined endpoints get single trial tasks from nextTrial on.
	quarantined  bool
	nextTrial    time.Time
	trialDelay   time.Duration
	trialsPassed int
	// trialRunning is set while a trial task is running. Runs that began before
	// the quarantine and end while no trial is running don't affect it.
	trialRunning bool
	position     int
}

// classFailures is the sum of the failure rates of the endpoints that have run a
// class, and their number.
type classFailures struct {
	sum       float64
	endpoints int
}

// peerRate returns the mean failure rate of the peers of the endpoint whose rate
// is own. It returns false if the endpoint has no peers.
func (c *classFailures) peerRate(own float64) (float64, bool) {
	if c.endpoints < 2 {
		return 0, false
	}
	return max(0, c.sum-own) / float64(c.endpoints-1), true
}

// recordResult updates the endpoint's failure rate and excess after a run.
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

// removeHealth removes an endpoint from the failure rates and from the number of
// quarantined endpoints.
func (p *Placement) removeHealth(e *endpoint) {
	for class, rate := range e.health.rates {
		p.failures[class].sum -= rate
		p.failures[class].endpoints--
	}
	if e.health.quarantined {
		p.quarantined--
	}
}

// updateQuarantine applies the result of a trial task, or quarantines the
// endpoint if it is an outlier.
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

// finishTrial applies the result of a trial task. The quarantine ends after
// requiredTrials successful trials in a row, or with a failed one if the endpoint
// no longer fails much more than its peers. Any other failed trial doubles the
// delay before the next one.
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

// Quarantined returns the number of endpoints in quarantine and the number of
// quarantines begun so far.
func (p *Placement) Quarantined() (now int, begun uint64) { return p.quarantined, p.quarantines }

// setNextTrial sets the time of the endpoint's next trial.
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

// beginTrial delays the next trial until this one has ended, or by maxTrialDelay
// if its result is lost.
func (p *Placement) beginTrial(now time.Time, e *endpoint) {
	e.health.trialRunning = true
	p.setNextTrial(e, now.Add(maxTrialDelay))
}

// newTrials returns an empty heap of endpoints by the time of their next trial.
func newTrials() *indexheap.Heap[*endpoint] {
	return indexheap.New(
		func(a, b *endpoint) bool { return a.health.nextTrial.Before(b.health.nextTrial) },
		func(e *endpoint) *int { return &e.health.position },
	)
}
