package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/agent/core"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// connectTimeout bounds the opening of a connection to an endpoint.
	connectTimeout = 2 * time.Second
	// idleConnTimeout closes idle connections before an endpoint does: a request
	// that fails because the endpoint closes the connection can't be distinguished
	// from one that ran.
	idleConnTimeout = time.Second
	// maxResponseHeaderBytes is the maximum size of the header of a response.
	maxResponseHeaderBytes = 256 << 10
)

// hopByHop lists the header fields that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// runner sends tasks to endpoints. It sends each request at most once.
type runner struct {
	maxAnswerBytes int64
	mu             sync.Mutex
	clients        map[core.EndpointKey]*client
}

// client holds the connections to one endpoint.
type client struct {
	http        *http.Client
	address     string
	connections int
}

func newRunner(maxAnswerBytes int64) *runner {
	return &runner{maxAnswerBytes: maxAnswerBytes, clients: map[core.EndpointKey]*client{}}
}

// client returns the HTTP client of a run's endpoint. A new one is created when the
// endpoint has announced another address or number of connections.
func (r *runner) client(run core.Run) *http.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.clients[run.Endpoint]
	if c == nil || c.address != run.Address || c.connections != run.Connections {
		r.drop(run.Endpoint)
		c = &client{newClient(run.Connections), run.Address, run.Connections}
		r.clients[run.Endpoint] = c
	}
	return c.http
}

// forget closes the idle connections to an endpoint that has left.
func (r *runner) forget(key core.EndpointKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(key)
}

func (r *runner) drop(key core.EndpointKey) {
	if c := r.clients[key]; c != nil {
		c.http.CloseIdleConnections()
		delete(r.clients, key)
	}
}

// newClient returns a client that neither follows redirects nor goes through
// a proxy nor changes the body's encoding.
func newClient(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: connectTimeout}).DialContext,
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    max(connections, http.DefaultMaxIdleConnsPerHost),
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// close ends idle connections.
func (r *runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.clients {
		r.drop(key)
	}
}

// run runs one task. The verdict of the result says whether the task may have had
// an effect.
func (r *runner) run(ctx context.Context, run core.Run) message.TaskResult {
	startTime := time.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, run.Timeout, errTaskTimeout)
	defer cancel()
	result := r.roundTrip(ctx, run)
	result.RunMicros = time.Since(startTime).Microseconds()
	return result
}

var errTaskTimeout = errors.New("the endpoint did not answer in time")

func (r *runner) roundTrip(ctx context.Context, run core.Run) message.TaskResult {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := newRequest(ctx, run.Address, run.Task)
	if err != nil {
		return failedResult(verdict.NotRun, verdict.ReasonInvalid, err)
	}
	resp, err := r.client(run).Do(req)
	if err != nil && !connected {
		return failedResult(verdict.NotRun, failureReason(ctx, verdict.ReasonConnect), err)
	}
	if err != nil {
		return failedResult(verdict.MayHaveRun, failureReason(ctx, verdict.ReasonBadResponse), err)
	}
	defer func() { _ = resp.Body.Close() }()
	return r.read(ctx, resp)
}

// read reads the complete answer; a partial one is a failure.
func (r *runner) read(ctx context.Context, resp *http.Response) message.TaskResult {
	if resp.StatusCode < http.StatusOK {
		err := fmt.Errorf("unexpected status %d", resp.StatusCode)
		return failedResult(verdict.MayHaveRun, verdict.ReasonBadResponse, err)
	}
	if !endIsDetectable(resp) {
		err := errors.New("the answer has neither a length nor chunks, so that its end can't be told from a cut")
		return failedResult(verdict.MayHaveRun, verdict.ReasonBadResponse, err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.maxAnswerBytes+1))
	if err != nil {
		return failedResult(verdict.MayHaveRun, failureReason(ctx, verdict.ReasonBadResponse), err)
	}
	if int64(len(body)) > r.maxAnswerBytes {
		err := fmt.Errorf("the answer exceeds %d bytes", r.maxAnswerBytes)
		return failedResult(verdict.MayHaveRun, verdict.ReasonTooLarge, err)
	}
	return message.TaskResult{
		Verdict: verdict.Ran, Status: resp.StatusCode, Header: endToEndHeader(resp.Header), Body: body,
	}
}

// endIsDetectable reports whether a complete body can be distinguished from a
// truncated one (RFC 9112, section 8).
func endIsDetectable(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// newRequest builds the HTTP request of a task. Its body can be read only once and
// has a type that net/http doesn't know, so that net/http can't send the request
// again.
func newRequest(ctx context.Context, address string, t message.Task) (*http.Request, error) {
	if !strings.HasPrefix(t.Path, "/") {
		return nil, fmt.Errorf("path %q does not begin with /", t.Path)
	}
	body := &singleUseBody{data: t.Body}
	req, err := http.NewRequestWithContext(ctx, t.Method, "http://"+address+t.Path, body)
	if err != nil {
		return nil, err
	}
	if len(t.Body) > 0 {
		req.ContentLength = int64(len(t.Body))
	}
	for _, h := range t.Header {
		req.Header.Add(h.Name, h.Value)
	}
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	for _, name := range hopByHop {
		req.Header.Del(name)
	}
	req.Header.Del("Content-Length")
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "")
	}
	return req, nil
}

// singleUseBody is a request body that can't be rewound.
type singleUseBody struct{ data []byte }

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (*singleUseBody) Close() error { return nil }

func failedResult(v verdict.Verdict, reason verdict.Reason, err error) message.TaskResult {
	return message.TaskResult{Verdict: v, Reason: reason, Detail: err.Error()}
}

// failureReason distinguishes timeouts and cancellations from other failures, for
// which it returns other.
func failureReason(ctx context.Context, other verdict.Reason) verdict.Reason {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return other
	case errors.Is(cause, errTaskTimeout):
		return verdict.ReasonTimeout
	default:
		return verdict.ReasonCancelled
	}
}

func endToEndHeader(h http.Header) []message.Header {
	for _, name := range hopByHop {
		h.Del(name)
	}
	var list []message.Header
	for name, values := range h {
		for _, value := range values {
			list = append(list, message.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(list, func(a, b message.Header) int { return strings.Compare(a.Name, b.Name) })
	return list
}
