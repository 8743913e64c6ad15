package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/evacuation"
	"marjoramlug.example/marjoramlug/pool/executor"
	"marjoramlug.example/marjoramlug/pool/subset"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/telemetry"
	"marjoramlug.example/marjoramlug/transport"
)

const (
	// AgentTick is the interval at which an agent advances its core without other
	// events: a quarter of its heartbeat.
	AgentTick = 25 * time.Millisecond
	// eventQueue is the number of queued events above which senders block.
	eventQueue = 4096
)

// Endpoint carries out an agent's calls to its endpoint. Each method returns when
// the endpoint has answered or ctx is done. Poll renews the leases.
type Endpoint interface {
	Start(ctx context.Context, call executor.StartCall) executor.StartAnswered
	Stop(ctx context.Context, call executor.StopCall) executor.StopAnswered
	Poll(ctx context.Context, call executor.PollCall) executor.PollAnswered
}

// AgentOptions holds the dependencies of an agent.
type AgentOptions struct {
	Network  transport.Network
	Endpoint Endpoint
	Metrics  *telemetry.Registry
	Log      *telemetry.EventLog
	Version  string
}

// Agent runs tasks at one endpoint. Call Run once.
type Agent struct {
	settings settings.PoolAgent
	opts     AgentOptions
	core     *executor.Core
	sessions *sessions
	dialer   *dialer
	calls    *calls
	events   chan agentEvent
	drained  chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
}

// agentEvent is an event for the core; done, if set, is closed after the event has
// been processed.
type agentEvent struct {
	event executor.Event
	done  chan struct{}
}

// NewAgent returns an agent; Run starts it.
func NewAgent(s settings.PoolAgent, o AgentOptions) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		settings: s, opts: o, sessions: newSessions(),
		core: executor.New(executor.Options{
			Lease: s.Timing.Lease, HeartbeatTimeout: s.Timing.HeartbeatTimeout, FirstFence: time.Now().UnixMilli(),
			Zone: s.Zone, EvacuationRequired: s.Evacuation != nil,
		}),
		events:  make(chan agentEvent, eventQueue),
		drained: make(chan struct{}),
		ctx:     ctx, cancel: cancel,
	}
	a.calls = &calls{ctx: ctx, post: a.post}
	self := message.Hello{
		Role: message.RoleAgent, Name: s.Name, Incarnation: rand.Uint64() | 1,
		Zone: s.Zone, Region: s.Region, Version: o.Version,
	}
	a.dialer = newDialer(o.Network, self, a)
	return a
}

// Run processes events until Close is called.
func (a *Agent) Run() {
	ticker := time.NewTicker(AgentTick)
	defer ticker.Stop()
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
			a.step(executor.Tick{})
		case e := <-a.events:
			a.step(e.event)
			if e.done != nil {
				close(e.done)
			}
		case <-publish.C:
			a.publish()
			a.releaseSurplus()
		}
	}
}

// SetEntries replaces the addresses of the entries. The agent connects to the ones
// that it prefers, up to its connection limit.
func (a *Agent) SetEntries(addresses []string) {
	a.dialer.set(a.ctx, subset.Preference(a.settings.Name, addresses), subset.Limit(len(addresses), a.settings.Fanout))
}

// Announce processes an endpoint's announcement of itself and returns when it has
// taken effect.
func (a *Agent) Announce(ev executor.EndpointAnnounced) { a.postAndWait(ev) }

// LearnEvacuation processes a state of the evacuated zones that was read from the operator's
// history. readAt is the time since boot at which the read began.
func (a *Agent) LearnEvacuation(s evacuation.State, readAt time.Duration) {
	a.post(executor.EvacuationLearned{State: s, ReadAt: readAt})
}

// Leave reports that the named endpoint is about to end, and returns when that has
// taken effect.
func (a *Agent) Leave(name string) { a.postAndWait(executor.EndpointLeft{Name: name}) }

