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

// Errors of the operators' calls.
var (
	// ErrNotPublished means that the record did not and will not take effect.
	ErrNotPublished = errors.New("record was not published")
	// ErrMayBePublished means that the record may yet take effect. Publishing it
	// again under the same ID is safe.
	ErrMayBePublished = errors.New("record may have been published")
)

// Publish writes an operator's record and returns its outcome as read back from
// the log. When an append's answer is lost, the log is read for the record's
// ID; only when it is not there is the record written again, under the same ID,
// so that a late first copy and the second count as one.
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
// from the body.
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

// ForceRemove removes a member on an operator's word that its process no longer
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

// Leave ends this entry's membership: it stops acting at once, and returns when
// the leave is in the log.
func (r *Replica) Leave(ctx context.Context) error {
	r.step(ownership.LeaveWanted{})
	return r.waitUntil(ctx, func() bool { return r.left })
}

// appendUntilEffective appends an idempotent record until its effect shows in the state.
func (r *Replica) appendUntilEffective(ctx context.Context, kind sharedlog.RecordKind, body any, effective func() bool) error {
	mayBeWritten := false
	for {
		_, err := r.append(ctx, kind, body)
		ended := time.Now()
		signal(r.wakeReader)
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

// waitUntil waits until the condition, which is asked under the lock, holds.
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
