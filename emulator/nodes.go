package emulator

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/executor"
	"marjoramlug.example/marjoramlug/pool/node"
	"marjoramlug.example/marjoramlug/pool/scheduler"
	"marjoramlug.example/marjoramlug/pool/subset"
	"marjoramlug.example/marjoramlug/settings"
)

const (
	// service is the name of the only service.
	service = "service"
	// stepCost and eventCost are the processor time of a step of an entry and of each
	// event in it, on one core.
	stepCost  = 60 * time.Microsecond
	eventCost = 60 * time.Microsecond
)

// timing is the timing of the users' pools, with the product's defaults.
func timing() settings.Timing {
	t := settings.Timing{Lease: time.Second, StopTime: 50 * time.Millisecond, ResubmitDelay: 1300 * time.Millisecond}
	t.ApplyDefaults()
	return t
}

// settings returns the entry's settings under the policy that is played.
func (n *entryNode) settings() settings.PoolEntry {
	x := n.sim.experiment
	s := settings.PoolEntry{
		Timing: timing(), LoadSharing: x.Fleet.LoadSharing, Reservations: n.sim.policy == PolicyReservations,
	}
	s.Zone = n.zone
	if n.sim.policy == PolicySharing {
		s.Sharing.Floor = x.SharingFloor
	}
	s.ApplyDefaults()
	return s
}

func agentSettings() settings.PoolAgent {
	s := settings.PoolAgent{Timing: timing()}
	s.ApplyDefaults()
	return s
}

// entryNode is an entry: its core and the events that wait for its processor.
type entryNode struct {
	sim    *simulation
	name   string
	zone   string
	cores  float64
	weight float64
	core   *scheduler.Core
	// life numbers the incarnations of the process; alive is false between two.
	life  uint64
	alive bool
	inbox []scheduler.Event
	// planned is set while a step is planned; busyUntil is the end of the last one.
	planned   bool
	busyUntil time.Duration
	busy      time.Duration
	// unreported lists the completed jobs of which the other entries have not been told.
	unreported message.CompletedJobs
}

func (n *entryNode) boot() {
	n.life++
	n.alive, n.inbox, n.planned = true, nil, false
	n.core = scheduler.New(node.SchedulerOptions(n.settings()))
	n.unreported = message.CompletedJobs{}
	for _, other := range n.sim.entries {
		if other != n && other.alive {
			n.deliverLater(scheduler.CrashesShared{Notice: other.core.RecentCrashes()})
		}
	}
	n.sim.connectPeers(n)
}

func (n *entryNode) deliver(ev scheduler.Event) {
	if !n.alive {
		return
	}
	n.inbox = append(n.inbox, ev)
	n.plan()
}

func (n *entryNode) plan() {
	if n.planned || len(n.inbox) == 0 {
		return
	}
	n.planned = true
	life := n.life
	n.sim.clock.at(n.busyUntil, func() {
		if n.life == life && n.alive {
			n.step()
		}
	})
}

// step processes the events that wait. What it decides leaves when the processor has
// done the work.
func (n *entryNode) step() {
	n.planned = false
	batch := n.inbox[:min(len(n.inbox), node.EventBatch)]
	n.inbox = n.inbox[len(batch):]
	took := time.Duration(float64(stepCost+time.Duration(len(batch))*eventCost) / n.cores)
	n.busyUntil = n.sim.clock.now + took
	n.busy += took
	life := n.life
	for _, action := range n.core.Step(n.sim.clock.now, batch...) {
		n.sim.clock.at(n.busyUntil, func() {
			if n.life == life && n.alive {
				n.perform(action)
			}
		})
	}
	n.plan()
}

func (n *entryNode) perform(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.SendOrders:
		n.sim.result.Messages++
		n.sim.links[uint64(action.Session)].toAgent(executor.OrdersReceived{
			Session: executor.Session(action.Session), Orders: action.Orders,
		})
	case scheduler.Disconnect:
		n.sim.links[uint64(action.Session)].close()
	case scheduler.Answer:
		n.sim.answered(action)
	case scheduler.SendForwardOrders, scheduler.SendForwardReport, scheduler.ForwardNote:
		n.sim.forward(action)
	case scheduler.ShareCrashes:
		n.broadcast(scheduler.CrashesShared(action))
	case scheduler.JobEnded:
		if action.Outcome == scheduler.JobCompleted && action.Host == "" {
			n.jobCompleted(action)
		}
	}
}

