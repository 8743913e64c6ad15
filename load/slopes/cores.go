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

// begin is the virtual time at which cores begin.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// MeasureCores measures what needs no second process and adds it to the report.
func MeasureCores(report *Report, progress io.Writer) error {
	r := &rig{report: report, print: progress}
	for _, part := range []func(*rig) error{
		(*rig).coreByAgents, (*rig).coreByQueue, (*rig).coreRecords,
		(*rig).folds, (*rig).snapshots, (*rig).configChanges, (*rig).directory, (*rig).messages,
	} {
		if err := part(r); err != nil {
			return err
		}
	}
	return nil
}

// coreRig drives a dispatch core in virtual time, answering each start when
// told to.
type coreRig struct {
	core   *dispatch.Core
	now    time.Time
	stamp  message.Sequence
	credit message.CreditID
	job    int
	// started holds starts that have not been answered.
	started []dispatch.Send
	answers int
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

func newCoreRig() *coreRig { return newCoreRigWith(64 << 20) }

// newCoreRigWith bounds the memory for answers of ended jobs.
func newCoreRigWith(answerBytes int64) *coreRig {
	r := &coreRig{now: begin}
	r.core = dispatch.New(dispatch.Options{
		Incarnation: 7, Service: serviceName, AgentTimeout: time.Hour, TakeoverTimeout: time.Second,
		ResubmitWindow: 10 * time.Minute, ClockSkew: time.Second, AnswerBytes: answerBytes, UnmetNeedTimeout: time.Second,
		NewQueue:     mustPolicy[dispatch.Queue]("queueing.fair"),
		NewPlacement: mustPolicy[dispatch.Placement]("placement.credit"),
		NewAdmission: mustPolicy[dispatch.Admission]("admission.open"),
	})
	r.step(dispatch.Configured{Service: config.Service{Name: serviceName}})
	r.step(dispatch.LeaseChanged{Until: begin.Add(1000 * time.Hour)})
	r.step(dispatch.ShardAcquired{Shard: coreShard, Epoch: 1, First: true})
	return r
}

func (r *coreRig) step(ev dispatch.Event) {
	for _, action := range r.core.Step(r.now, ev) {
		switch a := action.(type) {
		case dispatch.Send:
			if a.Message.Kind() == message.KindStart {
				r.started = append(r.started, a)
			}
		case dispatch.Reply:
			r.answers++
		}
	}
}

// connect adds agents with one endpoint and the given slots each.
func (r *coreRig) connect(from, to, slots int) {
	for i := from; i < to; i++ {
		session := dispatch.Session(i + 1)
		r.step(dispatch.AgentConnected{Session: session, Agent: fmt.Sprintf("worker-%04d", i), Incarnation: 1, Registered: true})
		r.say(session, &message.Announce{Service: serviceName, Sequence: r.next(), Endpoints: []message.EndpointInfo{{Name: "endpoint-1", Slots: slots}}})
		r.say(session, &message.Credits{Service: serviceName, Sequence: r.next(), Grants: r.grants(slots)})
	}
}

func (r *coreRig) next() message.Sequence {
	r.stamp++
	return r.stamp
}

func (r *coreRig) grants(n int) []message.Grant {
	grants := make([]message.Grant, n)
	for i := range grants {
		r.credit++
		grants[i] = message.Grant{Credit: r.credit, Endpoint: "endpoint-1"}
	}
	return grants
}

func (r *coreRig) say(s dispatch.Session, m message.Message) {
	r.step(dispatch.AgentMessage{Session: s, Message: m})
}

func (r *coreRig) submit(tasks int) {
	r.job++
	m := &message.Submit{
		Service: serviceName, Shard: coreShard, SubmittedAt: r.now.UnixMilli(), Fingerprint: 1,
		Job:   message.JobKey{Team: "kiln", Caller: fmt.Sprint("desk-", r.job%50), Job: fmt.Sprintf("job-%08d", r.job)},
		Tasks: make([]message.Task, tasks),
	}
	for i := range m.Tasks {
		m.Tasks[i] = message.Task{Method: "POST", Path: "/labels", Body: body(typicalBody)}
	}
	r.step(dispatch.JobSubmitted{Waiter: dispatch.Waiter{Relay: 1, Request: uint64(r.job)}, Submit: m})
}

// finish answers the oldest start, with a credit for the slot.
func (r *coreRig) finish() {
	s := r.started[0]
	r.started = r.started[1:]
	start := s.Message.(*message.Start)
	r.now = r.now.Add(100 * time.Microsecond)
	r.say(s.Session, &message.Result{
		Service: serviceName, ID: start.ID, Sequence: r.next(), Grants: r.grants(1),
		Result: message.TaskResult{Verdict: verdict.Ran, Status: 200, Body: body(typicalBody), Endpoint: "endpoint-1", RunMicros: 300_000},
	})
}

// coreRuns is how often each core figure is measured.
const coreRuns = 5

// repeated returns the microseconds of one of n operations, several times.
func repeated(n int, operation func()) []float64 {
	var values []float64
	for range coreRuns {
		took := processorOf(func() {
			for range n {
				operation()
			}
		})
		values = append(values, micros(took)/float64(n))
	}
	return values
}

func (r *rig) coreByAgents() error {
	start := Series{Name: CoreAgentsStart, Driver: "agents", Unit: "us/start", Note: "submission, start and result of jobs of one task, half of the slots in use"}
	beat := Series{Name: CoreAgentsBeat, Driver: "agents", Unit: "us/heartbeat"}
	memory := Series{Name: CoreAgentsMemory, Driver: "agents", Unit: "B", Note: "8 slots each"}
	for _, agents := range []int{10, 100, 700, 1400, 2800} {
		c := newCoreRig()
		before := liveMemory()
		c.connect(0, agents, 8)
		memory.Points = append(memory.Points, summarize(float64(agents), []float64{liveMemory() - before}))
		for range agents * 4 {
			c.submit(1)
		}
		start.Points = append(start.Points, summarize(float64(agents), repeated(5000, func() { c.submit(1); c.finish() })))
		i := 0
		beat.Points = append(beat.Points, summarize(float64(agents), repeated(20000, func() {
			i++
			c.now = c.now.Add(time.Second / time.Duration(agents))
			c.say(dispatch.Session(i%agents+1), &message.Heartbeat{Sequence: c.next()})
		})))
		runtime.KeepAlive(c)
	}
	r.add(start, beat, memory)
	return nil
}

func (r *rig) coreByQueue() error {
	start := Series{Name: CoreQueueStart, Driver: "log2 of queued tasks", Unit: "us/start", Note: "100 agents, all slots in use; each result starts the next queued task"}
	memory := Series{Name: CoreQueueMemory, Driver: "queued tasks", Unit: "B", Note: "jobs of 10 tasks, 200 B bodies included"}
	for _, queued := range []int{10, 100, 1000, 10_000, 100_000} {
		c := newCoreRig()
		c.connect(0, 100, 8)
		c.submit(800)
		before := liveMemory()
		for range queued / 10 {
			c.submit(10)
		}
		memory.Points = append(memory.Points, summarize(float64(queued), []float64{liveMemory() - before}))
		i := 0
		values := repeated(2000, func() {
			if i++; i%10 == 0 {
				c.submit(10)
			}
			c.finish()
		})
		start.Points = append(start.Points, summarize(math.Log2(float64(queued)), values))
		runtime.KeepAlive(c)
	}
	r.add(start, memory)
	return nil
}

func (r *rig) coreRecords() error {
	with := Series{Name: CoreRecordMemory, Driver: "ended jobs remembered", Unit: "B", Note: "jobs of one task, answers of 200 B"}
	without := Series{Name: CoreRecordBare, Driver: with.Driver, Unit: "B", Note: "answers evicted"}
	with.Points = recordMemory(64 << 20)
	without.Points = recordMemory(1)
	r.add(with, without)
	return nil
}

func recordMemory(answerBytes int64) []Point {
	c := newCoreRigWith(answerBytes)
	c.connect(0, 100, 8)
	before := liveMemory()
	var points []Point
	done := 0
	for _, jobs := range []int{0, 10_000, 20_000, 40_000} {
		for ; done < jobs; done++ {
			c.submit(1)
			c.finish()
		}
		points = append(points, summarize(float64(jobs), []float64{liveMemory() - before}))
	}
	runtime.KeepAlive(c)
	return points
}
