package dispatch_test

import (
	"cmp"
	"container/heap"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	_ "marjoramlug.example/marjoramlug/plugin/standard"
)

const (
	simService   = "service"
	agentTimeout = 3 * time.Second
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// policySet names the plug-ins of a simulation. With push, agents grant more
// credits than slots and queue the tasks that they cannot run yet.
type policySet struct {
	name                           string
	queueing, placement, admission kernel.ModuleID
	push                           bool
}

// sim runs cores and simulated backends in virtual time.
type sim struct {
	policy     policySet
	now        time.Duration
	eventQueue eventQueue
	seq        int
	cores      []*dispatch.Core
	backends   []*backend
	results    *measurement
	// arrived lists the jobs submitted so far.
	arrived []*arrival
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), a[i].seq-a[j].seq) < 0
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func load[T any](id kernel.ModuleID) func() T {
	return func() T {
		module, err := kernel.Load[T](id)
		if err != nil {
			panic(err)
		}
		return module
	}
}

func newSim(policy policySet, owners int, service config.Service, backends []*backend) *sim {
	s := &sim{policy: policy, backends: backends, results: newMeasurement()}
	service.Name, service.Owners = simService, owners
	if policy.push {
		// With push, owners have enough credits and exchange none.
		service.Owners = 1
	}
	for i := range owners {
		s.cores = append(s.cores, dispatch.New(dispatch.Options{
			Incarnation: uint64(i + 1), Service: simService, Zone: "zone-a",
			AgentTimeout: agentTimeout, TakeoverTimeout: agentTimeout, ResubmitWindow: time.Minute,
			ClockSkew: time.Second, AnswerBytes: 1 << 24, UnmetNeedTimeout: agentTimeout,
			NewQueue: load[dispatch.Queue](policy.queueing),
			NewPlacement: func() dispatch.Placement {
				p := load[dispatch.Placement](policy.placement)()
				if asks, ok := p.(prober); ok {
					s.results.probers = append(s.results.probers, asks)
				}
				return p
			},
			NewAdmission: load[dispatch.Admission](policy.admission),
		}))
		s.step(i, dispatch.Configured{Service: service})
		s.step(i, dispatch.LeaseChanged{Until: epoch.Add(24 * time.Hour)})
	}
	for shard := range message.ShardsPerService {
		s.step(shard%owners, dispatch.ShardAcquired{Shard: shard, Epoch: 1, First: true})
	}
	for b := range backends {
		s.connect(b)
	}
	s.at(0, s.sendHeartbeats)
	return s
}

// at schedules an event. Events with the same time run in scheduling order.
func (s *sim) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.eventQueue, scheduledEvent{at: max(t, s.now), seq: s.seq, do: do})
}

// run runs the scheduled events up to the time end.
func (s *sim) run(end time.Duration) {
	for len(s.eventQueue) > 0 && s.eventQueue[0].at <= end {
		next := heap.Pop(&s.eventQueue).(scheduledEvent)
		s.now = next.at
		next.do()
	}
}

// step passes an event to an owner's core and schedules its actions.
func (s *sim) step(o int, ev dispatch.Event) {
	for _, action := range s.cores[o].Step(epoch.Add(s.now), ev) {
		switch a := action.(type) {
		case dispatch.Send:
			s.at(s.now, func() { s.toBackend(o, a) })
		case dispatch.Reply:
			s.at(s.now, func() { s.results.answered(s.now, a.Waiter, a.Answer) })
		case dispatch.Wake:
			s.at(a.At.Sub(epoch), func() { s.step(o, dispatch.Tick{}) })
		}
	}
}

func (s *sim) ownerOf(m *message.Submit) int { return m.Shard % len(s.cores) }
