package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"marjoramlug.example/marjoramlug/telemetry"
)

const (
	// baseBytes is what a request that is being read takes besides its body: buffers,
	// header and stack.
	baseBytes = 8 << 10
	// lingerTime is how long the rest of a refused request is read, so that the client
	// gets the refusal before its connection is reset because of unread bytes.
	lingerTime = 500 * time.Millisecond
	// smallBytes is the announced size up to which a body is read whole: most requests
	// are smaller and decode faster so.
	smallBytes = 8 << 10
)

// Gate admits the requests of a process. It is safe for concurrent use.
type Gate struct {
	budget  *Budget
	timeout time.Duration
	metrics *telemetry.Registry
	pacer   *Pacer
	// pressure summarizes the limits that were reached.
	pressure pressure
}

// NewGate returns a gate with a budget in bytes and the time within which a request has to
// be received.
func NewGate(budget int64, timeout time.Duration, metrics *telemetry.Registry) *Gate {
	g := &Gate{budget: NewBudget(budget), timeout: timeout, metrics: metrics}
	g.pacer = NewPacer(g.paced)
	return g
}

// Report makes the gate call report when limits have been reached, with the counters and how
// often, once in ten seconds at most. It must be called before the gate is used.
func (g *Gate) Report(report func(reached string)) { g.pressure.report = report }

// count counts a limit that was reached.
func (g *Gate) count(name string) {
	g.metrics.Add(name, 1)
	g.pressure.add(name)
}

func (g *Gate) paced() { g.count("intake.paced") }

// Listen listens on a TCP address for at most limit connections of clients, to be tracked by
// their server; 0 sets no limit. bufferBytes is the size of a connection's buffers in the kernel.
// closed, if set, is called for each connection that is closed because of the limit.
func (g *Gate) Listen(address string, limit, bufferBytes int, closed func(remote net.Addr, why Closing)) (*Connections, error) {
	listener, err := listen(address, bufferBytes)
	if err != nil {
		return nil, err
	}
	return newConnections(listener, limit, NewPacer(g.paced), func(remote net.Addr, why Closing) {
		g.count("connections." + why.String())
		if closed != nil {
			closed(remote, why)
		}
	}), nil
}

// Handler limits the time for a request's body, whether or not next reads it, and lets next
// begin when there is a place for the request. The place of a request with a body is taken at
// the body's end.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.pacer.Take()
		conn := connectionOf(r)
		if r.ContentLength != 0 {
			setReadDeadline(w, time.Now().Add(g.timeout))
		} else if err := conn.work(r.Context()); err != nil {
			// Its client has left or has lost the connection.
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
		// A rest of the body may be left, which the server reads before the next request.
		conn.wait()
	})
}

// setReadDeadline sets the deadline for reading from a request's connection.
func setReadDeadline(w http.ResponseWriter, t time.Time) {
	// Recorders of tests have no deadline; a connection that has failed needs none.
	_ = http.NewResponseController(w).SetReadDeadline(t)
}

// Body is the body of a request that is being read. It must be closed.
type Body struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	src     io.Reader
	request *Request
	// err is the first error of reading, other than the end.
	err error
}

// Open admits a request and returns its body of at most limit bytes. A body that is
// announced to be larger is refused without reading it.
func (g *Gate) Open(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	b := &Body{gate: g, w: w, r: r, src: http.MaxBytesReader(w, r.Body, limit)}
	if r.ContentLength > limit {
		return nil, b.refuse(ErrTooLarge)
	}
	size := int64(baseBytes)
	if b.isSmall() {
		size += r.ContentLength
	} else {
		size += streamBytes
	}
	request, err := g.budget.Begin(size, func() { setReadDeadline(w, time.Unix(1, 0)) })
	if err != nil {
		return nil, b.refuse(err)
	}
	b.request = request
	g.publish()
	return b, nil
}

func (b *Body) isSmall() bool { return b.r.ContentLength >= 0 && b.r.ContentLength <= smallBytes }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if err != nil && err != io.EOF && b.err == nil {
		b.err = b.errorOf(err)
	}
	return n, err
}

// errorOf translates an error of the connection.
func (b *Body) errorOf(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge
	case b.request.Evicted():
		return ErrEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTimeout
	}
	return err
}

// Close ends the reading, after err if it is set, and returns the error that explains it:
// one of this package's if a limit was reached. The server closes the connection of a
// request that was not received whole.
func (b *Body) Close(err error) error {
	evicted := b.request.Release()
	b.gate.publish()
	switch {
	case b.err != nil:
		err = b.err
	case evicted:
		// Its deadline is past, which also ends the server's watch for the client's end.
		err = ErrEvicted
	}
	if err == nil {
		// The server has cleared the deadline when it read the end of the body.
		err = connectionOf(b.r).work(b.r.Context())
	}
	if err != nil {
		return b.refuse(err)
	}
	return nil
}

func (b *Body) refuse(err error) error {
	setReadDeadline(b.w, time.Now().Add(lingerTime))
	b.w.Header().Set("Connection", "close")
	b.gate.countRefused(err)
	return err
}

func (g *Gate) countRefused(err error) {
	if reason := Reason(err); reason != "" {
		g.count("intake.refused." + reason)
		if reason == "evicted" {
			g.metrics.Add("intake.evicted", 1)
		}
	}
}

func (g *Gate) publish() { g.metrics.Set("intake.bytes", g.budget.Used()) }

// Reason returns the name of the limit that an error of this package stands for, and an
// empty string for other errors.
func Reason(err error) string {
	switch {
	case errors.Is(err, ErrTooLarge):
		return "too-large"
	case errors.Is(err, ErrEvicted):
		return "evicted"
	case errors.Is(err, ErrExhausted):
		return "exhausted"
	case errors.Is(err, ErrTimeout):
		return "timeout"
	}
	return ""
}
