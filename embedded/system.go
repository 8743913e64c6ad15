// Package embedded runs a complete system in one process: a stand-in for the
// platform's log, entries, agents and stand-in endpoints. They communicate over
// loopback, as separate processes would.
package embedded

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/entry"
	"marjoramlug.example/marjoramlug/intake"
	httplog "marjoramlug.example/marjoramlug/plugin/log/http"
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	_ "marjoramlug.example/marjoramlug/plugin/standard" // registers the plug-ins that entries use
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/standin/logserver"
	"marjoramlug.example/marjoramlug/telemetry"
	"marjoramlug.example/marjoramlug/transport"
)

// Options describes the system to start.
type Options struct {
	Service config.Service
	Zones   []string
	// Entries is the number of entries.
	Entries int
	// Speeds holds the speed of each agent's endpoint; its length is the number
	// of agents.
	Speeds []float64
	// Slots is the number of slots of each endpoint.
	Slots int
	// Ownership overrides the durations of the lease protocol.
	Ownership settings.Ownership
	Logger    *log.Logger
}

// System is a running system.
type System struct {
	Log     *memory.Log
	Workers []*Worker

	mu      sync.Mutex
	entries []*entry.Entry
	// entriesStarted counts all entries ever started, also those removed since.
	entriesStarted int

	opts    Options
	network *transport.QUIC
	// gate bounds the memory for requests that all entries are receiving.
	gate      *intake.Gate
	logServer *http.Server
	logURL    string
}

// pollInterval is the interval at which an entry that has reached the end of the
// log reads it again.
const pollInterval = 50 * time.Millisecond

const (
	// intakeBytes bounds the memory for requests that are being received: four bodies of the
	// largest size, each of which takes up to twice its size.
	intakeBytes = 128 << 20
	// readTimeout bounds the reading of a request.
	readTimeout = time.Minute
)

// connections returns the limit of connections of one of n servers: the entries and the agents
// of the process leave half of its descriptors to its own connections.
func (s *System) connections(n int) int {
	const parts, minConnections = 4, 8
	return max(settings.DescriptorLimit()/parts/max(n, 1), minConnections)
}

// Start starts a system and waits until it can accept jobs.
func Start(ctx context.Context, opts Options) (*System, error) {
	network, err := transport.NewQUIC(settings.TLS{})
	if err != nil {
		return nil, err
	}
	s := &System{opts: opts, network: network, gate: intake.NewGate(intakeBytes, readTimeout, telemetry.New())}
	if err := s.start(ctx); err != nil {
		s.Kill()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	if err := s.startLog(); err != nil {
		return err
	}
	for range s.opts.Entries {
		if _, err := s.AddEntry(); err != nil {
			return err
		}
	}
	if err := s.waitForEntries(ctx); err != nil {
		return err
	}
	if _, err := s.Apply(ctx, s.opts.Service); err != nil {
		return err
	}
	for i, speed := range s.opts.Speeds {
		if _, err := s.AddWorker(ctx, fmt.Sprintf("worker-%02d", i+1), s.zone(i), speed); err != nil {
			return err
		}
	}
	return s.waitForSlots(ctx)
}

func (s *System) startLog() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.Log = memory.New(memory.Options{})
	s.logServer = &http.Server{Handler: logserver.Handler(s.Log), ReadHeaderTimeout: time.Second}
	s.logURL = "http://" + listener.Addr().String()
	go func() { _ = s.logServer.Serve(listener) }()
	return nil
}

func (s *System) zone(i int) string {
	if len(s.opts.Zones) == 0 {
		return ""
	}
	return s.opts.Zones[i%len(s.opts.Zones)]
}

// AddEntry starts one more entry.
func (s *System) AddEntry() (*entry.Entry, error) {
	s.mu.Lock()
	n := s.entriesStarted
	s.mu.Unlock()
	cfg := settings.Entry{
		Identity:  settings.Identity{Name: fmt.Sprintf("entry-%d", n+1), Zone: s.zone(n)},
		Listen:    "127.0.0.1:0",
		HTTP:      "127.0.0.1:0",
		Platform:  settings.Platform{Log: "http", URL: s.logURL, PollInterval: pollInterval},
		Ownership: s.opts.Ownership,
	}
	cfg.Limits.Connections = s.connections(s.opts.Entries)
	cfg.ApplyDefaults()
	client, err := httplog.New(s.logURL, cfg.Platform.Timeout)
	if err != nil {
		return nil, err
	}
	e, err := entry.New(cfg, entry.Options{Network: s.network, Log: client, Logger: s.opts.Logger, Version: "embedded", Gate: s.gate})
	if err != nil {
		return nil, err
	}
	e.Start()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, e)
	s.entriesStarted++
	return e, nil
}

