package fairness

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRetry and maxRetry bound the retry delay sent to refused callers.
	minRetry = 1
	maxRetry = 5
)

// RetryAfter returns the time after which the caller of a refused job may try again, in whole
// seconds. The work that waits and that was refused lately takes some seconds at the rate at
// which work is started; returns are spread evenly over them, by a hash of the job's ID, so that
// what was refused together does not come back together.
func (s *Shares) RetryAfter(job string, waiting, rate float64) time.Duration {
	pending := waiting + s.rate(s.refused)*timeConstant.Seconds()
	seconds := uint64(min(max(math.Ceil(pending/max(rate, 1)), minRetry), maxRetry))
	return time.Duration(minRetry+xxhash.Sum64String(job)%seconds) * time.Second
}
