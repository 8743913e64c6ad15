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
	// generation is the offset of the last record that changed the members, the
	// services or the owners. The views sent to agents are derived from these.
	generation sharedlog.Offset
	members    map[MemberID]*membership
	services   map[string]*service
	// waiting holds, for each predecessor, the shards that wait for it to stop. It
	// is derived from the shards' Predecessors.
	waiting map[MemberID]map[Shard]struct{}
}

// Shard identifies a shard of a service. Index is in [0, message.ShardsPerService).
type Shard struct {
	Service string
	Index   int
}

// membership is the state of one member.
type membership struct {
	Member Member `cbor:"1,keyasint"`
	// Joined is the offset of the join record.
	Joined sharedlog.Offset `cbor:"2,keyasint"`
	// Renewed is the offset of the latest renewal, or of the join if there is none.
	Renewed sharedlog.Offset `cbor:"3,keyasint"`
	// Seq is the sequence number of the latest renewal, or of the join if there is
	// none.
	Seq uint64 `cbor:"4,keyasint"`
	// Guardian is the only member that may remove this one; when it is empty, any
	// member may.
	Guardian MemberID `cbor:"5,keyasint"`
	// GuardedSince is the offset of the record that last renewed the lease or
	// changed the guardian. A guardian waits a whole lease from reading that record.
	GuardedSince sharedlog.Offset `cbor:"6,keyasint"`
}

// Delta describes what a record has changed.
type Delta struct {
	// Shards lists the shards that have another owner or fewer predecessors.
	Shards []Shard
	// Leases lists members whose lease or guardian has changed.
	Leases []MemberID
	// Members is set when a member has joined, left or been removed.
	Members bool
	// Owners is set when a shard has another owner, or when a service was created
	// or deleted.
	Owners bool
	// Service and Agents are the names that a RecordAgents record has registered.
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

// Skip advances the applied offset past a record that does not concern ownership.
func (s *State) Skip(at sharedlog.Offset) { s.applied = at }

// Apply applies the ownership record at the given offset. Records that do not
// match the state, such as a removal preceded by a newer renewal, have no effect.
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
	case RecordAgentAbsent:
		s.addAbsenceReport(at, r)
	}
	s.updateGeneration(d)
	return d
}

// updateGeneration sets the generation if the last record changed the members,
// the services or the owners.
func (s *State) updateGeneration(d Delta) {
	if d.Members || d.Owners {
		s.generation = s.applied
	}
}

// join adds a member, which supersedes the member with the same address, if any.
// The join has no effect if that member joined after the offset up to which the
// writer had applied the log: a delayed join must not replace a member that joined
// after it was sent.
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
// applied. Renewals that arrive out of order are void, so that once a renewal is in
// the log, its member can disregard the earlier ones.
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

// mayRemove reports whether a removal takes effect. It must name the latest
// renewal, and its writer must be the guardian, or any member if there is no
// guardian or the removal is marked as an orphan's.
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

// endMembership removes a member and reassigns its shards.
func (s *State) endMembership(at sharedlog.Offset, id MemberID, d *Delta) {
	if _, ok := s.members[id]; !ok {
		return
	}
	s.deleteMember(at, id, d)
	s.reassignAll(at, d)
}

// deleteMember removes a member, clears it as a predecessor and replaces it as a
// guardian of other members.
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

// replaceGuardian chooses another guardian for a member if the current one is
// not a member.
func (s *State) replaceGuardian(at sharedlog.Offset, id MemberID) {
	m := s.members[id]
	if _, ok := s.members[m.Guardian]; ok || m.Guardian == "" {
		return
	}
	m.Guardian = s.NextGuardian(id)
	m.GuardedSince = at
}

// memberAtAddress returns the member with the given address, or nil.
func (s *State) memberAtAddress(address string) *membership {
	for _, m := range s.sortedMemberships() {
		if m.Member.Address == address {
			return m
		}
	}
	return nil
}

// sortedMemberships returns the memberships sorted by member ID, as the state
// must not depend on the iteration order of a map.
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

// Member returns the member with the given ID, and whether it exists.
func (s *State) Member(id MemberID) (Member, bool) {
	m, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// Owner returns the owner of a shard, and whether it has one.
func (s *State) Owner(service string, index int) (Assignment, bool) {
	svc, ok := s.services[service]
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
