package deadline

import (
	"math"
	"time"
)

// workTimeConstant is the time constant of the decay of the recently admitted
// work.
const workTimeConstant = 10 * time.Second

// overtaking holds the recently admitted work of one urgency as mean numbers of
// busy slots: those of all the work, and those of the part that started before
// tasks which were already waiting.
type overtaking struct {
	totalSlots, overtakingSlots float64
	updated                     time.Time
}

func (o *overtaking) decay(now time.Time) {
	factor := math.Exp(-now.Sub(o.updated).Seconds() / workTimeConstant.Seconds())
	o.totalSlots *= factor
	o.overtakingSlots *= factor
	o.updated = now
}

// add records a job with the given work, in seconds, and the share of the queue
// that it overtakes.
func (o *overtaking) add(now time.Time, work, overtakenShare float64) {
	o.decay(now)
	o.totalSlots += work / workTimeConstant.Seconds()
	o.overtakingSlots += work * overtakenShare / workTimeConstant.Seconds()
}

// busySlots returns the mean number of slots that all of the work keeps busy.
func (o *overtaking) busySlots(now time.Time) float64 {
	o.decay(now)
	return o.totalSlots
}

// overtaking returns the mean number of slots that are kept busy by the work that
// overtook waiting tasks.
func (o *overtaking) overtaking(now time.Time) float64 {
	o.decay(now)
	return o.overtakingSlots
}
