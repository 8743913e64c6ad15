package ownership

import (
	"slices"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// State is the assignment of shards to members as of a prefix of the log. It
// is a pure function of that prefix: two readers that have applied the same
// records hold the same state.
type State struct {
	applied sharedlog.Offset
	// generation is the offset of the last record that changed what agents are
	// told: the members, the services or the owners.
	generation sharedlog.Offset
	members    map[MemberID]*membership
	services   map[string]*service
	// waiting lists, by predecessor, the shards that wait for it to stop. It is
	// derived from the shards' predecessors.
	waiting map[MemberID]map[Shard]struct{}
}

// Shard names one shard of a service.
type Shard struct {
	Service string
	Index   int
}

// membership is what the log says of one member.
type membership struct {
	Member Member `cbor:"1,keyasint"`
	// Joined is the offset of the join.
	Joined sharedlog.Offset `cbor:"2,keyasint"`
	// Renewed is the offset of the latest renewal, at first that of the join.
	Renewed sharedlog.Offset `cbor:"3,keyasint"`
	// Seq is the number of the latest renewal.
	Seq uint64 `cbor:"4,keyasint"`
	// Guardian is the only member that may remove this one; when empty, any may.
	Guardian MemberID `cbor:"5,keyasint"`
	// GuardedSince is the offset of the record that last renewed the lease or
	// passed the guardianship on. A guardian counts a whole lease from reading it.
	GuardedSince sharedlog.Offset `cbor:"6,keyasint"`
}

// Delta says what a record has changed.
type Delta struct {
	// Shards have another owner or fewer predecessors.
	Shards []Shard
	// Leases lists members whose lease or guardian has changed.
	Leases []MemberID
	// Members says that a member has joined or gone, Owners that a shard has
	// another owner or that a service was created or deleted.
	Members bool
	Owners  bool
	// Service and Agents are the names that the record registered.
	Service string
	Agents  []string
}

// NewState returns the state of an empty log.
func NewState() *State {
	return &State{
		members:  make(map[MemberID]*membership),
		services: make(map[string]*service),
		waiting:  make(map[MemberID]map[Shard]struct{}),
	}
}

// Applied returns the offset of the last record applied.
func (s *State) Applied() sharedlog.Offset { return s.applied }

// Generation returns the offset of the last record that changed the members,
// the services or the owners. It is the same number for every reader.
func (s *State) Generation() uint64 { return uint64(s.generation) }

// Skip notes a record that does not concern ownership.
func (s *State) Skip(at sharedlog.Offset) { s.applied = at }

// Apply folds one ownership record. Records that do not fit the state, such as
// a removal overtaken by a renewal, have no effect.
func (s *State) Apply(at sharedlog.Offset, r Record) Delta {
	s.applied = at
	var d Delta
	switch r.Type {
	case RecordJoin:
		s.join(at, r, &d)
	case RecordRenew:
		s.renew(at, r, &d)
	case RecordRemove:
		if s.mayRemove(r) {
			s.endMembership(at, r.Member.ID, &d)
		}
	case RecordLeave, RecordForceRemove:
		s.endMembership(at, r.Member.ID, &d)
	case RecordAgents:
		s.addAgents(at, r, &d)
	case RecordAgentGone:
		s.recordAbsence(at, r)
	}
	s.updateGeneration(d)
	return d
}

func (s *State) updateGeneration(d Delta) {
	if d.Members || d.Owners {
		s.generation = s.applied
	}
}

// join adds a member and supersedes the one with the same address. A joiner
// supersedes only what it had read when it wrote the record: a join that took
// effect late must not displace the member that came after it.
func (s *State) join(at sharedlog.Offset, r Record, d *Delta) {
	if _, ok := s.members[r.Member.ID]; ok || r.Member.ID == "" {
		return
	}
	old := s.memberAtAddress(r.Member.Address)
	if old != nil && old.Joined > r.Applied {
		return
	}
	s.members[r.Member.ID] = &membership{
		Member: r.Member, Joined: at, Renewed: at, Seq: r.Seq,
		Guardian: r.Guardian, GuardedSince: at,
	}
	if old != nil {
		s.deleteMember(at, old.Member.ID, d)
	}
	s.replaceGuardian(at, r.Member.ID)
	d.Members = true
	d.Leases = append(d.Leases, r.Member.ID)
	s.reassignAll(at, d)
}

// renew extends a lease and clears the member from the shards whose loss it has
// applied. Renewals that arrive out of order are void, so that a member whose
// later renewal stands in the log need not reckon with earlier ones.
func (s *State) renew(at sharedlog.Offset, r Record, d *Delta) {
	m, ok := s.members[r.Member.ID]
	if !ok || r.Seq <= m.Seq {
		return
	}
	m.Renewed, m.Seq = at, r.Seq
	m.Guardian, m.GuardedSince = r.Guardian, at
	s.replaceGuardian(at, r.Member.ID)
	d.Leases = append(d.Leases, r.Member.ID)
	s.clear(at, r.Member.ID, r.Applied, d)
}

// mayRemove reports whether a removal takes effect: it has seen the latest
// renewal and comes from the guardian, from any member when there is none, or
// from any member that claims the orphan rule.
func (s *State) mayRemove(r Record) bool {
	m, ok := s.members[r.Member.ID]
	if !ok || r.Seen != m.Renewed {
		return false
	}
	by := MemberID(r.By)
	if _, ok := s.members[by]; !ok {
		return false
	}
	return r.Orphan || m.Guardian == "" || m.Guardian == by
}

// endMembership ends a membership and assigns its shards to others.
func (s *State) endMembership(at sharedlog.Offset, id MemberID, d *Delta) {
	if _, ok := s.members[id]; !ok {
		return
	}
	s.deleteMember(at, id, d)
	s.reassignAll(at, d)
}

// deleteMember removes a member, clears it as a predecessor and passes on the
// guardianships that it held.
func (s *State) deleteMember(at sharedlog.Offset, id MemberID, d *Delta) {
	delete(s.members, id)
	d.Members = true
	s.clear(at, id, at, d)
	for _, other := range s.sortedMemberships() {
		if other.Guardian != id {
			continue
		}
		s.replaceGuardian(at, other.Member.ID)
		d.Leases = append(d.Leases, other.Member.ID)
	}
}

// replaceGuardian names another guardian when the named one is no member.
func (s *State) replaceGuardian(at sharedlog.Offset, id MemberID) {
	m := s.members[id]
	if _, ok := s.members[m.Guardian]; ok || m.Guardian == "" {
		return
	}
	m.Guardian = s.NextGuardian(id)
	m.GuardedSince = at
}

func (s *State) memberAtAddress(address string) *membership {
	for _, m := range s.sortedMemberships() {
		if m.Member.Address == address {
			return m
		}
	}
	return nil
}

// sortedMemberships returns the memberships in a fixed order, as the fold must not depend
// on the order of a map.
func (s *State) sortedMemberships() []*membership {
	list := make([]*membership, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *membership) int { return compareStrings(a.Member.ID, b.Member.ID) })
	return list
}

// Members returns the members sorted by ID.
func (s *State) Members() []Member {
	list := make([]Member, 0, len(s.members))
	for _, m := range s.sortedMemberships() {
		list = append(list, m.Member)
	}
	return list
}

// Member returns a member.
func (s *State) Member(id MemberID) (Member, bool) {
	m, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// Owner returns the owner of a shard.
func (s *State) Owner(name string, index int) (Assignment, bool) {
	svc, ok := s.services[name]
	if !ok || svc.Deleted || index < 0 || index >= message.ShardsPerService {
		return Assignment{}, false
	}
	sh := &svc.Shards[index]
	m, ok := s.members[sh.Owner]
	if !ok {
		return Assignment{}, false
	}
	return Assignment{Member: m.Member, Epoch: message.Epoch(sh.Epoch), First: sh.First}, true
}
