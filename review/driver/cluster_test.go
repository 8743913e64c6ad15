//go:build review

package driver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"marjoramlug.example/marjoramlug/standin/runner"
	"marjoramlug.example/marjoramlug/standin/store"
)

// The bounds and sizes of the site zpe-savinja.
const (
	holdMax      = 1000 * time.Millisecond
	stopTimeout  = 50 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	contactTime  = 3000 * time.Millisecond
	cancelBound  = 3000 * time.Millisecond
	fronts       = 4
	sides        = 11
	runnerCPU    = 16000
	runnerMemMB  = 32768
	taskCPU      = 1600
	service      = "tray-ledger"
	host         = "savinja.example"
	prefix       = "/route-confirm/"
	restartDelay = 300 * time.Millisecond
	startupLimit = 20 * time.Second
	binary       = "target/marjoramlug"
	settingsVar  = "MARJORAMLUG_BOOT"
)

// machine is a machine of the deployment: one process of the system on a loopback
// address of its own.
type machine struct {
	name, role, zone string
	ip               string
	// front, ready, control, app and internal are addresses as in the platform's
	// settings.
	front, ready, control, app, internal string

	dir string
	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the current process has ended.
	done chan struct{}

	runner *runner.Runner
	server *http.Server
	// endRunner ends the present life of the runner without a farewell.
	endRunner func()
}

// cluster is a small deployment: a store, entries, agents and runners.
type cluster struct {
	record   *record
	dir      string
	store    *store.Store
	storeAt  string
	entries  []*machine
	agents   []*machine
	work     func(task string) (time.Duration, string)
	closeAll []func()
	// mu guards closed, after which no process is started any more.
	mu     sync.Mutex
	closed bool
}

var errNotReady = errors.New("the system was not ready in time")

// newCluster starts all parts and waits until every entry is ready and every runner
// has been adopted by its agent.
func newCluster(rec *record, work func(task string) (time.Duration, string)) (*cluster, error) {
	dir, err := os.MkdirTemp("", "marjoramlug-review")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: rec, dir: dir, store: store.New(), work: work}
	c.closeAll = append(c.closeAll, func() { _ = os.RemoveAll(dir) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return c, err
	}
	c.storeAt = listener.Addr().String()
	storeServer := &http.Server{Handler: c.store}
	go func() { _ = storeServer.Serve(listener) }()
	c.closeAll = append(c.closeAll, func() { _ = storeServer.Close() })
	c.configure(1, true)
	zones := []string{"celje", "zalec", "velenje", "mozirje"}
	for i := range fronts {
		m, err := newMachine(fmt.Sprintf("front-%s-1", zones[i]), "entry", zones[i], i+1, dir)
		if err != nil {
			return c, err
		}
		c.entries = append(c.entries, m)
	}
	for i := range sides {
		zone := zones[i%len(zones)]
		m, err := newMachine(fmt.Sprintf("side-%s-%d", zone, i/len(zones)+1), "agent", zone, fronts+i+1, dir)
		if err != nil {
			return c, err
		}
		c.agents = append(c.agents, m)
	}
	// From here on there are processes to end.
	openCluster.Store(c)
	for _, m := range c.machines() {
		if err := c.start(m); err != nil {
			return c, err
		}
	}
	for _, m := range c.agents {
		if err := c.startRunner(m); err != nil {
			return c, err
		}
	}
	deadline := time.Now().Add(startupLimit)
	for _, m := range c.entries {
		if !c.awaitReady(m, deadline) {
			return c, errNotReady
		}
	}
	return c, nil
}

func (c *cluster) machines() []*machine {
	return append(append([]*machine{}, c.entries...), c.agents...)
}

// configure writes a version of the operator's configuration, with the queue of the jobs
// that the cases send or without it.
func (c *cluster) configure(version int, withQueue bool) {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_type": "unsafe", "timeout_ms": 1500,
			"latency_slo_ms": 60, "priority": priority, "service": service, "max_attempts": 3, "stretch": 1.6,
		}
	}
	routes := []map[string]any{route("r-checkin", "/crate-checkin/", 0)}
	if withQueue {
		routes = append(routes, route("r-route", prefix, 2))
	}
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": false, "standby": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	c.store.Put("keyed.op", "config", data)
}

