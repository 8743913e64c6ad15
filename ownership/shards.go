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
	var refs []Shard
	for name, svc := range s.services {
		for i := range svc.Shards {
			if svc.Shards[i].Owner == id {
				refs = append(refs, Shard{name, i})
			}
		}
	}
	slices.SortFunc(refs, compareShards)
	return refs
}

func sortedShards(owned map[Shard]*ownedShard) []Shard {
	refs := make([]Shard, 0, len(owned))
	for ref := range owned {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareShards)
	return refs
}

// updateShard updates the owned shard from the state.
//
// Invariant: a shard gains predecessors only when its owner, and thus its epoch,
// changes. Once cleared, a shard remains cleared for the rest of its epoch.
func (c *Core) updateShard(now time.Time, ref Shard) {
	sh := &c.state.services[ref.Service].Shards[ref.Index]
	h, ok := c.owned[ref]
	if ok && (sh.Owner != c.self.ID || h.epoch != message.Epoch(sh.Epoch)) {
		c.release(ref)
		ok = false
	}
	if sh.Owner != c.self.ID || c.status != statusMember {
		return
	}
	if !ok {
		h = &ownedShard{epoch: message.Epoch(sh.Epoch), first: sh.First}
		c.owned[ref] = h
		c.pending[ref] = h
	}
	if h.cleared || len(sh.Predecessors) > 0 {
		return
	}
	h.cleared = true
	h.startsFrom = now
	if sh.Cleared > 0 {
		h.startsFrom = now.Add(c.options.acceptWait())
	}
}

func (c *Core) release(ref Shard) {
	h := c.owned[ref]
	delete(c.owned, ref)
	delete(c.pending, ref)
	if h.acquired {
		c.emit(ShardReleased{Shard: ref, Epoch: h.epoch})
	}
}

// acquireCleared acquires the shards whose predecessors have all stopped.
func (c *Core) acquireCleared(now time.Time) {
	for _, ref := range sortedShards(c.pending) {
		h := c.pending[ref]
		if !h.cleared {
			continue
		}
		h.acquired = true
		h.acquiredAt = now
		delete(c.pending, ref)
		c.emit(ShardAcquired{Shard: ref, Epoch: h.epoch, First: h.first, StartsFrom: h.startsFrom})
	}
}

// ActingSince returns when this member acquired the last of its shards, for each
// service of which it owns shards and has acquired all of them.
func (c *Core) ActingSince() map[string]time.Time {
	acquiredAt := make(map[string]time.Time)
	for ref, h := range c.owned {
		if h.acquired && h.acquiredAt.After(acquiredAt[ref.Service]) {
			acquiredAt[ref.Service] = h.acquiredAt
		}
	}
	for ref := range c.pending {
		delete(acquiredAt, ref.Service)
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
