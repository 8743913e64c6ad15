package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/intake"
	"marjoramlug.example/marjoramlug/message"
)

const (
	// handshakeTimeout limits the exchange of Hello messages on accepted connections.
	handshakeTimeout = 5 * time.Second
	// maxQueueBytes is the maximum size of the encoded messages in the send queue of
	// one connection.
	maxQueueBytes = 64 << 20
	// maxRetainedBufferBytes is the maximum size of a buffer that a connection keeps
	// for reuse.
	maxRetainedBufferBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// stream is the reliable byte stream under a link.
type stream interface {
	io.Reader
	io.Writer
	// CloseWrite ends the writing direction after all bytes written so far.
	CloseWrite() error
	// Abort ends both directions immediately.
	Abort()
}

// link implements Conn on a byte stream. All networks use it.
type link struct {
	stream     stream
	reader     *bufio.Reader
	peer       message.Hello
	handler    Handler
	authorizer authorizer
	// frames is the memory for frames that are being received, shared by the connections
	// of a listener; nil sets no bound besides the maximum frame size.
	// frameEvicted is called when the connection is closed for want of it.
	frames       *intake.Budget
	frameEvicted func(peer message.Hello)
	// done is closed after the handler's Disconnected call.
	done chan struct{}

	mu   sync.Mutex
	cond *sync.Cond
	// pending contains the frames that are not yet passed to the stream, and writing
	// is the number of bytes in the write under way. spare is an empty buffer for
	// reuse, or nil.
	pending      []byte
	spare        []byte
	writing      int
	shuttingDown bool
	closed       bool
}

// dialHandshake sends a Hello, then receives and checks the peer's. It returns a
// link that is not yet running, or aborts the stream on an error.
func dialHandshake(s stream, self message.Hello, h Handler, auth authorizer) (*link, error) {
	l := newLink(s, h, auth)
	err := writeHello(s, self)
	if err == nil {
		err = l.receiveHello()
	}
	return l.orAbort(err)
}

// acceptHandshake receives a Hello and, if it passes the check, answers with
// self. It returns a link that is not yet running, or aborts the stream on an
// error.
func acceptHandshake(s stream, self message.Hello, h Handler, auth authorizer) (*link, error) {
	l := newLink(s, h, auth)
	err := l.receiveHello()
	if err == nil {
		err = writeHello(s, self)
	}
	return l.orAbort(err)
}

func newLink(s stream, h Handler, auth authorizer) *link {
	l := &link{stream: s, reader: bufio.NewReaderSize(s, readBufferBytes), handler: h, authorizer: auth, done: make(chan struct{})}
	l.cond = sync.NewCond(&l.mu)
	return l
}

// receiveHello reads and checks the peer's Hello.
func (l *link) receiveHello() error {
	peer, err := readHello(l.reader)
	if err != nil {
		return err
	}
	l.peer = peer
	return l.authorizer.check(peer)
}

func (l *link) orAbort(err error) (*link, error) {
	if err != nil {
		l.stream.Abort()
		return nil, err
	}
	return l, nil
}

// Peer implements Conn.
func (l *link) Peer() message.Hello { return l.peer }

// Send implements Conn.
func (l *link) Send(m message.Message) error {
	frame, err := appendFrame(nil, m)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.shuttingDown {
		return ErrClosed
	}
	waiting := len(l.pending) + l.writing
	if waiting > 0 && waiting+len(frame) > maxQueueBytes {
		return ErrFull
	}
	l.pending = append(l.pending, frame...)
	l.cond.Signal()
	return nil
}

// Close implements Conn.
func (l *link) Close() {
	l.mu.Lock()
	l.closed = true
	l.cond.Signal()
	l.mu.Unlock()
	l.stream.Abort()
}

// Shutdown sends all queued messages and waits until the peer has received them
// and the connection has ended. When ctx is done first, it closes the connection
// and returns the context's cause.
func (l *link) Shutdown(ctx context.Context) error {
	l.mu.Lock()
	l.shuttingDown = true
	l.cond.Signal()
	l.mu.Unlock()
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		l.Close()
		return context.Cause(ctx)
	}
}

// run sends and receives messages until the connection ends.
func (l *link) run() {
	go l.writeLoop()
	cause := l.readLoop()
	l.mu.Lock()
	if l.closed {
		cause = ErrClosed
	}
	l.mu.Unlock()
	l.Close()
	l.handler.Disconnected(l, cause)
	close(l.done)
}

func (l *link) readLoop() (err error) {
	var buf []byte
	// Abort waits until the connection has ended, and evict is called with the budget locked.
	share := frameShare{budget: l.frames, evict: func() { go l.stream.Abort() }}
	defer func() {
		if evicted := share.release(); evicted || errors.Is(err, intake.ErrExhausted) {
			l.frameEvicted(l.peer)
		}
	}()
	for {
		if buf, err = readFrame(l.reader, buf, share.reserve); err != nil {
			return err
		}
		m, err := message.Decode(buf)
		share.release()
		var unknown message.UnknownKindError
		if errors.As(err, &unknown) {
			continue
		}
		if err != nil {
			return err
		}
		if l.authorizer.allow(l.peer, m.Kind()) {
			l.handler.Received(l, m)
		}
		if cap(buf) > maxRetainedBufferBytes {
			buf = nil
		}
	}
}

// writeLoop writes all pending frames with a single call and does not wait for
// more frames to fill a batch.
func (l *link) writeLoop() {
	for {
		batch, ok := l.nextBatch()
		if !ok {
			return
		}
		if len(batch) == 0 {
			_ = l.stream.CloseWrite()
			return
		}
		if _, err := l.stream.Write(batch); err != nil {
			l.stream.Abort()
			return
		}
		l.recycle(batch)
	}
}

// nextBatch waits for pending frames and returns them. An empty batch means that
// the link is shutting down and all frames have been written. It returns false
// when the link is closed.
func (l *link) nextBatch() ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) == 0 && !l.shuttingDown && !l.closed {
		l.cond.Wait()
	}
	if l.closed {
		return nil, false
	}
	batch := l.pending
	l.pending = l.spare[:0]
	l.spare = nil
	l.writing = len(batch)
	return batch, true
}

// recycle notes that a batch has been written, and keeps its buffer for reuse if
// it is not too large.
func (l *link) recycle(batch []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = 0
	if cap(batch) <= maxRetainedBufferBytes {
		l.spare = batch
	}
}
