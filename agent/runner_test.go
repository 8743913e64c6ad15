package agent

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/agent/core"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

func runTask(t *testing.T, r *runner, server *httptest.Server, task message.Task) message.TaskResult {
	t.Helper()
	address := strings.TrimPrefix(server.URL, "http://")
	return r.run(t.Context(), core.Run{Address: address, Connections: 1, Task: task, Timeout: time.Minute})
}

// net/http resends a request if a reused connection closes during it and the
// request looks idempotent. No task may be sent twice.
func TestRequestIsNeverSentAgain(t *testing.T) {
	tests := map[string]message.Task{
		"get":             {Method: "GET", Path: "/second"},
		"head":            {Method: "HEAD", Path: "/second"},
		"idempotency key": {Method: "POST", Path: "/second", Header: []message.Header{{Name: "Idempotency-Key", Value: "1"}}},
		"with a body":     {Method: "PUT", Path: "/second", Body: []byte("x"), Header: []message.Header{{Name: "Idempotency-Key", Value: "1"}}},
	}
	for name, second := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var seen atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/second" {
					seen.Add(1)
					conn, _, _ := w.(http.Hijacker).Hijack()
					_ = conn.Close()
				}
			}))
			defer server.Close()
			r := newRunner(1 << 20)
			defer r.close()
			is.Equal(runTask(t, r, server, message.Task{Method: "GET", Path: "/first"}).Verdict, verdict.Ran)
			is.Equal(runTask(t, r, server, second).Verdict, verdict.MayHaveRun)
			is.Equal(seen.Load(), int32(1))
		})
	}
}

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	body := new(bytes.Buffer)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		_, _ = body.ReadFrom(r.Body)
		w.Header().Add("X-Lot", "1")
		w.Header().Add("X-Lot", "2")
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusFound)
		_, _ = w.Write([]byte("moved"))
	}))
	defer server.Close()
	r := newRunner(1 << 20)
	defer r.close()
	result := runTask(t, r, server, message.Task{
		Method: "POST", Path: "/a%2Fb?z=1&a=2&a", Body: []byte("payload"),
		Header: []message.Header{{Name: "Host", Value: "press.example"}, {Name: "X-Recipe", Value: "7"}, {Name: "Connection", Value: "close"}},
	})
	is.Equal(result.Status, http.StatusFound) // redirects are left to the caller
	is.Equal(string(result.Body), "moved")
	is.True(strings.Contains(formatHeader(result.Header), "X-Lot=1 X-Lot=2"))
	is.Equal(got.RequestURI, "/a%2Fb?z=1&a=2&a")
	is.Equal(got.Host, "press.example")
	is.Equal(got.Header.Get("X-Recipe"), "7")
	is.Equal(got.ContentLength, int64(len("payload")))
	is.Equal(body.String(), "payload")
}

func formatHeader(list []message.Header) string {
	var fields []string
	for _, h := range list {
		fields = append(fields, h.Name+"="+h.Value)
	}
	return strings.Join(fields, " ")
}

func TestAnswerBeyondTheBoundIsFailure(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 11))
	}))
	defer server.Close()
	r := newRunner(10)
	defer r.close()
	result := runTask(t, r, server, message.Task{Method: "GET", Path: "/"})
	is.Equal(result.Verdict, verdict.MayHaveRun)
	is.Equal(result.Reason, verdict.ReasonTooLarge)
	is.Equal(len(result.Body), 0)
}

// A body that ends when its connection closes may have been truncated by a crash of
// the endpoint.
func TestAnswerOfUnknownLengthIsFailure(t *testing.T) {
	for head, want := range map[string]verdict.Verdict{
		"200 OK\r\n\r\nhalf":                          verdict.MayHaveRun,
		"200 OK\r\nContent-Length: 4\r\n\r\nhalf":     verdict.Ran,
		"204 No Content\r\nConnection: close\r\n\r\n": verdict.Ran,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = conn.Write([]byte("HTTP/1.1 " + head))
			_ = conn.Close()
		}))
		result := runTask(t, newRunner(10), server, message.Task{Method: "GET", Path: "/"})
		if result.Verdict != want {
			t.Errorf("%q: %+v", head, result)
		}
		server.Close()
	}
}

func TestTasksThatCannotBeSentAreNotRun(t *testing.T) {
	for _, task := range []message.Task{
		{Method: "GET", Path: "no-slash"},
		{Method: "GET", Path: "@elsewhere:80/"},
		{Method: "BAD METHOD", Path: "/"},
		{Method: "GET", Path: "/%zz"},
	} {
		result := newRunner(10).run(t.Context(), core.Run{Address: "127.0.0.1:1", Task: task, Timeout: time.Minute})
		if result.Verdict != verdict.NotRun || result.Reason != verdict.ReasonInvalid {
			t.Errorf("%s %s: %+v", task.Method, task.Path, result)
		}
	}
}

// The listener accepts the connection and never answers: from the time when the
// connection is open, the request may have run.
func TestCancellationAfterTheConnectionOpenedMayHaveRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			cancel()
		}
	}()
	run := core.Run{Address: listener.Addr().String(), Task: message.Task{Method: "GET", Path: "/"}, Timeout: time.Minute}
	result := newRunner(10).run(ctx, run)
	is.Equal(result.Verdict, verdict.MayHaveRun)
	is.Equal(result.Reason, verdict.ReasonCancelled)
}
