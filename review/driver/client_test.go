//go:build review

package driver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// jobSpec is the body of a best-effort job of one step.
func jobSpec(tasks int, estimate time.Duration) []byte {
	data, _ := json.Marshal(map[string]any{
		"task_spec": "review", "best_effort": true,
		"steps": []map[string]any{{"count": tasks, "cpu": taskCPU, "mem_mb": 64, "est_duration_ms": estimate.Milliseconds()}},
	})
	return data
}

// call sends a client's request on a new connection and records it with its answer.
// Status is 0 if there was no complete answer.
func (c *cluster) call(method string, m *machine, id string, body []byte, deadline time.Duration) (status int, answer string) {
	req, err := http.NewRequest(method, "http://"+m.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	if deadline > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	c.record.line("sent  %s %s%s to %s %s", method, prefix, id, m.name, body)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: max(deadline, 10*time.Second)}
	resp, err := client.Do(req)
	if err != nil {
		c.record.line("answer to %s %s: none: %v", method, id, err)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.record.line("answer to %s %s: incomplete: %v", method, id, err)
		return 0, err.Error()
	}
	answer = strings.TrimSpace(string(data))
	c.record.line("answer to %s %s: %d %s", method, id, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// clientAnswer is the end of a request that was sent in the background.
type clientAnswer struct {
	status int
	body   string
	at     time.Duration
}

// post sends a job in the background.
func (c *cluster) post(m *machine, id string, body []byte, deadline time.Duration) <-chan clientAnswer {
	ended := make(chan clientAnswer, 1)
	go func() {
		status, answer := c.call(http.MethodPost, m, id, body, deadline)
		ended <- clientAnswer{status, answer, c.record.now()}
	}()
	return ended
}

// newID returns an ID for a client's job.
func newID() string { return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())*0x9e3779b97f4a7c15) }
