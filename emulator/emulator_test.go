package emulator

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// smallPool is a pool of three entries and eleven endpoints under the usual load.
const smallPool = `
length: 6s
seeds: [1]
fleet:
  entries: [{count: 3, cores: 0.4}]
  agents: [{count: 11, cores: 64}]
classes:
  - {name: check, urgent: true, rate: 34, tasks: 8, cores: 6.2, work: 60ms, value: 0.0291}
  - {name: press, rate: 6.25, tasks: 4, cores: 6.2, work: 900ms, value: 0.16}
  - {name: label, rate: 100, tasks: 2, cores: 6.2, work: 200ms, value: 0.01}
`

func experiment(t *testing.T, faults string) *Experiment {
	t.Helper()
	x, err := Parse([]byte(smallPool + faults))
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func TestUsualLoadIsServed(t *testing.T) {
	is := is.New(t)
	r := Run(t.Context(), experiment(t, ""), 1)
	is.True(r.Worth > 0.9) // the users' target for the mean of all days
	is.Equal(r.Overlaps, 0)
	is.Equal(r.OverCapacity, 0)
	for _, c := range r.Classes {
		is.True(c.Jobs > 0)
		is.Equal(c.Jobs, c.InTime+c.Late+c.Useless+c.Refused+c.Failed) // each job has one outcome
	}
}

// TestRunIsRepeatable: the same seed gives the same result, another one does not.
func TestRunIsRepeatable(t *testing.T) {
	is := is.New(t)
	x := experiment(t, "faults: [{at: 1s, for: 1s, kind: kill_entries, share: 0.3}]")
	text := func(seed int64) string {
		data, err := json.Marshal(Run(t.Context(), x, seed))
		is.NoErr(err)
		return string(data)
	}
	first := text(1)
	is.Equal(text(1), first)
	is.True(text(2) != first)
}

// TestFaultsCostWorthButBreakNothing plays each kind of fault: jobs are lost or late,
// but no task runs twice at a time and no endpoint gets more than its capacity.
func TestFaultsCostWorthButBreakNothing(t *testing.T) {
	calm := Run(t.Context(), experiment(t, ""), 1)
	for _, fault := range []string{
		"{at: 1s, for: 1s, kind: kill_entries}",
		"{at: 1s, for: 2s, kind: kill_agents, share: 0.5}",
		"{at: 1s, for: 3s, kind: slow_endpoints, share: 0.5, factor: 6}",
		"{at: 1s, for: 3s, kind: unanswered_calls, factor: 0.5}",
		"{at: 1s, for: 3s, kind: burst, factor: 2}",
		"{at: 1s, for: 2s, kind: crash_endpoints, share: 0.5}",
	} {
		r := Run(t.Context(), experiment(t, "faults: ["+fault+"]"), 1)
		if r.Overlaps+r.OverCapacity > 0 {
			t.Errorf("%s: %d overlaps, %d starts over capacity", fault, r.Overlaps, r.OverCapacity)
		}
		if r.Worth >= calm.Worth {
			t.Errorf("%s: worth %.3f, calm %.3f", fault, r.Worth, calm.Worth)
		}
	}
}

// TestPerfectKnowledgeIsNoWorse: what one queue with perfect knowledge serves of the
// same load is what the policy is measured against.
func TestPerfectKnowledgeIsNoWorse(t *testing.T) {
	x := experiment(t, "faults: [{at: 1s, for: 3s, kind: burst, factor: 1.6}]")
	policy, perfect := Run(t.Context(), x, 3), RunPerfect(t.Context(), x, 3)
	for i := range policy.Classes {
		if policy.Classes[i].Jobs != perfect.Classes[i].Jobs {
			t.Errorf("the load differs: %+v and %+v", policy.Classes[i], perfect.Classes[i])
		}
	}
	if perfect.Worth < policy.Worth {
		t.Errorf("worth %.3f with perfect knowledge, %.3f without", perfect.Worth, policy.Worth)
	}
}

func TestInterruptedRunSaysSo(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(Run(ctx, experiment(t, ""), 1).Interrupted)
}

// TestBadExperiments: each fault names its field and what is allowed, and impossible
// fleets are refused before a run.
func TestBadExperiments(t *testing.T) {
	for text, want := range map[string]string{
		strings.Replace(smallPool, "count: 3", "count: 0", 1):                            "fleet.entries[0].count",
		strings.Replace(smallPool, "cores: 6.2, work: 60ms", "cores: 65, work: 60ms", 1): "classes[0].cores",
		strings.Replace(smallPool, "length: 6s", "lenght: 6s", 1):                        "lenght",
		strings.Replace(smallPool, "name: press", "name: check", 1):                      "classes[1].name",
		smallPool + "faults: [{at: 1s, kind: burst, factor: 2, class: x}]":               "faults[0].class",
		smallPool + "faults: [{at: 1s, kind: slow_endpoints}]":                           "faults[0].factor",
		smallPool + "faults: [{at: 1s, kind: flood}]":                                    "faults[0].kind",
		smallPool + "faults: [{at: 1s, kind: unanswered_calls, factor: 1.5}]":            "faults[0].factor",
		"length: [": "parse YAML",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want a fault that names %s, got: %v", want, err)
		}
	}
}

func TestIntervalOf(t *testing.T) {
	is := is.New(t)
	worth := func(r *Result) float64 { return r.Worth }
	is.Equal(IntervalOf(nil, worth), Interval{})
	is.Equal(IntervalOf([]*Result{{Worth: 0.5}}, worth), Interval{Mean: 0.5})
	got := IntervalOf([]*Result{{Worth: 0.4}, {Worth: 0.6}}, worth)
	is.Equal(got.Mean, 0.5)
	is.True(got.Half > 1.26 && got.Half < 1.28) // 12.71 * 0.1414 / sqrt(2)
}

func TestClockKeepsTheOrderOfEvents(t *testing.T) {
	is := is.New(t)
	var c clock
	var got []int
	for i, at := range []time.Duration{3, 1, 1, 2} {
		c.at(at, func() { got = append(got, i) })
	}
	c.run(2, func() bool { return false })
	is.Equal(got, []int{1, 2, 3}) // the event at 3 is after the end
	is.Equal(c.now, time.Duration(2))
}
