package slopes

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// virtualStart is the virtual time at which measurements without a peer begin.
var virtualStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// MeasureWithoutPeer measures all series that need no peer and adds them to the report.
func MeasureWithoutPeer(report *Report, progress io.Writer) error {
	h := &harness{report: report, print: progress}
	for _, part := range []func(*harness) error{
		(*harness).coreByAgents, (*harness).coreByQueue, (*harness).coreEndedJobs,
		(*harness).folds, (*harness).snapshots, (*harness).configChanges, (*harness).directory, (*harness).messages,
	} {
		if err := part(h); err != nil {
			return err
		}
	}
	return nil
}

// coreHarness drives a dispatch core in virtual time. Starts remain unanswered
// until answerOldest is called.
type coreHarness struct {
	core   *dispatch.Core
	now    time.Time
	seq    message.Sequence
	credit message.CreditID
	jobs   int
	// unanswered holds the starts that have not been answered, oldest first.
	unanswered []dispatch.Send
	answers    int
}

const coreShard = 0

func mustPolicy[T any](id kernel.ModuleID) func() T {
	return func() T {
		p, err := kernel.Load[T](id)
		if err != nil {
			panic(err)
		}
		return p
	}
}

func newCoreHarness() *coreHarness { return newCoreHarnessWith(64 << 20) }

// newCoreHarnessWith returns a harness whose core keeps at most answerBytes bytes of
// answers of ended jobs.
func newCoreHarnessWith(answerBytes int64) *coreHarness {
	h := &coreHarness{now: virtualStart}
	h.core = dispatch.New(dispatch.Options{
		Incarnation: 7, Service: serviceName, AgentTimeout: time.Hour, TakeoverTimeout: time.Second,
		ResubmitWindow: 10 * time.Minute, ClockSkew: time.Second, AnswerBytes: answerBytes, UnmetNeedTimeout: time.Second,
		NewQueue:     mustPolicy[dispatch.Queue]("queueing.fair"),
		NewPlacement: mustPolicy[dispatch.Placement]("placement.credit"),
		NewAdmission: mustPolicy[dispatch.Admission]("admission.open"),
	})
	h.step(dispatch.Configured{Service: config.Service{Name: serviceName}})
	h.step(dispatch.LeaseChanged{Until: virtualStart.Add(1000 * time.Hour)})
	h.step(dispatch.ShardAcquired{Shard: coreShard, Epoch: 1, First: true})
	return h
}

func (h *coreHarness) step(ev dispatch.Event) {
	for _, action := range h.core.Step(h.now, ev) {
		switch a := action.(type) {
		case dispatch.Send:
			if a.Message.Kind() == message.KindStart {
				h.unanswered = append(h.unanswered, a)
			}
		case dispatch.Reply:
			h.answers++
		}
	}
}

// connect connects the agents with numbers in [from, to), each with one endpoint
// of the given number of slots.
func (h *coreHarness) connect(from, to, slots int) {
	for i := from; i < to; i++ {
		session := dispatch.Session(i + 1)
		h.step(dispatch.AgentConnected{Session: session, Agent: fmt.Sprintf("worker-%04d", i), Incarnation: 1, Registered: true})
		h.deliver(session, &message.Announce{Service: serviceName, Sequence: h.nextSequence(), Endpoints: []message.EndpointInfo{{Name: "endpoint-1", Slots: slots}}})
		h.deliver(session, &message.Credits{Service: serviceName, Sequence: h.nextSequence(), Grants: h.grants(slots)})
	}
}

func (h *coreHarness) nextSequence() message.Sequence {
	h.seq++
	return h.seq
}

func (h *coreHarness) grants(n int) []message.Grant {
	grants := make([]message.Grant, n)
	for i := range grants {
		h.credit++
		grants[i] = message.Grant{Credit: h.credit, Endpoint: "endpoint-1"}
	}
	return grants
}

func (h *coreHarness) deliver(s dispatch.Session, m message.Message) {
	h.step(dispatch.AgentMessage{Session: s, Message: m})
}

func (h *coreHarness) submit(tasks int) {
	h.jobs++
	m := &message.Submit{
		Service: serviceName, Shard: coreShard, SubmittedAt: h.now.UnixMilli(), Fingerprint: 1,
		Job:   message.JobKey{Team: "kiln", Caller: fmt.Sprint("desk-", h.jobs%50), Job: fmt.Sprintf("job-%08d", h.jobs)},
		Tasks: make([]message.Task, tasks),
	}
	for i := range m.Tasks {
		m.Tasks[i] = message.Task{Method: "POST", Path: "/labels", Body: body(typicalBody)}
	}
	h.step(dispatch.JobSubmitted{Waiter: dispatch.Waiter{Relay: 1, Request: uint64(h.jobs)}, Submit: m})
}

