// Package replica reads the platform's log on behalf of one entry. It applies
// configuration and ownership records to its state, renews the entry's lease,
// writes snapshots and publishes operators' records.
package replica

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
	"marjoramlug.example/marjoramlug/telemetry"
)

// Observer is notified of the changes that the log brings. Calls come from one
// goroutine and must not block.
type Observer interface {
	// Acquired is called when this entry may act as the owner of a shard. The
	// roster names the agents whose journals the owner has to request.
	Acquired(a ownership.ShardAcquired, roster []string)
	// Released is called when this entry no longer owns a shard.
	Released(service string, shard int, epoch message.Epoch)
	// LeaseChanged is called with the time until which this entry may start tasks.
	LeaseChanged(until time.Time)
	// Configured is called when a service's configuration is new or has changed.
	Configured(service config.Service)
	// ServiceDeleted is called when a service has been deleted.
	ServiceDeleted(service string)
	// AgentRegistered is called when an agent has been registered in a service's
	// roster.
	AgentRegistered(service, agent string)
	// ViewChanged is called when owners or entries have changed.
	ViewChanged(generation uint64)
}

// Peers sends messages to other entries.
type Peers interface {
	// Send sends a message to the entry at an address. The member is empty when
	// its ID is not known. The implementation passes replies to
	// Replica.HandleMessage.
	Send(member ownership.MemberID, address string, m message.Message) error
}

// Options configure a replica.
type Options struct {
	// Self is this entry; its ID is unique to this incarnation of the process.
	Self      ownership.Member
	Log       sharedlog.Log
	Platform  settings.Platform
	Ownership settings.Ownership
	Observer  Observer
	Peers     Peers
	// Seeds are addresses of entries from which this replica requests the state
	// while it has no complete state of its own, as when the log can't be read at
	// start.
	Seeds []string
	// Connected reports whether this entry has a session with an agent of a
	// service. When it is nil, this entry reports no agent as absent.
	Connected func(service, agent string) bool
	// Metrics counts reads, appends and actions; it may be nil.
	Metrics *telemetry.Registry
	// Jitter returns a random duration from 0 up to but excluding its argument; nil
	// means a generator with a random seed.
	Jitter func(time.Duration) time.Duration
}

// Replica maintains the state described by the log. Its methods are safe for
// concurrent use.
type Replica struct {
	options Options
	// wakeActionLoop and wakeReadLoop wake the goroutines that run actionLoop and
	// readLoop.
	wakeActionLoop chan struct{}
	wakeReadLoop   chan struct{}
	appends        errgroup.Group

	mu     sync.Mutex
	core   *ownership.Core
	config *config.State
	cursor config.Cursor
	// window is the number of newest records among which a reader without state
	// searches for a snapshot.
	window sharedlog.Offset
	// startChosen is set once the offset of the first read is chosen, and fromFirst
	// when reading began at the oldest record that the log holds.
	startChosen bool
	fromFirst   bool
	// caughtUpAt is the time at which the last read that reached the end of the log
	// began; it is zero after a gap.
	caughtUpAt time.Time
	// adoptedFromPeer is set when the state came from a peer.
	adoptedFromPeer bool
	// queue holds the actions to perform, in the order in which the core returned
	// them.
	queue []any
	// changed is closed and replaced whenever the state changes.
	changed chan struct{}
	// wakeAt is the time at which the core needs its next Tick.
	wakeAt time.Time
	// rejoins is how many times this entry has joined again after a removal.
	rejoins int
	// left is set when this entry is no longer a member after a call of Leave.
	left bool
	// nextStateRequest is the earliest time of the next request for peers' state.
	nextStateRequest time.Time
	roster           roster
	snapshots        snapshots

	// reportedGeneration is the last generation passed to the Observer. Only the
	// goroutine that performs actions uses it.
	reportedGeneration uint64
}

