// Package reservation reserves capacity for large tasks that fit nowhere yet: it
// predicts when running tasks end, reserves the endpoints that are predicted to be free
// first, and decides which other tasks may start there before (EASY backfill). It is
// pure: it has no clock, goroutine or source of randomness.
package reservation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// runTimeDeviation is the standard deviation of the logarithm of run time over
	// expected run time: callers' estimates are off by 40 %, and the run times of a
	// job's tasks differ by 15 %.
	runTimeDeviation = 0.43
	// releaseConfidence is the probability with which a run in progress has ended at its
	// predicted end, backfillConfidence that of a task that is to start before a
	// reserved one. The latter is higher, as such a task delays the reserved one if it
	// takes longer.
	releaseConfidence  = 0.5
	backfillConfidence = 0.9
	// overdueDeviations is the number of standard deviations beyond which a run is
	// taken for one that hangs: 1 in 160 sound runs takes as long.
	overdueDeviations = 2.5
	// unknownSteps is the number of parts in which runs of unknown age are assumed to
	// end.
	unknownSteps = 8
)

// Run is a run in progress, or one that is to be started.
type Run struct {
	Need message.Resources
	// Started is its start and Expected its expected run time on its endpoint.
	Started, Expected time.Duration
	// Latest is the time at which the run is stopped if it has not ended; 0 if unknown.
	Latest time.Duration
}

// End returns the time by which the run has ended with the given probability, provided
// that it has not ended yet: run times are log-normally distributed around their
// expectation. A run that hangs ends when it is stopped, or after as long again as it
// has taken.
func (r Run) End(now time.Duration, confidence float64) time.Duration {
	age := now - r.Started
	if r.Expected <= 0 {
		return now + max(age, 0)
	}
	elapsed := 0.0
	if age > 0 {
		deviations := math.Log(float64(age)/float64(r.Expected)) / runTimeDeviation
		if deviations > overdueDeviations {
			return max(now, cmp.Or(r.Latest, now+age))
		}
		elapsed = cumulative(deviations)
	}
	quantile := elapsed + confidence*(1-elapsed)
	end := r.Started + time.Duration(float64(r.Expected)*math.Exp(runTimeDeviation*inverse(quantile)))
	return max(end, now)
}

// cumulative is the distribution function of the standard normal distribution, inverse
// its inverse.
func cumulative(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
func inverse(p float64) float64    { return math.Sqrt2 * math.Erfinv(2*p-1) }

// Endpoint is what is known of an endpoint.
type Endpoint struct {
	// Capacity is what its runs may take together, Free what may be started now.
	Capacity, Free message.Resources
	// Runs are the runs that are known; what else is in use belongs to others, whose
	// runs take OthersRunTime.
	Runs          []Run
	OthersRunTime time.Duration
}

// release is an amount of capacity that becomes free.
type release struct {
	at   time.Duration
	need message.Resources
}

// releases returns what is predicted to become free, in the order of time. What others
// use is assumed to end evenly over their run time.
func (e *Endpoint) releases(now time.Duration) []release {
	var list []release
	others := e.Capacity.Minus(e.Free)
	for _, r := range e.Runs {
		list = append(list, release{r.End(now, releaseConfidence), r.Need})
		others = others.Minus(r.Need)
	}
	if others.MilliCPU > 0 {
		for i := range int64(unknownSteps) {
			part := message.Resources{
				MilliCPU:     portion(others.MilliCPU, i),
				MemoryMB:     portion(others.MemoryMB, i),
				Accelerators: portion(others.Accelerators, i),
			}
			list = append(list, release{now + e.OthersRunTime*time.Duration(i+1)/unknownSteps, part})
		}
	}
	slices.SortStableFunc(list, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	return list
}

// portion returns the i-th of unknownSteps parts whose sum is total.
func portion(total, i int64) int64 {
	total = max(total, 0)
	return total*(i+1)/unknownSteps - total*i/unknownSteps
}

// FreeAt returns the time from which the endpoint is predicted to have room for a need
// if nothing else is started; false if the need exceeds its capacity.
func (e *Endpoint) FreeAt(now time.Duration, need message.Resources) (time.Duration, bool) {
	free := e.Free
	if need.Fits(free) {
		return now, true
	}
	for _, r := range e.releases(now) {
		if free = free.Plus(r.need); need.Fits(free) {
			return r.at, true
		}
	}
	return 0, false
}
