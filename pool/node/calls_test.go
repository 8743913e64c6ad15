package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"marjoramlug.example/marjoramlug/pool/executor"
)

// TestCallsAreBounded guards against an agent that opens a connection for each of thousands of
// small tasks, and against calls whose time runs out while they wait for others.
func TestCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answered := make(chan error, 3*maxCalls)
		c := &calls{ctx: t.Context(), post: func(executor.Event) {}}
		for range cap(answered) {
			c.add(call{time.Second, func(ctx context.Context) executor.Event {
				time.Sleep(time.Second / 2)
				answered <- ctx.Err()
				return executor.Tick{}
			}})
		}
		for range 3 {
			time.Sleep(time.Second / 2)
			synctest.Wait()
			if n := len(answered); n != maxCalls {
				t.Errorf("%d calls at a time", n)
			}
			for range len(answered) {
				if err := <-answered; err != nil {
					t.Error(err)
				}
			}
		}
	})
}
