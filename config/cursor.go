package config

import "marjoramlug.example/marjoramlug/sharedlog"

// Cursor tracks how far a reader of the log has come and whether its state is
// complete. Invariants: Applied never decreases, and every record up to
// Applied is in the reader's state, read by itself or covered by a snapshot.
//
// After a gap the state stays where it was. The reader goes on from the first
// record kept, applies nothing, and looks for a snapshot that reaches to that
// record or beyond. It takes the snapshot's state and reads on after Covered,
// thus some records for a second time.
type Cursor struct {
	applied sharedlog.Offset
	// scanned is the offset of the last record looked at since the gap, and
	// gapEnd the first one; both are 0 while there is no gap.
	gapEnd, scanned sharedlog.Offset
	started         bool
}

// Applied is the offset of the last record in the reader's state.
func (c *Cursor) Applied() sharedlog.Offset { return c.applied }

// Complete reports whether the state holds everything up to Applied. Before
// the first record or snapshot nothing is known.
func (c *Cursor) Complete() bool { return c.started && c.gapEnd == 0 }

// Next is the offset to read next.
func (c *Cursor) Next() sharedlog.Offset {
	if c.gapEnd > 0 {
		return c.scanned + 1
	}
	return c.applied + 1
}

// Trimmed notes that the log no longer holds the record at Next and that first
// is the oldest one kept.
func (c *Cursor) Trimmed(first sharedlog.Offset) {
	c.gapEnd = first
	c.scanned = first - 1
}

// Read notes the record at offset, which must be Next, and reports whether it
// is to be applied to the state.
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

// ReachedEnd notes that the log holds no record at Next. A reader that has met
// no gap then knows all there is, also in an empty log.
func (c *Cursor) ReachedEnd() { c.started = true }

// Adopt reports whether the state of a snapshot that covers the given offset is
// to replace the reader's state, and notes it.
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
