// Package entry implements the daemon that accepts callers' jobs, relays them to
// the owners of their shards and owns shards itself. It contains the sockets,
// timers and goroutines; the cores in dispatch, ownership, membership and config
// make the decisions.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/intake"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
	"marjoramlug.example/marjoramlug/telemetry"
	"marjoramlug.example/marjoramlug/transport"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// dialTimeout bounds one attempt to connect to another entry, and how long
	// answerStatus waits while the queue of the service's loop is full.
	dialTimeout = 2 * time.Second
	// housekeepingInterval is the interval between checks for unresponsive agents
	// and updates of the gauges.
	housekeepingInterval = 500 * time.Millisecond
)

// Options are the dependencies that the surrounding process passes to an entry.
// Metrics and Logger are optional.
type Options struct {
	Network transport.Network
	// Log is the platform's log.
	Log     sharedlog.Log
	Metrics *telemetry.Registry
	Logger  *log.Logger
	// Version is announced to peers.
	Version string
	// Gate is shared by the entries of a process, as its memory is. Optional.
	Gate *intake.Gate
}

// Entry is one instance of the daemon. A process runs one; a test or demo process
// runs several.
type Entry struct {
	settings settings.Entry
	network  transport.Network
	metrics  *telemetry.Registry
	messages *telemetry.Messages
	logger   *log.Logger
	version  string

	incarnation uint64
	self        ownership.Member
	replica     logReplica
	relay       *relay
	peers       *peers
	sessions    *sessions
	relayConns  *relayConns
	relayedJobs sync.WaitGroup

	listener     transport.Listener
	gate         *intake.Gate
	httpListener *intake.Connections
	httpServer   *http.Server
	stopping     atomic.Bool
	// built is closed at the end of New. Connections that are accepted earlier
	// wait for it.
	built chan struct{}

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	loopsMu    sync.Mutex
	loops      map[string]*serviceLoop
	leaseUntil time.Time
}

