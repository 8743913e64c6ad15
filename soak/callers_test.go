package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// jobDeadline is what callers say they wait.
	jobDeadline = 4 * time.Second
	// answerSlack is how much later than its deadline an answer may come before
	// the caller counts it as held back: a second on a machine with other work.
	answerTolerance = time.Second
	// maxTries bounds how often a caller submits a job.
	maxTries = 4
)

// submission is one job of a caller.
type submission struct {
	id    string
	tasks int
	tries int
}

// call submits a job until it is answered. A caller whose connection breaks
// submits again, elsewhere, after retransmit.
func (c *cluster) submitUntilAnswered(ctx context.Context, client *http.Client, firstEntry int, job submission) {
	c.record.count("jobs")
	for job.tries < maxTries {
		e := c.inRotation(firstEntry + job.tries)
		job.tries++
		if c.submit(ctx, client, e, job) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(resubmitDelay):
		}
	}
	c.record.count("given up")
}

// inRotation returns the n-th entry, or the next one to which callers are sent.
func (c *cluster) inRotation(n int) *entry {
	for i := range c.entries {
		if e := c.entries[(n+i)%len(c.entries)]; !e.isOutOfRotation() {
			return e
		}
	}
	return c.entries[n%len(c.entries)]
}

// submit reports whether the job was answered.
func (c *cluster) submit(ctx context.Context, client *http.Client, e *entry, job submission) bool {
	ctx, cancel := context.WithTimeout(ctx, jobDeadline+answerTolerance)
	defer cancel()
	submittedAt := time.Now()
	body := fmt.Sprintf(`{"task_spec":"x","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":1,"est_duration_ms":200}]}`, job.tasks, taskCPU)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers.address()+"/q/"+job.id, strings.NewReader(body))
	if err != nil {
		c.record.violation("request not made: %v", err)
		return true
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(jobDeadline.Milliseconds()))
	resp, err := client.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		c.checkBrokenConnection(e, job, submittedAt, err)
		return false
	}
	return c.checkAnswer(e, job, resp.StatusCode, resp.Header.Get("Retry-After"), text)
}

// brokenOff checks that a connection that ended without an answer was that of
// an entry that had been disturbed.
func (c *cluster) checkBrokenConnection(e *entry, job submission, submittedAt time.Time, err error) {
	c.record.count("broken off")
	if e.wasFaulty(submittedAt) || errors.Is(err, context.Canceled) {
		return
	}
	what := "cut off"
	if errors.Is(err, context.DeadlineExceeded) {
		what = "held beyond its deadline"
	}
	c.record.violation("%s at %s was %s after %v: %v", job.id, e.name, what, time.Since(submittedAt).Round(time.Millisecond), err)
}

// judge checks an answer and reports whether the caller takes it as final.
func (c *cluster) checkAnswer(e *entry, job submission, status int, retryAfter string, text []byte) bool {
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		c.record.violation("%s at %s: answer %d %q is not whole", job.id, e.name, status, text)
		return true
	}
	switch {
	case status == http.StatusOK && answer.State == "completed":
		c.record.jobCompleted(job.id, job.tasks)
	case status == http.StatusOK && answer.State == "failed":
		c.record.jobFailed(job.id, job.tasks, maxAttempts)
	case status == http.StatusServiceUnavailable:
		if retryAfter == "" {
			c.record.violation("%s at %s was refused without Retry-After", job.id, e.name)
		}
		if job.tries == 1 {
			c.record.jobRefused(job.id)
		}
	case status == http.StatusGatewayTimeout, status == http.StatusBadGateway:
		c.record.count("may have run")
	case status == http.StatusNotFound:
		c.record.violation("%s at %s: the route of all versions is not there: %s", job.id, e.name, text)
	default:
		c.record.violation("%s at %s: answer %d %s", job.id, e.name, status, text)
	}
	return true
}

// load submits jobs until ctx ends, and returns when the last is answered.
func (c *cluster) load(ctx context.Context, random *rand.Rand, rate func() float64) {
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	inFlight := make(chan struct{}, maxInFlight)
	for ctx.Err() == nil {
		interval := time.Duration(random.ExpFloat64() / rate() * float64(time.Second))
		job := submission{id: fmt.Sprintf("%016x", random.Uint64()), tasks: 1 + random.IntN(5)}
		firstEntry := random.IntN(len(c.entries))
		select {
		case <-ctx.Done():
		case <-time.After(interval):
			inFlight <- struct{}{}
			go func() {
				defer func() { <-inFlight }()
				c.submitUntilAnswered(context.WithoutCancel(ctx), client, firstEntry, job)
			}()
		}
	}
	for range maxInFlight {
		inFlight <- struct{}{}
	}
}

// maxOpen bounds the jobs that callers wait for at the same time.
const maxInFlight = 200

// watchConfiguration checks on one entry that what has been in force does not
// cease to be, until ctx ends.
func (c *cluster) watchConfiguration(ctx context.Context, e *entry) {
	seen := 0
	for ctx.Err() == nil {
		version := c.newestVersion()
		if c.probe(e, version) == http.StatusOK {
			seen = max(seen, version)
		}
		if seen > 0 && c.probe(e, seen) == http.StatusNotFound {
			c.record.violation("%s went back behind version %d", e.name, seen)
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}
