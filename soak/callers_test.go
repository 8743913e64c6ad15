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
	// jobDeadline is the deadline that callers send with a job.
	jobDeadline = 4 * time.Second
	// answerTolerance is how long after the job's deadline an answer may arrive
	// before it is a violation. One second allows for other load on the machine.
	answerTolerance = time.Second
	// maxTries is the maximum number of times that a caller submits a job.
	maxTries = 4
)

// callerJob is a job of a caller.
type callerJob struct {
	id    string
	tasks int
	// tries is the number of submissions so far.
	tries int
}

// submitUntilAnswered submits a job until it is answered, at most maxTries
// times. A caller whose connection breaks resubmits to the next entry after
// resubmitDelay.
func (c *cluster) submitUntilAnswered(ctx context.Context, client *http.Client, firstEntry int, job callerJob) {
	c.record.count("jobs")
	for job.tries < maxTries {
		e := c.entryInRotation(firstEntry + job.tries)
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
	c.record.count("abandoned")
}

// entryInRotation returns the first entry in rotation, starting the search at the
// n-th. If none is in rotation, it returns the n-th.
func (c *cluster) entryInRotation(n int) *entry {
	for i := range c.entries {
		if e := c.entries[(n+i)%len(c.entries)]; !e.isOutOfRotation() {
			return e
		}
	}
	return c.entries[n%len(c.entries)]
}

// submit submits a job to an entry once, checks the answer and reports whether
// the caller is done with the job.
func (c *cluster) submit(ctx context.Context, client *http.Client, e *entry, job callerJob) bool {
	ctx, cancel := context.WithTimeout(ctx, jobDeadline+answerTolerance)
	defer cancel()
	submittedAt := time.Now()
	body := fmt.Sprintf(`{"task_spec":"x","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":1,"est_duration_ms":200}]}`, job.tasks, taskCPU)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers.address()+"/q/"+job.id, strings.NewReader(body))
	if err != nil {
		c.record.addViolation("creating a request failed: %v", err)
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

// checkBrokenConnection records a violation if a connection ended without an
// answer although its entry was not excused since submittedAt and the caller did
// not cancel the request.
func (c *cluster) checkBrokenConnection(e *entry, job callerJob, submittedAt time.Time, err error) {
	c.record.count("connection broken")
	if e.wasExcused(submittedAt) || errors.Is(err, context.Canceled) {
		return
	}
	what := "disconnected"
	if errors.Is(err, context.DeadlineExceeded) {
		what = "not answered by its deadline"
	}
	c.record.addViolation("%s at %s was %s after %v: %v", job.id, e.name, what, time.Since(submittedAt).Round(time.Millisecond), err)
}

// checkAnswer records the violations in an answer. It always returns true: a
// caller doesn't resubmit a job after an answer.
func (c *cluster) checkAnswer(e *entry, job callerJob, status int, retryAfter string, text []byte) bool {
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		c.record.addViolation("%s at %s: answer with status %d is not valid JSON: %q", job.id, e.name, status, text)
		return true
	}
	switch {
	case status == http.StatusOK && answer.State == "completed":
		c.record.jobCompleted(job.id, job.tasks)
	case status == http.StatusOK && answer.State == "failed":
		c.record.jobFailed(job.id, job.tasks, maxAttempts)
	case status == http.StatusServiceUnavailable:
		if retryAfter == "" {
			c.record.addViolation("%s at %s: refusal without Retry-After", job.id, e.name)
		}
		if job.tries == 1 {
			c.record.jobRefused(job.id)
		}
	case status == http.StatusGatewayTimeout, status == http.StatusBadGateway:
		c.record.count("may have run")
	case status == http.StatusNotFound:
		c.record.addViolation("%s at %s: route q, which every version contains, was not found: %s", job.id, e.name, text)
	default:
		c.record.addViolation("%s at %s: unexpected answer with status %d: %s", job.id, e.name, status, text)
	}
	return true
}

// load submits jobs at a rate in jobs per second until ctx ends, with
// exponentially distributed intervals, and returns when no job is in flight.
func (c *cluster) load(ctx context.Context, random *rand.Rand, rate func() float64) {
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	inFlight := make(chan struct{}, maxInFlight)
	for ctx.Err() == nil {
		interval := time.Duration(random.ExpFloat64() / rate() * float64(time.Second))
		job := callerJob{id: fmt.Sprintf("%016x", random.Uint64()), tasks: 1 + random.IntN(5)}
		firstEntry := random.IntN(len(c.entries))
		if rand.Int32N(100) < c.deadlyPercent.Load() {
			c.record.markDeadly(job.id)
		}
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

// maxInFlight bounds the jobs that are submitted and not yet answered.
const maxInFlight = 200

// watchConfiguration checks until ctx ends that an entry never returns to an
// older version of the configuration.
func (c *cluster) watchConfiguration(ctx context.Context, e *entry) {
	seen := 0
	for ctx.Err() == nil {
		version := c.newestVersion()
		if c.probe(e, version) == http.StatusOK {
			seen = max(seen, version)
		}
		if seen > 0 && c.probe(e, seen) == http.StatusNotFound {
			c.record.addViolation("%s returned to a configuration older than version %d", e.name, seen)
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}
