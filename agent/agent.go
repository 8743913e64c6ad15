// Package agent is the process that runs beside endpoints. Endpoints announce
// themselves to it over HTTP; it grants their free slots to the owners of their
// services, runs the tasks that the owners start and reports the results. The
// decisions are made in the package core; this one handles sockets and timers.
package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/agent/core"
	"marjoramlug.example/marjoramlug/intake"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/telemetry"
	"marjoramlug.example/marjoramlug/transport"
)

const (
	// eventQueueSize is the number of queued events beyond which senders block.
	eventQueueSize = 1024
	// ticksPerHeartbeat is the number of Tick events per heartbeat interval.
	ticksPerHeartbeat = 4
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// maxJournalStarts is the maximum number of starts in the journal.
	maxJournalStarts = 200_000
)

// Options are what an agent needs besides its settings.
type Options struct {
	Network transport.Network
	// Metrics counts decisions and messages; nil creates a registry.
	Metrics *telemetry.Registry
	// Incarnation identifies this incarnation of the agent; 0 draws a random one.
	Incarnation uint64
	// Version is the release that is announced to peers.
	Version string
	// OnChange is called for each change of state worth a log line, from several
	// goroutines; it may be nil.
	OnChange func(Change)
}

// Change is a change of the agent's state.
type Change struct {
	// What is the kind of change and Subject the peer or endpoint that it concerns.
	What    string
	Subject string
	Cause   error
}

// Agent runs beside endpoints. Call Run once.
type Agent struct {
	settings settings.Agent
	opts     Options
	self     message.Hello

	core   *core.Core
	runner *runner
	events chan event
	// ready is closed when the HTTP address is bound, drained when a drain has
	// completed, and stopped when the loop has ended.
	ready   chan struct{}
	drained chan struct{}
	stopped chan struct{}
	stop    context.CancelFunc

	// Only the goroutine of loop uses the following fields.
	sessions       map[core.SessionID]transport.Conn
	runs           map[message.StartID]context.CancelFunc
	releaseWaiters map[core.EndpointKey][]chan struct{}
	nextSession    core.SessionID

	wg       sync.WaitGroup
	listener net.Listener
	mu       sync.Mutex
	draining bool
}

// event is an item of the loop's queue: a core event with the data that the loop
// itself uses, or a request for the open connections.
type event struct {
	core core.Event
	conn transport.Conn
	// released is closed once the endpoint of an EndpointLeaving event is released.
	released chan struct{}
	// connsRequest, if set, receives the open connections, and there is no core
	// event.
	connsRequest chan []transport.Conn
}

// New returns an agent that has not started.
func New(s settings.Agent, o Options) *Agent {
	s.ApplyDefaults()
	if o.Metrics == nil {
		o.Metrics = telemetry.New()
	}
	if o.Incarnation == 0 {
		o.Incarnation = rand.Uint64() | 1
	}
	return &Agent{
		settings: s,
		opts:     o,
		self: message.Hello{
			Role: message.RoleAgent, Name: s.Name, Incarnation: o.Incarnation,
			Zone: s.Zone, Region: s.Region, Version: o.Version,
		},
		core:           core.New(coreOptions(s), time.Now()),
		runner:         newRunner(s.MaxAnswerBytes),
		events:         make(chan event, eventQueueSize),
		ready:          make(chan struct{}),
		drained:        make(chan struct{}),
		stopped:        make(chan struct{}),
		sessions:       map[core.SessionID]transport.Conn{},
		runs:           map[message.StartID]context.CancelFunc{},
		releaseWaiters: map[core.EndpointKey][]chan struct{}{},
	}
}

func coreOptions(s settings.Agent) core.Options {
	return core.Options{
		Zone:            s.Zone,
		Seeds:           s.Entries,
		Heartbeat:       s.Heartbeat,
		AcceptWindow:    s.AcceptWindow,
		AnnounceTimeout: s.AnnounceTimeout,
		TaskTimeout:     s.TaskTimeout,
		JournalWindow:   s.JournalWindow,
		JournalBytes:    s.JournalBytes,
		JournalStarts:   maxJournalStarts,
		Random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Run serves until ctx ends or Drain has finished. When ctx ends, running tasks are
// cancelled. An error says that the HTTP address could not be bound or served.
func (a *Agent) Run(ctx context.Context) error {
	gate := intake.NewGate(intakeBytes, readTimeout, a.opts.Metrics)
	gate.Report(func(reached string) { a.notifyChange("client limits reached", reached, nil) })
	listener, err := gate.Listen(a.settings.HTTP, a.settings.Connections, socketBufferBytes, nil)
	if err != nil {
		close(a.stopped)
		return fmt.Errorf("listen for endpoints: %w", err)
	}
	ctx, a.stop = context.WithCancel(ctx)
	defer a.stop()
	a.listener = listener
	server := &http.Server{Handler: gate.Handler(gate.Metered(a.handler())), ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	listener.Track(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	close(a.ready)

	a.loop(ctx)
	_ = server.Close()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve endpoints: %w", err)
	}
	return nil
}

// Ready returns a channel that is closed when the agent accepts announcements.
func (a *Agent) Ready() <-chan struct{} { return a.ready }

// HTTPAddress returns the host and port bound for announcements. It waits until Run
// has bound them, and returns an empty string if Run could not.
func (a *Agent) HTTPAddress() string {
	if !a.waitUntilStarted() {
		return ""
	}
	return a.listener.Addr().String()
}

// waitUntilStarted waits for Run to begin or to fail and reports whether it began.
func (a *Agent) waitUntilStarted() bool {
	select {
	case <-a.ready:
		return true
	case <-a.stopped:
	}
	select {
	case <-a.ready:
		return true
	default:
		return false
	}
}

// Incarnation returns the number that identifies this incarnation of the agent.
func (a *Agent) Incarnation() uint64 { return a.self.Incarnation }

// Drain stops accepting work, lets running tasks finish, delivers their results and
// ends Run. If ctx ends first, running tasks are cancelled and an error is
// returned.
func (a *Agent) Drain(ctx context.Context) error {
	if !a.waitUntilStarted() {
		return nil
	}
	a.setDraining()
	a.post(event{core: core.DrainStarted{}})
	defer func() {
		a.stop()
		<-a.stopped
	}()
	select {
	case <-a.drained:
		return a.closeSessions(ctx)
	case <-a.stopped:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", context.Cause(ctx))
	}
}

func (a *Agent) setDraining() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
}

func (a *Agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// post sends an event to the loop and blocks while the queue is full. It reports
// false if the loop has ended.
func (a *Agent) post(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.stopped:
		return false
	}
}

func (a *Agent) notifyChange(what, subject string, cause error) {
	if a.opts.OnChange != nil {
		a.opts.OnChange(Change{What: what, Subject: subject, Cause: cause})
	}
}
