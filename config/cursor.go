package config

import "marjoramlug.example/marjoramlug/sharedlog"

// Cursor tracks a reader's position in the log and whether its state is complete.
// Invariants: Applied never decreases, and every record up to Applied is in the
// reader's state, either applied by the reader or covered by a snapshot.
//
// A gap arises when the log has dropped records that the reader has not read, or
// when a reader without state skips old records to look for a snapshot among newer
// ones. The state then stays as it was: the reader continues from the first record
// after the gap, without applying records, until it finds a snapshot that leaves no
// gap before that record. It adopts the snapshot's state and continues after the last
// record that the snapshot covers, so that it may read some records a second time.
type Cursor struct {
	applied sharedlog.Offset
	// gapEnd is the offset of the first record after the gap, and scanned that of
	// the last record read since; both are 0 while there is no gap.
	gapEnd, scanned sharedlog.Offset
	// started is set once the reader has read a record, adopted a snapshot or
	// reached the end of the log.
	started bool
}

// Applied returns the offset of the last record in the reader's state.
func (c *Cursor) Applied() sharedlog.Offset { return c.applied }

// Complete reports whether the reader has no gap to close. It is false until the
// reader has read a record, adopted a snapshot or reached the end of the log.
func (c *Cursor) Complete() bool { return c.started && c.gapEnd == 0 }

// Next returns the offset to read next.
func (c *Cursor) Next() sharedlog.Offset {
	if c.gapEnd > 0 {
		return c.scanned + 1
	}
	return c.applied + 1
}

// SkipTo moves the reader to the record at offset first, which leaves a gap before
// that record. The log no longer holds the records of the gap, or the reader searches
// for a snapshot among newer ones.
func (c *Cursor) SkipTo(first sharedlog.Offset) {
	c.gapEnd = first
	c.scanned = first - 1
}

// Read advances the cursor past the record at offset and reports whether the
// record must be applied to the state. It ignores an offset other than Next.
func (c *Cursor) Read(offset sharedlog.Offset) bool {
	if offset != c.Next() {
		return false
	}
	if c.gapEnd > 0 {
		c.scanned = offset
		return false
	}
	c.applied = offset
	c.started = true
	return true
}

// ReachedEnd records that the log holds no record at Next. A reader without a gap
// is then complete, even if the log is empty.
func (c *Cursor) ReachedEnd() { c.started = true }

// Adopt reports whether the state of a snapshot that covers the given offset must
// replace the reader's state. If so, the cursor moves to that offset.
func (c *Cursor) Adopt(covered sharedlog.Offset) bool {
	if c.started && covered <= c.applied {
		return false
	}
	if covered+1 < c.gapEnd {
		return false
	}
	*c = Cursor{applied: covered, started: true}
	return true
}
