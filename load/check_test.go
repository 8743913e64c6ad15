package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/verdict"
)

func ran(key string) api.TaskResponse {
	return api.TaskResponse{Verdict: verdict.Ran, Status: 200, Body: `{"key":"` + key + `"}`}
}

func TestCheckerDetectsEachViolation(t *testing.T) {
	notRun := api.TaskResponse{Verdict: verdict.NotRun, Reason: verdict.ReasonDeadline}
	refused := verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "full")
	uncertain := verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "late")
	cases := []struct {
		name   string
		state  api.State
		tasks  []api.TaskResponse
		err    error
		starts map[string]int
		want   Violations
	}{
		{"complete", api.StateComplete, []api.TaskResponse{ran("a"), ran("b")}, nil, map[string]int{"a": 1, "b": 1}, Violations{}},
		{"duplicate start", api.StateComplete, []api.TaskResponse{ran("a"), ran("b")}, nil, map[string]int{"a": 2, "b": 1}, Violations{DuplicateStarts: 1}},
		{"a result is missing", api.StateComplete, []api.TaskResponse{ran("a")}, nil, nil, Violations{PartialAnswers: 1}},
		{"a task without a result", api.StateComplete, []api.TaskResponse{ran("a"), {Verdict: verdict.MayHaveRun}}, nil, nil, Violations{PartialAnswers: 1}},
		{"another task's answer", api.StateComplete, []api.TaskResponse{ran("b"), ran("b")}, nil, nil, Violations{CrossedAnswers: 1}},
		{"failed with one task not run", api.StateFailed, []api.TaskResponse{ran("a"), notRun}, uncertain, map[string]int{"a": 1}, Violations{}},
		{"reported as not run, but ran", api.StateFailed, []api.TaskResponse{ran("a"), notRun}, uncertain, map[string]int{"b": 1}, Violations{FalseRefusals: 1}},
		{"refused as a whole, but ran", "", nil, refused, map[string]int{"a": 1, "b": 1}, Violations{FalseRefusals: 2}},
		{"uncertain as a whole", "", nil, uncertain, map[string]int{"a": 1}, Violations{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			checker := newChecker()
			checker.answered([]string{"a", "b"}, &api.JobResponse{State: c.state, Tasks: c.tasks}, c.err)
			got := checker.violations(c.starts)
			is.Equal(got, c.want)
			is.Equal(got.Any(), c.want != Violations{})
		})
	}
}

func TestGeneratorOffersRequestedLoad(t *testing.T) {
	is := is.New(t)
	p := Profiles()["trials"]
	const load, jobs = 0.8, 20_000
	g := NewGenerator(p, 1, p.Rate(load))
	work := time.Duration(0)
	var last Arrival
	for range jobs {
		last = g.Next()
		for _, task := range last.Tasks {
			work += task.Work
		}
	}
	offered := work.Seconds() / last.At.Seconds() / p.capacity()
	is.True(offered > 0.95*load && offered < 1.05*load) // 20,000 jobs come close to the mean
}
