//go:build review

package rig

import (
	"context"
	"encoding/json"
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
	"syscall"
	"time"

	"marjoramlug.example/marjoramlug/standin/runner"
	"marjoramlug.example/marjoramlug/standin/store"
)

// The bounds of a small deployment.
const (
	lease        = 1000 * time.Millisecond
	stopTime     = 50 * time.Millisecond
	retransmit   = 1300 * time.Millisecond
	grace        = 6 * time.Second
	cancelWithin = 3 * time.Second
	ackWithin    = 4 * time.Second
	heartbeat    = 1500 * time.Millisecond
	// runnerCPU is the capacity of a runner, in thousandths of a core.
	runnerCPU = 64000
	service   = "desk"
	host      = "desk.example"
	// program is the binary of the deploy file.
	program = "target/marjoramlug"
	// readyTimeout bounds the wait for a process to be ready.
	readyTimeout = 15 * time.Second
)

// errNotRun means that a case could not run.
var errNotRun = errors.New("the case could not run")

// process is an entry or an agent.
type process struct {
	name, role, settings, log string
	http, readiness           string
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

// cluster is the platform's store, entries, agents and their runners.
type cluster struct {
	record  *record
	dir     string
	store   *store.Store
	address string
	entries []*process
	agents  []*process
	servers []*http.Server
	stop    context.CancelFunc
	// durations holds the run time of the tasks of each job.
	mu        sync.Mutex
	durations map[string]time.Duration
	version   int
}

// The ports of the processes, below the range for outgoing connections.
const (
	firstPort = 10000
	lastPort  = 31999
)

// lastUsedPort is the last port that was given out or tried.
var lastUsedPort = firstPort + rand.IntN((lastPort-firstPort)/2)

// freeAddress returns a loopback address with the next port that is free.
func freeAddress(bind func(address string) (io.Closer, error)) string {
	for lastUsedPort < lastPort {
		lastUsedPort++
		address := fmt.Sprintf("127.0.0.1:%d", lastUsedPort)
		if l, err := bind(address); err == nil {
			_ = l.Close()
			return address
		}
	}
	panic("no free port")
}

func freeTCP() string {
	return freeAddress(func(address string) (io.Closer, error) { return net.Listen("tcp", address) })
}

func freeUDP() string {
	return freeAddress(func(address string) (io.Closer, error) { return net.ListenPacket("udp", address) })
}

// newCluster starts everything and waits until all entries are ready.
func newCluster(r *record, entries, agents int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{record: r, dir: dir, store: store.New(), stop: stop, durations: map[string]time.Duration{}}
	c.address = freeTCP()
	if err := c.serve(c.address, c.store); err != nil {
		return c, err
	}
	c.configure("q", "other")
	for i := range entries {
		if err := c.addEntry(i); err != nil {
			return c, err
		}
	}
	for i := range agents {
		if err := c.addAgent(ctx, i); err != nil {
			return c, err
		}
	}
	for _, e := range c.entries {
		if err := c.awaitReady(e); err != nil {
			return c, err
		}
	}
	// Entries connect to each other and agents to all entries.
	time.Sleep(2 * time.Second)
	return c, nil
}

func (c *cluster) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// configure writes the next version of the configuration, with the named queues.
func (c *cluster) configure(queues ...string) {
	c.version++
	var routes []string
	for _, q := range queues {
		routes = append(routes, fmt.Sprintf(
			`{"name":%q,"host":%q,"path_prefix":"/%s/","service":%q,"priority":0,"max_attempts":3,"stretch":1.6,"latency_slo_ms":2000}`, q, host, q, service))
	}
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q}],"limits":{"max_body_bytes":262144}}`,
		c.version, strings.Join(routes, ","), service))
	c.record.add("operator: version %d with the routes %s is acknowledged", c.version, strings.Join(queues, ", "))
}

// timing and budgets are those of deploy/entry.yaml.tmpl and deploy/agent.yaml.tmpl, filled with
// the figures of a small deployment.
func (c *cluster) common(memoryMB, descriptors int) string {
	return fmt.Sprintf("  store:\n    address: %s\n  timing:\n    lease: %v\n    stop_time: %v\n    retransmit: %v\n    grace: %v\n  budget:\n    memory_mb: %d\n    descriptors: %d\n",
		c.address, lease, stopTime, retransmit, grace, memoryMB, descriptors)
}

func (c *cluster) addEntry(i int) error {
	p := &process{name: fmt.Sprintf("entry-%d", i), role: "entry", http: freeTCP(), readiness: freeTCP()}
	text := fmt.Sprintf("pool_entry:\n  name: %s\n  zone: zone-%d\n  region: r\n  listen: %s\n  http: %s\n  readiness: %s\n  metrics: %s\n",
		p.name, i, freeUDP(), p.http, p.readiness, freeTCP()) + c.common(284, 4100) + "  load_sharing: true\n"
	c.entries = append(c.entries, p)
	return c.start(p, text)
}

func (c *cluster) addAgent(ctx context.Context, i int) error {
	p := &process{name: fmt.Sprintf("agent-%d", i), role: "agent", http: freeTCP()}
	endpoint := freeTCP()
	text := fmt.Sprintf("pool_agent:\n  name: %s\n  zone: zone-%d\n  region: r\n  http: %s\n  endpoint: %s\n  metrics: %s\n",
		p.name, i%3, p.http, endpoint, freeTCP()) + c.common(152, 4096)
	c.agents = append(c.agents, p)
	name := fmt.Sprintf("i-%08x", rand.Uint32())
	r := runner.New(runner.Options{
		Name: name, Service: service, Address: endpoint, HeartbeatAddress: p.http, CPU: runnerCPU,
		Lease: lease, StopTime: stopTime / 2, Heartbeat: heartbeat, Work: c.work,
	})
	r.Watch(func(task string) { c.record.started(name, task) }, func(task, how string) { c.record.ended(name, task, how) })
	if err := c.serve(endpoint, r); err != nil {
		return err
	}
	if err := c.start(p, text); err != nil {
		return err
	}
	go r.Heartbeat(ctx)
	return nil
}

// setWork sets the run time of a job's tasks.
func (c *cluster) setWork(job string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.durations[job] = d
}

func (c *cluster) work(task string) (time.Duration, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	if d, ok := c.durations[job]; ok {
		return d, "done"
	}
	return 20 * time.Millisecond, "done"
}

func (c *cluster) start(p *process, text string) error {
	p.settings, p.log = filepath.Join(c.dir, p.name+".yaml"), filepath.Join(c.dir, p.name+".log")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return p.run()
}

// run starts the process with the command of the deploy file.
func (p *process) run() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "platform", p.role, p.settings)
	cmd.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	cmd.Stdout, cmd.Stderr = log, log
	// The process does not outlive this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (c *cluster) awaitReady(e *process) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		resp, err := client.Get("http://" + e.readiness + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.record.add("%s is ready", e.name)
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errNotRun, e.name)
}

// close ends all processes and servers.
func (c *cluster) close() {
	c.stop()
	for _, p := range append(c.entries, c.agents...) {
		if p.cmd != nil && p.exited != nil {
			p.kill()
		}
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(c.dir)
}

// newID returns an ID for a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job is a job of one step as clients submit it.
type job struct {
	id       string
	queue    string
	tasks    int
	cpu      int
	duration time.Duration
	deadline time.Duration
}

func (j job) body() string {
	return fmt.Sprintf(`{"task_spec":"spec %s","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"est_duration_ms":%d}]}`,
		j.id, j.tasks, j.cpu, j.duration.Milliseconds())
}

