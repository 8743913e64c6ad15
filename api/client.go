package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/verdict"
)

// ClientOptions configure a caller's client.
type ClientOptions struct {
	// Servers are the base URLs of entries or of a load balancer. Each
	// resubmission goes to the next of them, after the last to the first again.
	Servers []string
	// Token authenticates the team; Caller names the caller within it.
	Token  string
	Caller string
	// Attempts bounds the submissions of one job, the first included. Default 5.
	Attempts int
	// RetryDelay is the delay before a resubmission when the server sent no
	// Retry-After. Default 200 ms; it doubles each time it is used, up to 5 s.
	RetryDelay time.Duration
	// HTTP is the HTTP client. Default http.DefaultClient.
	HTTP *http.Client
}

// Client submits jobs. It submits a job again under the same ID when the answer is
// lost or the server can't accept the job at present; the same ID ensures that no
// task is started twice. A Client is safe for concurrent use.
type Client struct {
	opts ClientOptions
}

const (
	defaultAttempts   = 5
	defaultRetryDelay = 200 * time.Millisecond
	// maxRetryDelay is the bound up to which the client's own delay between
	// submissions doubles.
	maxRetryDelay = 5 * time.Second
)

// NewClient returns a client. It needs at least one server.
func NewClient(opts ClientOptions) (*Client, error) {
	if len(opts.Servers) == 0 {
		return nil, errors.New("api client: no server given")
	}
	if opts.Attempts == 0 {
		opts.Attempts = defaultAttempts
	}
	if opts.RetryDelay == 0 {
		opts.RetryDelay = defaultRetryDelay
	}
	if opts.HTTP == nil {
		opts.HTTP = http.DefaultClient
	}
	return &Client{opts: opts}, nil
}

// Job is a job to submit.
type Job struct {
	Service string
	// ID is the job ID; when it is empty, the client generates one.
	ID    string
	Tasks []TaskRequest
	// SubmittedAt is the time of the first submission. The client sets it to
	// the current time when it generates the ID. A job with an ID and without a
	// time is treated as possibly submitted before, as only its submitter knows
	// whether it was.
	SubmittedAt time.Time
	// Deadline is zero when there is none.
	Deadline time.Time
}

// Submit submits a job and waits for its end. For a failed job it returns both
// the response, if the server sent one, and an error whose verdict reports
// whether any task may have run.
func (c *Client) Submit(ctx context.Context, job Job) (*JobResponse, error) {
	if job.ID == "" {
		job.ID = NewID()
		job.SubmittedAt = time.Now()
	}
	return c.submit(ctx, job)
}

func (c *Client) submit(ctx context.Context, job Job) (*JobResponse, error) {
	backoff := c.opts.RetryDelay
	// worst is the verdict over all attempts so far: once one of them may have
	// run the job, the NotRun of a later attempt holds for that attempt only.
	worst := verdict.NotRun
	for attempt := 0; ; attempt++ {
		resp, delay, err := c.attempt(ctx, job, attempt)
		if err == nil {
			return resp, nil
		}
		worst = verdict.Worse(worst, verdict.Of(err))
		if delay < 0 || attempt+1 >= c.opts.Attempts {
			return resp, verdict.Wrap(worst, verdict.ReasonOf(err), err)
		}
		if delay == 0 {
			delay = backoff
			backoff = min(2*backoff, maxRetryDelay)
		}
		if !kernel.Sleep(ctx, delay) {
			return resp, verdict.Wrap(worst, verdict.ReasonTimeout, ctx.Err())
		}
	}
}

// noRetry is the delay that stands for no retry: another submission would get
// the same answer, or the context has ended.
const noRetry time.Duration = -1

// attempt submits once. The duration is the delay that the server set for a retry,
// 0 when it set none and the client's own delay applies, or noRetry.
func (c *Client) attempt(ctx context.Context, job Job, attempt int) (*JobResponse, time.Duration, error) {
	req, err := c.request(job, attempt)
	if err != nil {
		return nil, noRetry, verdict.Wrap(verdict.NotRun, verdict.ReasonInvalid, err)
	}
	resp, err := c.opts.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		return nil, retryUnlessDone(ctx), verdict.Wrap(verdict.MayHaveRun, verdict.ReasonConnect, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, retryUnlessDone(ctx), verdict.Wrap(verdict.MayHaveRun, verdict.ReasonBadResponse, err)
	}
	return c.parseResponse(resp, body)
}

func (c *Client) request(job Job, attempt int) (*http.Request, error) {
	server := c.opts.Servers[attempt%len(c.opts.Servers)]
	s := sling.New().Base(server).
		Post(jobsPath(job.Service)).
		Set(HeaderIdempotencyKey, job.ID).
		BodyJSON(JobRequest{Tasks: job.Tasks})
	c.setIdentity(s)
	if !job.SubmittedAt.IsZero() {
		s.Set(HeaderSubmittedAt, job.SubmittedAt.UTC().Format(time.RFC3339Nano))
	}
	if !job.Deadline.IsZero() {
		s.Set(HeaderDeadline, job.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return s.Request()
}

// setIdentity adds the header fields that identify the caller.
func (c *Client) setIdentity(s *sling.Sling) {
	if c.opts.Caller != "" {
		s.Set(HeaderCaller, c.opts.Caller)
	}
	if c.opts.Token != "" {
		s.Set("Authorization", "Bearer "+c.opts.Token)
	}
}

func (c *Client) parseResponse(resp *http.Response, body []byte) (*JobResponse, time.Duration, error) {
	if resp.Header.Get("Content-Type") == ProblemType {
		return nil, retryAfter(resp), problemError(body)
	}
	answer := new(JobResponse)
	if err := json.Unmarshal(body, answer); err != nil {
		return nil, 0, verdict.Wrap(verdict.MayHaveRun, verdict.ReasonBadResponse, err)
	}
	if answer.State == StateComplete {
		return answer, 0, nil
	}
	err := verdict.New(answer.Verdict, answer.Reason, "job %s failed: %s", answer.Job, answer.Detail)
	return answer, noRetry, err
}

func problemError(body []byte) error {
	var p Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return verdict.Wrap(verdict.MayHaveRun, verdict.ReasonBadResponse, err)
	}
	return verdict.New(p.Verdict, p.Reason, "%s: %s", p.Title, p.Detail)
}

// retryAfter returns the delay that a response with a problem document sets for a
// retry, 0 when it sets none, or noRetry when a retry is useless.
func retryAfter(resp *http.Response) time.Duration {
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
	default:
		return noRetry
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func retryUnlessDone(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return noRetry
	}
	return 0
}

// Status returns a job's state. A problem document from the server becomes an
// error with a verdict on the job.
func (c *Client) Status(ctx context.Context, service, job string) (*JobResponse, error) {
	return c.callJob(ctx, http.MethodGet, service, job)
}

// Cancel cancels a job and returns its state. Errors are those of Status.
func (c *Client) Cancel(ctx context.Context, service, job string) (*JobResponse, error) {
	return c.callJob(ctx, http.MethodDelete, service, job)
}

func (c *Client) callJob(ctx context.Context, method, service, job string) (*JobResponse, error) {
	s := sling.New().Base(c.opts.Servers[0]).Path(jobPath(service, job))
	if method == http.MethodDelete {
		s.Delete("")
	}
	c.setIdentity(s)
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	resp, err := c.opts.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.Header.Get("Content-Type") == ProblemType {
		return nil, problemError(body)
	}
	answer := new(JobResponse)
	return answer, json.Unmarshal(body, answer)
}
