package node

import (
	"context"
	"time"

	"marjoramlug.example/marjoramlug/pool/scheduler"
)

// JobState is the state of a job as known to the entries.
type JobState struct {
	Known, Started, Completed bool
}

// Status looks a job up at this entry and, if it is unknown here, at the others.
func (e *Entry) Status(ctx context.Context, id string) JobState {
	var state JobState
	e.query(ctx, func(c *scheduler.Core) {
		state.Known, state.Started = c.Status(id)
		state.Completed = c.Completed(id)
	})
	if state.Known || state.Completed {
		return state
	}
	found := e.peers.search(ctx, id, false)
	return JobState{Known: found.Known, Started: found.Started}
}

// MayHaveAccepted reports whether a job is known to this entry as open or completed, or may have
// been submitted elsewhere by a request that arrived on a connection accepted at the given time
// since boot.
func (e *Entry) MayHaveAccepted(id string, connectedAt time.Duration) bool {
	// An entry that has stopped doesn't know.
	accepted := true
	e.query(context.Background(), func(c *scheduler.Core) { accepted = c.MayHaveAccepted(id, connectedAt) })
	return accepted
}

// Cancel cancels a job at this entry or, if it is unknown here, at the others, and
// reports whether the job was found.
func (e *Entry) Cancel(ctx context.Context, id string) bool {
	known := false
	e.query(ctx, func(c *scheduler.Core) { known, _ = c.Status(id) })
	if known {
		e.post(entryEvent{event: scheduler.CancelRequested{ID: id}})
		return true
	}
	return e.peers.search(ctx, id, true).Known
}

// WaitingJobs returns the number of jobs of a queue, over all entries, of which no
// task has started.
func (e *Entry) WaitingJobs(ctx context.Context, queue string) int {
	n := 0
	e.query(ctx, func(c *scheduler.Core) { n = c.WaitingJobs()[queue] })
	return n + e.peers.waiting(queue)
}

// OpenJobs returns the number of jobs that have not been answered.
func (e *Entry) OpenJobs(ctx context.Context) int {
	n := 0
	e.query(ctx, func(c *scheduler.Core) { n = c.OpenJobs() })
	return n
}

// query calls read in the event loop and returns when it has finished, or when ctx
// is done; read may then still be called later.
func (e *Entry) query(ctx context.Context, read func(*scheduler.Core)) {
	done := make(chan struct{})
	e.post(entryEvent{query: func(c *scheduler.Core) {
		read(c)
		close(done)
	}})
	select {
	case <-done:
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
}
