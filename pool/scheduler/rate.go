package scheduler

import (
	"math"
	"time"
)

// flow is a rate in thousandths of a core: work that was added, an exponential
// mean over a span of time.
type decayingRate struct {
	timeConstant time.Duration
	value        float64
	updatedAt    time.Duration
}

// add counts work, in thousandths of a core times seconds.
func (f *decayingRate) add(now time.Duration, work float64) {
	f.value = f.rate(now) + work/f.timeConstant.Seconds()
	f.updatedAt = now
}

// rate is the present rate.
func (f *decayingRate) rate(now time.Duration) float64 {
	return f.value * math.Exp(-(now-f.updatedAt).Seconds()/f.timeConstant.Seconds())
}
