package replica

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

const (
	// recordsPerSnapshot is the number of records after which a snapshot is due.
	recordsPerSnapshot = 20000
	// snapshotsPerRetention is the number of snapshots due within the log's retention
	// time.
	snapshotsPerRetention = 4
	// initialWindow is the number of newest records in which a reader without state
	// first searches for a snapshot. As long as any entry writes snapshots, there is
	// one among them. If there is none, the window grows by the factor windowGrowth.
	initialWindow = 3 * recordsPerSnapshot
	windowGrowth  = 8
)

// snapshots tracks the snapshots in the log and when to write the next one.
type snapshots struct {
	// newestCovered is the last offset that the newest snapshot covers, and
	// recordsSince the number of records read since that snapshot.
	newestCovered sharedlog.Offset
	recordsSince  int
	// due is the time at which to write the next snapshot.
	due time.Time
	// writing is set while this entry appends a snapshot.
	writing bool
	// firstCheck is set until this process has checked for the first time whether a
	// snapshot is due.
	firstCheck bool
}

func randomBelow(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

func compare[T ~string](a, b T) int { return cmp.Compare(a, b) }

// handleSnapshot handles a snapshot read from the log and reports whether its state
// was adopted.
func (r *Replica) handleSnapshot(body []byte) bool {
	var s config.Snapshot
	if sharedlog.DecodeBody(body, &s) != nil {
		return false
	}
	r.scheduleSnapshot(s.Covered)
	return r.adopt(s)
}

// scheduleSnapshot records the newest snapshot and schedules the next one. Jitter
// keeps the entries from all writing it at the same time.
func (r *Replica) scheduleSnapshot(covered sharedlog.Offset) {
	if covered < r.snapshots.newestCovered {
		return
	}
	interval := r.options.Platform.Retention / snapshotsPerRetention
	r.snapshots.newestCovered = covered
	r.snapshots.recordsSince = 0
	r.snapshots.due = time.Now().Add(interval + r.options.Jitter(interval/2))
}

// adopt replaces the state by that of a snapshot if the cursor accepts it: the
// snapshot is newer than the state and, after a gap, covers all records of the gap.
// It reports whether the state was replaced.
func (r *Replica) adopt(s config.Snapshot) bool {
	cfg, err := config.DecodeState(s.Config)
	if err != nil {
		return false
	}
	owners, err := ownership.DecodeState(s.Ownership)
	if err != nil || owners.Applied() != s.Covered || cfg.Applied() != s.Covered {
		return false
	}
	if !r.cursor.Adopt(s.Covered) {
		return false
	}
	r.queueConfigChanges(cfg)
	r.config = cfg
	r.stepLocked(ownership.StateLoaded{State: owners})
	r.queueRegistrations()
	r.options.Metrics.Add("snapshots.adopted", 1)
	return true
}

// queueConfigChanges queues observer calls for the services that differ between the
// current state and the one that replaces it.
func (r *Replica) queueConfigChanges(next *config.State) {
	for _, name := range r.config.Services() {
		if _, ok := next.Get(name); !ok {
			r.queue = append(r.queue, serviceDeleted{name})
		}
	}
	for _, name := range next.Services() {
		e, _ := next.Get(name)
		if r.config.Revision(name) != e.Revision {
			r.queue = append(r.queue, serviceConfigured{e.Service})
		}
	}
}

// queueRegistrations queues observer calls for the pending agents that are registered
// in a state adopted from a snapshot, which has no records to trigger these calls.
func (r *Replica) queueRegistrations() {
	for service, agents := range r.roster.pending {
		for agent := range agents {
			if r.roster.registered(r.core.State(), rosterKey{service, agent}) {
				r.queue = append(r.queue, ownership.AgentsRegistered{Service: service, Agents: []string{agent}})
			}
		}
	}
}

// snapshot returns a snapshot of the current state.
func (r *Replica) snapshot() (config.Snapshot, error) {
	cfg, err := r.config.Encode()
	if err != nil {
		return config.Snapshot{}, err
	}
	owners, err := r.core.State().Encode()
	if err != nil {
		return config.Snapshot{}, err
	}
	return config.Snapshot{Covered: r.cursor.Applied(), Config: cfg, Ownership: owners}, nil
}

// writeSnapshotIfDue appends a snapshot when the newest one is too old. Any member
// does so; duplicate and late snapshots are harmless, as readers only adopt a
// snapshot that covers a higher offset than their state.
func (r *Replica) writeSnapshotIfDue(ctx context.Context) {
	s, ok := r.dueSnapshot(time.Now())
	if !ok {
		return
	}
	r.options.Metrics.Add("snapshots.written", 1)
	r.appendAsync(ctx, sharedlog.KindSnapshot, s, func(sharedlog.Offset, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.snapshots.writing = false
		// This delays the next attempt whether or not this snapshot reached the log.
		r.snapshots.due = time.Now().Add(snapshotRetryDelay + r.options.Jitter(snapshotRetryDelay))
	})
}

// snapshotRetryDelay is the delay after which a snapshot that did not appear in the
// log is written again.
const snapshotRetryDelay = 10 * time.Second

// firstSnapshotDelay is the maximum delay after the start of a process until it
// writes a snapshot if it found no recent one. The process does not wait for the
// regular interval, as the log does not show when the newest snapshot was written
// and the process may end before the interval has passed.
const firstSnapshotDelay = time.Minute

// staleSnapshotRecords is the minimum number of records since the newest snapshot for
// a starting process to treat that snapshot as too old. Each member writes more records
// than that in an hour.
const staleSnapshotRecords = 1000

func (r *Replica) dueSnapshot(now time.Time) (config.Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshots.writing || !r.core.IsMember() || !r.cursor.Complete() || r.caughtUpAt.IsZero() {
		return config.Snapshot{}, false
	}
	if r.snapshots.due.IsZero() {
		r.snapshots.due = now.Add(r.options.Jitter(firstSnapshotDelay))
	}
	if r.snapshots.recordsSince >= recordsPerSnapshot && r.snapshots.due.After(now.Add(2*snapshotRetryDelay)) {
		r.snapshots.due = now.Add(r.options.Jitter(snapshotRetryDelay))
	}
	if r.snapshots.firstCheck {
		r.snapshots.firstCheck = false
		if r.snapshots.recordsSince >= staleSnapshotRecords {
			r.snapshots.due = now.Add(r.options.Jitter(firstSnapshotDelay))
		}
	}
	if now.Before(r.snapshots.due) {
		return config.Snapshot{}, false
	}
	s, err := r.snapshot()
	if err != nil {
		return config.Snapshot{}, false
	}
	r.snapshots.writing = true
	return s, true
}
