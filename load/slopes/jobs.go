package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/transport"
	"marjoramlug.example/marjoramlug/verdict"
)

// JobLoad describes a load of equal jobs.
type JobLoad struct {
	Service string
	// Tasks is the number of tasks of a job; Body is the size of the body of each
	// task's request and of its answer, in bytes.
	Tasks, Body int
	// Rate is the number of jobs per second. 0 runs a closed loop: each of Workers
	// senders sends its next job when the last one is answered.
	Rate     float64
	Workers  int
	Duration time.Duration
	// HTTP is the base URL of the entry that takes jobs from callers; empty sends
	// jobs to the owner as a relay would.
	HTTP string
}

// JobsDone counts completed and failed jobs. Failed must be 0; Cause is the cause
// of one failure.
type JobsDone struct {
	Jobs, Failed int64
	Cause        string
}

// loadGenerator sends one load of jobs and counts the answers.
type loadGenerator struct {
	load   JobLoad
	prefix int64
	seq    atomic.Int64
	done   atomic.Int64
	failed atomic.Int64
	cause  atomic.Pointer[string]
	// submit sends one job and waits for its answer.
	submit func(ctx context.Context, id string) error
}

func (g *loadGenerator) job(ctx context.Context) {
	id := fmt.Sprintf("job-%x-%06d", g.prefix, g.seq.Add(1))
	if err := g.submit(ctx, id); err != nil {
		cause := err.Error()
		g.cause.Store(&cause)
		g.failed.Add(1)
		return
	}
	g.done.Add(1)
}

func (g *loadGenerator) run() JobsDone {
	ctx, cancel := context.WithTimeout(context.Background(), g.load.Duration+replyTimeout)
	defer cancel()
	g.prefix = time.Now().UnixNano()
	end := time.Now().Add(g.load.Duration)
	if g.load.Rate > 0 {
		g.paced(ctx, end)
	} else {
		g.closedLoop(ctx, end)
	}
	result := JobsDone{Jobs: g.done.Load(), Failed: g.failed.Load()}
	if cause := g.cause.Load(); cause != nil {
		result.Cause = *cause
	}
	return result
}

func (g *loadGenerator) paced(ctx context.Context, end time.Time) {
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / g.load.Rate * float64(time.Second)))))
		wg.Go(func() { g.job(ctx) })
	}
	wg.Wait()
}

func (g *loadGenerator) closedLoop(ctx context.Context, end time.Time) {
	var wg sync.WaitGroup
	for range g.load.Workers {
		wg.Go(func() {
			for time.Now().Before(end) {
				g.job(ctx)
			}
		})
	}
	wg.Wait()
}

func body(n int) []byte { return bytes.Repeat([]byte{'x'}, n) }

// Run sends a load, waits for all answers and returns their counts.
func (p *Peer) Run(l JobLoad, reply *JobsDone) error {
	g := &loadGenerator{load: l}
	switch {
	case l.HTTP != "":
		g.submit = httpSubmitter(l)
	default:
		if p.relay == nil {
			relay, err := newFakeRelay(p.network, p.relaySide.address())
			if err != nil {
				return err
			}
			p.relay = relay
		}
		g.submit = p.relay.submitter(l)
	}
	*reply = g.run()
	return nil
}

var errJobFailed = errors.New("job failed")

// httpSubmitter returns a function that submits a job over HTTP as a caller.
func httpSubmitter(l JobLoad) func(context.Context, string) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(l.Workers, 1)}}
	request := api.JobRequest{}
	for range l.Tasks {
		request.Tasks = append(request.Tasks, api.TaskRequest{Path: "/labels", Body: string(body(l.Body))})
	}
	data, _ := json.Marshal(request)
	return func(ctx context.Context, id string) error {
		url := l.HTTP + "/v1/services/" + l.Service + "/jobs"
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
		if err != nil {
			return err
		}
		req.Header.Set(api.HeaderIdempotencyKey, id)
		req.Header.Set(api.HeaderCaller, "desk")
		req.Header.Set(api.HeaderSubmittedAt, time.Now().UTC().Format(time.RFC3339Nano))
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return responseError(resp)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
}

