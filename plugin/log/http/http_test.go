package http

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// TestAppendErrors checks the errors of Append for responses that the faults of
// the log's contract tests do not produce.
func TestAppendErrors(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		want   error
	}{
		{"internal error", status(http.StatusInternalServerError), sharedlog.ErrUnknown},
		{"bad gateway", status(http.StatusBadGateway), sharedlog.ErrUnknown},
		{"unavailable", status(http.StatusServiceUnavailable), sharedlog.ErrUnavailable},
		{"not found", status(http.StatusNotFound), sharedlog.ErrUnavailable},
		{"too large", status(http.StatusRequestEntityTooLarge), sharedlog.ErrTooLarge},
		{"garbage", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, sharedlog.ErrUnknown},
		{"no offset", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, sharedlog.ErrUnknown},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, sharedlog.ErrUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				c.answer(w, r)
			}))
			t.Cleanup(server.Close)
			log, err := New(server.URL, 0)
			is.NoErr(err)
			_, err = log.Append(t.Context(), []byte("x"))
			is.True(errors.Is(err, c.want))
			is.Equal(calls.Load(), int32(1)) // an append is never repeated
		})
	}
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func TestAppendWithoutConnectionIsNotWritten(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	log, err := New("http://"+address, 0)
	is.NoErr(err)
	_, err = log.Append(t.Context(), []byte("x"))
	is.True(errors.Is(err, sharedlog.ErrUnavailable))
}

// TestTimeoutBoundsACall uses a server that never responds; the call must end by
// the client's own timeout.
func TestTimeoutBoundsACall(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	log, err := New(server.URL, time.Millisecond)
	is.NoErr(err)
	_, err = log.Append(t.Context(), []byte("x"))
	is.True(errors.Is(err, context.DeadlineExceeded))
}

func TestReadRejectsGaps(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(sharedlog.ReadReply{Records: []sharedlog.Record{{Offset: 1}, {Offset: 3}}})
	}))
	t.Cleanup(server.Close)
	log, err := New(server.URL, 0)
	is.NoErr(err)
	_, err = log.Read(t.Context(), 1, 10)
	is.True(errors.Is(err, sharedlog.ErrUnavailable))
}

func TestNewRejectsBadURLs(t *testing.T) {
	for _, u := range []string{"", "log:9000/\x00", "no-scheme"} {
		if _, err := New(u, 0); err == nil {
			t.Errorf("New(%q) gave no error", u)
		}
	}
}
