package crowd

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"marjoramlug.example/marjoramlug/internal/knownred"
)

const (
	// systemMB and systemDescriptors bound the process of a whole system: three entries and
	// ten agents, which take 60 MB and 170 descriptors without a crowd.
	systemMB          = 256
	systemDescriptors = 300
	ownJob            = `{"tasks":[{"path":"/label?key=a&run_millis=50"}]`
)

var ownAddress = regexp.MustCompile(`http://([0-9.:]+)/v1/services/demo/jobs`)

// newSystem starts a system with the product's own interface in one process, and returns its
// cluster with the address of one entry.
func newSystem(t *testing.T) *cluster {
	c := &cluster{t: t}
	p := &process{name: "system", log: filepath.Join(t.TempDir(), "log")}
	c.entry = p
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s demo --stay", systemDescriptors, program))
	c.run(p)
	c.must(retry(func() error {
		log, err := os.ReadFile(p.log)
		found := ownAddress.FindSubmatch(log)
		if found == nil {
			return fmt.Errorf("the system has not started: %s, %w", log, err)
		}
		p.address.http = string(found[1])
		return nil
	}))
	return c
}

func ownHeader(fields ...string) string {
	return header(http.MethodPost, "/v1/services/demo/jobs", append(fields, fmt.Sprintf("Idempotency-Key: %x", rand.Uint64()))...)
}

// TestCrowdsAtOwnInterface guards against an entry that runs out of descriptors, and then
// accepts nobody, or out of memory, through clients of the product's own interface.
func TestCrowdsAtOwnInterface(t *testing.T) {
	const large = 4 << 20
	for _, crowd := range []struct {
		name  string
		n     int
		write write
	}{
		{"idle", clients, idle},
		{"partial-headers", clients, partialHeaders},
		{"large-bodies", heartbeats, announced(ownHeader, body(ownJob, large), 0)},
		{"pipelined", clients, pipelined(get("/none"))},
		{"in-progress", clients, once(func() string {
			const job = `{"tasks":[{"path":"/label?key=a&run_millis=20000"}]}`
			return ownHeader(contentLength(len(job))) + job
		})},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			c := newSystem(t)
			play(t, c.entry.address.http, crowd.n, crowd.write)
			// Jobs that last can take all endpoints: beside them only readiness is asked for.
			err := c.call(http.MethodGet, c.entry.address.http, "/readyz", "", nil)
			if err == nil && crowd.name != "in-progress" {
				err = c.call(http.MethodPost, c.entry.address.http, "/v1/services/demo/jobs", ownJob+"}", nil)
			}
			u, gone := c.entry.usage()
			log, readErr := os.ReadFile(c.entry.log)
			c.must(readErr)
			met := err == nil && gone == nil && u.peakMB+u.unreadMB <= systemMB && u.descriptors < systemDescriptors &&
				!bytes.Contains(log, []byte("panic:"))
			t.Log(u)
			knownred.Expect(t, met, "%v, process: %v, %v", err, gone, u)
		})
	}
}
