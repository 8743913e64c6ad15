package replica

import (
	"context"
	"errors"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// readBatchSize is the maximum number of records per read.
const readBatchSize = 1000

// readLoop reads the log until ctx is done.
func (r *Replica) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		more := r.readOnce(ctx)
		if more {
			continue
		}
		r.waitForPoll(ctx)
	}
	return ctx.Err()
}

// waitForPoll waits for the poll interval, or less when an append ends or ctx is
// done.
func (r *Replica) waitForPoll(ctx context.Context) {
	timer := time.NewTimer(r.options.Platform.PollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wakeReadLoop:
	case <-timer.C:
	}
}

// readOnce reads one batch and reports whether to read again without waiting.
func (r *Replica) readOnce(ctx context.Context) (more bool) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Platform.Timeout)
	defer cancel()
	began := time.Now()
	if err := r.chooseStart(ctx); err != nil {
		r.readFailed()
		return false
	}
	r.options.Metrics.Add("log.reads", 1)
	records, err := r.options.Log.Read(ctx, r.nextOffset(), readBatchSize)
	switch {
	case errors.Is(err, sharedlog.ErrTrimmed):
		return r.handleTrimmed(ctx)
	case err != nil:
		r.readFailed()
		return false
	}
	r.applyBatch(began, records)
	r.requestPeerState()
	return len(records) == readBatchSize
}

func (r *Replica) nextOffset() sharedlog.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cursor.Next()
}

// chooseStart positions a reader without state at the beginning of the window of
// newest records, where it searches for a snapshot, as reading the whole log can
// take long.
func (r *Replica) chooseStart(ctx context.Context) error {
	r.mu.Lock()
	startChosen := r.startChosen
	r.mu.Unlock()
	if startChosen {
		return nil
	}
	b, err := r.options.Log.Bounds(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startChosen = true
	r.fromFirst = b.Next <= b.First+r.window
	start := b.First
	if !r.fromFirst {
		start = b.Next - r.window
	}
	if start > 1 && !r.cursor.Complete() {
		r.cursor.SkipTo(start)
	}
	return nil
}

// handleTrimmed handles a gap: the log no longer holds the next record. Reading
// continues with the oldest record held. It reports whether to read again without
// waiting.
func (r *Replica) handleTrimmed(ctx context.Context) (more bool) {
	b, err := r.options.Log.Bounds(ctx)
	if err != nil {
		r.readFailed()
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cursor.SkipTo(b.First)
	r.fromFirst = true
	r.caughtUpAt = time.Time{}
	r.options.Metrics.Add("log.gaps", 1)
	return true
}

func (r *Replica) readFailed() {
	r.options.Metrics.Add("log.read_failures", 1)
	r.step(ownership.ReadFailed{})
	r.requestPeerState()
}

// applyBatch applies the records returned by a read that began at the given time.
func (r *Replica) applyBatch(began time.Time, records []sharedlog.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notify()
	for _, rec := range records {
		if !r.processRecord(rec) {
			return
		}
	}
	if len(records) == readBatchSize {
		return
	}
	r.cursor.ReachedEnd()
	if !r.cursor.Complete() {
		r.widenWindow()
		return
	}
	r.caughtUpAt = began
	r.stepLocked(ownership.CaughtUp{Began: began})
}

// widenWindow lets a reader that found no snapshot start again from an older
// record, in the end from the oldest one held. If there is no snapshot at all,
// reading continues until one is written or a peer sends its state.
func (r *Replica) widenWindow() {
	if r.fromFirst {
		return
	}
	r.window *= windowGrowth
	r.cursor = config.Cursor{}
	r.startChosen = false
}

// processRecord handles the next record. It returns false when a snapshot was
// adopted and has moved the cursor, so that the rest of the batch must not be
// processed.
func (r *Replica) processRecord(rec sharedlog.Record) bool {
	r.snapshots.recordsSince++
	apply := r.cursor.Read(rec.Offset)
	kind, body, err := sharedlog.DecodeRecord(rec.Data)
	if err != nil {
		r.options.Metrics.Add("log.undecodable", 1)
		kind = 0
	}
	if kind == sharedlog.KindSnapshot {
		if r.handleSnapshot(body) {
			return false
		}
	}
	if apply {
		r.apply(rec.Offset, kind, body)
	}
	return true
}

// apply applies one record to the state. A record that can't be decoded has no
// effect, which is the same for all readers.
func (r *Replica) apply(at sharedlog.Offset, kind sharedlog.RecordKind, body []byte) {
	ev := ownership.LogRecord{Offset: at}
	switch kind {
	case sharedlog.KindConfig:
		ev.Service = r.applyConfig(at, body)
	case sharedlog.KindOwnership:
		var rec ownership.Record
		if sharedlog.DecodeBody(body, &rec) == nil {
			ev.Record = &rec
		}
	}
	r.config.Skip(at)
	r.stepLocked(ev)
}

// applyConfig applies an operator's record. It returns the change that is relevant
// to the assignment of shards, or nil if the record was not accepted.
func (r *Replica) applyConfig(at sharedlog.Offset, body []byte) *ownership.ServiceChange {
	var rec config.Record
	if sharedlog.DecodeBody(body, &rec) != nil {
		return nil
	}
	outcome := r.config.Apply(at, rec)
	// A duplicate of an accepted record is accepted too, with the revision of the
	// first copy.
	if !outcome.Accepted || outcome.Revision != at {
		return nil
	}
	if rec.Delete {
		r.queue = append(r.queue, serviceDeleted{rec.Service})
	} else if e, ok := r.config.Get(rec.Service); ok && e.Understood {
		r.queue = append(r.queue, serviceConfigured{e.Service})
	}
	return &ownership.ServiceChange{
		Name: rec.Service, Owners: rec.Owners, Region: rec.Region, Deleted: rec.Delete,
	}
}

// step passes an event to the core and queues the resulting actions, which actionLoop
// performs in order.
func (r *Replica) step(ev ownership.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(ev)
	r.notify()
}

func (r *Replica) stepLocked(ev ownership.Event) {
	for _, a := range r.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case ownership.WakeAt:
			r.wakeAt = a.At
		case ownership.Left:
			r.left = true
		default:
			r.queue = append(r.queue, a)
		}
	}
}

// notify wakes all goroutines that wait for a change of the state.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
	signal(r.wakeActionLoop)
}

// signal sends to a channel of capacity 1 without blocking.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
