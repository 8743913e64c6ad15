package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/standin/runner"
	"marjoramlug.example/marjoramlug/standin/store"
)

const (
	lease    = 1000 * time.Millisecond
	stopTime = 50 * time.Millisecond
	// resubmitDelay is the time after which callers on the users' platform resubmit
	// a job. Entries and agents get it as the setting retransmit.
	resubmitDelay     = 1300 * time.Millisecond
	shutdownGrace     = 6 * time.Second
	heartbeatInterval = 100 * time.Millisecond
	// waitTimeout bounds each wait for a condition, so that a broken system fails
	// the test instead of blocking it. It allows for other load on the machine.
	waitTimeout = 20 * time.Second
	service     = "desk"
	host        = "desk.example"
	maxAttempts = 3
	taskCPU     = 1000
	slots       = 6
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "marjoramlug-soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "marjoramlug")
	build := exec.Command("go", "build", "-o", binary, "../cmd/marjoramlug")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// entry is an entry process with the proxies for connections from other processes
// (peerProxy) and from callers (callers).
type entry struct {
	process
	peerProxy *udpProxy
	callers   *tcpProxy
}

// agent is an agent process with its endpoint, and the proxies for the agent's
// calls to the endpoint (callProxy) and for the endpoint's heartbeats to the agent
// (heartbeats).
type agent struct {
	process
	callProxy, heartbeats *tcpProxy
	// address is the address of the endpoint, the same for all of its incarnations.
	address string

	// endpointMu guards the current incarnation of the endpoint: runner,
	// endpointServer and stopHeartbeats. endpointUp is set while there is one.
	endpointMu sync.Mutex
	endpointUp bool
	// capacity is the capacity of the endpoint, in thousandths of a core.
	capacity       int64
	runner         *runner.Runner
	endpointServer *http.Server
	stopHeartbeats context.CancelFunc
	// stalledPercent is the percentage of new runs that stall.
	stalledPercent atomic.Int32
}

// cluster is a store, entries, agents and endpoints.
type cluster struct {
	t      *testing.T
	record *record
	dir    string
	// evacuateWithin, if set, is the agents' setting of that name.
	evacuateWithin time.Duration
	store          *store.Store
	storeServer    *http.Server
	// storeProxy forwards connections to the store.
	storeProxy *tcpProxy
	entries    []*entry
	agents     []*agent

	// deadlyPercent is the percentage of new jobs whose first task crashes each
	// endpoint that starts it. closed is set when no endpoint is to be started any more.
	deadlyPercent atomic.Int32
	closed        atomic.Bool

	configMu    sync.Mutex
	version     int
	extraRoutes int
}

func newCluster(t *testing.T, dir string, entries, agents int) *cluster {
	return newClusterWith(t, dir, entries, agents, 0)
}

func newClusterWith(t *testing.T, dir string, entries, agents int, evacuateWithin time.Duration) *cluster {
	c := &cluster{t: t, record: newRecord(), dir: dir, store: store.New(), evacuateWithin: evacuateWithin}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.must(err)
	c.storeServer = &http.Server{Handler: c.store}
	go func() { _ = c.storeServer.Serve(listener) }()
	c.storeProxy, err = newTCPProxy(listener.Addr().String())
	c.must(err)
	c.configure(0)
	if evacuateWithin > 0 {
		c.store.Evacuate(firstZone, true)
		c.record.evacuate(firstZone, 0)
	}
	for i := range entries {
		c.addEntry(i)
	}
	for i := range agents {
		c.addAgent(i)
	}
	for _, e := range c.entries {
		c.await(e.name+" to be ready", func() bool { return c.probe(e, c.version) == http.StatusOK })
	}
	return c
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// await waits until a condition holds and fails the test after waitTimeout. what
// completes "waiting for".
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
}

const commonSettings = `
  store:
    address: %s
  timing: {lease: %v, stop_time: %v, retransmit: %v, grace: %v}
  budget: {memory_mb: 128, descriptors: 4096}
`

func (c *cluster) commonSettings() string {
	return fmt.Sprintf(commonSettings, c.storeProxy.address(), lease, stopTime, resubmitDelay, shutdownGrace)
}

func (c *cluster) addEntry(i int) {
	e := &entry{process: process{name: fmt.Sprintf("entry-%d", i), role: "entry", dir: c.dir}}
	listenAddress, callers := freeUDP(c.t), freeTCP(c.t)
	var err error
	e.peerProxy, err = newUDPProxy(listenAddress)
	c.must(err)
	e.callers, err = newTCPProxy(callers)
	c.must(err)
	c.write(e.name, fmt.Sprintf("pool_entry:\n  name: %s\n  listen: %s\n  advertise: %s\n  http: %s\n  readiness: %s\n  metrics: %s\n  load_sharing: true%s",
		e.name, listenAddress, e.peerProxy.address(), callers, freeTCP(c.t), freeTCP(c.t), c.commonSettings()))
	c.must(e.start(c.record))
	// Also ends the process when setting up the cluster fails.
	c.t.Cleanup(e.end)
	c.entries = append(c.entries, e)
}

func (c *cluster) addAgent(i int) {
	a := &agent{process: process{name: fmt.Sprintf("agent-%d", i), role: "agent", dir: c.dir}, address: freeTCP(c.t), capacity: slots * taskCPU}
	heartbeats := freeTCP(c.t)
	var err error
	a.callProxy, err = newTCPProxy(a.address)
	c.must(err)
	a.heartbeats, err = newTCPProxy(heartbeats)
	c.must(err)
	c.write(a.name, fmt.Sprintf("pool_agent:\n  name: %s\n  http: %s\n  endpoint: %s\n  metrics: %s%s",
		a.name, heartbeats, a.callProxy.address(), freeTCP(c.t), c.commonSettings()+c.evacuationSettings()))
	c.must(a.start(c.record))
	c.t.Cleanup(a.end)
	c.startEndpoint(a)
	c.agents = append(c.agents, a)
}

func (c *cluster) write(name, text string) {
	c.must(os.WriteFile(filepath.Join(c.dir, name+".yaml"), []byte(text), 0o600))
}

// startEndpoint starts a new incarnation of an agent's endpoint, unless there is one.
func (c *cluster) startEndpoint(a *agent) {
	a.endpointMu.Lock()
	defer a.endpointMu.Unlock()
	if a.endpointUp || c.closed.Load() {
		return
	}
	a.endpointUp = true
	var listener net.Listener
	c.await("the address of "+a.name+"'s endpoint to be free", func() bool {
		l, err := net.Listen("tcp", a.address)
		listener = l
		return err == nil
	})
	endpoint := runner.New(runner.Options{
		Name: a.name + "-endpoint", Service: service, Address: a.callProxy.address(), HeartbeatAddress: a.heartbeats.address(),
		CPU: a.capacity, TaskCPU: taskCPU, Lease: lease, StopTime: stopTime / 2, Heartbeat: heartbeatInterval, Work: a.work,
		ShrinkGrace: shrinkGrace, Zone: c.zoneOf(a),
	})
	endpoint.Watch(func(task string) {
		c.record.runStarted(task)
		c.record.checkZone(a.name, c.zoneOf(a))
		if c.record.isDeadly(task) {
			go c.crashAndRestart(a, endpoint)
		}
	}, c.record.runEnded)
	ctx, stopHeartbeats := context.WithCancel(context.Background())
	a.runner, a.stopHeartbeats, a.endpointServer = endpoint, stopHeartbeats, &http.Server{Handler: endpoint}
	go func(s *http.Server) { _ = s.Serve(listener) }(a.endpointServer)
	go endpoint.Heartbeat(ctx)
}

// crashEndpoint ends the current incarnation of an agent's endpoint without a
// shutdown, and checks that it got no starts beyond its capacity.
func (c *cluster) crashEndpoint(a *agent) {
	a.endpointMu.Lock()
	defer a.endpointMu.Unlock()
	c.crashEndpointLocked(a)
}

// crashEndpointLocked is crashEndpoint with a.endpointMu held.
func (c *cluster) crashEndpointLocked(a *agent) {
	if !a.endpointUp {
		return
	}
	a.endpointUp = false
	a.stopHeartbeats()
	a.runner.Crash()
	_ = a.endpointServer.Close()
	if n := a.runner.StartsOverCapacity(); n > 0 {
		c.record.addViolation("%s's endpoint received %d starts beyond its capacity", a.name, n)
	}
}

// longTaskPercent is the percentage of tasks that may take longer than
// resubmitDelay, so that a job is resubmitted while its tasks run.
const longTaskPercent = 15

// work draws the duration and the outcome of a run.
func (a *agent) work(string) (time.Duration, string) {
	duration := time.Duration(20+rand.IntN(400)) * time.Millisecond
	if rand.IntN(100) < longTaskPercent {
		duration += time.Duration(rand.IntN(2500)) * time.Millisecond
	}
	switch {
	case rand.Int32N(100) < a.stalledPercent.Load():
		return time.Hour, "done"
	case rand.IntN(100) < 3:
		return duration, "failed"
	}
	return duration, "done"
}

// configure writes the next version of the configuration to the store. Version
// N adds route vN and keeps all earlier ones. extraRoutes routes are added to
// make the configuration large.
func (c *cluster) configure(extraRoutes int) {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	c.version++
	c.extraRoutes += extraRoutes
	var routes []string
	addRoute := func(name string) {
		routes = append(routes, fmt.Sprintf(
			`{"name":%q,"host":%q,"path_prefix":"/%s/","service":%q,"priority":0,"max_attempts":%d,"stretch":1.6,"latency_slo_ms":2000}`,
			name, host, name, service, maxAttempts))
	}
	addRoute("q")
	for v := 1; v <= c.version; v++ {
		addRoute(fmt.Sprintf("v%d", v))
	}
	for i := range c.extraRoutes {
		addRoute(fmt.Sprintf("extra%d", i))
	}
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q}],"limits":{"max_body_bytes":20000}}`,
		c.version, strings.Join(routes, ","), service))
}

func (c *cluster) newestVersion() int {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	return c.version
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// probe returns the HTTP status of an entry for the route that a version added,
// or 0 if there is no answer.
func (c *cluster) probe(e *entry, version int) int {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/", e.callers.address(), version), nil)
	c.must(err)
	req.Host = host
	resp, err := probeClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// close ends all processes and endpoints, with the check in crashEndpoint, and
// closes the proxies and the store.
func (c *cluster) close() {
	c.closed.Store(true)
	for _, e := range c.entries {
		e.end()
		e.peerProxy.close()
		e.callers.close()
	}
	for _, a := range c.agents {
		a.end()
		c.crashEndpoint(a)
		a.callProxy.close()
		a.heartbeats.close()
	}
	c.storeProxy.close()
	_ = c.storeServer.Close()
}

// panics returns a line for each sign of a panic, fatal error or data race in
// the processes' logs.
func (c *cluster) panics() []string {
	var found []string
	files, err := filepath.Glob(filepath.Join(c.dir, "*.log"))
	c.must(err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		c.must(err)
		for _, sign := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(data, []byte(sign)) {
				found = append(found, filepath.Base(file)+" contains "+sign)
			}
		}
	}
	return found
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// lastUsedPort is the last port that was tried for a process. Ports are taken
// below the range that the system uses for outgoing connections, so that no such
// connection takes a process's port while the process is down.
var lastUsedPort = func() *atomic.Int32 {
	p := new(atomic.Int32)
	p.Store(10000 + rand.Int32N(10000))
	return p
}()

// portLimit is the exclusive upper end of the ports for processes.
const portLimit = 32000

// freeAddress returns a loopback address with the next port that is not in use.
func freeAddress(t *testing.T, bind func(address string) (io.Closer, error)) string {
	t.Helper()
	for port := lastUsedPort.Add(1); port < portLimit; port = lastUsedPort.Add(1) {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := bind(address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func freeTCP(t *testing.T) string {
	t.Helper()
	return freeAddress(t, func(address string) (io.Closer, error) { return net.Listen("tcp", address) })
}

func freeUDP(t *testing.T) string {
	t.Helper()
	return freeAddress(t, func(address string) (io.Closer, error) { return net.ListenPacket("udp", address) })
}
