package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// serviceConfigured and serviceDeleted are queued calls of the Observer.
type (
	serviceConfigured struct{ service config.Service }
	serviceDeleted    struct{ service string }
)

// actionLoop performs all actions in one goroutine until ctx is done, so that the
// observer's calls and the messages sent are in the order of the actions.
func (r *Replica) actionLoop(ctx context.Context) error {
	for {
		r.performQueued(ctx)
		timer := time.NewTimer(r.timerDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-r.wakeActionLoop:
		case <-timer.C:
			r.options.Metrics.Add("replica.wakes", 1)
			r.step(ownership.Tick{})
		}
		timer.Stop()
		r.flushRoster(ctx)
		r.reportAbsentAgents(ctx)
		r.writeSnapshotIfDue(ctx)
	}
}

// timerDelay returns the time until the core's next Tick or the next flush of the
// roster.
func (r *Replica) timerDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.wakeAt
	if next.IsZero() {
		return r.options.Platform.PollInterval
	}
	if flushAt := r.roster.flushAt; !flushAt.IsZero() && flushAt.Before(next) {
		next = flushAt
	}
	return max(time.Until(next), minTimerDelay)
}

// minTimerDelay is the minimum interval between two runs of actionLoop's timer.
const minTimerDelay = time.Millisecond

// performQueued performs queued actions until the queue is empty.
func (r *Replica) performQueued(ctx context.Context) {
	for {
		r.mu.Lock()
		queue := r.queue
		r.queue = nil
		r.mu.Unlock()
		if len(queue) == 0 {
			return
		}
		for _, a := range queue {
			r.perform(ctx, a)
		}
	}
}

func (r *Replica) perform(ctx context.Context, action any) {
	observer := r.options.Observer
	switch a := action.(type) {
	case ownership.Append:
		r.appendOwnership(ctx, a)
	case ownership.AskPromise:
		r.options.Metrics.Add("lease.promises_asked", 1)
		r.send(a.Peer.ID, a.Peer.Address, &message.PromiseRequest{
			Member: string(r.Self().ID), Joined: uint64(a.Joined), SentAt: a.SentAt,
		})
	case ownership.ShardAcquired:
		r.options.Metrics.Add("ownership.acquired", 1)
		observer.Acquired(a, r.Roster(a.Shard.Service))
	case ownership.ShardReleased:
		r.options.Metrics.Add("ownership.released", 1)
		observer.Released(a.Shard.Service, a.Shard.Index, a.Epoch)
	case ownership.LeaseChanged:
		observer.LeaseChanged(a.Until)
	case ownership.MembersChanged, ownership.OwnersChanged:
		r.reportView()
	case ownership.AgentsRegistered:
		for _, agent := range a.Agents {
			observer.AgentRegistered(a.Service, agent)
		}
	case ownership.Expelled:
		r.options.Metrics.Add("ownership.expelled", 1)
		r.rejoin()
	case serviceConfigured:
		observer.Configured(a.service)
	case serviceDeleted:
		observer.ServiceDeleted(a.service)
	}
}

// reportView notifies the observer once of each new generation.
func (r *Replica) reportView() {
	generation := r.Generation()
	if generation == r.reportedGeneration {
		return
	}
	r.reportedGeneration = generation
	r.options.Observer.ViewChanged(generation)
}

// rejoin lets an entry that was removed join again under a new member ID.
func (r *Replica) rejoin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejoins++
	self := r.options.Self
	self.ID = ownership.MemberID(fmt.Sprintf("%s.%d", self.ID, r.rejoins))
	r.stepLocked(ownership.RejoinRequested{Self: self})
}

// send sends a message to a peer in the background and counts failures.
func (r *Replica) send(member ownership.MemberID, address string, m message.Message) {
	if r.options.Peers == nil {
		return
	}
	go func() {
		if err := r.options.Peers.Send(member, address, m); err != nil {
			r.options.Metrics.Add("peers.send_failures", 1)
		}
	}()
}

// appendOwnership appends a record of the core and passes the outcome to the core.
func (r *Replica) appendOwnership(ctx context.Context, a ownership.Append) {
	r.appendAsync(ctx, sharedlog.KindOwnership, a.Record, func(_ sharedlog.Offset, err error) {
		switch {
		case err == nil:
			r.step(ownership.AppendDone{ID: a.ID})
		case wasNotWritten(err):
			r.step(ownership.AppendFailed{ID: a.ID})
		default:
			r.step(ownership.AppendUnknown{ID: a.ID})
		}
	})
}

// appendAsync appends a record in the background, calls done with the outcome and
// then wakes the read loop.
func (r *Replica) appendAsync(ctx context.Context, kind sharedlog.RecordKind, body any, done func(sharedlog.Offset, error)) {
	r.appends.Go(func() error {
		offset, err := r.append(ctx, kind, body)
		done(offset, err)
		signal(r.wakeReadLoop)
		return nil
	})
}

func (r *Replica) append(ctx context.Context, kind sharedlog.RecordKind, body any) (sharedlog.Offset, error) {
	data, err := sharedlog.EncodeRecord(kind, body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", sharedlog.ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Platform.Timeout)
	defer cancel()
	r.options.Metrics.Add("log.appends", 1)
	offset, err := r.options.Log.Append(ctx, data)
	if err != nil {
		r.options.Metrics.Add("log.append_failures", 1)
	}
	return offset, err
}

// wasNotWritten reports whether the error of an append means that the record was
// not written.
func wasNotWritten(err error) bool {
	return errors.Is(err, sharedlog.ErrUnavailable) || errors.Is(err, sharedlog.ErrTooLarge)
}
