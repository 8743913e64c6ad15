package deadline

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// job returns a job of n tasks whose deadline is in the given time; 0 is none.
func job(caller string, n int, urgent bool, deadline time.Duration) *message.Submit {
	s := &message.Submit{Job: message.JobKey{Team: "team", Caller: caller, Job: fmt.Sprint(n)}}
	for range n {
		s.Tasks = append(s.Tasks, message.Task{Class: "class", Urgent: urgent, Body: make([]byte, 10)})
	}
	if deadline != 0 {
		s.Deadline = noon.Add(deadline).UnixMilli()
	}
	return s
}

// load returns the load of a fully used service of ten slots with runs of one
// second.
func load(queued, urgent int) dispatch.Load {
	return dispatch.Load{
		Queued: queued, QueuedUrgent: urgent, QueuedBytes: int64(10 * queued), Running: 10, Slots: 10,
		Expected: func(string, time.Duration) time.Duration { return time.Second },
	}
}

func reason(r *dispatch.Refusal) verdict.Reason {
	if r == nil {
		return verdict.ReasonNone
	}
	return r.Reason
}

func TestAdmit(t *testing.T) {
	limited := config.Service{Limits: config.Limits{QueueTasks: 100, QueueBytes: 900, TasksPerJob: 50}}
	for _, c := range []struct {
		name string
		job  *message.Submit
		load dispatch.Load
		want verdict.Reason
	}{
		{"no deadline, long queue", job("a", 1, false, 0), load(70, 0), verdict.ReasonNone},
		{"deadline in time", job("a", 1, false, 5*time.Second), load(20, 0), verdict.ReasonNone},
		{"deadline too near for the queue", job("a", 1, false, 5*time.Second), load(60, 0), verdict.ReasonDeadline},
		{"deadline too near for the job itself", job("a", 45, false, 4*time.Second), load(0, 0), verdict.ReasonDeadline},
		{"urgent overtakes the others", job("a", 1, true, 5*time.Second), load(60, 0), verdict.ReasonNone},
		{"urgent waits for urgent", job("a", 1, true, 5*time.Second), load(60, 60), verdict.ReasonDeadline},
		{"others leave part of the queue to urgent", job("a", 1, false, 0), load(80, 0), verdict.ReasonQueueFull},
		{"urgent uses that part", job("a", 1, true, 0), load(80, 0), verdict.ReasonNone},
		{"urgent stops at the bound in bytes", job("a", 1, true, 0), load(90, 0), verdict.ReasonQueueFull},
		{"too many tasks", job("a", 51, true, 0), load(0, 0), verdict.ReasonTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := New()
			a.Configure(limited)
			r := a.Admit(noon, c.job, c.load)
			is.Equal(reason(r), c.want)
			is.True(r == nil || r.RetryAfter > 0 || c.want == verdict.ReasonTooLarge)
		})
	}
}

// Nothing is refused for its deadline before any run time has been learned.
func TestNoDeadlineRefusalBeforeLearning(t *testing.T) {
	l := load(1000, 1000)
	l.Expected = func(_ string, declared time.Duration) time.Duration { return declared }
	is.New(t).True(New().Admit(noon, job("a", 10, false, time.Second), l) == nil)
}

// Rates apply to each caller and to each team as a whole; a refused job costs
// nothing, and a job is admitted after the RetryAfter of its refusal.
func TestRates(t *testing.T) {
	is := is.New(t)
	a := New()
	a.Configure(config.Service{
		Limits: config.Limits{CallerRate: 10, CallerBurst: 20},
		Teams:  []config.Team{{Name: "team", Rate: 10, Burst: 30}},
	})
	is.Equal(reason(a.Admit(noon, job("a", 20, false, 0), load(0, 0))), verdict.ReasonNone)
	r := a.Admit(noon, job("a", 5, false, 0), load(0, 0))
	is.Equal(reason(r), verdict.ReasonRateLimit)
	is.Equal(r.RetryAfter, 500*time.Millisecond)
	is.Equal(reason(a.Admit(noon, job("b", 11, false, 0), load(0, 0))), verdict.ReasonQuota)
	is.Equal(reason(a.Admit(noon, job("b", 10, false, 0), load(0, 0))), verdict.ReasonNone)
	later := noon.Add(r.RetryAfter)
	is.Equal(reason(a.Admit(later, job("a", 5, false, 0), load(0, 0))), verdict.ReasonNone)
}

// A job larger than the bucket needs a full one; it is not refused permanently.
func TestJobLargerThanBucket(t *testing.T) {
	is := is.New(t)
	a := New()
	a.Configure(config.Service{Limits: config.Limits{CallerRate: 10}})
	is.Equal(reason(a.Admit(noon, job("a", 500, false, 0), load(0, 0))), verdict.ReasonNone)
	is.Equal(reason(a.Admit(noon, job("a", 1, false, 0), load(0, 0))), verdict.ReasonRateLimit)
}

// Idle callers' buckets are removed.
func TestIdleCallersAreRemoved(t *testing.T) {
	is := is.New(t)
	a := New()
	a.Configure(config.Service{Limits: config.Limits{CallerRate: 10}})
	for i := range 50 * minSweepCallers {
		now := noon.Add(time.Duration(i) * time.Second)
		is.True(a.Admit(now, job(fmt.Sprint(i), 1, false, 0), load(0, 0)) == nil)
	}
	is.True(len(a.rates.callers) <= 2*minSweepCallers)
}

// Late jobs raise the estimated waits, once for all that were admitted together.
func TestLateJobsRaiseWaitEstimates(t *testing.T) {
	is := is.New(t)
	a := New()
	before := job("a", 1, false, 10*time.Second)
	for i := range 10 {
		s := job("a", 1, false, 20*time.Second)
		s.Job.Job = fmt.Sprint("late", i)
		is.True(a.Admit(noon, s, load(50, 0)) == nil)
	}
	is.True(a.Admit(noon, before, load(60, 0)) == nil)
	for i := range 10 {
		a.JobEnded(noon, message.JobKey{Team: "team", Caller: "a", Job: fmt.Sprint("late", i)}, dispatch.JobLate)
	}
	is.True(a.waits.factorOf(jobKind{}).now(noon) < initialFactor*lateStep+0.01)
	is.Equal(reason(a.Admit(noon, before, load(60, 0))), verdict.ReasonDeadline)
	is.True(len(a.waits.pending) <= 1)
}
