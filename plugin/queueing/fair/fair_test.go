package fair

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func anyTask(*dispatch.QueuedTask) bool { return true }

// pushJob adds a job of n tasks and returns its number of remaining tasks.
func pushJob(q *Queue, seq uint64, team, caller string, urgent bool, n int) *int {
	remaining := n
	for range n {
		q.Push(noon, &dispatch.QueuedTask{
			Team: team, Caller: caller, Urgent: urgent, JobSeq: seq, JobRemaining: &remaining,
		})
	}
	return &remaining
}

// While several teams always have tasks waiting, their starts divided by their
// weights never differ by more than one start of each. The same holds for the
// callers of a team.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		weights := map[string]int{}
		service := config.Service{}
		backlog := 40
		for i := range rapid.IntRange(2, 5).Draw(t, "teams") {
			name := fmt.Sprintf("team%d", i)
			weights[name] = rapid.IntRange(1, 6).Draw(t, "weight")
			service.Teams = append(service.Teams, config.Team{Name: name, Weight: weights[name]})
		}
		q.Configure(service)
		callers := rapid.IntRange(1, 3).Draw(t, "callers")
		for name := range weights {
			for c := range callers {
				pushJob(q, uint64(c), name, fmt.Sprint(c), false, backlog)
			}
		}
		teamStarts, callerStarts := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, backlog).Draw(t, "starts") {
			task := q.Next(noon, anyTask)
			teamStarts[task.Team]++
			callerStarts[task.Team+task.Caller]++
			checkShares(t, weights, teamStarts)
			checkCallers(t, task.Team, callers, callerStarts)
		}
	})
}

func checkShares(t *rapid.T, weights, starts map[string]int) {
	for a, wa := range weights {
		for b, wb := range weights {
			difference := float64(starts[a])/float64(wa) - float64(starts[b])/float64(wb)
			if math.Abs(difference) > 1/float64(wa)+1/float64(wb)+1e-9 {
				t.Fatalf("shares differ by %.2f: %v of weights %v", difference, starts, weights)
			}
		}
	}
}

func checkCallers(t *rapid.T, team string, callers int, starts map[string]int) {
	for a := range callers {
		for b := range callers {
			if starts[team+fmt.Sprint(a)]-starts[team+fmt.Sprint(b)] > 1 {
				t.Fatalf("callers of %s got %v", team, starts)
			}
		}
	}
}

// A single task is one of the next two to start although another caller, of its
// own team or of another, has a large backlog.
func TestSingleTaskBeforeLargeBacklog(t *testing.T) {
	for _, team := range []string{"reseller", "other"} {
		is := is.New(t)
		q := New()
		pushJob(q, 1, "reseller", "flood", false, 1900)
		for range 500 {
			q.Next(noon, anyTask)
		}
		pushJob(q, 2, team, "single", false, 1)
		first, second := q.Next(noon, anyTask), q.Next(noon, anyTask)
		is.True(first.Caller == "single" || second.Caller == "single")
	}
}

// Urgent tasks go first, but one start in normalStartInterval goes to the others.
func TestNormalTasksKeepShareUnderUrgent(t *testing.T) {
	is := is.New(t)
	q := New()
	pushJob(q, 1, "", "a", true, 1000)
	pushJob(q, 2, "", "b", false, 1000)
	normal := 0
	for range 500 {
		if !q.Next(noon, anyTask).Urgent {
			normal++
		}
	}
	is.Equal(normal, 500/normalStartInterval)
}

// A caller's small jobs are started before its large one, which still gets one
// start in oldestJobInterval.
func TestSmallJobsFirst(t *testing.T) {
	is := is.New(t)
	q := New()
	pushJob(q, 1, "", "a", false, 500)
	for seq := range uint64(100) {
		pushJob(q, 2+seq, "", "a", false, 2)
	}
	large := 0
	for range 200 {
		if q.Next(noon, anyTask).JobSeq == 1 {
			large++
		}
	}
	is.Equal(large, 200/oldestJobInterval)
}

// A job moves ahead when its number of remaining tasks falls below another's.
func TestEndedTasksMoveJobUp(t *testing.T) {
	is := is.New(t)
	q := New()
	first := pushJob(q, 1, "", "a", false, 10)
	task := q.Next(noon, anyTask)
	pushJob(q, 2, "", "a", false, 5)
	*first = 3
	q.Progressed(task)
	is.Equal(q.Next(noon, anyTask).JobSeq, uint64(1))
}

// testGate is a gate that reports one team, or the callers of one team, at their
// limit and counts the checks.
type testGate struct {
	teamAtLimit, callersAtLimitOf string
	checks                        int
}

func (g *testGate) NeedMet(dispatch.Need, int) bool { return true }

func (g *testGate) TeamBelowLimit(t *dispatch.QueuedTask) bool {
	g.checks++
	return t.Team != g.teamAtLimit
}

func (g *testGate) CallerBelowLimit(t *dispatch.QueuedTask) bool { return t.Team != g.callersAtLimitOf }

