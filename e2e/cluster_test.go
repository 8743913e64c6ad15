//go:build processes

package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/standin/endpoint"
)

const (
	service = "trials"
	slots   = 8
	// waitTimeout bounds each wait for a condition, so that a broken system fails
	// the test instead of blocking it.
	waitTimeout = 30 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "marjoramlug-e2e")
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

// process is a started marjoramlug process.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	// http is the base URL of an entry, or the address of an agent.
	http string
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// cluster runs a log, entries and agents as processes, and the endpoints in the
// test's own process.
type cluster struct {
	t         *testing.T
	dir       string
	logURL    string
	entries   []*process
	agents    []*process
	endpoints []*endpoint.Server
}

// ownership configures short leases, so that takeovers take only seconds.
const ownership = `
  ownership:
    lease_ttl: 3s
    drift_margin: 250ms
    accept_window: 1500ms
    takeover_timeout: 3s
`

func startCluster(t *testing.T, entries, agents int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir()}
	logAddress := freeTCP(t)
	c.logURL = "http://" + logAddress
	c.start("log", "standin", "log", "--listen", logAddress)
	c.await("the log to answer", func() bool { return c.getStatus(c.logURL+"/v1/bounds") != 0 })
	var addresses []string
	for range entries {
		addresses = append(addresses, freeUDP(t))
	}
	for i, address := range addresses {
		c.entries = append(c.entries, c.startEntry(i+1, address))
	}
	for _, e := range c.entries {
		c.await(e.name, func() bool { return c.getStatus(e.http+"/readyz") == http.StatusOK })
	}
	c.configure(c.entries[0], "")
	for i := range agents {
		c.startAgent(i+1, addresses)
	}
	c.await("the agents' slots to be reported as free credits", func() bool { return c.gauge("free_credits") == int64(agents*slots) })
	return c
}

func (c *cluster) startEntry(n int, address string) *process {
	httpAddress := freeTCP(c.t)
	name := fmt.Sprintf("entry-%d", n)
	path := c.write(name+".yaml", fmt.Sprintf(`entry:
  name: %s
  zone: zone-%d
  listen: %s
  http: %s
  platform:
    log: http
    url: %s
    poll: 50ms%s`, name, n%3, address, httpAddress, c.logURL, ownership))
	p := c.start(name, "entry", path)
	p.http = "http://" + httpAddress
	return p
}

func (c *cluster) startAgent(n int, entries []string) {
	httpAddress := freeTCP(c.t)
	name := fmt.Sprintf("agent-%d", n)
	path := c.write(name+".yaml", fmt.Sprintf(`agent:
  name: %s
  zone: zone-%d
  http: %s
  entries: [%s]
  heartbeat: 500ms
  accept_window: 1500ms
`, name, n%3, httpAddress, strings.Join(entries, ", ")))
	p := c.start(name, "agent", path)
	p.http = httpAddress
	c.agents = append(c.agents, p)
	e := endpoint.New(endpoint.Options{
		Service: service, Name: fmt.Sprintf("endpoint-%d", n), Agent: httpAddress,
		Speed: 1 + float64(n%3), Slots: slots, Connections: 64,
	})
	c.await(name, func() bool { return c.getStatus("http://"+httpAddress+"/") != 0 })
	if err := e.Start(c.t.Context()); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(e.Kill)
	c.endpoints = append(c.endpoints, e)
}

func (c *cluster) start(name string, args ...string) *process {
	c.t.Helper()
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	p := &process{name: name, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() {
			data, _ := os.ReadFile(log.Name())
			c.t.Logf("%s:\n%s", name, data)
		}
	})
	return p
}

func (c *cluster) write(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// configure applies the service's configuration through an entry. A non-empty
// team adds a team of that name, which distinguishes the revision from others.
func (c *cluster) configure(e *process, team string) {
	c.t.Helper()
	text := "name: " + service + "\nrules:\n  - name: label\n    path_prefix: /label\n"
	if team != "" {
		text += "teams:\n  - name: " + team + "\n    weight: 2\n"
	}
	out, err := exec.Command(binary, "config", "apply", c.write("service.yaml", text), "--server", e.http).CombinedOutput()
	if err != nil {
		c.t.Fatalf("config apply: %v\n%s", err, out)
	}
}

// gauge returns the sum of a gauge of the service over the entries that answer.
func (c *cluster) gauge(name string) int64 {
	sum := int64(0)
	for _, e := range c.entries {
		sum += c.gaugeOf(e, name)
	}
	return sum
}

// gaugeOf returns a gauge of the service at one entry, or 0 if the entry doesn't
// answer.
func (c *cluster) gaugeOf(e *process, name string) int64 {
	var report struct {
		Gauges map[string]int64 `json:"gauges"`
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(e.http + "/v1/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&report)
	return report.Gauges["service."+service+"."+name]
}

// owner waits until an entry owns shards of the service and returns it.
func (c *cluster) owner() *process {
	c.t.Helper()
	var owner *process
	c.await("an owner", func() bool {
		for _, e := range c.entries {
			if c.gaugeOf(e, "shards_owned") > 0 {
				owner = e
			}
		}
		return owner != nil
	})
	return owner
}

// others returns all entries except one.
func (c *cluster) others(except *process) []*process {
	var others []*process
	for _, e := range c.entries {
		if e != except {
			others = append(others, e)
		}
	}
	return others
}

func (c *cluster) client(caller string, entries ...*process) *api.Client {
	c.t.Helper()
	var servers []string
	for _, e := range entries {
		servers = append(servers, e.http)
	}
	client, err := api.NewClient(api.ClientOptions{Servers: servers, Caller: caller, Attempts: 50})
	if err != nil {
		c.t.Fatal(err)
	}
	return client
}

// starts returns how often the endpoints have started each task.
func (c *cluster) starts() map[string]int {
	total := map[string]int{}
	for _, e := range c.endpoints {
		for key, n := range e.Starts() {
			total[key] += n
		}
	}
	return total
}

// getStatus returns the HTTP status of a GET request, or 0 if there is no answer.
func (c *cluster) getStatus(url string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// await waits until a condition holds and fails the test after waitTimeout. what
// completes "waiting for"; the bare name of an entry means that it is to be ready,
// that of an agent that it is to answer.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			c.t.Fatalf("timed out after %s waiting for %s", waitTimeout, what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func freeTCP(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func freeUDP(t *testing.T) string {
	t.Helper()
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.LocalAddr().String()
}
