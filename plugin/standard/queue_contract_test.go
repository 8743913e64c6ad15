package standard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
)

// eachModule runs a test for each plug-in of a kind.
func eachModule[T any](t *testing.T, kind string, run func(t *testing.T, newModule func() T)) {
	ids := kernel.Modules(kind)
	if len(ids) < 2 {
		t.Fatalf("kind %s has no baseline: %v", kind, ids)
	}
	for _, id := range ids {
		t.Run(string(id), func(t *testing.T) {
			run(t, func() T {
				module, err := kernel.Load[T](id)
				is.New(t).NoErr(err)
				return module
			})
		})
	}
}

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// queueModel is the reference model of a queue: the waiting and the running
// tasks, and what keeps a task from running.
type queueModel struct {
	queue        dispatch.Queue
	now          time.Time
	waiting      []*dispatch.QueuedTask
	running      []*dispatch.QueuedTask
	byCaller     map[string]int
	byTeam       map[string]int
	blockedNeeds map[dispatch.Need]bool
	limit        int
	jobs         uint64
}

func (m *queueModel) canRun(t *dispatch.QueuedTask) bool {
	return m.NeedMet(t.Need, 0) && m.TeamBelowLimit(t) && m.CallerBelowLimit(t)
}

// The model is also the dispatch.Gate of gated queues.

func (m *queueModel) NeedMet(need dispatch.Need, _ int) bool { return !m.blockedNeeds[need] }

func (m *queueModel) TeamBelowLimit(t *dispatch.QueuedTask) bool {
	return m.byTeam[t.Team] < 2*m.limit
}

func (m *queueModel) CallerBelowLimit(t *dispatch.QueuedTask) bool {
	return m.byCaller[t.Team+"/"+t.Caller] < m.limit
}

// nextTask calls Next, or at random NextGated if the queue is gated.
func (m *queueModel) nextTask(t *rapid.T) *dispatch.QueuedTask {
	gated, ok := m.queue.(dispatch.GatedQueue)
	if ok && rapid.Bool().Draw(t, "gated") {
		return gated.NextGated(m.now, m)
	}
	return m.queue.Next(m.now, m.canRun)
}

// charge changes the numbers of running tasks of the task's team and caller.
func (m *queueModel) charge(t *dispatch.QueuedTask, by int) {
	m.byTeam[t.Team] += by
	m.byCaller[t.Team+"/"+t.Caller] += by
}

func (m *queueModel) push(t *rapid.T) {
	m.jobs++
	remaining := rapid.IntRange(1, 5).Draw(t, "tasks")
	team := fmt.Sprintf("team%d", rapid.IntRange(0, 2).Draw(t, "team"))
	caller := fmt.Sprintf("caller%d", rapid.IntRange(0, 3).Draw(t, "caller"))
	urgent := rapid.Bool().Draw(t, "urgent")
	for range remaining {
		task := &dispatch.QueuedTask{
			Team: team, Caller: caller, Urgent: urgent, JobSeq: m.jobs, JobRemaining: &remaining,
			Need: dispatch.Need{Memory: int64(rapid.IntRange(0, 1).Draw(t, "need"))},
		}
		m.waiting = append(m.waiting, task)
		m.queue.Push(m.now, task)
	}
}

func (m *queueModel) next(t *rapid.T) {
	got := m.nextTask(t)
	if got == nil {
		for _, task := range m.waiting {
			if m.canRun(task) {
				t.Fatalf("nothing started although a task of %s/%s can run", task.Team, task.Caller)
			}
		}
		return
	}
	if !m.canRun(got) {
		t.Fatalf("started a task that cannot run")
	}
	m.waiting = without(t, m.waiting, got)
	m.running = append(m.running, got)
	m.charge(got, 1)
}

// without returns tasks without removed, and fails if it is not among them.
func without(t *rapid.T, tasks []*dispatch.QueuedTask, removed *dispatch.QueuedTask) []*dispatch.QueuedTask {
	for i, task := range tasks {
		if task == removed {
			return append(tasks[:i:i], tasks[i+1:]...)
		}
	}
	t.Fatalf("the queue returned a task that it did not hold")
	return nil
}

func (m *queueModel) end(t *rapid.T, requeue bool) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	task := rapid.SampledFrom(m.running).Draw(t, "running")
	m.running = without(t, m.running, task)
	m.charge(task, -1)
	if !requeue {
		*task.JobRemaining--
	}
	m.notifyEnded(task)
	if requeue {
		m.waiting = append(m.waiting, task)
		m.queue.Requeue(m.now, task)
	}
}

func (m *queueModel) remove(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("nothing waits")
	}
	task := rapid.SampledFrom(m.waiting).Draw(t, "waiting")
	m.waiting = without(t, m.waiting, task)
	m.queue.Remove(task)
}

func (m *queueModel) check(t *rapid.T) {
	urgent := 0
	for _, task := range m.waiting {
		if task.Urgent {
			urgent++
		}
	}
	if m.queue.Len() != len(m.waiting) || m.queue.Urgent() != urgent {
		t.Fatalf("queue holds %d tasks, %d of them urgent; want %d, %d", m.queue.Len(), m.queue.Urgent(), len(m.waiting), urgent)
	}
}

// Each pushed task is returned once, a queue always returns a task while one can
// run, and it never returns one that cannot.
func TestQueueStartsEachTaskOnce(t *testing.T) {
	eachModule(t, "queueing", func(t *testing.T, newModule func() dispatch.Queue) {
		rapid.Check(t, func(t *rapid.T) {
			m := &queueModel{queue: newModule(), now: noon, byCaller: map[string]int{}, byTeam: map[string]int{}, blockedNeeds: map[dispatch.Need]bool{}}
			m.limit = rapid.IntRange(1, 4).Draw(t, "limit")
			t.Repeat(map[string]func(*rapid.T){
				"push":    m.push,
				"next":    m.next,
				"end":     func(t *rapid.T) { m.end(t, false) },
				"requeue": func(t *rapid.T) { m.end(t, true) },
				"remove":  m.remove,
				"need": func(t *rapid.T) {
					need := dispatch.Need{Memory: int64(rapid.IntRange(0, 1).Draw(t, "need"))}
					m.blockedNeeds[need] = !m.blockedNeeds[need]
				},
				"weights": func(t *rapid.T) {
					weight := rapid.IntRange(0, 4).Draw(t, "weight")
					m.queue.Configure(config.Service{Teams: []config.Team{{Name: "team1", Weight: weight}}})
				},
				"": m.check,
			})
			m.drain(t)
		})
	})
}

// drain ends all running tasks and starts and ends all waiting ones, after which
// the queue must be empty.
func (m *queueModel) drain(t *rapid.T) {
	clear(m.blockedNeeds)
	m.endAll()
	for range len(m.waiting) {
		m.next(t)
		m.endAll()
	}
	m.check(t)
	if len(m.waiting) != 0 {
		t.Fatalf("%d tasks were never returned", len(m.waiting))
	}
}

func (m *queueModel) endAll() {
	for _, task := range m.running {
		m.charge(task, -1)
		m.notifyEnded(task)
	}
	m.running = nil
}

func (m *queueModel) notifyEnded(task *dispatch.QueuedTask) {
	if gated, ok := m.queue.(dispatch.GatedQueue); ok {
		gated.RunEnded(task.Team, task.Caller)
	}
	if observer, ok := m.queue.(dispatch.ProgressObserver); ok {
		observer.Progressed(task)
	}
}
