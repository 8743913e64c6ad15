package fairness

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// distinctBits is the size of a bitmap of distinct: estimates are good up to some thousand.
const distinctBits = 1024

// distinct estimates the number of distinct names of the last timeConstant to twice that, by
// linear counting: each name sets one bit.
type distinct struct {
	current, last [distinctBits / 64]uint64
	since         time.Duration
}

func (d *distinct) add(now time.Duration, name string) {
	if now-d.since >= timeConstant {
		d.last, d.current, d.since = d.current, [distinctBits / 64]uint64{}, now
	}
	bit := xxhash.Sum64String(name) % distinctBits
	d.current[bit/64] |= 1 << (bit % 64)
}

func (d *distinct) estimate() float64 {
	empty := 0
	for i := range d.current {
		empty += 64 - bits.OnesCount64(d.current[i]|d.last[i])
	}
	return distinctBits * math.Log(distinctBits/math.Max(float64(empty), 0.5))
}