// New returns a replica without state; Run begins to read the log.
func New(o Options) *Replica {
	if o.Metrics == nil {
		o.Metrics = telemetry.New()
	}
	if o.Jitter == nil {
		o.Jitter = randomBelow
	}
	return &Replica{
		options:        o,
		wakeActionLoop: make(chan struct{}, 1),
		wakeReadLoop:   make(chan struct{}, 1),
		core:           ownership.New(o.Self, coreOptions(o.Ownership)),
		config:         config.NewState(),
		window:         initialWindow,
		changed:        make(chan struct{}),
		roster:         newRoster(),

		snapshots: snapshots{firstCheck: true},
	}
}

func coreOptions(s settings.Ownership) ownership.Options {
	return ownership.Options{
		TTL:           s.LeaseTTL,
		Drift:         s.DriftMargin,
		AcceptWindow:  s.AcceptWindow,
		OrphanTimeout: s.OrphanTimeout,
	}
}

// Run reads the log and performs actions until ctx is done. It returns nil when
// ctx was cancelled, after all appends have ended.
func (r *Replica) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.readLoop(ctx) })
	group.Go(func() error { return r.actionLoop(ctx) })
	err := group.Wait()
	_ = r.appends.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Self returns this entry as a member. Its ID changes when the entry rejoins after
// it was removed while running.
func (r *Replica) Self() ownership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Self()
}

// Owner returns the owner of a shard.
func (r *Replica) Owner(service string, shard int) (ownership.Assignment, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.State().Owner(service, shard)
}

// MayAct reports whether this entry may start tasks of a shard under an epoch at
// this moment. As soon as a record that moves the shard to another owner is
// applied it returns false, even before the Observer has been notified.
func (r *Replica) MayAct(service string, shard int, epoch message.Epoch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ref := ownership.Shard{Service: service, Index: shard}
	return r.core.MayAct(time.Now(), ref, epoch)
}

// Owners returns the distinct owners of a service's shards, sorted by ID.
func (r *Replica) Owners(service string) []ownership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var owners []ownership.Member
	for shard := range message.ShardsPerService {
		a, ok := r.core.State().Owner(service, shard)
		if ok && !slices.Contains(owners, a.Member) {
			owners = append(owners, a.Member)
		}
	}
	slices.SortFunc(owners, func(a, b ownership.Member) int {
		return compare(a.ID, b.ID)
	})
	return owners
}

// Members returns the members sorted by ID.
func (r *Replica) Members() []ownership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.State().Members()
}

// Service returns a service's configuration and revision.
func (r *Replica) Service(name string) (config.Service, config.Revision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.config.Get(name)
	return e.Service, e.Revision, ok
}

// NotUnderstood returns the number of services whose newest configuration
// requires a newer release than this one.
func (r *Replica) NotUnderstood() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.NotUnderstood()
}

// ServiceState returns the state of a service's configuration, and whether the
// service exists.
func (r *Replica) ServiceState(name string) (config.ServiceState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Get(name)
}

// Services returns the configured services in order of name.
func (r *Replica) Services() []config.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := r.config.Services()
	list := make([]config.Service, len(names))
	for i, name := range names {
		e, _ := r.config.Get(name)
		list[i] = e.Service
	}
	return list
}

// History returns the newest accepted changes of a service, oldest first.
func (r *Replica) History(name string) []config.HistoryItem {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.History(name)
}

// LeaseUntil returns the time until which this entry may start tasks.
func (r *Replica) LeaseUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.LeaseUntil()
}

// Ready reports whether the state is complete: up to the end of the log as last
// read or, when the log is unavailable, up to the state of a peer.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cursor.Complete() && (!r.caughtUpAt.IsZero() || r.adoptedFromPeer)
}

// Generation returns the version of the view of members, services and owners.
// Replicas that have applied the same records return the same number.
func (r *Replica) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.State().Generation()
}

// Roster returns the names of a service's agents, sorted.
func (r *Replica) Roster(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.State().Roster(service)
}

// Applied returns the offset of the last record applied.
func (r *Replica) Applied() sharedlog.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cursor.Applied()
}
