package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/pool/executor"
)

// TestCallsAreBounded guards against an agent that opens a connection for each of thousands of
// small tasks, and against calls whose time runs out while they wait for others.
func TestCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := 0
		var late atomic.Int64
		done := make(chan executor.Event, 3*maxCalls)
		c := &calls{ctx: t.Context(), post: func(e executor.Event) { done <- e }}
		for range 3 * maxCalls {
			c.add(call{time.Second, func(ctx context.Context) executor.Event {
				time.Sleep(time.Second / 2)
				if ctx.Err() != nil {
					late.Add(1)
				}
				return executor.Tick{}
			}})
		}
		for range 3 {
			time.Sleep(time.Second / 2)
			synctest.Wait()
			is.Equal(len(done)-ended, maxCalls)
			ended = len(done)
		}
		is.Equal(late.Load(), int64(0))
		is.Equal(c.running, 0)
	})
}
