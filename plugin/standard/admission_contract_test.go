package standard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

func drawJob(t *rapid.T, now time.Time, n uint64) *message.Submit {
	job := &message.Submit{Job: message.JobKey{
		Team: "team", Caller: fmt.Sprint("caller", rapid.IntRange(0, 2).Draw(t, "caller")), Job: fmt.Sprint(n),
	}}
	for range rapid.IntRange(1, 30).Draw(t, "tasks") {
		job.Tasks = append(job.Tasks, message.Task{Class: "class", Urgent: rapid.Bool().Draw(t, "urgent")})
	}
	if rapid.Bool().Draw(t, "limited") {
		job.Deadline = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "deadline")) * time.Millisecond).UnixMilli()
	}
	return job
}

func drawLoad(t *rapid.T) dispatch.Load {
	queued := rapid.IntRange(0, 200).Draw(t, "queued")
	run := time.Duration(rapid.IntRange(0, 2000).Draw(t, "run")) * time.Millisecond
	return dispatch.Load{
		Queued: queued, QueuedUrgent: rapid.IntRange(0, queued).Draw(t, "queuedUrgent"), QueuedBytes: int64(queued),
		Slots: rapid.IntRange(0, 20).Draw(t, "slots"), Running: rapid.IntRange(0, 20).Draw(t, "running"),
		Expected: func(string, time.Duration) time.Duration { return run },
	}
}

// A refusal has a reason and a time to retry, unless no later time would help.
// An idle service admits any job of an allowed size, whatever it has learned
// before.
func TestAdmissionExplainsRefusals(t *testing.T) {
	eachModule(t, "admission", func(t *testing.T, newModule func() dispatch.Admission) {
		rapid.Check(t, func(t *rapid.T) {
			a, now, jobs := newModule(), noon, uint64(0)
			service := config.Service{Limits: config.Limits{
				QueueTasks: rapid.IntRange(0, 100).Draw(t, "queueTasks"), CallerRate: float64(rapid.IntRange(0, 50).Draw(t, "rate")),
			}}
			a.Configure(service)
			t.Repeat(map[string]func(*rapid.T){
				"submit": func(t *rapid.T) {
					jobs++
					job := drawJob(t, now, jobs)
					r := a.Admit(now, job, drawLoad(t))
					if r != nil && (r.Reason == verdict.ReasonNone || r.RetryAfter <= 0 && r.Reason != verdict.ReasonTooLarge) {
						t.Fatalf("refusal without a reason or a time to retry: %+v", r)
					}
					if observer, ok := a.(dispatch.JobObserver); ok && r == nil {
						end := rapid.SampledFrom([]dispatch.JobEnd{dispatch.JobComplete, dispatch.JobLate, dispatch.JobOther}).Draw(t, "end")
						observer.JobEnded(now, job.Job, end)
					}
				},
				"time":      func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second) },
				"configure": func(*rapid.T) { a.Configure(service) },
			})
			idle := dispatch.Load{Slots: 10, Expected: func(string, time.Duration) time.Duration { return time.Second }}
			job := &message.Submit{Job: message.JobKey{Job: "last"}, Tasks: make([]message.Task, 1)}
			job.Deadline = now.Add(time.Hour + 2*time.Second).UnixMilli()
			if service.Limits.QueueTasks != 1 {
				if r := a.Admit(now.Add(time.Hour), job, idle); r != nil {
					t.Fatalf("an idle service refused a job: %+v", r)
				}
			}
		})
	})
}
