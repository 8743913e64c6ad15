// Package node implements the processes of a pool: entries, which schedule their
// callers' jobs, and agents, which run tasks at endpoints under leases. The
// decisions are made in the packages scheduler and executor; this package
// owns sockets, timers and goroutines.
package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/evacuation"
	"marjoramlug.example/marjoramlug/pool/scheduler"
	"marjoramlug.example/marjoramlug/pool/subset"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/telemetry"
	"marjoramlug.example/marjoramlug/transport"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// EntryTick is the interval at which an entry advances its core without other
	// events: a quarter of the time within which the shortest job must be refused.
	EntryTick = 10 * time.Millisecond
	// EventBatch is the maximum number of events that the core processes in one step.
	EventBatch = 256
)

// EntryOptions holds the dependencies of an entry.
type EntryOptions struct {
	Network transport.Network
	Metrics *telemetry.Registry
	Log     *telemetry.EventLog
	Version string
	// ObserveAcceptQueue and CloseIdleConnections, if set, carry out the actions of these names.
	ObserveAcceptQueue   func()
	CloseIdleConnections func(openedBefore time.Duration)
}

// Entry schedules the jobs of its callers. Call Run once.
type Entry struct {
	settings   settings.PoolEntry
	opts       EntryOptions
	self       message.Hello
	core       *scheduler.Core
	sessions   *sessions
	peers      *peers
	events     chan entryEvent
	lastWaiter atomic.Uint64
	ready      atomic.Bool
	listener   transport.Listener
	ctx        context.Context
	cancel     context.CancelFunc

	// answers and batch are used only by the goroutine that calls Run.
	answers map[scheduler.Waiter]chan message.JobAnswer
	batch   []scheduler.Event
}

// entryEvent is an event for the core, with data that only the event loop needs, or
// a query that reads the core.
type entryEvent struct {
	event scheduler.Event
	// answer, set with JobSubmitted, receives the job's answer.
	answer chan message.JobAnswer
	query  func(*scheduler.Core)
}

// NewEntry returns an entry; Listen and Run start it.
func NewEntry(s settings.PoolEntry, o EntryOptions) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings: s, opts: o, sessions: newSessions(),
		self: message.Hello{
			Role: message.RoleEntry, Name: s.Name, Incarnation: rand.Uint64() | 1,
			Zone: s.Zone, Region: s.Region, Version: o.Version, Address: s.Advertise,
		},
		core:    scheduler.New(SchedulerOptions(s)),
		events:  make(chan entryEvent, eventQueue),
		ctx:     ctx,
		cancel:  cancel,
		answers: map[scheduler.Waiter]chan message.JobAnswer{},
	}
	e.peers = newPeers(e)
	// The first step comes before the first connection, so that the core notices a pause
	// of the process from then on. Without agents and jobs it has no actions.
	e.core.Step(kernel.SinceBoot(), scheduler.Tick{})
	return e
}

// SchedulerOptions returns the options of an entry's core.
func SchedulerOptions(s settings.PoolEntry) scheduler.Options {
	loadSharingPeers := 0
	if s.LoadSharing {
		// In a smaller pool the peers have the same endpoints.
		loadSharingPeers = subset.SmallPool
	}
	return scheduler.Options{
		HeartbeatTimeout: s.Timing.HeartbeatTimeout, Lease: s.Timing.Lease, StopTime: s.Timing.StopTime,
		ResubmitDelay: s.Timing.ResubmitDelay, MaxWaiting: s.MaxWaiting,
		LoadSharingPeers: loadSharingPeers, Zone: s.Zone,
		SharingFloor: s.Sharing.Floor, Reservations: s.Reservations,
	}
}

// Listen accepts connections from agents and other entries.
func (e *Entry) Listen() error {
	listener, err := e.opts.Network.Listen(e.settings.Listen, e.self, e)
	if err != nil {
		return err
	}
	e.listener = listener
	return nil
}

// Run processes events until Close is called.
func (e *Entry) Run() {
	ticker := time.NewTicker(EntryTick)
	defer ticker.Stop()
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	go e.peers.broadcastCompleted()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			e.step(entryEvent{event: scheduler.Tick{}})
		case ev := <-e.events:
			e.step(ev)
		case <-publish.C:
			e.publish()
			e.peers.broadcast(entryState(e.core))
		}
	}
}

