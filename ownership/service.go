package ownership

import (
	"cmp"
	"slices"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// service is the assignment of one service. It is kept after the service's
// deletion, so that a service created later under the same name still waits for
// former owners that have not yet read of the deletion, and still queries the
// agents that may hold runs of its jobs.
type service struct {
	Name    string                               `cbor:"1,keyasint"`
	Owners  int                                  `cbor:"2,keyasint"`
	Region  string                               `cbor:"3,keyasint,omitempty"`
	Deleted bool                                 `cbor:"4,keyasint,omitempty"`
	Shards  [message.ShardsPerService]shardState `cbor:"5,keyasint"`
	// Roster holds the agents, sorted by name.
	Roster []rosterAgent `cbor:"6,keyasint,omitempty"`
}

// shardState is the state of one shard.
type shardState struct {
	Owner MemberID `cbor:"1,keyasint,omitempty"`
	// Epoch is the offset of the record that made Owner the owner.
	Epoch sharedlog.Offset `cbor:"2,keyasint,omitempty"`
	// First is set when the owner is the shard's first owner.
	First bool `cbor:"3,keyasint,omitempty"`
	// EverOwned is set when the shard has or had an owner.
	EverOwned bool `cbor:"4,keyasint,omitempty"`
	// Predecessors holds former owners that are not known to have stopped, sorted
	// by ID. A member is listed at most once: it must own the shard again before it
	// can lose it again, and becoming the owner removes it from the list.
	Predecessors []predecessor `cbor:"5,keyasint,omitempty"`
	// LastCleared is the offset of the record that last changed the owner or cleared
	// a predecessor. It is 0 until the shard loses its first owner.
	LastCleared sharedlog.Offset `cbor:"6,keyasint,omitempty"`
}

// predecessor is a former owner of a shard that may still act for it.
type predecessor struct {
	Member MemberID `cbor:"1,keyasint"`
	// Lost is the offset of the record that assigned the shard to another owner.
	Lost sharedlog.Offset `cbor:"2,keyasint"`
}

// SetService creates a service or changes the number and region of its owners.
// Fewer than one owner counts as one.
func (s *State) SetService(at sharedlog.Offset, name string, owners int, region string) Delta {
	s.applied = at
	var d Delta
	svc, ok := s.services[name]
	if !ok {
		svc = &service{Name: name}
		s.services[name] = svc
	}
	d.Owners = !ok || svc.Deleted
	svc.Owners, svc.Region, svc.Deleted = max(owners, 1), region, false
	s.reassign(at, svc, s.sortedMemberships(), &d)
	s.updateGeneration(d)
	return d
}

// DeleteService removes the owners of a service's shards.
func (s *State) DeleteService(at sharedlog.Offset, name string) Delta {
	s.applied = at
	var d Delta
	svc, ok := s.services[name]
	if !ok || svc.Deleted {
		return d
	}
	svc.Deleted = true
	d.Owners = true
	s.reassign(at, svc, s.sortedMemberships(), &d)
	s.updateGeneration(d)
	return d
}

// reassignAll recomputes the owner of each shard of each service.
func (s *State) reassignAll(at sharedlog.Offset, d *Delta) {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	members := s.sortedMemberships()
	for _, name := range names {
		s.reassign(at, s.services[name], members, d)
	}
}

// reassign recomputes the owner of each shard of a service.
func (s *State) reassign(at sharedlog.Offset, svc *service, members []*membership, d *Delta) {
	serviceOwners := owners(svc, members)
	for i := range svc.Shards {
		next := shardOwner(svc.Name, i, serviceOwners)
		s.setOwner(at, Shard{svc.Name, i}, &svc.Shards[i], next, d)
	}
}

// setOwner changes a shard's owner. The old owner becomes a predecessor if it is still
// a member; otherwise it has stopped. A member that becomes the owner again is not its
// own predecessor: it has applied the loss before it applies this record.
func (s *State) setOwner(at sharedlog.Offset, shard Shard, sh *shardState, next MemberID, d *Delta) {
	if sh.Owner == next {
		return
	}
	if _, isMember := s.members[sh.Owner]; isMember {
		s.addPredecessor(shard, sh, predecessor{Member: sh.Owner, Lost: at})
	}
	if sh.EverOwned {
		sh.LastCleared = at
	}
	s.clearShardPredecessor(at, shard, sh, next)
	sh.First = next != "" && !sh.EverOwned
	sh.EverOwned = sh.EverOwned || next != ""
	sh.Owner, sh.Epoch = next, at
	d.Owners = true
	d.Shards = append(d.Shards, shard)
}

func (s *State) addPredecessor(shard Shard, sh *shardState, p predecessor) {
	sh.Predecessors = append(sh.Predecessors, p)
	slices.SortFunc(sh.Predecessors, func(a, b predecessor) int { return compareStrings(a.Member, b.Member) })
	s.addWaiting(shard, p.Member)
}

func (s *State) addWaiting(shard Shard, id MemberID) {
	if s.waiting[id] == nil {
		s.waiting[id] = make(map[Shard]struct{})
	}
	s.waiting[id][shard] = struct{}{}
}

// clear removes a former owner from the predecessors of each shard that it lost at
// or before the offset applied. That member has applied the log up to there, or is no
// longer a member.
func (s *State) clear(at sharedlog.Offset, id MemberID, applied sharedlog.Offset, d *Delta) {
	shards := make([]Shard, 0, len(s.waiting[id]))
	for shard := range s.waiting[id] {
		shards = append(shards, shard)
	}
	slices.SortFunc(shards, compareShards)
	for _, shard := range shards {
		sh := &s.services[shard.Service].Shards[shard.Index]
		i := slices.IndexFunc(sh.Predecessors, func(p predecessor) bool { return p.Member == id })
		if sh.Predecessors[i].Lost > applied {
			continue
		}
		s.clearShardPredecessor(at, shard, sh, id)
		d.Shards = append(d.Shards, shard)
	}
}

// clearShardPredecessor removes a member from the predecessors of one shard, if it
// is one.
func (s *State) clearShardPredecessor(at sharedlog.Offset, shard Shard, sh *shardState, id MemberID) {
	i := slices.IndexFunc(sh.Predecessors, func(p predecessor) bool { return p.Member == id })
	if i < 0 {
		return
	}
	sh.Predecessors = slices.Delete(sh.Predecessors, i, i+1)
	sh.LastCleared = at
	delete(s.waiting[id], shard)
	if len(s.waiting[id]) == 0 {
		delete(s.waiting, id)
	}
}

func compareShards(a, b Shard) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Index, b.Index))
}

func compareStrings[T ~string](a, b T) int { return cmp.Compare(a, b) }