// Callers at their limit are checked once each, not once for each call of
// NextGated.
func TestLimitedCallersAreParked(t *testing.T) {
	is := is.New(t)
	q := New()
	const callers, starts = 1000, 500
	for i := range callers {
		pushJob(q, uint64(i), "limited", fmt.Sprint(i), false, 3)
	}
	pushJob(q, callers, "open", "a", false, starts)
	gate := &testGate{callersAtLimitOf: "limited"}
	for range starts {
		is.Equal(q.NextGated(noon, gate).Team, "open")
	}
	is.True(gate.checks <= callers+starts)
	gate.checks = 0
	is.True(q.NextGated(noon, gate) == nil)
	is.True(gate.checks <= callers)
	gate.checks = 0
	is.True(q.NextGated(noon, gate) == nil)
	is.Equal(gate.checks, 0)
	is.True(q.NextGated(noon.Add(maxParkTime), gate) == nil)
	is.Equal(gate.checks, callers)
}

// A team at its limit is parked as a whole after a single check.
func TestLimitedTeamIsParkedWhole(t *testing.T) {
	is := is.New(t)
	q := New()
	for i := range 1000 {
		pushJob(q, uint64(i), "limited", fmt.Sprint(i), false, 1)
	}
	gate := &testGate{teamAtLimit: "limited"}
	is.True(q.NextGated(noon, gate) == nil)
	is.Equal(gate.checks, 1)
	q.RunEnded("limited", "7")
	is.True(q.NextGated(noon, &testGate{}) != nil)
}

// The estimated wait follows the rate at which waiting callers were served.
func TestEstimateWaitFollowsRate(t *testing.T) {
	is := is.New(t)
	q := New()
	_, known := q.EstimateWait(noon, "", "new", false, 1)
	is.True(!known)
	for c := range uint64(10) {
		pushJob(q, c, "", fmt.Sprint(c), false, 1000)
	}
	const perSecond = 100
	now := noon
	for range 60 * perSecond {
		q.Next(now, anyTask)
		now = now.Add(time.Second / perSecond)
	}
	// Ten callers share 100 starts per second.
	wait, known := q.EstimateWait(now, "", "new", false, 50)
	is.True(known)
	is.Equal(wait.Round(time.Second), 5*time.Second)
	wait, _ = q.EstimateWait(now, "", "3", false, 50)
	is.Equal(wait.Round(time.Second), 45*time.Second)
}

// A caller that was idle gets no compensation for the starts that it did not use.
func TestIdleCallerGainsNoShare(t *testing.T) {
	is := is.New(t)
	q := New()
	pushJob(q, 1, "", "steady", false, 1000)
	for range 500 {
		q.Next(noon, anyTask)
	}
	pushJob(q, 2, "", "late", false, 500)
	late := 0
	for range 100 {
		if q.Next(noon, anyTask).Caller == "late" {
			late++
		}
	}
	is.Equal(late, 50)
}

var unlimited = testGate{teamAtLimit: "none", callersAtLimitOf: "none"}

// backlogGate reports the free credit worth using for a backlog of at least
// minBacklog.
type backlogGate struct {
	testGate
	minBacklog int
}

func (g *backlogGate) NeedMet(_ dispatch.Need, backlog int) bool { return backlog >= g.minBacklog }

// A caller with one task is skipped for a slow credit in favor of one with many,
// but for no longer than maxSkipTime.
func TestShortBacklogWaitsForFastCredit(t *testing.T) {
	is := is.New(t)
	q := New()
	pushJob(q, 1, "", "flood", false, 100)
	q.Next(noon, anyTask)
	remaining := 1
	q.Push(noon, &dispatch.QueuedTask{Caller: "single", JobSeq: 2, JobRemaining: &remaining, Submitted: noon})
	slow := &backlogGate{testGate: unlimited, minBacklog: 5}
	for range 10 {
		is.Equal(q.NextGated(noon, slow).Caller, "flood")
	}
	is.Equal(q.NextGated(noon.Add(maxSkipTime), slow).Caller, "single")
	q.Push(noon, &dispatch.QueuedTask{Caller: "single", JobSeq: 3, JobRemaining: &remaining, Submitted: noon})
	is.Equal(q.NextGated(noon, &backlogGate{testGate: unlimited, minBacklog: 1}).Caller, "single")
}

// While others wait as well, an urgent task takes a credit that is only worth
// using for a longer backlog than its own.
func TestUrgentTakesSlowerCredit(t *testing.T) {
	for _, others := range []int{0, 5} {
		is := is.New(t)
		q := New()
		pushJob(q, 1, "", "other", false, others)
		remaining := 1
		q.Push(noon, &dispatch.QueuedTask{Caller: "urgent", Urgent: true, JobSeq: 2, JobRemaining: &remaining, Submitted: noon})
		got := q.NextGated(noon, &backlogGate{testGate: unlimited, minBacklog: urgentBacklogFactor})
		is.Equal(got != nil && got.Urgent, others > 0)
	}
}
