package credit

import (
	"math"
	"time"
)

const (
	// maxSampleRuns is the number of recent runs that an endpoint's slowness is
	// based on.
	maxSampleRuns = 64
	// priorRuns is the weight of the prior, in runs.
	priorRuns = 4
	// minRunTime is the lower bound of a run time; it keeps logarithms finite.
	minRunTime = time.Microsecond
)

// average is a decayed mean whose initial value is a prior.
type average struct {
	value float64
	runs  float64
}

// add updates the mean with the value x.
func (a *average) add(x float64) {
	a.runs = min(a.runs+1, maxSampleRuns)
	a.value += (x - a.value) / (a.runs + priorRuns)
}

// classRunTimes holds the learned run times of a class over all endpoints.
type classRunTimes struct {
	// mean is the decayed mean run time in seconds.
	mean float64
	runs float64
	// meanLog is the decayed mean of the logarithm of the run time, in seconds,
	// that an endpoint of slowness 1 would have needed.
	meanLog float64
}

// add updates the means with the run time of one run, in seconds, at an endpoint
// with the given logarithm of slowness. The means are based on about the
// 256 most recent runs of the class, maxSampleRuns*priorRuns.
func (c *classRunTimes) add(seconds, logSlowness float64) {
	c.runs = min(c.runs+1, maxSampleRuns*priorRuns)
	c.mean += (seconds - c.mean) / c.runs
	c.meanLog += (math.Log(seconds) - logSlowness - c.meanLog) / c.runs
}

// slowness is the learned logarithm of an endpoint's run times relative to its
// peers', over all classes and for each class. Logarithms keep a few long tasks
// from dominating the mean.
type slowness struct {
	overall average
	classes map[string]*average
}

// logarithm returns the logarithm of the endpoint's slowness for a class: the
// overall one until the class has runs of its own, then a mean of both whose
// weight for the class grows with its runs.
func (s *slowness) logarithm(class string) float64 {
	own := s.classes[class]
	if own == nil {
		return s.overall.value
	}
	ownWeight := own.runs / (own.runs + maxSampleRuns)
	return ownWeight*own.value + (1-ownWeight)*s.overall.value
}

// add updates the slowness with that of one run, as a logarithm.
func (s *slowness) add(class string, logSlowness float64) {
	own := s.classes[class]
	if own == nil {
		own = &average{value: s.overall.value}
		if s.classes == nil {
			s.classes = map[string]*average{}
		}
		s.classes[class] = own
	}
	own.add(logSlowness)
	s.overall.add(logSlowness)
}

// runTimes learns the run times of classes together with the slowness of
// endpoints.
type runTimes struct {
	classes map[string]*classRunTimes
}

// observe updates the run times with a successful run.
func (t *runTimes) observe(e *endpoint, class string, run time.Duration) {
	seconds := max(run, minRunTime).Seconds()
	c := t.classes[class]
	if c == nil {
		c = &classRunTimes{}
		t.classes[class] = c
	}
	c.add(seconds, e.slowness.logarithm(class))
	e.slowness.add(class, math.Log(seconds)-c.meanLog)
}

// expected returns the learned mean run time of a class, or declared if none has
// been learned.
func (t *runTimes) expected(class string, declared time.Duration) time.Duration {
	c := t.classes[class]
	if c == nil {
		return declared
	}
	return time.Duration(c.mean * float64(time.Second))
}
