package soak

import (
	"sync"
	"time"
)

// stallInterval is the interval at which stallWatch wakes up.
const stallInterval = 10 * time.Millisecond

// stallWatch measures how late the test's own process wakes up. It tells a machine that
// is short of processor time from a product that answers late.
type stallWatch struct {
	done      chan struct{}
	finished  sync.WaitGroup
	longest   time.Duration
	longestAt time.Time
}

func watchStalls() *stallWatch {
	w := &stallWatch{done: make(chan struct{}), longestAt: time.Now()}
	w.finished.Go(func() {
		for before := time.Now(); ; before = time.Now() {
			select {
			case <-w.done:
				return
			case <-time.After(stallInterval):
			}
			if late := time.Since(before) - stallInterval; late > w.longest {
				w.longest, w.longestAt = late, time.Now()
			}
		}
	})
	return w
}

// stop ends the measurement and returns the longest stall and when it ended.
func (w *stallWatch) stop() (longest time.Duration, at time.Time) {
	close(w.done)
	w.finished.Wait()
	return w.longest, w.longestAt
}
