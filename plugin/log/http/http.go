// Package http is the client of the platform's log service over HTTP.
package http

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// idleConnections is the number of idle connections to the service that are kept
// open.
const idleConnections = 4

func init() {
	kernel.Register(kernel.Module{ID: "log.http", New: func() any { return opener{} }})
}

type opener struct{}

// Open returns a client of the service at the settings' URL.
func (opener) Open(s settings.Platform) (sharedlog.Log, error) {
	return New(s.URL, s.Timeout)
}

// Log is a client of the log service.
type Log struct {
	base    *sling.Sling
	timeout time.Duration
}

// New returns a client. The timeout bounds each call; 0 sets no bound.
func New(baseURL string, timeout time.Duration) (*Log, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("log URL: %w", err)
	}
	if u.Host == "" {
		return nil, fmt.Errorf("log URL %q names no host", baseURL)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = idleConnections
	client := &http.Client{Transport: transport}
	base := sling.New().Client(client).Base(strings.TrimSuffix(baseURL, "/") + "/")
	return &Log{base: base, timeout: timeout}, nil
}

// Append implements sharedlog.Log.
func (l *Log) Append(ctx context.Context, data []byte) (sharedlog.Offset, error) {
	call := l.base.New().Post(relative(sharedlog.RecordsPath)).Body(bytes.NewReader(data))
	var reply sharedlog.AppendReply
	sent, err := l.do(ctx, call, &reply)
	if err == nil && reply.Offset == 0 {
		err = errors.New("response contains no offset")
	}
	switch {
	case err == nil:
		return reply.Offset, nil
	case sent && !notWritten(err):
		return 0, fmt.Errorf("%w: %w", sharedlog.ErrUnknown, err)
	default:
		return 0, noEffectError(err)
	}
}

// Read implements sharedlog.Log.
func (l *Log) Read(ctx context.Context, from sharedlog.Offset, limit int) ([]sharedlog.Record, error) {
	query := sharedlog.ReadQuery{From: from, Limit: limit}
	call := l.base.New().Get(relative(sharedlog.RecordsPath)).QueryStruct(query)
	var reply sharedlog.ReadReply
	if _, err := l.do(ctx, call, &reply); err != nil {
		return nil, noEffectError(err)
	}
	return reply.Records, checkOrder(reply.Records, from)
}

// Bounds implements sharedlog.Log.
func (l *Log) Bounds(ctx context.Context) (sharedlog.Bounds, error) {
	var bounds sharedlog.Bounds
	if _, err := l.do(ctx, l.base.New().Get(relative(sharedlog.BoundsPath)), &bounds); err != nil {
		return sharedlog.Bounds{}, noEffectError(err)
	}
	return bounds, nil
}

// do sends a call and reports whether any part of it may have reached the
// service.
func (l *Log) do(ctx context.Context, call *sling.Sling, reply any) (bool, error) {
	if l.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.timeout)
		defer cancel()
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := call.Request()
	if err != nil {
		return false, err
	}
	resp, err := call.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)), reply, nil)
	if err != nil {
		return sent.Load(), err
	}
	if resp.StatusCode/100 != 2 {
		return true, statusError(resp.StatusCode)
	}
	return true, nil
}

// statusError is the HTTP status of a response that reports a failed call.
type statusError int

// Error returns the status code and its text.
func (s statusError) Error() string {
	return fmt.Sprintf("status %d %s", int(s), http.StatusText(int(s)))
}

// notWritten reports whether the service's response means that nothing was
// written.
func notWritten(err error) bool {
	var status statusError
	if !errors.As(err, &status) {
		return false
	}
	return status == http.StatusServiceUnavailable || status/100 == 4
}

// noEffectError returns the error for a call that had no effect.
func noEffectError(err error) error {
	var status statusError
	errors.As(err, &status)
	switch int(status) {
	case http.StatusGone:
		return fmt.Errorf("%w: %w", sharedlog.ErrTrimmed, err)
	case http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %w", sharedlog.ErrTooLarge, err)
	default:
		return fmt.Errorf("%w: %w", sharedlog.ErrUnavailable, err)
	}
}

// checkOrder returns an error unless the records' offsets are consecutive and
// begin at from, so that a faulty response can't leave a gap.
func checkOrder(records []sharedlog.Record, from sharedlog.Offset) error {
	for i, r := range records {
		if r.Offset != from+sharedlog.Offset(i) {
			return fmt.Errorf("%w: record has offset %d, expected %d", sharedlog.ErrUnavailable, r.Offset, from+sharedlog.Offset(i))
		}
	}
	return nil
}

func relative(path string) string { return strings.TrimPrefix(path, "/") }
