package intake

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/telemetry"
)

// TestReportsAreBounded guards against a line in the log for each request of a crowd.
func TestReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var reports []string
		g := NewGate(1, time.Second, telemetry.New())
		g.Report(func(reached string) { reports = append(reports, reached) })
		for range 1000 {
			g.countRefused(ErrTimeout)
			g.paced()
		}
		time.Sleep(2 * reportPeriod)
		synctest.Wait()
		is.Equal(reports, []string{"intake.paced=1000 intake.refused.timeout=1000"})
	})
}

// TestPacerPausesBetweenSteps guards against clients whose next requests have always arrived
// already: without pauses between them nothing else gets the processor.
func TestPacerPausesBetweenSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var taken, paced atomic.Int64
		p := NewPacer(func() { paced.Add(1) })
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
		is.Equal(paced.Load(), int64(2*pacerSteps+1))
		for range pacerBurst { // nothing waits: a burst again
			p.Take()
		}
		time.Sleep(minPause)
	})
}
