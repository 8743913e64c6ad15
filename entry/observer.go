package entry

import (
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/replica"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// observer converts the replica's notifications about the log into events for
// the cores.
type observer struct{ *Entry }

// Acquired implements replica.Observer.
func (o observer) Acquired(a ownership.ShardAcquired, roster []string) {
	o.logShard("shard acquired", a.Shard, a.Epoch)
	o.loop(a.Shard.Service).post(dispatch.ShardAcquired{
		Shard: a.Shard.Index, Epoch: a.Epoch, First: a.First, StartsFrom: a.StartsFrom, Roster: roster,
	})
}

// Released implements replica.Observer.
func (o observer) Released(service string, shard int, epoch message.Epoch) {
	o.logShard("shard released", ownership.Shard{Service: service, Index: shard}, epoch)
	o.loop(service).post(dispatch.ShardReleased{Shard: shard})
}

// logShard logs a change of a shard's owner.
func (o observer) logShard(change string, shard ownership.Shard, epoch message.Epoch) {
	o.logger.Info().
		Str("service", shard.Service).
		Int("shard", shard.Index).
		Uint64("epoch", uint64(epoch)).
		Str("member", string(o.replica.Self().ID)).
		Msg(change)
}

// LeaseChanged implements replica.Observer.
func (o observer) LeaseChanged(until time.Time) {
	o.loopsMu.Lock()
	o.leaseUntil = until
	loops := make([]*serviceLoop, 0, len(o.loops))
	for _, l := range o.loops {
		loops = append(loops, l)
	}
	o.loopsMu.Unlock()
	for _, l := range loops {
		l.post(dispatch.LeaseChanged{Until: until})
	}
}

// Configured implements replica.Observer.
func (o observer) Configured(service config.Service) {
	o.metrics.Add("config.applied", 1)
	l := o.loop(service.Name)
	l.post(dispatch.Configured{Service: service})
	o.replacePolicies(l, service)
}

// ServiceDeleted implements replica.Observer.
func (o observer) ServiceDeleted(service string) {
	o.metrics.Add("config.deleted", 1)
	o.logger.Info().Str("service", service).Msg("service deleted")
}

// AgentRegistered implements replica.Observer.
func (o observer) AgentRegistered(service, agent string) {
	o.loop(service).post(dispatch.AgentRegistered{Agent: agent})
}

// ViewChanged implements replica.Observer.
func (o observer) ViewChanged(generation uint64) { o.sessions.viewChanged(generation) }

// newReplica builds the entry's replica of the platform's log.
func (e *Entry) newReplica(log sharedlog.Log) *replica.Replica {
	return replica.New(replica.Options{
		Self:      e.self,
		Log:       log,
		Platform:  e.settings.Platform,
		Ownership: e.settings.Ownership,
		Observer:  observer{e},
		Peers:     e.peers,
		Seeds:     e.settings.Peers,
		Metrics:   e.metrics,
		Connected: e.sessions.serves,
	})
}
