package deadline

import (
	"math"
	"time"
)

// workTimeConstant is the time constant of the decay of the recently admitted
// work.
const workTimeConstant = 10 * time.Second

// overtaking follows the work of one class that was admitted recently, as a mean
// number of busy slots: all of it, and the part that started before tasks which
// were already waiting.
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

// add records a job with the given work, in seconds, and the share of the queue
// that it overtakes.
func (p *overtaking) add(now time.Time, work, passes float64) {
	p.decay(now)
	p.totalSlots += work / workTimeConstant.Seconds()
	p.overtakingSlots += work * passes / workTimeConstant.Seconds()
}

// total returns the mean number of slots that the class's work keeps busy.
func (p *overtaking) total(now time.Time) float64 {
	p.decay(now)
	return p.totalSlots
}

// overtaking returns the mean number of slots that are kept busy by the work that
// overtook waiting tasks.
func (p *overtaking) overtaking(now time.Time) float64 {
	p.decay(now)
	return p.overtakingSlots
}
