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

// TestReservationsServeLargeTasksOfSeveralEntries guards against large tasks that find
// only fragments because the small tasks of other entries take what becomes free. With
// reservations large and small jobs are served at least as well, and no endpoint gets more
// than its capacity.
func TestReservationsServeLargeTasksOfSeveralEntries(t *testing.T) {
	x, err := Parse([]byte(`
length: 8s
seeds: [1]
fleet:
  entries: [{count: 3, cores: 0.8}]
  agents: [{count: 12, cores: 26}]
classes:
  - {name: render, rate: 5.5, tasks: 2, max_tasks: 8, cores: 20, work: 400ms, estimate_error: 0.4, value: 0.04}
  - {name: label, rate: 170, tasks: 2, max_tasks: 8, cores: 2.7, work: 170ms, estimate_error: 0.4, value: 0.00189}
`))
	if err != nil {
		t.Fatal(err)
	}
	before, after := Run(t.Context(), x, 1), RunReserving(t.Context(), x, 1)
	for i, c := range after.Classes {
		was := before.Classes[i]
		t.Logf("%s: worth %.3f, without reservations %.3f", c.Name, c.Worth, was.Worth)
		if c.Worth < was.Worth {
			t.Errorf("%s: worth %.3f, without reservations %.3f", c.Name, c.Worth, was.Worth)
		}
	}
	if after.Worth < before.Worth+0.01 {
		t.Errorf("worth %.3f, without reservations %.3f", after.Worth, before.Worth)
	}
	if after.Overlaps+after.OverCapacity > 0 {
		t.Errorf("%d overlaps, %d starts over capacity", after.Overlaps, after.OverCapacity)
	}
}