// New creates an entry and opens its sockets. Start must be called to run it.
func New(s settings.Entry, opts Options) (*Entry, error) {
	if opts.Metrics == nil {
		opts.Metrics = telemetry.New()
	}
	if opts.Logger == nil {
		opts.Logger = &log.Logger{Level: log.ErrorLevel}
	}
	if opts.Gate == nil {
		opts.Gate = newGate(s.Limits, opts.Metrics, opts.Logger)
	}
	e := &Entry{
		settings:    s,
		gate:        opts.Gate,
		network:     opts.Network,
		metrics:     opts.Metrics,
		messages:    telemetry.NewMessages(opts.Metrics, "message"),
		logger:      opts.Logger,
		version:     opts.Version,
		incarnation: rand.Uint64(),
		loops:       map[string]*serviceLoop{},
		built:       make(chan struct{}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.relay = newRelay(e)
	e.peers = newPeers(e)
	e.relayConns = newRelayConns()
	e.sessions = newSessions(e, s.Ownership.AgentTimeout)
	if err := e.bind(); err != nil {
		return nil, err
	}
	e.self = ownership.Member{
		ID:          ownership.MemberID(fmt.Sprintf("%s-%x", s.Name, e.incarnation)),
		Name:        s.Name,
		Address:     e.advertised(),
		HTTPAddress: e.httpListener.Addr().String(),
		Zone:        s.Zone,
		Region:      s.Region,
	}
	e.replica = e.newReplica(opts.Log)
	close(e.built)
	return e, nil
}

// bind opens the sockets, so that the addresses are known before the entry joins.
func (e *Entry) bind() error {
	var err error
	if e.httpListener, err = e.gate.Listen(e.settings.HTTP, e.settings.Limits.Connections, socketBufferBytes, nil); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if e.listener, err = e.network.Listen(e.settings.Listen, e.hello(), e); err != nil {
		_ = e.httpListener.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	return nil
}

// advertised returns the address at which peers dial this entry.
func (e *Entry) advertised() string {
	if e.settings.Advertise != "" {
		return e.settings.Advertise
	}
	return e.listener.Address()
}

func (e *Entry) hello() message.Hello {
	return message.Hello{
		Role:        message.RoleEntry,
		Name:        e.settings.Name,
		Incarnation: e.incarnation,
		Zone:        e.settings.Zone,
		Region:      e.settings.Region,
		Version:     e.version,
	}
}

// Start runs the entry's goroutines.
func (e *Entry) Start() {
	e.run(func() {
		if err := e.replica.Run(e.ctx); err != nil && e.ctx.Err() == nil {
			e.logger.Error().Err(err).Str("member", string(e.self.ID)).Msg("replica ended")
		}
	})
	e.run(e.housekeeping)
	e.httpServer = &http.Server{
		Handler:        e.handler(),
		MaxHeaderBytes: e.settings.Limits.HeaderBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    2 * time.Minute,
	}
	e.httpListener.Track(e.httpServer)
	e.run(func() { _ = e.httpServer.Serve(e.httpListener) })
	e.logger.Info().Str("member", string(e.self.ID)).Str("http", e.HTTPAddress()).Str("address", e.self.Address).Msg("entry started")
}

// Kill stops the entry immediately, as a crash would, and waits for its
// goroutines.
func (e *Entry) Kill() {
	e.cancel()
	if e.httpServer != nil {
		_ = e.httpServer.Close()
	}
	_ = e.httpListener.Close()
	_ = e.listener.Close()
	e.peers.close()
	e.goroutines.Wait()
}

// HTTPAddress returns the address at which callers reach the entry.
func (e *Entry) HTTPAddress() string { return e.httpListener.Addr().String() }

// Address returns the address at which peers reach the entry.
func (e *Entry) Address() string { return e.self.Address }

// Member returns the entry's identity in the log.
func (e *Entry) Member() ownership.Member { return e.self }

// Metrics returns the entry's counters and histograms.
func (e *Entry) Metrics() *telemetry.Registry { return e.metrics }

// Ready reports whether the entry has the complete configuration and is not
// stopping.
func (e *Entry) Ready() bool { return e.readiness() == nil }

// run starts a goroutine that Kill waits for.
func (e *Entry) run(f func()) {
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		f()
	}()
}

func (e *Entry) housekeeping() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.sessions.tick()
			e.updateGauges()
		case <-e.ctx.Done():
			return
		}
	}
}

// sendAnswer sends a core's answer to the request that waits for it, in this entry or
// in the one that relayed the job.
func (e *Entry) sendAnswer(w dispatch.Waiter, answer *message.JobAnswer) {
	if w.Relay == localRelay {
		e.relay.deliver(nil, w.Request, answer)
		return
	}
	conn, ok := e.relayConns.conn(w.Relay)
	if !ok {
		e.metrics.Add("relay.answer.undeliverable", 1)
		return
	}
	m := &message.Answer{Request: w.Request, Answer: *answer}
	err := e.send(conn, m)
	if errors.Is(err, transport.ErrFull) || errors.Is(err, transport.ErrTooLarge) {
		e.metrics.Add("relay.answer.substituted", 1)
		m.Answer = substitute(answer, err)
		err = e.send(conn, m)
	}
	if err != nil {
		conn.Close()
	}
}

// send sends a message on one of the entry's connections and counts it.
func (e *Entry) send(c transport.Conn, m message.Message) error {
	err := c.Send(m)
	if err == nil {
		e.messages.Sent(m.Kind())
	}
	return err
}

// substitute returns a short refusal to send in place of an answer that the
// connection rejected, so that the connection stays open and the other answers
// on it are not lost. When the send queue is full, the reason NotOwner makes the
// relaying entry send the job again; the job's record then yields the same answer.
func substitute(answer *message.JobAnswer, cause error) message.JobAnswer {
	reason := verdict.ReasonNotOwner
	if errors.Is(cause, transport.ErrTooLarge) {
		reason = verdict.ReasonTooLarge
	}
	return message.Refusal(answer.Verdict, reason, cause.Error())
}
