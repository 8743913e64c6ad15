package scheduler

import (
	"math"
	"time"
)

// decayingRate is a rate in thousandths of a core: the exponentially weighted
// mean of added work.
type decayingRate struct {
	timeConstant time.Duration
	value        float64
	updatedAt    time.Duration
}

// add adds work, in thousandths of a core times seconds.
func (r *decayingRate) add(now time.Duration, work float64) {
	r.value = r.rate(now) + work/r.timeConstant.Seconds()
	r.updatedAt = now
}

// rate returns the rate at the given time.
func (r *decayingRate) rate(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.updatedAt).Seconds()/r.timeConstant.Seconds())
}
