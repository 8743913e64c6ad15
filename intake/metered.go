package intake

import (
	"io"
	"net/http"
	"time"
)

// bufferFactor is what a body that is read whole and decoded takes, as a multiple of its
// size: its buffer has up to twice its size.
const bufferFactor = 2

// Metered charges the bodies that next reads whole to the gate's memory until they have been
// received and there is a place for the request. Reading fails with an error of this package
// when a limit is reached.
func (g *Gate) Metered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		b := &meteredBody{ReadCloser: r.Body, gate: g, w: w, r: r}
		b.request, b.err = g.budget.Begin(baseBytes, func() { setReadDeadline(w, time.Unix(1, 0)) })
		defer b.release()
		metered := *r
		metered.Body = b
		next.ServeHTTP(w, &metered)
	})
}

// meteredBody is a body whose bytes are charged as they are read.
type meteredBody struct {
	io.ReadCloser
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	request *Request
	// err is the first error of a limit.
	err error
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.refuse()
	}
	n, err := b.ReadCloser.Read(p)
	if b.request == nil {
		return n, err
	}
	if b.request.Evicted() {
		b.err = ErrEvicted
	} else if err == nil {
		b.err = b.request.Reserve(bufferFactor * int64(n))
	}
	if err == io.EOF {
		b.err = connectionOf(b.r).work(b.r.Context())
	}
	if b.err != nil {
		return n, b.refuse()
	}
	if err == io.EOF {
		b.release()
	}
	return n, err
}

func (b *meteredBody) refuse() error {
	setReadDeadline(b.w, time.Now().Add(lingerTime))
	b.w.Header().Set("Connection", "close")
	b.gate.countRefused(b.err)
	b.release()
	return b.err
}

func (b *meteredBody) release() {
	if b.request != nil {
		b.request.Release()
		b.request = nil
	}
	b.gate.publish()
}
