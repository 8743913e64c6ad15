package replica

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// Errors returned by Publish and ForceRemove.
var (
	// ErrNotPublished means that the record has not taken effect and never will.
	ErrNotPublished = errors.New("record was not published")
	// ErrMayBePublished means that the record has taken effect or may still do so.
	// Publishing it again under the same ID is safe.
	ErrMayBePublished = errors.New("record may have been published")
)

// Publish appends an operator's record and returns its outcome as read back from
// the log. When the answer to an append is lost, Publish looks for the record's ID
// in the log and appends the record again only if it is not there. Both copies have
// the same ID, so that they count as one even if the first appears late. The errors
// are ErrNotPublished and ErrMayBePublished.
func (r *Replica) Publish(ctx context.Context, rec config.Record) (config.Outcome, error) {
	if rec.ID == "" {
		rec.ID = rand.Text()
	}
	if err := setAssignmentFields(&rec); err != nil {
		return config.Outcome{}, oops.Wrap(fmt.Errorf("%w: %w", ErrNotPublished, err))
	}
	var outcome config.Outcome
	err := r.appendUntilEffective(ctx, sharedlog.KindConfig, rec, func() bool {
		o, ok := r.config.Outcome(rec.ID)
		outcome = o
		return ok
	})
	return outcome, err
}

// setAssignmentFields copies the fields on which the assignment of shards depends
// from the record's body to the record.
func setAssignmentFields(rec *config.Record) error {
	if rec.Delete {
		return nil
	}
	svc, err := config.DecodeBody(rec.Schema, rec.Body)
	if err != nil {
		return err
	}
	rec.Owners = svc.Owners
	rec.Region = svc.Region
	return nil
}

// ForceRemove removes a member. The operator asserts that its process no longer
// runs.
func (r *Replica) ForceRemove(ctx context.Context, member ownership.MemberID, operator string) error {
	rec := ownership.Record{
		Type:   ownership.RecordForceRemove,
		Member: ownership.Member{ID: member},
		By:     operator,
	}
	return r.appendUntilEffective(ctx, sharedlog.KindOwnership, rec, func() bool {
		_, ok := r.core.State().Member(member)
		return !ok
	})
}

// Leave ends this entry's membership. The entry stops acting as an owner at once.
// Leave returns when the entry is no longer a member according to the log, or when ctx
// is done.
func (r *Replica) Leave(ctx context.Context) error {
	r.step(ownership.LeaveRequested{})
	return r.waitUntil(ctx, func() bool { return r.left })
}

// appendUntilEffective appends an idempotent record, repeatedly if needed, until
// effective reports that it has taken effect in the state.
func (r *Replica) appendUntilEffective(ctx context.Context, kind sharedlog.RecordKind, body any, effective func() bool) error {
	mayBeWritten := false
	for {
		_, err := r.append(ctx, kind, body)
		ended := time.Now()
		signal(r.wakeReadLoop)
		if err != nil && wasNotWritten(err) && !mayBeWritten {
			return oops.Wrap(fmt.Errorf("%w: %w", ErrNotPublished, err))
		}
		mayBeWritten = true
		seen := false
		waitErr := r.waitUntil(ctx, func() bool {
			seen = effective()
			return seen || r.caughtUpAt.After(ended)
		})
		switch {
		case seen:
			return nil
		case waitErr != nil:
			return oops.Wrap(fmt.Errorf("%w: %w", ErrMayBePublished, waitErr))
		}
	}
}

// waitUntil waits until condition, which is called with the lock held, returns true
// or ctx is done.
func (r *Replica) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		r.mu.Lock()
		ok := condition()
		changed := r.changed
		r.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