// Close stops the entry at once; pending calls of Submit return verdict.MayHaveRun
// with verdict.ReasonStopping.
func (e *Entry) Close() {
	e.cancel()
	if e.listener != nil {
		// The process is about to exit, which closes the sockets; no caller could use
		// an error.
		_ = e.listener.Close()
	}
}

// SetPeers replaces the addresses of the other entries.
func (e *Entry) SetPeers(addresses []string) { e.peers.set(addresses) }

// LearnEvacuation processes a state of the evacuated zones that was read from the operator's
// history.
func (e *Entry) LearnEvacuation(s evacuation.State) {
	e.post(entryEvent{event: scheduler.EvacuationLearned{State: s, Source: "store"}})
}

// Ready reports whether at least one endpoint accepts tasks.
func (e *Entry) Ready() bool { return e.ready.Load() }

// Submit schedules a job and returns its answer. On call, j.Deadline is relative to
// now; Submit changes it to the time since boot, which j.ConnectedAt is already. When
// ctx is done first, the job is abandoned and its tasks are stopped.
func (e *Entry) Submit(ctx context.Context, j *scheduler.Job) message.JobAnswer {
	w := scheduler.Waiter(e.lastWaiter.Add(1))
	answer := make(chan message.JobAnswer, 1)
	j.Deadline += kernel.SinceBoot()
	e.post(entryEvent{event: scheduler.JobSubmitted{Waiter: w, Job: j}, answer: answer})
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		e.post(entryEvent{event: scheduler.WaiterDisconnected{Waiter: w}})
		return message.Refusal(verdict.MayHaveRun, verdict.ReasonCancelled, "the caller's connection ended")
	case <-e.ctx.Done():
		return message.Refusal(verdict.MayHaveRun, verdict.ReasonStopping, "the entry has stopped")
	}
}

// Stop makes the entry refuse new jobs, answer all open ones and stop their runs.
func (e *Entry) Stop() { e.post(entryEvent{event: scheduler.StopRequested{}}) }

func (e *Entry) post(ev entryEvent) {
	select {
	case e.events <- ev:
	case <-e.ctx.Done():
	}
}

// Connected implements transport.Handler.
func (e *Entry) Connected(c transport.Conn) {
	if c.Peer().Role != message.RoleAgent {
		e.peers.links.add(c)
		e.peers.sendState(c)
		return
	}
	id := e.sessions.add(c)
	peer := c.Peer()
	e.post(entryEvent{event: scheduler.AgentConnected{
		Session: scheduler.Session(id), Agent: peer.Name, Incarnation: peer.Incarnation, Zone: peer.Zone,
	}})
}

// Received implements transport.Handler.
func (e *Entry) Received(c transport.Conn, m message.Message) {
	if report, ok := m.(*message.RunReport); ok {
		e.post(entryEvent{event: scheduler.AgentReported{Session: scheduler.Session(e.sessions.id(c)), Report: report}})
		return
	}
	e.peers.received(c, m)
}

// Disconnected implements transport.Handler.
func (e *Entry) Disconnected(c transport.Conn, cause error) {
	if c.Peer().Role != message.RoleAgent {
		e.peers.disconnected(c)
		return
	}
	e.post(entryEvent{event: scheduler.AgentDisconnected{Session: scheduler.Session(e.sessions.remove(c))}})
	e.opts.Log.Failure().Str("event", "agent disconnected").Str("agent", c.Peer().Name).Err(cause).Msg("")
}

// step processes an event together with those queued behind it, up to EventBatch,
// so that the orders for one agent are sent in one message.
func (e *Entry) step(first entryEvent) {
	e.batch = e.batch[:0]
	e.addToBatch(first)
	for len(e.batch) < EventBatch {
		select {
		case ev := <-e.events:
			e.addToBatch(ev)
			continue
		default:
		}
		break
	}
	for _, action := range e.core.Step(kernel.SinceBoot(), e.batch...) {
		e.perform(action)
	}
	e.ready.Store(e.core.Ready())
}

func (e *Entry) addToBatch(ev entryEvent) {
	if ev.query != nil {
		ev.query(e.core)
		return
	}
	if submitted, ok := ev.event.(scheduler.JobSubmitted); ok {
		e.answers[submitted.Waiter] = ev.answer
	}
	if disconnected, ok := ev.event.(scheduler.WaiterDisconnected); ok {
		delete(e.answers, disconnected.Waiter)
	}
	e.batch = append(e.batch, ev.event)
}

