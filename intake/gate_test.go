package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/telemetry"
)

// server is a server behind a gate whose handler decodes a field, and for the path /wait
// then waits until release is closed.
type server struct {
	address       string
	gate          *Gate
	metrics       *telemetry.Registry
	read, release chan struct{}
	closed, ended chan net.Addr
}

func newServer(t *testing.T, budget int64, timeout time.Duration, connections int) *server {
	s := &server{
		metrics: telemetry.New(), read: make(chan struct{}, 8), release: make(chan struct{}),
		closed: make(chan net.Addr, 8), ended: make(chan net.Addr, 8),
	}
	s.gate = NewGate(budget, timeout, s.metrics)
	listener, err := s.gate.Listen("127.0.0.1:0", connections, 16<<10, func(remote net.Addr, why Closing) {
		if why == ClosedInProgress {
			s.ended <- remote
			return
		}
		s.closed <- remote
	})
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.gate.Handler(http.HandlerFunc(s.serve))}
	listener.Track(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	var v struct{ Text string }
	body, err := s.gate.Open(w, r, 100_000)
	if err == nil {
		err = body.Close(body.DecodeJSON(&v, Fields{"text": &v.Text}))
	}
	if err != nil {
		http.Error(w, Reason(err), http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/wait" {
		s.read <- struct{}{}
		<-s.release
		if err := r.Context().Err(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	}
}

// send opens a connection and sends text.
func (s *server) send(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// answer reads an answer and whether the connection is closed after it.
func answer(conn net.Conn) (status int, text string, closes bool, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", false, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(body)), resp.Close, err
}

// TestIncompleteRequestsAreRefused guards against requests that hold their share for as long
// as their client likes, and against refusals that wait for the rest of the body.
func TestIncompleteRequestsAreRefused(t *testing.T) {
	const complete = `{"text":"a"}`
	for reason, c := range map[string]struct {
		timeout time.Duration
		request string
	}{
		"timeout": {time.Millisecond, post("/", 20, complete)},
		// Sent whole: net/http alone would read it and go on with the connection.
		"too-large": {time.Hour, post("/", 100_001, strings.Repeat("x", 100_001))},
		"evicted":   {time.Hour, post("/", 20_000, complete)},
	} {
		t.Run(reason, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, baseBytes+streamBytes, c.timeout, 0)
			conn := s.send(t, c.request)
			if reason == "evicted" {
				for s.gate.budget.Used() == 0 {
					time.Sleep(time.Millisecond)
				}
				status, _, _, err := answer(s.send(t, post("/", len(complete), complete)))
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
			}
			status, text, closes, err := answer(conn)
			is.NoErr(err)
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(text, reason)
			is.True(closes)
			is.Equal(s.metrics.Counters()["intake.refused."+reason], int64(1))
			is.Equal(s.gate.budget.Used(), int64(0))
		})
	}
}

// TestTimeoutEndsWithTheBody guards against a limit for bodies that ends the wait for an
// answer, and against one that a connection keeps for its next request. It relies on net/http,
// which clears the deadline at the end of a body.
func TestTimeoutEndsWithTheBody(t *testing.T) {
	is := is.New(t)
	const timeout = 50 * time.Millisecond
	s := newServer(t, 1<<20, timeout, 0)
	conn := s.send(t, post("/wait", 12, `{"text":"a"}`))
	<-s.read
	time.Sleep(2 * timeout)
	close(s.release)
	status, _, closes, err := answer(conn)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(!closes)
	_, err = io.WriteString(conn, post("/", 12, `{"text":"a"}`))
	is.NoErr(err)
	status, _, _, err = answer(conn)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// TestConnectionLimitClosesTheLongestWaiting guards against a limit that makes new
// connections wait behind idle ones, against one that closes a connection whose request has
// just begun, and against one that refuses a new client while requests of others are in progress.
func TestConnectionLimitClosesTheLongestWaiting(t *testing.T) {
	is := is.New(t)
	s := newServer(t, 1<<20, time.Hour, 4)
	busy := s.send(t, post("/wait", 12, `{"text":"a"}`))
	<-s.read
	part := s.send(t, post("/", 20, "{"))
	for s.gate.budget.Used() == 0 {
		time.Sleep(time.Millisecond)
	}
	var idle [2]net.Conn
	for i := range idle {
		idle[i] = s.send(t, post("/", 12, `{"text":"a"}`))
		status, _, _, err := answer(idle[i])
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}

	for _, oldest := range []net.Conn{part, idle[0]} {
		s.send(t, post("/wait", 12, `{"text":"a"}`))
		is.Equal((<-s.closed).String(), oldest.LocalAddr().String())
		<-s.read
		_, err := oldest.Read(make([]byte, 1))
		is.True(err != nil) // closed
	}
	next := s.send(t, post("/", 12, `{"text":"a"}`)) // all places for requests are taken
	is.Equal((<-s.closed).String(), idle[1].LocalAddr().String())
	close(s.release)
	for _, conn := range []net.Conn{busy, next} {
		status, _, _, err := answer(conn)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(len(s.ended), 0)
}

// TestPipeliningClientGivesWay guards against clients that hold the places for requests by
// sending the next one before each answer, and against a handler that goes on for a connection
// that is closed.
func TestPipeliningClientGivesWay(t *testing.T) {
	is := is.New(t)
	s := newServer(t, 1<<20, time.Hour, 2)
	request := post("/wait", 12, `{"text":"a"}`)
	pipelining := s.send(t, request)
	<-s.read
	_, err := io.WriteString(pipelining, request)
	is.NoErr(err)
	next := s.send(t, post("/", 12, `{"text":"a"}`))
	is.Equal((<-s.ended).String(), pipelining.LocalAddr().String())
	status, _, _, err := answer(next)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	close(s.release)
}

// TestRequestThatArrivesIsNotEvictedFirst guards against a well-behaved client whose connection
// is closed in the middle of its request, while one that has sent nothing keeps its own: the
// client's connection has been idle for longer than the other one has been open.
func TestRequestThatArrivesIsNotEvictedFirst(t *testing.T) {
	is := is.New(t)
	c := newConnections(nil, 2, nil, func(net.Addr, Closing) {})
	server := &http.Server{}
	c.Track(server)
	conn := func() net.Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return near
	}
	client, silent := c.admit(conn()), c.admit(conn())
	server.ConnState(client, http.StateActive)
	is.True(c.admit(conn()) != nil)
	is.True(client.place != nil && silent.place == nil)
}
