// Package replica follows the platform's log on behalf of one entry: it folds
// configuration and ownership, renews the entry's lease, writes snapshots and
// publishes operators' records.
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

// Observer is told what the log decides. Calls come from one goroutine and
// must not block.
type Observer interface {
	// Acquired says that this entry may act as the owner of a shard. The roster
	// names the agents whose journals are to be asked for.
	Acquired(a ownership.ShardAcquired, roster []string)
	// Released says that this entry no longer owns a shard.
	Released(service string, shard int, epoch message.Epoch)
	// LeaseChanged says until when this entry may start tasks.
	LeaseChanged(until time.Time)
	// Configured says that a service's configuration is new or has changed.
	Configured(service config.Service)
	// Deconfigured says that a service no longer exists.
	Deconfigured(service string)
	// AgentRegistered says that an agent's name stands in a service's roster.
	AgentRegistered(service, agent string)
	// ViewChanged says that owners or entries have changed.
	ViewChanged(generation uint64)
}

// Peers reaches other entries.
type Peers interface {
	// Send sends a message to the entry at an address. The member is empty when
	// it is not known. Answers arrive through Replica.HandlePeer.
	Send(member ownership.MemberID, address string, m message.Message) error
}

// Options configure a replica.
type Options struct {
	// Self is this entry; its ID is unique to this run of the process.
	Self      ownership.Member
	Log       sharedlog.Log
	Platform  settings.Platform
	Ownership settings.Ownership
	Observer  Observer
	Peers     Peers
	// Seeds are addresses of entries that are asked for their state when the
	// log can't be read before this replica knows any state.
	Seeds []string
	// Connected reports whether this entry has a session with an agent of a
	// service. When it is nil, no agent is ever dropped from a roster.
	Connected func(service, agent string) bool
	// Metrics counts reads, appends and decisions; it may be nil.
	Metrics *telemetry.Registry
	// Jitter returns a random duration below its argument; nil takes a source
	// with a random seed.
	Jitter func(time.Duration) time.Duration
}

// Replica follows the log. Its methods are safe for concurrent use.
type Replica struct {
	options Options
	// acting wakes the goroutine that carries out actions, reading the one that
	// reads the log.
	wakeActor  chan struct{}
	wakeReader chan struct{}
	appends    errgroup.Group

	mu     sync.Mutex
	core   *ownership.Core
	config *config.State
	cursor config.Cursor
	// window is how many of the newest records a reader without state looks at
	// first in search of a snapshot.
	window sharedlog.Offset
	// startChosen says that reading has begun, fromFirst that it began at the first
	// record kept.
	startChosen bool
	fromFirst   bool
	// caughtUpAt is when the last read that found the end of the log began.
	caughtUpAt      time.Time
	adoptedFromPeer bool
	// queue holds actions in the order in which the core returned them.
	queue []any
	// changed is closed and replaced whenever the state has moved.
	changed chan struct{}
	wakeAt  time.Time
	rejoins int
	left    bool
	// nextStateRequest is when peers may be asked for their state again.
	nextStateRequest time.Time
	roster           roster
	snapshots        snapshots

	// reported is the generation that the Observer heard of last. It belongs to
	// the goroutine that carries out actions.
	reportedGeneration uint64
}

// New returns a replica that has not read anything yet.
func New(o Options) *Replica {
	if o.Metrics == nil {
		o.Metrics = telemetry.New()
	}
	if o.Jitter == nil {
		o.Jitter = randomBelow
	}
	return &Replica{
		options:    o,
		wakeActor:  make(chan struct{}, 1),
		wakeReader: make(chan struct{}, 1),
		core:       ownership.New(o.Self, coreOptions(o.Ownership)),
		config:     config.NewState(),
		window:     initialWindow,
		changed:    make(chan struct{}),
		roster:     newRoster(),

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

// Run follows the log until the context ends.
func (r *Replica) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.readLoop(ctx) })
	group.Go(func() error { return r.actLoop(ctx) })
	err := group.Wait()
	_ = r.appends.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Self returns this entry's membership. Its ID changes when the entry was
// removed while it lived and has joined again.
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

// MayAct reports whether this entry may start tasks of a shard under an epoch
// at this moment. It tells the truth at once when a record has taken the shard
// away, also while the Observer's call is still to come.
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

// NotUnderstood counts the services whose newest configuration needs a newer
// release than this one.
func (r *Replica) NotUnderstood() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.NotUnderstood()
}

// Entry returns all that is known of a service's configuration.
func (r *Replica) Entry(name string) (config.Entry, bool) {
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

// LeaseUntil returns until when this entry may start tasks.
func (r *Replica) LeaseUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.LeaseUntil()
}

// Ready reports whether the state is complete: as far as the log's end at the
// last read, or as far as a peer knew it when the log was out of reach.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cursor.Complete() && (!r.caughtUpAt.IsZero() || r.adoptedFromPeer)
}

// Generation numbers the view of members, services and owners. Replicas that
// have applied the same records return the same number.
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