// Apply publishes a service's configuration to replace the current revision.
func (s *System) Apply(ctx context.Context, service config.Service) (config.Outcome, error) {
	return s.Entries()[0].Configure(ctx, service, "embedded")
}

// Service returns the service that the system was started for.
func (s *System) Service() config.Service { return s.opts.Service }

// SetLogDown makes the log refuse all calls if down is true, and serve them again
// otherwise.
func (s *System) SetLogDown(down bool) { s.Log.SetFaults(memory.Faults{Down: down}) }

// Owner returns an entry that owns shards of the service, or an error if there is
// none.
func (s *System) Owner() (*entry.Entry, error) {
	for _, e := range s.Entries() {
		if c, ok := e.ServiceCounters(s.opts.Service.Name); ok && c.ShardsOwned > 0 {
			return e, nil
		}
	}
	return nil, errors.New("no entry owns a shard")
}

// RemoveEntry removes an entry from the system's list without stopping it; that
// is up to the caller.
func (s *System) RemoveEntry(e *entry.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(other *entry.Entry) bool { return other == e })
}

// Entries returns the entries that have not been removed.
func (s *System) Entries() []*entry.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries
}

// Servers returns the base URLs of the entries.
func (s *System) Servers() []string {
	var urls []string
	for _, e := range s.Entries() {
		urls = append(urls, "http://"+e.HTTPAddress())
	}
	return urls
}

// Starts returns how often each task was started, summed over all endpoints.
func (s *System) Starts() map[string]int {
	total := map[string]int{}
	for _, w := range s.Workers {
		for key, n := range w.Endpoint.Starts() {
			total[key] += n
		}
	}
	return total
}

// Counters returns the counters of each entry's core of the service.
func (s *System) Counters() []dispatch.Counters {
	var all []dispatch.Counters
	for _, e := range s.Entries() {
		if c, ok := e.ServiceCounters(s.opts.Service.Name); ok {
			all = append(all, c)
		}
	}
	return all
}

// conditionCheckInterval is the interval at which waitUntil checks its condition.
const conditionCheckInterval = 10 * time.Millisecond

func (s *System) waitForEntries(ctx context.Context) error {
	return waitUntil(ctx, "entries to be ready", func() bool {
		for _, e := range s.Entries() {
			if !e.Ready() || len(e.Members()) != len(s.Entries()) {
				return false
			}
		}
		return true
	})
}

// waitForSlots waits until the owners hold a free credit for every slot.
func (s *System) waitForSlots(ctx context.Context) error {
	want := len(s.opts.Speeds) * s.opts.Slots
	return waitUntil(ctx, "a free credit for every slot", func() bool {
		free := 0
		for _, c := range s.Counters() {
			free += c.FreeCredits
		}
		return free >= want
	})
}

// waitUntil waits until condition returns true. If ctx ends first, it returns an
// error that names what it waited for.
func waitUntil(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(conditionCheckInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		}
	}
	return nil
}

// Stop shuts the system down gracefully: endpoints leave, agents drain, entries
// release their shards.
func (s *System) Stop(ctx context.Context) error {
	var errs []error
	for _, w := range s.Workers {
		errs = append(errs, w.Stop(ctx))
	}
	for _, e := range s.Entries() {
		errs = append(errs, e.Stop(ctx))
	}
	s.close()
	return errors.Join(errs...)
}

// Kill stops all agents, endpoints, entries and the log immediately.
func (s *System) Kill() {
	for _, w := range s.Workers {
		w.Kill()
	}
	for _, e := range s.Entries() {
		e.Kill()
	}
	s.close()
}

func (s *System) close() {
	if s.logServer != nil {
		_ = s.logServer.Close()
	}
	_ = s.network.Close()
}
