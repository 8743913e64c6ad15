package telemetry

import (
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
	routine   *rate.Limiter
	important *rate.Limiter
	omitted   atomic.Int64
}

// NewEventLog returns a log of JSON lines that begin with the process's name.
func NewEventLog(out io.Writer, process string, level log.Level) *EventLog {
	return &EventLog{
		logger: log.Logger{
			Level:      level,
			TimeFormat: time.RFC3339Nano,
			Context:    log.NewContext(nil).Str("process", process).Value(),
			Writer:     &log.AsyncWriter{ChannelSize: logQueue, DiscardOnFull: true, Writer: &log.IOWriter{Writer: out}},
		},
		routine:   rate.NewLimiter(routineLines, routineLines),
		important: rate.NewLimiter(importantLines, importantLines),
	}
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

// Close writes what waits.
func (l *EventLog) Close() error {
	if closer, ok := l.logger.Writer.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}
