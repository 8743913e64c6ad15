package intake

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/telemetry"
)

// TestPacerPausesBetweenSteps guards against clients whose next requests have always arrived
// already: without pauses between them nothing else gets the processor.
func TestPacerPausesBetweenSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPacer(telemetry.New())
		var taken atomic.Int64
		for range pacerBurst + 2*pacerSteps + 1 {
			go func() {
				p.Take()
				taken.Add(1)
			}()
		}
		for _, want := range []int64{pacerBurst, pacerBurst + pacerSteps, pacerBurst + 2*pacerSteps, pacerBurst + 2*pacerSteps + 1} {
			synctest.Wait()
			is.Equal(taken.Load(), want)
			time.Sleep(minPause)
		}
		is.Equal(p.metrics.Counters()["intake.paced"], int64(2*pacerSteps+1))
		for range pacerBurst { // nothing waits: a burst again
			p.Take()
		}
		time.Sleep(minPause)
	})
}
