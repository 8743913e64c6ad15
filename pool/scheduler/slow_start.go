package scheduler

import (
	"math"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// coldShare is the share of a cold endpoint's capacity that is used at first. A job of
	// a burst must not lose its objective to the slowest of its tasks, but the endpoint's
	// speed has to be measured.
	coldShare = 0.25
	// coldSlowness is the assumed slowness of a cold endpoint whose speed is not known: at
	// the usual objective, 1.6 times the run time plus 60 ms, no task would be in time.
	coldSlowness = 4
	// coldProbeSlowness is assumed instead for the one task that shows its speed: a short
	// task would be in time, a long one, which takes long to show it, would not.
	coldProbeSlowness = 2
	// coldExtension is the delay of a cold period's end from which on the period begins anew:
	// an endpoint that is not used, as in an evacuated zone, may stay cold until it is.
	coldExtension = 300 * time.Millisecond
)

// slowStart limits the use of an endpoint that stays slow for some time, as after a pause
// or an evacuation.
type slowStart struct {
	// active is set from the time from to the time until.
	active      bool
	from, until time.Duration
	// announced is the end that was known when the period began.
	announced time.Duration
	// measured is set once the end or the progress of a run has shown the speed.
	measured bool
	// warmLogSlowness is the endpoint's slowness from before.
	warmLogSlowness float64
	// withheld is the part of the capacity that is not used yet.
	withheld message.Resources
}

// update handles a description of the endpoint.
func (s *slowStart) update(a *agent, e *message.PoolEndpoint, now time.Duration) {
	left := time.Duration(e.ColdMillis) * time.Millisecond
	if until := now + left; left > 0 && until > s.announced+coldExtension {
		warm := a.logSlowness
		if s.active {
			warm = s.warmLogSlowness
		}
		*s = slowStart{active: true, from: now, until: until, announced: until, warmLogSlowness: warm}
		a.logSlowness = max(a.logSlowness, math.Log(coldSlowness))
	} else if s.active {
		s.until = until
	}
	s.advance(a, now)
}

// advance raises the usable part of the capacity, in proportion to the time that has
// passed, and ends the slow start.
func (s *slowStart) advance(a *agent, now time.Duration) {
	switch {
	case !s.active || a.endpoint == nil:
	case now >= s.until:
		a.logSlowness = s.warmLogSlowness
		*s = slowStart{}
	default:
		left := (1 - coldShare) * float64(s.until-now) / float64(s.until-s.from)
		s.withheld = message.Resources{MilliCPU: int64(left * float64(a.endpoint.Capacity.MilliCPU))}
	}
}

// assumedSlowness returns the slowness to assume, or 0 if the learned one applies.
func (s *slowStart) assumedSlowness(a *agent) float64 {
	switch {
	case !s.active || s.measured:
		return 0
	case a.runs.Len() == 0:
		return coldProbeSlowness
	}
	return coldSlowness
}

// takeFirstMeasurement reports whether a completed run is the first one that shows the
// speed of a cold endpoint.
func (s *slowStart) takeFirstMeasurement(r *run) bool {
	if !s.active || s.measured || r.started < s.from {
		return false
	}
	s.measured = true
	return true
}
