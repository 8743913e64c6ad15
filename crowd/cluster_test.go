package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/internal/proctest"
	"marjoramlug.example/marjoramlug/standin/runner"
	"marjoramlug.example/marjoramlug/standin/store"
)

// The budget of each process, and so the bounds of the checks.
const (
	memoryMB    = 64
	descriptors = 256
	// waitTimeout bounds each wait, so that a broken process fails the test instead of
	// blocking it.
	waitTimeout = 30 * time.Second
	host        = "crowd.example"
)

var program string

func TestMain(m *testing.M) {
	if addresses := os.Getenv(standinsVariable); addresses != "" {
		serveStandins(strings.Fields(addresses))
	}
	proctest.RunWithBinary(m, func(path string) { program = path })
}

// standinsVariable is the environment variable with the addresses of the store, of the endpoint
// and of its agent for a process that serves the stand-ins of the former two. They are apart from
// the crowd, which can take all the processor time of its own process.
const standinsVariable = "CROWD_STANDINS"

func serveStandins(addresses []string) {
	records := store.New()
	records.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":1,"services":[{"name":"s"}],"routes":[
		{"name":"q","host":%q,"path_prefix":"/q/","service":"s","max_attempts":3,"stretch":1.6,"latency_slo_ms":2000}]}`, host))
	run := runner.New(runner.Options{
		Name: "i-1", Service: "s", Address: addresses[1], HeartbeatAddress: addresses[2], CPU: 4000, TaskCPU: 1000,
		Lease: time.Second, StopTime: 25 * time.Millisecond, Heartbeat: 100 * time.Millisecond,
		Work: func(task string) (time.Duration, string) {
			if task == lastingTask {
				return lastingTime, "done"
			}
			return 20 * time.Millisecond, "done"
		},
	})
	go run.Heartbeat(context.Background())
	go func() { panic(http.ListenAndServe(addresses[0], records)) }()
	panic(http.ListenAndServe(addresses[1], run))
}

// process is an entry or agent process.
type process struct {
	name    string
	log     string
	cmd     *exec.Cmd
	exited  chan struct{}
	address struct{ http, readiness, metrics, peers string }
}

// cluster is an entry and an agent with stand-ins of the store and of an endpoint.
type cluster struct {
	t            *testing.T
	entry, agent *process
}

const commonSettings = `  name: %s
  http: %s
  metrics: %s
  store: {address: %s}
  timing: {lease: 1s, stop_time: 50ms, retransmit: 1300ms, grace: 6s}
  budget: {memory_mb: %d, descriptors: %d}
`

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t}
	storeAddress, endpoint := proctest.FreeTCP(t), proctest.FreeTCP(t)
	c.agent = c.start("agent", storeAddress, "  endpoint: "+endpoint+"\n")
	standins := &process{name: "stand-ins", log: filepath.Join(t.TempDir(), "log"), cmd: exec.Command(os.Args[0])}
	standins.cmd.Env = []string{standinsVariable + "=" + strings.Join([]string{storeAddress, endpoint, c.agent.address.http}, " ")}
	c.run(standins)
	c.entry = c.start("entry", storeAddress, "")
	c.must(retry(c.submitNew))
	return c
}

// retry calls try until it succeeds, and returns its error after waitTimeout.
func retry(try func() error) error {
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		if err := try(); err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

func (c *cluster) submitNew() error { return c.submit(int(rand.Int64())) }

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// start starts a process; further holds the settings of its role.
func (c *cluster) start(role, storeAddress, further string) *process {
	dir := c.t.TempDir()
	p := &process{name: role, log: filepath.Join(dir, "log")}
	p.address.http, p.address.metrics = proctest.FreeTCP(c.t), proctest.FreeTCP(c.t)
	text := "pool_" + role + ":\n" + fmt.Sprintf(commonSettings, role, p.address.http, p.address.metrics, storeAddress, memoryMB, descriptors) + further
	if role == "entry" {
		p.address.readiness, p.address.peers = proctest.FreeTCP(c.t), proctest.FreeUDP(c.t)
		text += "  listen: " + p.address.peers + "\n  readiness: " + p.address.readiness + "\n"
	}
	settings := filepath.Join(dir, "settings.yaml")
	c.must(os.WriteFile(settings, []byte(text), 0o600))
	p.cmd = exec.Command(program, "platform", role, settings)
	c.run(p)
	return p
}

// restart kills a process and starts it again.
func (c *cluster) restart(p *process) {
	c.must(p.cmd.Process.Kill())
	<-p.exited
	p.cmd = exec.Command(p.cmd.Path, p.cmd.Args[1:]...)
	c.run(p)
}

// run starts a process's command and ends it with the test.
func (c *cluster) run(p *process) {
	log, err := os.Create(p.log)
	c.must(err)
	p.exited = make(chan struct{})
	p.cmd.Env = append(append(p.cmd.Env, os.Environ()...), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	c.must(p.cmd.Start())
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(p.cmd, p.exited)
	cmd, exited := p.cmd, p.exited
	c.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
}

// client opens a new connection for each request.
var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

const jobBody = `{"task_spec":"x","best_effort":true,"steps":[{"count":1,"cpu":1000,"mem_mb":1,"est_duration_ms":20}]`

func jobPath(n int) string { return fmt.Sprintf("/q/%016x", n) }

// submit submits an ordinary job and returns an error unless it completes.
func (c *cluster) submit(n int) error {
	var answer struct{ State string }
	if err := c.call(http.MethodPost, c.entry.address.http, jobPath(n), jobBody+"}", &answer); err != nil {
		return err
	}
	if answer.State != "completed" {
		return fmt.Errorf("state %q", answer.State)
	}
	return nil
}

func (c *cluster) call(method, address, path, body string, answer any) error {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	c.must(err)
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	if err != nil || answer == nil {
		return err
	}
	return json.Unmarshal(text, answer)
}

// usage is what a process uses of its budget.
type usage struct {
	// peakMB is the highest resident memory so far, unreadMB what its TCP sockets have
	// received and the process has not read yet.
	peakMB, unreadMB float64
	descriptors      int
}

func (u usage) String() string {
	return fmt.Sprintf("%.0f MB resident at most, %.0f MB received and not read, %d descriptors", u.peakMB, u.unreadMB, u.descriptors)
}

// usage reads the kernel's figures; it fails when the process has ended.
func (p *process) usage() (usage, error) {
	var u usage
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kB float64
	if _, err := fmt.Sscan(rest, &kB); err != nil {
		return u, fmt.Errorf("VmHWM: %w", err)
	}
	u.peakMB = kB / 1024
	open, err := os.ReadDir(dir + "fd")
	if err != nil {
		return u, err
	}
	u.descriptors = len(open)
	u.unreadMB, err = p.unreadMB()
	return u, err
}

// unreadMB sums the receive queues of the connections to the process's listeners.
func (p *process) unreadMB() (float64, error) {
	ports := map[string]bool{}
	for _, address := range []string{p.address.http, p.address.readiness, p.address.metrics} {
		_, port, _ := strings.Cut(address, ":")
		n, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", n)] = n > 0
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	total := int64(0)
	const established = "01"
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] != established {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil && ports[port] {
			total += n
		}
	}
	return float64(total) / (1 << 20), nil
}