// answerOldest answers the oldest start with a result that grants a new credit for
// its slot.
func (h *coreHarness) answerOldest() {
	s := h.unanswered[0]
	h.unanswered = h.unanswered[1:]
	start := s.Message.(*message.Start)
	h.now = h.now.Add(100 * time.Microsecond)
	h.deliver(s.Session, &message.Result{
		Service: serviceName, ID: start.ID, Sequence: h.nextSequence(), Grants: h.grants(1),
		Result: message.TaskResult{Verdict: verdict.Ran, Status: 200, Body: body(typicalBody), Endpoint: "endpoint-1", RunMicros: 300_000},
	})
}

// samplesPerOperation is the number of values that microsPerOperation returns.
const samplesPerOperation = 5

// microsPerOperation returns coreSamples values of the mean processor time of an
// operation over n calls, in microseconds.
func microsPerOperation(n int, operation func()) []float64 {
	var values []float64
	for range samplesPerOperation {
		took := cpuTimeOf(func() {
			for range n {
				operation()
			}
		})
		values = append(values, micros(took)/float64(n))
	}
	return values
}

func (h *harness) coreByAgents() error {
	start := Series{Name: CoreAgentsStartCPU, Driver: "agents", Unit: "us/start", Note: "submission, start and result of jobs of one task, half of the slots in use"}
	heartbeat := Series{Name: CoreAgentsHeartbeatCPU, Driver: "agents", Unit: "us/heartbeat"}
	memory := Series{Name: CoreAgentsMemory, Driver: "agents", Unit: "B", Note: "8 slots each"}
	for _, agents := range []int{10, 100, 700, 1400, 2800} {
		c := newCoreHarness()
		before := liveMemory()
		c.connect(0, agents, 8)
		memory.Points = append(memory.Points, summarize(float64(agents), []float64{liveMemory() - before}))
		for range agents * 4 {
			c.submit(1)
		}
		start.Points = append(start.Points, summarize(float64(agents), microsPerOperation(5000, func() { c.submit(1); c.answerOldest() })))
		i := 0
		heartbeat.Points = append(heartbeat.Points, summarize(float64(agents), microsPerOperation(20000, func() {
			i++
			c.now = c.now.Add(time.Second / time.Duration(agents))
			c.deliver(dispatch.Session(i%agents+1), &message.Heartbeat{Sequence: c.nextSequence()})
		})))
		runtime.KeepAlive(c)
	}
	h.add(start, heartbeat, memory)
	return nil
}

func (h *harness) coreByQueue() error {
	start := Series{Name: CoreQueueStartCPU, Driver: "log2 of queued tasks", Unit: "us/start", Note: "100 agents, all slots in use; each result starts the next queued task"}
	memory := Series{Name: CoreQueueMemory, Driver: "queued tasks", Unit: "B", Note: "jobs of 10 tasks, 200 B bodies included"}
	for _, queued := range []int{10, 100, 1000, 10_000, 100_000} {
		c := newCoreHarness()
		c.connect(0, 100, 8)
		c.submit(800)
		before := liveMemory()
		for range queued / 10 {
			c.submit(10)
		}
		memory.Points = append(memory.Points, summarize(float64(queued), []float64{liveMemory() - before}))
		i := 0
		values := microsPerOperation(2000, func() {
			if i++; i%10 == 0 {
				c.submit(10)
			}
			c.answerOldest()
		})
		start.Points = append(start.Points, summarize(math.Log2(float64(queued)), values))
		runtime.KeepAlive(c)
	}
	h.add(start, memory)
	return nil
}

func (h *harness) coreEndedJobs() error {
	withAnswers := Series{Name: CoreEndedJobMemory, Driver: "ended jobs remembered", Unit: "B", Note: "jobs of one task, answers of 200 B"}
	withoutAnswers := Series{Name: CoreEndedJobMemoryWithoutAnswers, Driver: withAnswers.Driver, Unit: "B", Note: "answers evicted"}
	withAnswers.Points = endedJobMemory(64 << 20)
	withoutAnswers.Points = endedJobMemory(1)
	h.add(withAnswers, withoutAnswers)
	return nil
}

func endedJobMemory(answerBytes int64) []Point {
	c := newCoreHarnessWith(answerBytes)
	c.connect(0, 100, 8)
	before := liveMemory()
	var points []Point
	done := 0
	for _, jobs := range []int{0, 10_000, 20_000, 40_000} {
		for ; done < jobs; done++ {
			c.submit(1)
			c.answerOldest()
		}
		points = append(points, summarize(float64(jobs), []float64{liveMemory() - before}))
	}
	runtime.KeepAlive(c)
	return points
}
