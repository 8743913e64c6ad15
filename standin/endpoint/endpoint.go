// Package endpoint is a stand-in for a back end, for tests and the demo. It
// announces itself to an agent, runs tasks by waiting, counts the starts of each
// task and simulates faults.
package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
)

const readHeaderTimeout = 5 * time.Second

// Options describe a stand-in endpoint.
type Options struct {
	// Service is the service that the endpoint belongs to, Name its name there.
	Service string
	Name    string
	// Listen is the TCP address to serve on; empty takes a free loopback port.
	Listen string
	// Agent is the host and port of the agent's HTTP interface; empty means no
	// announcements.
	Agent string
	// Speed divides the requested run times of tasks; 0 means 1.
	Speed float64
	// Slots is the number of tasks that it announces to run at a time, Connections
	// the number of HTTP connections that it announces to accept.
	Slots       int
	Connections int
	// Memory is the total memory for its tasks, in bytes.
	Memory int64
	// Accelerators are the kinds of accelerators that it has.
	Accelerators []string
}

// Server is a stand-in endpoint. It is safe for concurrent use.
type Server struct {
	opts     Options
	http     *http.Server
	listener net.Listener
	client   *announcer
	// stopping ends the announcements.
	stopping context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu      sync.Mutex
	started *sync.Cond
	fault   Fault
	starts  map[string]int
	running int
	peak    int
}

// New returns an endpoint that does not listen yet.
func New(o Options) *Server {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	s := &Server{opts: o, starts: map[string]int{}}
	s.started = sync.NewCond(&s.mu)
	s.stopping, s.stop = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: http.HandlerFunc(s.serveTask), ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Start serves tasks and announces the endpoint. It returns after the agent has
// accepted the first announcement.
func (s *Server) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return fmt.Errorf("endpoint %s: %w", s.opts.Name, err)
	}
	s.listener = listener
	s.wg.Go(func() { _ = s.http.Serve(listener) })
	if s.opts.Agent == "" {
		return nil
	}
	s.client = newAnnouncer(s.opts, listener.Addr().String())
	interval, err := s.client.announce(ctx)
	if err != nil {
		s.Kill()
		return err
	}
	s.wg.Go(func() { s.keepAnnouncing(interval) })
	return nil
}

func (s *Server) keepAnnouncing(interval time.Duration) {
	for kernel.Sleep(s.stopping, interval) {
		// A failed announcement is retried after the same interval.
		if next, err := s.client.announce(s.stopping); err == nil {
			interval = next
		}
	}
}

// Address returns the host and port that accept tasks.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop deregisters from the agent, waits until the last task has ended and closes
// the server.
func (s *Server) Stop(ctx context.Context) error {
	s.stop()
	var err error
	if s.client != nil {
		err = s.client.leave(ctx)
	}
	err = errors.Join(err, s.http.Shutdown(ctx))
	s.wg.Wait()
	return err
}

// Kill closes the server immediately, with all its connections.
func (s *Server) Kill() {
	s.stop()
	_ = s.http.Close()
	s.wg.Wait()
}

// Starts returns the number of starts of each task key.
func (s *Server) Starts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := make(map[string]int, len(s.starts))
	for key, n := range s.starts {
		starts[key] = n
	}
	return starts
}

// WaitStarted waits until a task with the key has started.
func (s *Server) WaitStarted(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.starts[key] == 0 {
		s.started.Wait()
	}
}

// Peak returns the highest number of tasks that ran at the same time.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// SetFault sets the fault that the endpoint simulates from the next task on.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// begin counts the start of a task and returns the fault to simulate.
func (s *Server) begin(key string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[key]++
	s.started.Broadcast()
	s.running++
	s.peak = max(s.peak, s.running)
	return s.fault
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
