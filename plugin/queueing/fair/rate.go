package fair

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the decay of a pace.
	rateTimeConstant = 5 * time.Second
	// minRate is the least pace that says something, in starts per second.
	minRate = 0.01
)

// pace follows how fast a virtual time advances. That is the rate at which
// each caller, or unit of weight, that always has tasks waiting gets starts,
// whatever the others leave.
type rate struct {
	perSecond float64
	updated   time.Time
}

// add notes an advance.
func (p *rate) add(now time.Time, advance float64) {
	p.perSecond = p.now(now) + advance/rateTimeConstant.Seconds()
	p.updated = now
}

// now returns the pace in starts per second.
func (p *rate) now(now time.Time) float64 {
	return p.perSecond * math.Exp(-now.Sub(p.updated).Seconds()/rateTimeConstant.Seconds())
}
