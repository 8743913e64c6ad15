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
	// routineLines and importantLines bound the log lines a second. Together they
	// cost less than a hundredth of a core; a process decides on a few hundred
	// requests a second, of which the failed ones matter.
	routineLines   = 40
	importantLines = 160
	// logQueue is the number of lines that wait for a slow reader; more are left
	// out.
	logQueue = 1024
)

// EventLog writes structured lines for decisions. It never blocks: lines
// beyond a budget, and those that the reader is too slow for, are left out and
// counted.
type EventLog struct {
	logger    log.Logger
	queue     *lineQueue
	routine   *rate.Limiter
	important *rate.Limiter
	omitted   atomic.Int64
}

// NewEventLog returns a log of JSON lines that begin with the process's name.
func NewEventLog(out io.Writer, process string, level log.Level) *EventLog {
	l := &EventLog{
		logger: log.Logger{
			Level:      level,
			TimeFormat: time.RFC3339Nano,
			Context:    log.NewContext(nil).Str("process", process).Value(),
		},
		routine:   rate.NewLimiter(routineLines, routineLines),
		important: rate.NewLimiter(importantLines, importantLines),
	}
	l.queue = newLineQueue(out, &l.omitted)
	l.logger.Writer = &log.IOWriter{Writer: l.queue}
	return l
}

// Routine begins a line on a decision that went well. It returns nil, on which
// all methods of an entry do nothing, when the budget is spent.
func (l *EventLog) Routine() *log.Entry {
	if !l.routine.Allow() {
		l.omitted.Add(1)
		return nil
	}
	return l.logger.Info()
}

// Failure begins a line on a refusal or failure, or on a change of what the
// process believes.
func (l *EventLog) Failure() *log.Entry {
	if !l.important.Allow() {
		l.omitted.Add(1)
		return nil
	}
	return l.logger.Warn()
}

// Lifecycle begins a line that is always written: start, stop, reload, and
// dependencies lost or regained.
func (l *EventLog) Lifecycle() *log.Entry { return l.logger.Info() }

// TakeOmitted returns how many lines were left out since the last call.
func (l *EventLog) TakeOmitted() int64 { return l.omitted.Swap(0) }

// Close writes what waits, for at most a second. Later lines are left out.
func (l *EventLog) Close() {
	close(l.queue.end)
	select {
	case <-l.queue.ended:
	case <-time.After(time.Second):
	}
}

// lineQueue hands lines to a goroutine of its own, so that a slow reader holds
// nobody up. The logging library's own asynchronous writer looks at a line
// after it has handed it over, which is a data race.
type lineQueue struct {
	lines   chan []byte
	end     chan struct{}
	ended   chan struct{}
	omitted *atomic.Int64
}

func newLineQueue(out io.Writer, omitted *atomic.Int64) *lineQueue {
	q := &lineQueue{
		lines: make(chan []byte, logQueue), end: make(chan struct{}), ended: make(chan struct{}), omitted: omitted,
	}
	go q.run(out)
	return q
}

// Write implements io.Writer.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.omitted.Add(1)
	}
	return len(line), nil
}

func (q *lineQueue) run(out io.Writer) {
	defer close(q.ended)
	for {
		select {
		case line := <-q.lines:
			q.pass(out, line)
		case <-q.end:
			for len(q.lines) > 0 {
				q.pass(out, <-q.lines)
			}
			return
		}
	}
}

// pass writes one line. There is nowhere to tell of an error but the count of
// lines left out.
func (q *lineQueue) pass(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		q.omitted.Add(1)
	}
}
