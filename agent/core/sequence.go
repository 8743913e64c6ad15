package core

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// sequenceWindow records when the sequence numbers of a session were sent. They are
// consecutive, so that a number gives the index of its time.
type sequenceWindow struct {
	// first is the sequence number of sent[0].
	first message.Sequence
	sent  []time.Time
}

// next returns the next sequence number and drops those older than window. The
// recorded time is that of the decision to send, thus never later than the sending.
func (w *sequenceWindow) next(now time.Time, window time.Duration) message.Sequence {
	old := 0
	for old < len(w.sent) && now.Sub(w.sent[old]) > window {
		old++
	}
	w.sent = append(w.sent[old:], now)
	w.first += message.Sequence(old)
	return w.first + message.Sequence(len(w.sent)-1)
}

// sentWithin reports whether a sequence number was sent no longer than window ago.
func (w *sequenceWindow) sentWithin(s message.Sequence, now time.Time, window time.Duration) bool {
	if s < w.first || s >= w.first+message.Sequence(len(w.sent)) {
		return false
	}
	return now.Sub(w.sent[s-w.first]) <= window
}
