package scheduler

import (
	"math"
	"time"
)

// flow is a rate in thousandths of a core: work that was added, an exponential
// mean over a span of time.
type flow struct {
	span  time.Duration
	value float64
	at    time.Duration
}

// add counts work, in thousandths of a core times seconds.
func (f *flow) add(now time.Duration, work float64) {
	f.value = f.rate(now) + work/f.span.Seconds()
	f.at = now
}

// rate is the present rate.
func (f *flow) rate(now time.Duration) float64 {
	return f.value * math.Exp(-(now-f.at).Seconds()/f.span.Seconds())
}