// newMachine finds free ports on the machine's loopback address and prepares the fields
// that the platform fills in.
func newMachine(name, role, zone string, number int, dir string) (*machine, error) {
	m := &machine{name: name, role: role, zone: zone, dir: dir, ip: fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%100, os.Getpid()/100%250, number)}
	for _, address := range []*string{&m.front, &m.ready, &m.control, &m.app, &m.internal} {
		var err error
		if *address, err = freePort(m.ip); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// freePort returns an address with a port that is free for TCP and UDP.
func freePort(ip string) (string, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// settings fills in the template of the deploy file for a machine.
func (c *cluster) settings(m *machine) (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", m.role+".yaml.tmpl"))
	if err != nil {
		return "", err
	}
	quote := func(s string) string { data, _ := json.Marshal(s); return string(data) }
	metrics, err := freePort(m.ip)
	if err != nil {
		return "", err
	}
	filled := strings.NewReplacer(
		"{{ip}}:9464", metrics, "{{node|json}}", quote(m.name), "{{zone|json}}", quote(m.zone), "{{region|json}}", quote("savinja"),
		"{{ip}}:{{internal_ports.0}}", m.internal, "{{listen.front|json}}", quote(m.front), "{{listen.ready|json}}", quote(m.ready),
		"{{listen.control|json}}", quote(m.control), "{{app|json}}", quote(m.app), "{{platform.address|json}}", quote(c.storeAt),
		"{{bounds.hold_max_ms}}", "1000", "{{bounds.stop_timeout_ms}}", "50", "{{bounds.retransmit_ms}}", "1300", "{{bounds.grace_s}}", "6",
		"{{limits.memory_mb}}", map[string]string{"entry": "284", "agent": "152"}[m.role],
		"{{limits.max_fds}}", map[string]string{"entry": "4100", "agent": "4096"}[m.role],
	).Replace(string(text))
	if at := strings.Index(filled, "{{"); at >= 0 {
		return "", fmt.Errorf("the template has a placeholder that the script does not know: %.40s", filled[at:])
	}
	return filled, nil
}

// start starts the machine's process with the command of the deploy file.
func (c *cluster) start(m *machine) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.New("the script is ending")
	}
	path := filepath.Join(c.dir, m.name+".yaml")
	if _, err := os.Stat(path); err != nil {
		text, err := c.settings(m)
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(c.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "platform", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVar + "=" + path, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the machine's process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// startRunner starts a life of the machine's runner.
func (c *cluster) startRunner(m *machine) error {
	listener, err := net.Listen("tcp", m.app)
	if err != nil {
		return err
	}
	beats, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return err
	}
	completion := &http.Server{Handler: completeHeartbeats(m)}
	go func() { _ = completion.Serve(beats) }()
	m.runner = runner.New(runner.Options{
		Name: "i-" + m.name, Service: service, Address: m.app, HeartbeatAddress: beats.Addr().String(), CPU: runnerCPU, TaskCPU: taskCPU,
		Lease: holdMax, StopTime: stopTimeout / 2, Heartbeat: heartbeat, Work: c.work,
	})
	name := m.name
	m.runner.Watch(func(task string) { c.record.started(name, task) }, func(task, outcome string) { c.record.ended(name, task, outcome) })
	m.server = &http.Server{Handler: m.runner}
	go func(s *http.Server) { _ = s.Serve(listener) }(m.server)
	ctx, cancel := contextWithCancel()
	go m.runner.Heartbeat(ctx)
	life, server := m.runner, m.server
	m.endRunner = func() {
		cancel()
		life.Crash()
		_ = server.Close()
		_ = completion.Close()
	}
	c.closeAll = append(c.closeAll, m.endRunner)
	return nil
}

// completeHeartbeats passes the heartbeats of the project's stand-in on to the agent, with
// the fields of the platform's page that the stand-in leaves out.
func completeHeartbeats(m *machine) http.Handler {
	client := &http.Client{Timeout: time.Second}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var beat map[string]any
		if err := json.NewDecoder(r.Body).Decode(&beat); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, count := range []string{"seq", "born", "clock_ms"} {
			if n, ok := beat[count].(float64); ok {
				beat[count] = int64(n)
			}
		}
		beat["zone"], beat["version"], beat["slots"], beat["cold_left_ms"] = m.zone, "v1", 8, 0
		beat["free_capacity"] = map[string]any{"cpu": runnerCPU, "mem_mb": runnerMemMB, "gpu": 0}
		body, _ := json.Marshal(beat)
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+m.control+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		_ = resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
	})
}

// awaitReady waits until an entry answers its readiness check with 200.
func (c *cluster) awaitReady(m *machine, deadline time.Time) bool {
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(deadline) {
		if resp, err := client.Get("http://" + m.ready + "/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// close ends all processes and servers that the script started.
func (c *cluster) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, m := range c.machines() {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, m := range c.machines() {
			if data, err := os.ReadFile(filepath.Join(c.dir, m.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, m.name+".log"), data, 0o600)
			}
		}
	}
	for _, f := range c.closeAll {
		f()
	}
}
