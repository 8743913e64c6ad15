package intake

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"marjoramlug.example/marjoramlug/kernel"
)

// acceptQueue dates the connections of a listener. They leave its queue in the order in which
// their handshakes were completed: when the queue has held n connections at a moment, those that
// are accepted after the next n were opened later than that moment. How long a connection has
// waited in the queue doesn't matter. It is used by the goroutine that accepts.
type acceptQueue struct {
	listener net.Listener
	// openedAfter is a time since boot before the opening of the next connection.
	openedAfter time.Duration
	// ahead is the number of connections to be accepted next that may have been opened before
	// observedAt, a time since boot; all later ones are newer. observedAt has no meaning if it is 0.
	ahead      int
	observedAt time.Duration
}

// newAcceptQueue returns the queue of a listener that has just been opened.
func newAcceptQueue(listener net.Listener) acceptQueue {
	return acceptQueue{listener: listener, openedAfter: kernel.SinceBoot()}
}

// observe looks at the queue before a connection is accepted.
func (q *acceptQueue) observe() {
	if q.ahead > 0 {
		return
	}
	now := kernel.SinceBoot()
	switch n, known := queueLength(q.listener); {
	case !known:
		// The next connection may be as old as the last one.
	case n == 0:
		q.openedAfter = now
	default:
		q.ahead, q.observedAt = n, now
	}
}

// reobserve replaces the last observation, for connections that are opened after a later moment.
func (q *acceptQueue) reobserve() {
	q.ahead = 0
	q.observe()
}

// accepted notes that a connection was accepted, and returns a time since boot before its
// opening.
func (q *acceptQueue) accepted() time.Duration {
	openedAfter := q.openedAfter
	if q.ahead > 0 {
		q.ahead--
		if q.ahead == 0 {
			q.openedAfter = q.observedAt
		}
	}
	return openedAfter
}

// queueLength returns the number of connections that wait to be accepted, and whether it is known.
func queueLength(listener net.Listener) (n int, known bool) {
	err := control(listener, func(fd int) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		ready, err := unix.Poll(poll, 0)
		if err != nil {
			return
		}
		if ready == 0 {
			known = true
			return
		}
		// Linux returns the length of a listening socket's queue as Unacked. Other kernels that run
		// Linux programs leave it 0.
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked)
		}
		known = n > 0
	})
	return n, known && err == nil
}
