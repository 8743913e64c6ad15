//go:build unix

package dispatch_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/plugin/admission/open"
	"marjoramlug.example/marjoramlug/plugin/placement/credit"
	"marjoramlug.example/marjoramlug/plugin/queueing/fair"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	benchSlots   = 8
	benchTasks   = 100
	benchCallers = 200
	benchTeams   = 20
	// benchStep is the time between two results at the target rate of 120,000
	// starts per second.
	benchStep = time.Second / 120_000
)

// coreLoad keeps a core busy: each result frees a slot for a queued task.
type coreLoad struct {
	core    *dispatch.Core
	now     time.Time
	jobs    int
	running []*dispatch.Send
	credit  message.CreditID
}

func newCoreLoad(agents, queued int) *coreLoad {
	l := &coreLoad{now: time.Unix(1_800_000_000, 0)}
	l.core = dispatch.New(dispatch.Options{
		Service:          "trials",
		AgentTimeout:     3 * time.Second,
		ResubmitWindow:   time.Minute,
		ClockSkew:        time.Second,
		AnswerBytes:      64 << 20,
		UnmetNeedTimeout: 5 * time.Second,
		NewQueue:         func() dispatch.Queue { return fair.New() },
		NewPlacement:     func() dispatch.Placement { return credit.New() },
		NewAdmission:     func() dispatch.Admission { return open.New() },
	})
	l.step(dispatch.Configured{Service: config.Service{Name: "trials"}})
	l.step(dispatch.LeaseChanged{Until: l.now.Add(time.Hour)})
	l.step(dispatch.ShardAcquired{Epoch: 1, First: true})
	for i := range agents {
		l.connect(dispatch.Session(i+1), i)
	}
	for l.core.Queued() < queued {
		l.submit()
	}
	return l
}

func (l *coreLoad) step(ev dispatch.Event) {
	for _, a := range l.core.Step(l.now, ev) {
		if s, ok := a.(dispatch.Send); ok {
			l.running = append(l.running, &s)
		}
	}
}

func (l *coreLoad) deliver(s dispatch.Session, m message.Message) {
	l.step(dispatch.AgentMessage{Session: s, Message: m})
}

func (l *coreLoad) connect(s dispatch.Session, i int) {
	l.step(dispatch.AgentConnected{Session: s, Agent: fmt.Sprint("agent-", i), Incarnation: 1, Registered: true})
	l.deliver(s, &message.Announce{Endpoints: []message.EndpointInfo{{Name: "runner", Slots: benchSlots}}})
	grants := make([]message.Grant, benchSlots)
	for j := range grants {
		grants[j] = l.grant()
	}
	l.deliver(s, &message.Credits{Grants: grants})
}

func (l *coreLoad) grant() message.Grant {
	l.credit++
	return message.Grant{Credit: l.credit, Endpoint: "runner"}
}

// submit submits a job of one of benchCallers callers.
func (l *coreLoad) submit() {
	l.jobs++
	key := message.JobKey{
		Team:   fmt.Sprint("team-", l.jobs%benchTeams),
		Caller: fmt.Sprint("caller-", l.jobs%benchCallers),
		Job:    fmt.Sprint(l.jobs),
	}
	s := &message.Submit{Job: key, SubmittedAt: l.now.UnixMilli(), Tasks: make([]message.Task, benchTasks)}
	for i := range s.Tasks {
		s.Tasks[i] = message.Task{Method: "POST", Path: "/press", Class: "press", Urgent: l.jobs%5 == 0}
	}
	l.step(dispatch.JobSubmitted{Waiter: dispatch.Waiter{Request: uint64(l.jobs)}, Submit: s})
}

var benchResult = message.TaskResult{Verdict: verdict.Ran, Status: 200, RunMicros: 50_000, Body: make([]byte, 100)}

// finishOldest ends the oldest running task, so that the core starts another.
func (l *coreLoad) finishOldest() {
	send := l.running[0]
	l.running = l.running[1:]
	l.now = l.now.Add(benchStep)
	start := send.Message.(*message.Start)
	l.deliver(send.Session, &message.Result{ID: start.ID, Sequence: start.Sequence + 1, Result: benchResult, Grants: []message.Grant{l.grant()}})
}

// BenchmarkCore measures the cost of one decision: a task's share of its job's
// submission and answer, its start and its result. The queue length varies by
// one job.
func BenchmarkCore(b *testing.B) {
	for _, agents := range []int{10, 100, 1_000, 2_800} {
		for _, queued := range []int{10, 1_000, 100_000} {
			b.Run(fmt.Sprintf("agents=%d/queued=%d", agents, queued), func(b *testing.B) {
				l := newCoreLoad(agents, queued)
				b.ReportAllocs()
				used := processorTime()
				for b.Loop() {
					if l.core.Queued() < queued {
						l.submit()
					}
					l.finishOldest()
				}
				used = processorTime() - used
				b.ReportMetric(float64(b.N)/used.Seconds(), "decisions/cpu-s")
			})
		}
	}
}

// processorTime returns the CPU time of the process, garbage collection included.
// Wall time would be misleading on a shared machine, where the benchmark gets
// only part of a core.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCancel measures the cost per task of cancelling a job whose tasks are
// queued.
func BenchmarkCancel(b *testing.B) {
	l := newCoreLoad(10, 100_000)
	tasks := 0
	for b.Loop() {
		l.submit()
		key := message.JobKey{
			Team:   fmt.Sprint("team-", l.jobs%benchTeams),
			Caller: fmt.Sprint("caller-", l.jobs%benchCallers),
			Job:    fmt.Sprint(l.jobs),
		}
		l.step(dispatch.JobCancelled{Job: key})
		tasks += benchTasks
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tasks), "ns/task")
}
