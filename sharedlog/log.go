// Package sharedlog defines what the system needs of the platform: an
// append-only log with offsets that keeps records for a limited time.
package sharedlog

import (
	"context"
	"errors"
)

// Offset is the position of a record in the log. The first record ever
// written has offset 1.
type Offset uint64

// Record is one entry of the log.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Bounds is the range of records that a log holds: [First, Next).
type Bounds struct {
	// First is the oldest offset still kept.
	First Offset `json:"first"`
	// Next is the offset that the next record will get.
	Next Offset `json:"next"`
}

// Log is the platform's append-only log. Implementations are safe for
// concurrent use.
type Log interface {
	// Append writes one record and returns its offset. After ErrUnknown the
	// record may or may not have been written; the caller finds out by reading.
	// After ErrUnavailable or ErrTooLarge it was not written.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns records from offset on, in order and without holes, at most
	// limit of them. It returns an empty slice at the end of the log and
	// ErrTrimmed when offset lies before the first kept record.
	Read(ctx context.Context, from Offset, limit int) ([]Record, error)
	// Bounds returns the range of records kept.
	Bounds(ctx context.Context) (Bounds, error)
}

var (
	// ErrUnavailable means that the log did not take the call: nothing was written.
	ErrUnavailable = errors.New("log unavailable")
	// ErrUnknown means that an append's answer was lost: it may have been written.
	ErrUnknown = errors.New("log append outcome unknown")
	// ErrTooLarge means that a record exceeds what the log takes: it was not
	// written, and will not be when it is sent again.
	ErrTooLarge = errors.New("log record too large")
	// ErrTrimmed means that the requested records are no longer kept.
	ErrTrimmed = errors.New("log records no longer kept")
)