func (j job) request(ctx context.Context, method string, e *process) *http.Request {
	body := ""
	if method == http.MethodPost {
		body = j.body()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.http+"/"+j.queue+"/"+j.id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(j.deadline.Milliseconds()))
	return req
}

// answer is what a client gets; status is 0 if the connection broke or no answer came.
type answer struct {
	status int
	state  string
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.state))
}

// call sends a request for a job on a connection of its own and waits for the answer until ctx is
// done.
func (c *cluster) call(ctx context.Context, method string, e *process, j job) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c.record.add("client: %s /%s/%s to %s", method, j.queue, j.id, e.name)
	resp, err := client.Do(j.request(ctx, method, e))
	var a answer
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		a.status = resp.StatusCode
		var body struct {
			State string `json:"state"`
		}
		if data, err := io.ReadAll(resp.Body); err == nil {
			_ = json.Unmarshal(data, &body)
			a.state = body.State
		}
	}
	c.record.add("client: %s /%s/%s at %s: %s", method, j.queue, j.id, e.name, a)
	return a
}

// post submits a job and waits for the answer for the job's deadline.
func (c *cluster) post(e *process, j job) answer {
	ctx, cancel := context.WithTimeout(context.Background(), j.deadline)
	defer cancel()
	return c.call(ctx, http.MethodPost, e, j)
}

func (c *cluster) delete(e *process, j job) answer {
	ctx, cancel := context.WithTimeout(context.Background(), ackWithin)
	defer cancel()
	return c.call(ctx, http.MethodDelete, e, j)
}

// newJob returns a job of two tasks that take d each.
func (c *cluster) newJob(d, deadline time.Duration) job {
	j := job{id: newID(), queue: "q", tasks: 2, cpu: 6200, duration: d, deadline: deadline}
	c.setWork(j.id, d)
	return j
}

// awaitRuns waits until all tasks of a job run.
func (c *cluster) awaitRuns(j job) error {
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		running := 0
		for _, run := range c.record.runsOf(j.id) {
			if run.end.IsZero() {
				running++
			}
		}
		if running >= j.tasks {
			return nil
		}
	}
	return fmt.Errorf("%w: the tasks of %s don't start", errNotRun, j.id)
}
