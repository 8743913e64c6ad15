// Package memory is a platform log held in the memory of one process, for
// trials and tests: every fault of a real log can be injected.
package memory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// MaxRecordBytes bounds one record.
const MaxRecordBytes = 4 << 20

func init() {
	kernel.Register(kernel.Module{ID: "log.memory", New: func() any { return opener{} }})
}

type opener struct{}

// Open returns an empty log with the retention of the settings.
func (opener) Open(s settings.Platform) (sharedlog.Log, error) {
	return New(Options{Retention: s.Retention}), nil
}

// Options configure a log. The zero value keeps all records.
type Options struct {
	// Retention is how long records are kept; 0 keeps them until Trim.
	Retention time.Duration
	// Now is the clock that the records' age is measured by; nil means time.Now.
	Now func() time.Time
}

// Faults are the failures that the log injects.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool `json:"down"`
	// Delay is added to every call. An append is written before the delay.
	Delay time.Duration `json:"delay"`
	// LostAnswers is the number of following appends that are written but return
	// ErrUnknown.
	LostAnswers int `json:"lost_answers"`
	// LostAppends is the number of following appends that are not written and
	// return ErrUnknown. They come after the lost answers.
	LostAppends int `json:"lost_appends"`
}

// stored is a record and the time when it was written.
type stored struct {
	data    []byte
	written time.Time
}

// Log is an append-only log. It is safe for concurrent use.
type Log struct {
	retention time.Duration
	now       func() time.Time

	mu     sync.Mutex
	first  sharedlog.Offset
	stored []stored
	faults Faults
}

// New returns an empty log without faults.
func New(o Options) *Log {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Log{retention: o.Retention, now: o.Now, first: 1}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the injected faults.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Trim removes all records before first.
func (l *Log) Trim(first sharedlog.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(first)
}

// Append implements sharedlog.Log.
func (l *Log) Append(ctx context.Context, data []byte) (sharedlog.Offset, error) {
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: %w", sharedlog.ErrUnavailable, err)
	}
	if len(data) > MaxRecordBytes {
		return 0, fmt.Errorf("%w: %d bytes, at most %d", sharedlog.ErrTooLarge, len(data), MaxRecordBytes)
	}
	offset, delay, err := l.write(data)
	if err != nil {
		return 0, err
	}
	if err := pause(ctx, delay); err != nil {
		return 0, fmt.Errorf("%w: %w", sharedlog.ErrUnknown, err)
	}
	return offset, nil
}

func (l *Log) write(data []byte) (sharedlog.Offset, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, 0, sharedlog.ErrUnavailable
	}
	if l.faults.LostAnswers == 0 && l.faults.LostAppends > 0 {
		l.faults.LostAppends--
		return 0, 0, sharedlog.ErrUnknown
	}
	l.stored = append(l.stored, stored{data: slices.Clone(data), written: l.now()})
	if l.faults.LostAnswers > 0 {
		l.faults.LostAnswers--
		return 0, 0, sharedlog.ErrUnknown
	}
	return l.next() - 1, l.faults.Delay, nil
}

// Read implements sharedlog.Log.
func (l *Log) Read(ctx context.Context, from sharedlog.Offset, limit int) ([]sharedlog.Record, error) {
	if err := l.checkFaults(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	if from < l.first {
		return nil, fmt.Errorf("%w: offset %d, first kept %d", sharedlog.ErrTrimmed, from, l.first)
	}
	end := min(from+sharedlog.Offset(max(limit, 0)), l.next())
	var records []sharedlog.Record
	for offset := from; offset < end; offset++ {
		data := slices.Clone(l.stored[offset-l.first].data)
		records = append(records, sharedlog.Record{Offset: offset, Data: data})
	}
	return records, nil
}

// Bounds implements sharedlog.Log.
func (l *Log) Bounds(ctx context.Context) (sharedlog.Bounds, error) {
	if err := l.checkFaults(ctx); err != nil {
		return sharedlog.Bounds{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return sharedlog.Bounds{First: l.first, Next: l.next()}, nil
}

// checkFaults applies the faults that affect calls which only read.
func (l *Log) checkFaults(ctx context.Context) error {
	f := l.Faults()
	if f.Down {
		return sharedlog.ErrUnavailable
	}
	if err := pause(ctx, f.Delay); err != nil {
		return fmt.Errorf("%w: %w", sharedlog.ErrUnavailable, err)
	}
	return nil
}

func (l *Log) next() sharedlog.Offset { return l.first + sharedlog.Offset(len(l.stored)) }

func (l *Log) expire() {
	if l.retention == 0 {
		return
	}
	oldest := l.now().Add(-l.retention)
	expired := 0
	for expired < len(l.stored) && l.stored[expired].written.Before(oldest) {
		expired++
	}
	l.trim(l.first + sharedlog.Offset(expired))
}

func (l *Log) trim(first sharedlog.Offset) {
	if first <= l.first {
		return
	}
	first = min(first, l.next())
	l.stored = slices.Clone(l.stored[first-l.first:])
	l.first = first
}

// pause waits for d or until the context is done.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	kernel.Sleep(ctx, d)
	return ctx.Err()
}