// Drain refuses new tasks and returns nil when the last one has ended and its end
// has been acknowledged, or the cause of ctx when ctx is done.
func (a *Agent) Drain(ctx context.Context) error {
	a.post(executor.StopRequested{})
	select {
	case <-a.drained:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close stops the agent and closes its connections without draining.
func (a *Agent) Close() {
	a.cancel()
	for _, c := range a.sessions.all() {
		c.Close()
	}
}

func (a *Agent) post(ev executor.Event) {
	select {
	case a.events <- agentEvent{event: ev}:
	case <-a.ctx.Done():
	}
}

func (a *Agent) postAndWait(ev executor.Event) {
	done := make(chan struct{})
	select {
	case a.events <- agentEvent{event: ev, done: done}:
	case <-a.ctx.Done():
		return
	}
	select {
	case <-done:
	case <-a.ctx.Done():
	}
}

// Connected implements transport.Handler.
func (a *Agent) Connected(c transport.Conn) {
	id := a.sessions.add(c)
	peer := c.Peer()
	a.post(executor.SessionOpened{Session: executor.Session(id), Entry: peer.Name, Incarnation: peer.Incarnation})
}

// Received implements transport.Handler.
func (a *Agent) Received(c transport.Conn, m message.Message) {
	if orders, ok := m.(*message.RunOrders); ok {
		a.post(executor.OrdersReceived{Session: executor.Session(a.sessions.id(c)), Orders: orders})
	}
}

// Disconnected implements transport.Handler.
func (a *Agent) Disconnected(c transport.Conn, cause error) {
	id := a.sessions.remove(c)
	a.post(executor.SessionClosed{Session: executor.Session(id)})
	a.opts.Log.Failure().Str("event", "entry disconnected").Str("entry", c.Peer().Name).Err(cause).Msg("")
}

func (a *Agent) step(ev executor.Event) {
	for _, action := range a.core.Step(kernel.SinceBoot(), ev) {
		a.perform(action)
	}
}

func (a *Agent) perform(action executor.Action) {
	switch action := action.(type) {
	case executor.StartCall:
		a.calls.add(call{action.Timeout, func(ctx context.Context) executor.Event { return a.opts.Endpoint.Start(ctx, action) }})
	case executor.StopCall:
		a.calls.add(call{action.Timeout, func(ctx context.Context) executor.Event { return a.opts.Endpoint.Stop(ctx, action) }})
	case executor.PollCall:
		// Polls renew the leases of all runs, so they don't wait behind other calls.
		go a.calls.carryOut(call{action.Timeout, func(ctx context.Context) executor.Event { return a.opts.Endpoint.Poll(ctx, action) }})
	case executor.SendReport:
		a.logEnds(action.Report)
		a.sessions.send(uint64(action.Session), action.Report)
	case executor.CloseSession:
		a.sessions.close(uint64(action.Session))
	case executor.Note:
		a.note(action)
	case executor.EndpointCrashed:
		a.logCrash(action.Crash)
	case executor.EvacuationProgressed:
		logEvacuation(a.opts.Log, action.Progress)
	case executor.Drained:
		close(a.drained)
	}
}

// releaseSurplus releases the sessions with entries that the agent does not have to
// serve. It connected to them while preferred entries were unreachable.
func (a *Agent) releaseSurplus() {
	for _, c := range a.dialer.surplus() {
		a.step(executor.SessionSurplus{Session: executor.Session(a.sessions.id(c))})
	}
}

func (a *Agent) note(n executor.Note) {
	line := a.opts.Log.Failure()
	line.Str("event", n.What).Str("subject", n.Subject).Str("detail", n.Detail)
	if n.Run.Job != "" {
		line.Str("job", n.Run.Job).Int("task", n.Run.Task).Int64("run", n.Run.Number)
	}
	line.Msg("")
}

// maxLoggedRuns bounds the runs in the log line of a crash.
const maxLoggedRuns = 64

// logCrash logs a crash of the endpoint with the runs that were on it, the youngest
// first, each as job, task, run, queue and age in milliseconds, and unconfirmed if the
// endpoint was never seen to have it.
func (a *Agent) logCrash(crash *message.EndpointCrash) {
	var runs []string
	for _, r := range slices.Backward(crash.Runs) {
		if len(runs) < maxLoggedRuns {
			state := ""
			if r.Unconfirmed {
				state = " unconfirmed"
			}
			runs = append(runs, fmt.Sprintf("%s.%d/%d %s %d%s", r.Run.Job, r.Run.Task, r.Run.Number, r.Queue, r.AgeMillis, state))
		}
	}
	a.opts.Log.Failure().Str("event", "endpoint crashed").Str("endpoint", crash.Endpoint).
		Int64("incarnation", crash.Incarnation).Int("count", len(crash.Runs)).Strs("runs", runs).Msg("")
}

// logEnds logs the end of each run: completed runs as routine lines, others as
// failures.
func (a *Agent) logEnds(r *message.RunReport) {
	for _, e := range r.Ends {
		line := a.opts.Log.Routine
		if e.Outcome != message.RunDone {
			line = a.opts.Log.Failure
		}
		line().Str("event", "run ended").Str("job", e.Run.Job).Int("task", e.Run.Task).Int64("run", e.Run.Number).
			Str("outcome", e.Outcome.String()).Str("cause", e.Cause.String()).Int64("ms", e.Millis).Msg("")
	}
}

// publishInterval is the interval at which the cores' counters are published as
// metrics, agents release surplus sessions and entries report their waiting jobs to
// each other.
const publishInterval = time.Second

// StateInterval is the interval at which an entry broadcasts its state to the others.
const StateInterval = publishInterval

func (a *Agent) publish() {
	counters := a.core.Counters()
	m := a.opts.Metrics
	m.Set("runs.alive", int64(a.core.Runs()))
	m.Set("runs.accepted", counters.Accepted)
	m.Set("runs.orphaned", counters.Orphaned)
	m.Set("runs.foreign", counters.UnknownRuns)
	m.Set("endpoint.resyncs", counters.PromptPolls)
	m.Set("endpoint.starts_repeated", counters.RepeatedStarts)
	m.Set("room.offers", counters.Offers)
	m.Set("endpoint.crashes", counters.Crashes)
	m.Set("runs.crashed", counters.CrashedRuns)
	active, evacuated := a.core.Evacuated()
	m.Set("evacuation.active", 0)
	if active {
		m.Set("evacuation.active", 1)
	}
	m.Set("evacuation.seconds", int64(evacuated/time.Second))
	m.Set("evacuation.starts", counters.EvacuatedStarts)
	publishEnds(m, counters.Ended[:], counters.Refused[:])
	publishOmitted(m, a.opts.Log)
}

func logEvacuation(l *telemetry.EventLog, p evacuation.Progress) {
	l.Lifecycle().Str("event", string(p.Phase)).Str("zone", p.Zone).Int64("version", p.Version).Str("source", p.Source).
		Int("endpoints", p.Endpoints).Int("runs", p.Runs).Msg("")
}

func publishOmitted(m *telemetry.Registry, l *telemetry.EventLog) {
	if n := l.TakeOmitted(); n > 0 {
		m.Add("log.omitted", n)
		l.Lifecycle().Str("event", "lines left out").Int64("count", n).Msg("")
	}
}

func publishEnds(m *telemetry.Registry, ended, refused []int64) {
	for i, n := range ended {
		if n > 0 {
			m.Set("runs.ended."+message.RunOutcome(i).String(), n)
		}
	}
	for i, n := range refused {
		if n > 0 {
			m.Set("runs.refused."+message.RunCause(i).String(), n)
		}
	}
}