// deliverLater delivers an event after the delay of a message.
func (n *entryNode) deliverLater(ev scheduler.Event) {
	n.sim.clock.after(n.sim.delay(), func() { n.deliver(ev) })
}

// broadcast sends an event to all other entries.
func (n *entryNode) broadcast(ev scheduler.Event) {
	for _, other := range n.sim.entries {
		if other != n {
			other.deliverLater(ev)
		}
	}
}

// shareLoads sends the loads of the queues to the other entries.
func (n *entryNode) shareLoads() {
	if loads := n.core.QueueLoads(); n.alive && len(loads) > 0 {
		n.broadcast(scheduler.LoadsShared{Entry: n.name, Loads: loads})
	}
}

// jobCompleted tells the other entries of a job, together with those that complete
// within the interval.
func (n *entryNode) jobCompleted(j scheduler.JobEnded) {
	node.AddCompleted(&n.unreported, j)
	if len(n.unreported.Jobs) > 1 {
		return
	}
	life := n.life
	n.sim.clock.after(node.CompletedInterval, func() {
		if n.life == life && n.alive {
			n.broadcast(node.CompletedEvent(&n.unreported))
			n.unreported = message.CompletedJobs{}
		}
	})
}

// kill ends the process; the connections of its callers break.
func (n *entryNode) kill(down time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	n.life++
	n.sim.entryDied(n)
	n.sim.disconnectPeers(n)
	n.sim.clock.after(down, func() {
		n.boot()
		n.sim.reconnect()
	})
}

// agentNode is an agent and its endpoint.
type agentNode struct {
	sim      *simulation
	name     string
	core     *executor.Core
	endpoint *endpoint
	life     uint64
	alive    bool
	// preference lists the entries in the order in which the agent works for them.
	preference []*entryNode
	sessions   map[*entryNode]*link
	connecting map[*entryNode]bool
}

func (a *agentNode) boot() {
	a.life++
	a.alive = true
	a.sessions, a.connecting = map[*entryNode]*link{}, map[*entryNode]bool{}
	a.core = executor.New(executor.Options{
		Lease: a.sim.timing.Lease, HeartbeatTimeout: a.sim.timing.HeartbeatTimeout, FirstFence: a.sim.clock.now.Milliseconds() + 1,
	})
	a.endpoint.announce()
}

func (a *agentNode) kill(down time.Duration) {
	if !a.alive {
		return
	}
	a.alive = false
	a.life++
	for _, l := range a.sessions {
		l.dead = true
	}
	a.sim.clock.after(down, func() {
		a.boot()
		a.sim.reconnect()
	})
}

func (a *agentNode) deliver(ev executor.Event) {
	if !a.alive {
		return
	}
	for _, action := range a.core.Step(a.sim.clock.now, ev) {
		a.perform(action)
	}
}

func (a *agentNode) perform(action executor.Action) {
	e := a.endpoint
	switch c := action.(type) {
	case executor.StartCall:
		e.call(c.Timeout, func() executor.Event { return e.start(c) },
			executor.StartAnswered{Call: c.Call, Run: c.Run, Result: executor.StartNoAnswer},
			executor.StartAnswered{Call: c.Call, Run: c.Run, Result: executor.StartUnreachable})
	case executor.StopCall:
		none := executor.StopAnswered{Call: c.Call, Run: c.Run}
		e.call(c.Timeout, func() executor.Event { return e.stop(c) }, none, none)
	case executor.PollCall:
		e.poll(c)
	case executor.SendReport:
		a.sim.result.Messages++
		a.sim.links[uint64(c.Session)].toEntry(scheduler.AgentReported{Session: scheduler.Session(c.Session), Report: c.Report})
	case executor.CloseSession:
		a.sim.links[uint64(c.Session)].close()
	}
}

// wanted returns the entries that the agent works for: the first reachable ones of
// its preference.
func (a *agentNode) wanted() []*entryNode {
	limit := subset.Limit(len(a.preference), a.sim.experiment.Fleet.Fanout)
	var list []*entryNode
	for _, n := range a.preference {
		if n.alive && (limit == 0 || len(list) < limit) {
			list = append(list, n)
		}
	}
	return list
}
