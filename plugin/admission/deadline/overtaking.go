package deadline

import (
	"math"
	"time"
)

// workTimeConstant is the time constant of the decay of the work taken lately.
const workTimeConstant = 10 * time.Second

// passing follows the work that one class has taken lately, as a mean number
// of busy slots: all of it, and the part that started before tasks which were
// waiting already.
type overtaking struct {
	totalSlots, overtakingSlots float64
	updated                     time.Time
}

func (p *overtaking) decay(now time.Time) {
	factor := math.Exp(-now.Sub(p.updated).Seconds() / workTimeConstant.Seconds())
	p.totalSlots *= factor
	p.overtakingSlots *= factor
	p.updated = now
}

// add notes a job of the given work in seconds and the part of the queue that
// it passes.
func (p *overtaking) add(now time.Time, work, passes float64) {
	p.decay(now)
	p.totalSlots += work / workTimeConstant.Seconds()
	p.overtakingSlots += work * passes / workTimeConstant.Seconds()
}

func (p *overtaking) total(now time.Time) float64 {
	p.decay(now)
	return p.totalSlots
}

func (p *overtaking) overtaking(now time.Time) float64 {
	p.decay(now)
	return p.overtakingSlots
}
