package telemetry

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// routineLinesPerSecond and failureLinesPerSecond bound the lines per second,
	// and the lines of a burst, that Routine and Failure begin. Writing lines at
	// both limits costs less than a hundredth of a core. A process decides a few
	// hundred requests per second; failures have the higher limit, as theirs are
	// the lines worth keeping.
	routineLinesPerSecond = 40
	failureLinesPerSecond = 160
	// maxQueuedLines bounds the lines that wait for a slow output; further lines
	// are omitted.
	maxQueuedLines = 1024
	// maxQueuedBytes bounds their size: an ordinary line has some 300 bytes.
	maxQueuedBytes = 1 << 20
)

// EventLog is a structured log of decisions and state changes. It never blocks:
// lines beyond a rate limit, and lines that the output is too slow for, are
// omitted and counted.
type EventLog struct {
	logger   log.Logger
	queue    *lineQueue
	routine  *rate.Limiter
	failures *rate.Limiter
	omitted  atomic.Int64
}

// NewEventLog returns a log that writes JSON lines to out, each with the
// process's name.
func NewEventLog(out io.Writer, process string, level log.Level) *EventLog {
	l := &EventLog{
		logger: log.Logger{
			Level:      level,
			TimeFormat: time.RFC3339Nano,
			Context:    log.NewContext(nil).Str("process", process).Value(),
		},
		routine:  rate.NewLimiter(routineLinesPerSecond, routineLinesPerSecond),
		failures: rate.NewLimiter(failureLinesPerSecond, failureLinesPerSecond),
	}
	l.queue = newLineQueue(out, &l.omitted)
	l.logger.Writer = &log.IOWriter{Writer: l.queue}
	return l
}

// Routine begins a line for a successful decision. When the rate limit is
// exceeded, it returns nil; the methods of a nil *log.Entry do nothing.
func (l *EventLog) Routine() *log.Entry {
	if !l.routine.Allow() {
		l.omitted.Add(1)
		return nil
	}
	return l.logger.Info()
}

// Failure begins a line for a refusal, a failure or a change of the process's
// view of its peers. When the rate limit is exceeded, it returns nil like
// Routine.
func (l *EventLog) Failure() *log.Entry {
	if !l.failures.Allow() {
		l.omitted.Add(1)
		return nil
	}
	return l.logger.Warn()
}

// Lifecycle begins a line that no rate limit applies to: start, stop, reload,
// and loss or return of a dependency.
func (l *EventLog) Lifecycle() *log.Entry { return l.logger.Info() }

// TakeOmitted returns the number of lines omitted since the last call.
func (l *EventLog) TakeOmitted() int64 { return l.omitted.Swap(0) }

// Close writes the queued lines and waits at most one second for that. Later
// lines are not written.
func (l *EventLog) Close() {
	close(l.queue.closing)
	select {
	case <-l.queue.done:
	case <-time.After(time.Second):
	}
}

// lineQueue writes lines from its own goroutine, so that a slow output does not
// block the code that logs. The logging library's AsyncWriter is not used: it
// reads a line's length after passing the line to its own goroutine, which is a
// data race.
type lineQueue struct {
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	omitted *atomic.Int64
	// bytes is the size of the lines.
	bytes atomic.Int64
}

func newLineQueue(out io.Writer, omitted *atomic.Int64) *lineQueue {
	q := &lineQueue{
		lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}), omitted: omitted,
	}
	go q.run(out)
	return q
}

// Write implements io.Writer.
func (q *lineQueue) Write(line []byte) (int, error) {
	size := int64(len(line))
	if q.bytes.Add(size) > maxQueuedBytes {
		q.omit(size)
		return len(line), nil
	}
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.omit(size)
	}
	return len(line), nil
}

func (q *lineQueue) omit(size int64) {
	q.bytes.Add(-size)
	q.omitted.Add(1)
}

func (q *lineQueue) run(out io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(out, line)
		case <-q.closing:
			for len(q.lines) > 0 {
				q.writeLine(out, <-q.lines)
			}
			return
		}
	}
}

// writeLine writes one line. An error can be reported only by counting the line
// as omitted.
func (q *lineQueue) writeLine(out io.Writer, line []byte) {
	defer q.bytes.Add(-int64(len(line)))
	if _, err := out.Write(line); err != nil {
		q.omitted.Add(1)
	}
}
