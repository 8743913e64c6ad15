package ownership

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// ownedShard is a shard whose owner in the state is this member.
type ownedShard struct {
	epoch message.Epoch
	first bool
	// cleared is set when no predecessor is left. startsFrom is then the time from
	// which agents no longer accept a predecessor's starts.
	cleared    bool
	startsFrom time.Time
	acquired   bool
	// acquiredAt is when the shard was acquired.
	acquiredAt time.Time
}

// ownedBy returns the shards that a member owns, sorted.
func (s *State) ownedBy(id MemberID) []Shard {
	var shards []Shard
	for name, svc := range s.services {
		for i := range svc.Shards {
			if svc.Shards[i].Owner == id {
				shards = append(shards, Shard{name, i})
			}
		}
	}
	slices.SortFunc(shards, compareShards)
	return shards
}

func sortedShards(owned map[Shard]*ownedShard) []Shard {
	shards := make([]Shard, 0, len(owned))
	for shard := range owned {
		shards = append(shards, shard)
	}
	slices.SortFunc(shards, compareShards)
	return shards
}

// updateShard updates the owned shard from the state.
//
// Invariant: a shard gains predecessors only when its owner, and thus its epoch,
// changes. Once cleared, a shard remains cleared for the rest of its epoch.
func (c *Core) updateShard(now time.Time, shard Shard) {
	sh := &c.state.services[shard.Service].Shards[shard.Index]
	o, ok := c.owned[shard]
	if ok && (sh.Owner != c.self.ID || o.epoch != message.Epoch(sh.Epoch)) {
		c.release(shard)
		ok = false
	}
	if sh.Owner != c.self.ID || c.status != statusMember {
		return
	}
	if !ok {
		o = &ownedShard{epoch: message.Epoch(sh.Epoch), first: sh.First}
		c.owned[shard] = o
		c.pending[shard] = o
	}
	if o.cleared || len(sh.Predecessors) > 0 {
		return
	}
	o.cleared = true
	o.startsFrom = now
	if sh.LastCleared > 0 {
		o.startsFrom = now.Add(c.options.acceptWait())
	}
}

func (c *Core) release(shard Shard) {
	o := c.owned[shard]
	delete(c.owned, shard)
	delete(c.pending, shard)
	if o.acquired {
		c.emit(ShardReleased{Shard: shard, Epoch: o.epoch})
	}
}

// acquireCleared acquires the shards whose predecessors have all stopped.
func (c *Core) acquireCleared(now time.Time) {
	for _, shard := range sortedShards(c.pending) {
		o := c.pending[shard]
		if !o.cleared {
			continue
		}
		o.acquired = true
		o.acquiredAt = now
		delete(c.pending, shard)
		c.emit(ShardAcquired{Shard: shard, Epoch: o.epoch, First: o.first, StartsFrom: o.startsFrom})
	}
}

// ActingSince returns, by service, when this member acquired the last of its shards.
// It leaves out services of which this member owns a shard that it has not yet
// acquired.
func (c *Core) ActingSince() map[string]time.Time {
	acquiredAt := make(map[string]time.Time)
	for shard, o := range c.owned {
		if o.acquired && o.acquiredAt.After(acquiredAt[shard.Service]) {
			acquiredAt[shard.Service] = o.acquiredAt
		}
	}
	for shard := range c.pending {
		delete(acquiredAt, shard.Service)
	}
	return acquiredAt
}

// wake requests a tick for when the next renewal or promise request is due, but
// no later than one renewal interval from now.
func (c *Core) wake(now time.Time) {
	next := now.Add(c.options.renewInterval())
	if due := c.lease.renewAt; due.After(now) && due.Before(next) {
		next = due
	}
	if due := c.lease.askAt; due.After(now) && due.Before(next) {
		next = due
	}
	c.emit(WakeAt{At: next})
}
