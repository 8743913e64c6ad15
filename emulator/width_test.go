package emulator

import (
	"fmt"
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

// TestJobsAreDividedByWidth guards against groups that contain jobs narrower than those of
// the next group, whatever the order in which the jobs were submitted.
func TestJobsAreDividedByWidth(t *testing.T) {
	is := is.New(t)
	s := &simulation{jobs: map[string]*job{}}
	for i := range 20 {
		tasks := 1 + i*7%20 // 1 to 20
		s.jobs[fmt.Sprintf("job-%d", i)] = &job{works: make([]time.Duration, tasks), done: true}
	}
	r := &Result{Classes: make([]ClassResult, 1)}
	r.rateGroups(s)
	c := r.Classes[0]
	is.Equal(c.Widest.Tasks, 19.5)     // 19 and 20
	is.Equal(c.NextWidest.Tasks, 16.5) // 15 to 18
	is.Equal(c.Others.Tasks, 7.5)      // 1 to 14
}

// TestWavesMoveCallers guards against waves that change the total load or that do not
// return to the mean.
func TestWavesMoveCallers(t *testing.T) {
	is := is.New(t)
	s := &simulation{experiment: &Experiment{Waves: Waves{Amplitude: 0.5, Period: 8 * time.Second}}, zones: []string{"a", "b"}}
	a, b := &entryNode{zone: "a", weight: 2}, &entryNode{zone: "b", weight: 2}
	is.Equal(s.weightNow(a), 2.0)
	s.clock.now = 2 * time.Second
	is.Equal(s.weightNow(a), 3.0)
	is.Equal(s.weightNow(a)+s.weightNow(b), 4.0)
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
	before, after := Run(t.Context(), x, 1), RunPolicy(t.Context(), x, PolicyReservations, 1)
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
