package core

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// refusedStarts keeps the starts that were answered NotRun, so that a copy that arrives
// later, possibly on another session, is not accepted after that answer.
type refusedStarts struct {
	ids map[message.StartID]struct{}
	// order holds the refused starts in the order of their refusal.
	order []refusedStart
}

type refusedStart struct {
	id        message.StartID
	refusedAt time.Time
}

func newRefusedStarts() *refusedStarts { return &refusedStarts{ids: map[message.StartID]struct{}{}} }

func (r *refusedStarts) add(now time.Time, id message.StartID) {
	if r.has(id) {
		return
	}
	r.ids[id] = struct{}{}
	r.order = append(r.order, refusedStart{id, now})
}

func (r *refusedStarts) has(id message.StartID) bool {
	_, ok := r.ids[id]
	return ok
}

// trim removes starts refused longer than window ago, and the oldest ones beyond
// limit.
func (r *refusedStarts) trim(now time.Time, window time.Duration, limit int) {
	for len(r.order) > 0 && (len(r.order) > limit || now.Sub(r.order[0].refusedAt) > window) {
		delete(r.ids, r.order[0].id)
		r.order = r.order[1:]
	}
}
