package kernel

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false when ctx is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