func (e *Entry) perform(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.SendOrders:
		e.sessions.send(uint64(action.Session), action.Orders)
	case scheduler.Answer:
		if answer := e.answers[action.Waiter]; answer != nil {
			answer <- action.Answer
			delete(e.answers, action.Waiter)
		}
	case scheduler.Disconnect:
		e.sessions.close(uint64(action.Session))
	case scheduler.SendForwardOrders:
		e.peers.links.send(uint64(action.Peer), action.Orders)
	case scheduler.SendForwardReport:
		e.peers.links.send(uint64(action.Origin), action.Report)
	case scheduler.ForwardNote:
		e.noteForward(action)
	case scheduler.ShareCrashes:
		e.peers.broadcast(action.Notice)
	case scheduler.ShareEvacuation:
		e.peers.broadcast(entryState(e.core))
	case scheduler.EvacuationProgressed:
		logEvacuation(e.opts.Log, action.Progress)
	case scheduler.ObserveAcceptQueue:
		if e.opts.ObserveAcceptQueue != nil {
			e.opts.ObserveAcceptQueue()
		}
	case scheduler.CloseIdleConnections:
		if e.opts.CloseIdleConnections != nil {
			e.opts.CloseIdleConnections(action.OpenedBefore)
		}
	case scheduler.JobEnded:
		e.jobEnded(action)
	case scheduler.Note:
		e.opts.Log.Failure().Str("event", action.What).Str("subject", action.Subject).
			Str("job", action.Job).Str("detail", action.Detail).Msg("")
	}
}

func (e *Entry) jobEnded(j scheduler.JobEnded) {
	if j.Outcome == scheduler.JobCompleted && j.Host == "" {
		e.peers.jobCompleted(j)
	}
	outcome := j.Outcome.String()
	if j.Origin == "" {
		// Jobs of other entries are counted there.
		e.opts.Metrics.Add("jobs."+outcome, 1)
		e.opts.Metrics.Observe("job.time", j.Job.Queue, outcome, j.Age)
		e.opts.Metrics.Observe("job.waited", j.Job.Queue, outcome, j.Waited)
	}
	if j.BeyondShare {
		j.Cause += "; beyond the share of its queue or of caller " + j.Job.Caller
	}
	line := e.opts.Log.Failure
	if j.Outcome == scheduler.JobCompleted && j.Age <= j.Objective {
		line = e.opts.Log.Routine
	}
	line().Str("event", "job ended").Str("job", j.Job.ID).Str("queue", j.Job.Queue).Str("outcome", outcome).
		Str("cause", j.Cause).Int("tasks", j.Job.Tasks).Int64("mcpu", j.Job.Need.MilliCPU).
		Int64("estimate_ms", j.Job.Estimate.Milliseconds()).Int64("age_ms", j.Age.Milliseconds()).
		Int64("waited_ms", j.Waited.Milliseconds()).Int64("objective_ms", j.Objective.Milliseconds()).
		Int("runs", j.Runs).Int("failed", j.Failed).Int("lost", j.Lost).
		Int("unplaced", j.Unplaced).Int("unended", j.Unended).
		Str("host", j.Host).Str("origin", j.Origin).
		Int("crashes", j.Crashes).Float64("blame", j.Blame).Int("tasks_waiting", j.WaitingTasks).Msg("")
}

func (e *Entry) publish() {
	counters := e.core.Counters()
	m := e.opts.Metrics
	m.Set("runs.started", counters.Runs)
	m.Set("runs.rescued", counters.StalledRuns)
	m.Set("jobs.late", counters.Late)
	m.Set("jobs.given_up", counters.GivenUp)
	m.Set("jobs.beyond_share", counters.BeyondShare)
	m.Set("endpoint.crashes", counters.Crashes)
	m.Set("entry.stalls", counters.ProcessPauses)
	m.Set("jobs.open", int64(e.core.OpenJobs()))
	if s := e.core.Evacuation(); s != nil {
		m.Set("evacuation.zones", int64(len(s.Zones)))
		m.Set("evacuation.version", s.Version)
	}
	m.Set("evacuation.runs", int64(e.core.EvacuatedRuns()))
	m.Set("evacuation.starts", counters.EvacuatedStarts)
	if e.settings.Reservations {
		reserved, givenUp := e.core.Reservations()
		m.Set("reservations.endpoints", int64(reserved))
		m.Set("reservations.given_up", givenUp)
	}
	publishEnds(m, counters.Ended[:], counters.Refused[:])
	publishOmitted(m, e.opts.Log)
}
