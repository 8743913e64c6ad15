package fair

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of a rate's exponential decay.
	rateTimeConstant = 5 * time.Second
	// minRate is the lowest rate from which a wait is estimated, in starts per
	// second.
	minRate = 0.01
)

// rate is the decayed rate at which a virtual time advances. For a team, it is the
// number of starts per second that each of its callers gets while it has tasks
// waiting. For a level, it is the number of starts per second and unit of weight
// that each team gets while it has tasks waiting. Both include the starts that
// other callers or teams leave unused.
type rate struct {
	perSecond float64
	updated   time.Time
}

// add records an advance of the virtual time.
func (r *rate) add(now time.Time, advance float64) {
	r.perSecond = r.now(now) + advance/rateTimeConstant.Seconds()
	r.updated = now
}

// now returns the rate, in starts per second, after its decay until the given time.
func (r *rate) now(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updated).Seconds()/rateTimeConstant.Seconds())
}
