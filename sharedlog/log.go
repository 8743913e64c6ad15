// Package sharedlog defines the append-only log that the platform provides. The
// log identifies records by offset and keeps them for a limited time.
package sharedlog

import (
	"context"
	"errors"
)

// Offset is the position of a record in the log. The first record ever
// written has offset 1.
type Offset uint64

// Record is a log record with its offset.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Bounds is the range of records that a log holds: [First, Next).
type Bounds struct {
	// First is the offset of the oldest record that the log still holds.
	First Offset `json:"first"`
	// Next is the offset of the next record to be appended.
	Next Offset `json:"next"`
}

// Log is the platform's append-only log. Implementations are safe for
// concurrent use.
type Log interface {
	// Append writes one record and returns its offset. With ErrUnknown the record
	// may or may not have been written; the caller finds out by reading. With
	// ErrUnavailable or ErrTooLarge it was not written.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns at most limit records with consecutive offsets, beginning with
	// from. It returns an empty slice at the end of the log, and ErrTrimmed when
	// from is lower than the offset of the oldest record held.
	Read(ctx context.Context, from Offset, limit int) ([]Record, error)
	// Bounds returns the range of records that the log holds.
	Bounds(ctx context.Context) (Bounds, error)
}

var (
	// ErrUnavailable means that the log did not carry out the call: nothing was
	// written.
	ErrUnavailable = errors.New("log unavailable")
	// ErrUnknown means that the answer to an append was lost: the record may have
	// been written.
	ErrUnknown = errors.New("log append outcome unknown")
	// ErrTooLarge means that a record exceeds the log's size limit: it was not
	// written, and retrying does not help.
	ErrTooLarge = errors.New("log record too large")
	// ErrTrimmed means that the log no longer holds the requested records.
	ErrTrimmed = errors.New("log records no longer kept")
)
