package ownership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owners are chosen by rendezvous (highest random weight) hashing: D. Thaler and
// C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6(1), 1998. A member that comes or goes moves only
// the shards that it gains or loses.

// serviceHashIndex takes the place of a shard's number in the hash that chooses the
// owners of a whole service.
const serviceHashIndex = -1

// candidate is a member with its hash for a service.
type candidate struct {
	member *membership
	weight uint64
}

// owners returns the members that share a service: those with the highest
// hashes of service and address. The address rather than the ID is hashed, so
// that a process restarted at its place gets its own shards back. Members come
// in order of their IDs, which decides between equal hashes.
func owners(svc *service, members []*membership) []candidate {
	if svc.Deleted {
		return nil
	}
	best := make([]candidate, 0, svc.Owners+1)
	for _, m := range members {
		if svc.Region != "" && m.Member.Region != svc.Region {
			continue
		}
		c := candidate{m, hashWeight(svc.Name, serviceHashIndex, m.Member.Address)}
		i := len(best)
		for i > 0 && best[i-1].weight < c.weight {
			i--
		}
		if i == svc.Owners {
			continue
		}
		best = slices.Insert(best, i, c)
		best = best[:min(len(best), svc.Owners)]
	}
	return best
}

// shardOwner returns the owner with the highest hash for the shard.
func shardOwner(name string, index int, owners []candidate) MemberID {
	if len(owners) == 0 {
		return ""
	}
	best := owners[0].member.Member
	highest := hashWeight(name, index, best.Address)
	for _, c := range owners[1:] {
		if weight := hashWeight(name, index, c.member.Member.Address); weight > highest {
			best, highest = c.member.Member, weight
		}
	}
	return best.ID
}

// hashWeight returns the weight of an address for a shard of a service. All versions
// of the program must compute the same one, as the fold depends on it.
func hashWeight(name string, index int, address string) uint64 {
	var space [128]byte
	buf := space[:0]
	buf = binary.AppendVarint(buf, int64(index))
	buf = binary.AppendVarint(buf, int64(len(name)))
	buf = append(buf, name...)
	buf = append(buf, address...)
	return xxhash.Sum64(buf)
}

// guardGroupSize is the size of the groups whose members guard each other; the last
// group takes the rest.
const guardGroupSize = 3

// NextGuardian returns the member that should guard another: the next one in
// its group, cyclically, so that any survivor of a group can remove the others
// one after the other. Groups are small because in a log outage each member
// needs its guardian's promise, and so on around the group: a death stops the
// group. They lie within a region, and span its availability zones, because a
// group that is lost as a whole waits for the orphan timeout.
func (s *State) NextGuardian(id MemberID) MemberID {
	m, ok := s.members[id]
	if !ok {
		return ""
	}
	return nextInGroup(m.Member, s.Members())
}

// guardianForJoin returns the guardian that a member should name when it joins
// and supersedes what holds its address.
func (s *State) guardianForJoin(joining Member) MemberID {
	others := slices.DeleteFunc(s.Members(), func(m Member) bool {
		return m.Address == joining.Address
	})
	return nextInGroup(joining, append(others, joining))
}

// nextInGroup looks among the members of m's region, or among all when m is
// alone in its region.
func nextInGroup(m Member, all []Member) MemberID {
	order := guardOrder(all, func(o Member) bool { return o.Region == m.Region })
	if len(order) < 2 {
		order = guardOrder(all, func(Member) bool { return true })
	}
	if len(order) < 2 {
		return ""
	}
	i := slices.Index(order, m.ID)
	last := max(len(order)/guardGroupSize-1, 0)
	group := min(i/guardGroupSize, last)
	begin, end := group*guardGroupSize, (group+1)*guardGroupSize
	if group == last {
		end = len(order)
	}
	if i+1 < end {
		return order[i+1]
	}
	return order[begin]
}

// guardSortKey is what decides a member's place in the order of guards.
type guardSortKey struct {
	// rank counts the members of the same availability zone with lower IDs.
	rank int
	zone string
	id   MemberID
}

// guardOrder sorts members by their rank within their availability zone, then
// by zone, so that the zones alternate.
func guardOrder(all []Member, include func(Member) bool) []MemberID {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Member) int { return compareStrings(a.ID, b.ID) })
	var keys []guardSortKey
	ranks := make(map[string]int)
	for _, m := range all {
		if !include(m) {
			continue
		}
		zone := m.Region + "/" + m.Zone
		keys = append(keys, guardSortKey{ranks[zone], zone, m.ID})
		ranks[zone]++
	}
	slices.SortFunc(keys, func(a, b guardSortKey) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.zone, b.zone))
	})
	ids := make([]MemberID, len(keys))
	for i, p := range keys {
		ids[i] = p.id
	}
	return ids
}
