package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWideJobsAreRatedSeparately guards against wide jobs whose waits disappear in the
// mean of their class: widths divide a class's jobs 1 : 2 : 7, and the wait of a job
// lasts until its last task starts.
func TestWideJobsAreRatedSeparately(t *testing.T) {
	is := is.New(t)
	x := experiment(t, "faults: [{at: 1s, for: 3s, kind: burst, factor: 2}]")
	x.Classes[0].MaxTasks = 16
	for _, r := range []*Result{Run(t.Context(), x, 1), RunPerfect(t.Context(), x, 1)} {
		for _, c := range r.Classes {
			is.Equal(c.Widest.Jobs, c.Jobs/10)
			is.Equal(c.Widest.Jobs+c.NextWidest.Jobs+c.Others.Jobs, c.Jobs)
			is.True(c.Widest.Tasks > c.NextWidest.Tasks && c.NextWidest.Tasks > c.Others.Tasks)
		}
		is.True(r.Classes[0].Widest.Tasks <= 16)
	}
	j := &job{unstarted: []bool{true, true}}
	j.taskStarted(0, time.Second)
	j.taskStarted(1, 2*time.Second)
	j.taskStarted(0, 3*time.Second) // a repetition
	is.Equal(j.started, 2)
	is.Equal(j.lastStart, 2*time.Second)
}

// TestSwingMovesCallers guards against a swing that changes the total load or that
// does not return to the mean.
func TestSwingMovesCallers(t *testing.T) {
	is := is.New(t)
	a := &EntryGroup{Weight: 2, Swing: 0.5, Period: 8 * time.Second}
	b := &EntryGroup{Weight: 2, Swing: 0.5, Period: 8 * time.Second, Phase: 0.5}
	is.Equal(a.weightAt(0), 2.0)
	is.Equal(a.weightAt(2*time.Second), 3.0)
	is.Equal(a.weightAt(2*time.Second)+b.weightAt(2*time.Second), 4.0)
}