// responseError returns the error of an HTTP response other than 200: that of the
// first task that did not complete, or that of the job.
func responseError(resp *http.Response) error {
	var answer api.JobResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return fmt.Errorf("%w: status %d: %w", errJobFailed, resp.StatusCode, err)
	}
	for i, t := range answer.Tasks {
		if t.Verdict != verdict.Ran || t.Reason != verdict.ReasonNone {
			return fmt.Errorf("%w: status %d: task %d of %d: %v %v %s", errJobFailed, resp.StatusCode, i, len(answer.Tasks), t.Verdict, t.Reason, t.Detail)
		}
	}
	return fmt.Errorf("%w: status %d: %v %v %s", errJobFailed, resp.StatusCode, answer.Verdict, answer.Reason, answer.Detail)
}

// fakeRelay sends jobs to an owner as an entry would.
type fakeRelay struct {
	conn    transport.Conn
	next    atomic.Uint64
	mu      sync.Mutex
	waiters map[uint64]chan *message.Answer
}

func newFakeRelay(network transport.Network, address string) (*fakeRelay, error) {
	r := &fakeRelay{waiters: map[uint64]chan *message.Answer{}}
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	conn, err := network.Dial(ctx, address, message.Hello{Role: message.RoleEntry, Name: "relay", Incarnation: 1}, r)
	r.conn = conn
	return r, err
}

// Connected implements transport.Handler.
func (r *fakeRelay) Connected(transport.Conn) {}

// Disconnected implements transport.Handler.
func (r *fakeRelay) Disconnected(transport.Conn, error) {}

// Received implements transport.Handler.
func (r *fakeRelay) Received(_ transport.Conn, m message.Message) {
	answer, ok := m.(*message.Answer)
	if !ok {
		return
	}
	r.mu.Lock()
	waiter := r.waiters[answer.Request]
	delete(r.waiters, answer.Request)
	r.mu.Unlock()
	if waiter != nil {
		waiter <- answer
	}
}

func (r *fakeRelay) submitter(l JobLoad) func(context.Context, string) error {
	tasks := make([]message.Task, l.Tasks)
	for i := range tasks {
		tasks[i] = message.Task{Method: http.MethodPost, Path: "/labels", Body: body(l.Body)}
	}
	fingerprint := message.Fingerprint(tasks)
	return func(ctx context.Context, id string) error {
		key := message.JobKey{Team: "kiln", Caller: "desk", Job: id}
		m := &message.Submit{
			Request: r.next.Add(1), Service: l.Service, Shard: message.ShardOf(l.Service, key), Job: key,
			Fingerprint: fingerprint, SubmittedAt: time.Now().UnixMilli(), Tasks: tasks,
		}
		waiter := make(chan *message.Answer, 1)
		r.mu.Lock()
		r.waiters[m.Request] = waiter
		r.mu.Unlock()
		if err := r.conn.Send(m); err != nil {
			return err
		}
		select {
		case answer := <-waiter:
			return answerError(&answer.Answer)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// answerError returns the error of a failed answer: that of the first task that did
// not complete, or that of the job. It is nil for an answer that did not fail.
func answerError(a *message.JobAnswer) error {
	if !a.Failed {
		return nil
	}
	for i := range a.Tasks {
		if r := &a.Tasks[i]; !r.Complete() {
			return fmt.Errorf("%w: task %d of %d: %v %v %s", errJobFailed, i, len(a.Tasks), r.Verdict, r.Reason, r.Detail)
		}
	}
	return fmt.Errorf("%w: %v %v %s", errJobFailed, a.Verdict, a.Reason, a.Detail)
}
