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
	// recordsPerSnapshot is after how many records a snapshot is due.
	recordsPerSnapshot = 20000
	// snapshotsPerRetention is how many snapshots are due within the retention.
	snapshotsPerRetention = 4
	// initialWindow is how many of the newest records a reader without state looks
	// at for a snapshot: enough for one to lie among them as long as any entry
	// writes them. When there is none, the window grows by windowGrowth.
	initialWindow = 3 * recordsPerSnapshot
	windowGrowth  = 8
)

// snapshots is what is known of the snapshots in the log.
type snapshots struct {
	// newest is the offset covered by the newest one, records the number of
	// records read since it was read.
	newestCovered sharedlog.Offset
	recordsSince  int
	// due is when the next one is to be written.
	due     time.Time
	writing bool
	// firstCheck says that no snapshot was due yet in this run of the process.
	firstCheck bool
}

func randomBelow(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

func compare[T ~string](a, b T) int { return cmp.Compare(a, b) }

// handleSnapshot handles a snapshot in the log and reports whether its state was
// adopted.
func (r *Replica) handleSnapshot(body []byte) bool {
	var s config.Snapshot
	if sharedlog.DecodeBody(body, &s) != nil {
		return false
	}
	r.scheduleSnapshot(s.Covered)
	return r.adopt(s)
}

// scheduleSnapshot notes a snapshot and when the next is due. Jitter keeps the
// entries from writing the same one all at once.
func (r *Replica) scheduleSnapshot(covered sharedlog.Offset) {
	if covered < r.snapshots.newestCovered {
		return
	}
	interval := r.options.Platform.Retention / snapshotsPerRetention
	r.snapshots.newestCovered = covered
	r.snapshots.recordsSince = 0
	r.snapshots.due = time.Now().Add(interval + r.options.Jitter(interval/2))
}

// adopt replaces the state by a snapshot's when it is later, or when a gap has
// made this replica's state incomplete.
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

// queueConfigChanges tells the observer what differs in a state that replaces
// the present one.
func (r *Replica) queueConfigChanges(next *config.State) {
	for _, name := range r.config.Services() {
		if _, ok := next.Get(name); !ok {
			r.queue = append(r.queue, deconfigured{name})
		}
	}
	for _, name := range next.Services() {
		e, _ := next.Get(name)
		if r.config.Revision(name) != e.Revision {
			r.queue = append(r.queue, configured{e.Service})
		}
	}
}

// queueRegistrations tells the observer which of the agents that it waits for
// are registered in a state that was not read record by record.
func (r *Replica) queueRegistrations() {
	for service, agents := range r.roster.pending {
		for agent := range agents {
			if r.roster.registered(r.core.State(), rosterKey{service, agent}) {
				r.queue = append(r.queue, ownership.AgentsRegistered{Service: service, Agents: []string{agent}})
			}
		}
	}
}

// snapshot encodes the present state.
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

// writeSnapshotIfDue writes a snapshot when the newest one is too old. Any entry
// does so; duplicates and late ones are harmless, as a reader's state only
// moves forward by the offset covered.
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
		// The next attempt waits, whether this one is found in the log or not.
		r.snapshots.due = time.Now().Add(snapshotRetryDelay + r.options.Jitter(snapshotRetryDelay))
	})
}

// snapshotRetryDelay is the pause after which a snapshot that is not found in the
// log is written again.
const snapshotRetryDelay = 10 * time.Second

// firstSnapshotDelay bounds the pause after the start in which a process that found
// no recent snapshot writes one. How long ago the newest was written can't be
// told from the log, and processes may live shorter than the usual interval.
const firstSnapshotDelay = time.Minute

// recentSnapshotRecords is how many records may follow a snapshot that a starting
// process takes for recent. Each member writes more than that in an hour.
const recentSnapshotRecords = 1000

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
		if r.snapshots.recordsSince >= recentSnapshotRecords {
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
