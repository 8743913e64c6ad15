package ownership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owners are chosen by rendezvous (highest random weight) hashing: D. Thaler and
// C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6(1), 1998. When a member joins or leaves, only the
// shards that it gains or loses change owners.

// serviceHashIndex replaces the shard index in the hash that selects the owners
// of a whole service.
const serviceHashIndex = -1

// candidate is a member with its hash for a service.
type candidate struct {
	member *membership
	weight uint64
}

// owners returns the members that share a service: those with the highest
// hashes of service name and address. The address is hashed rather than the ID,
// so that a process restarted at the same address gets its shards back. The
// members must be sorted by ID; among equal hashes, the lower ID wins.
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

// hashWeight returns the rendezvous weight of an address for a shard of a
// service. All versions of the program must compute the same value, because the
// state derived from the log depends on it.
func hashWeight(name string, index int, address string) uint64 {
	var space [128]byte
	buf := space[:0]
	buf = binary.AppendVarint(buf, int64(index))
	buf = binary.AppendVarint(buf, int64(len(name)))
	buf = append(buf, name...)
	buf = append(buf, address...)
	return xxhash.Sum64(buf)
}

// guardGroupSize is the number of members in a group whose members guard each
// other. The last group also takes the remainder.
const guardGroupSize = 3

// NextGuardian returns the member that should guard the given one: the next
// member of its group, cyclically, so that any survivor of a group can remove
// the others one after the other. It returns "" when there is none.
//
// Groups are small to limit the effect of a failed member during a log outage. A
// member's lease then lasts only while its guardian holds a lease and grants promises,
// so that one failed member ends the leases of its whole group, one after the other.
// A group spans the availability zones of one region, so that the failure of a zone
// leaves a survivor in each group: without one, the members of the group would be
// removed only after OrphanTimeout.
func (s *State) NextGuardian(id MemberID) MemberID {
	m, ok := s.members[id]
	if !ok {
		return ""
	}
	return nextInGroup(m.Member, s.Members())
}

// guardianForJoin returns the guardian that a member should name when it joins
// and supersedes the member with the same address, if any.
func (s *State) guardianForJoin(joining Member) MemberID {
	others := slices.DeleteFunc(s.Members(), func(m Member) bool {
		return m.Address == joining.Address
	})
	return nextInGroup(joining, append(others, joining))
}

// nextInGroup returns the member after m in its group. Groups consist of members
// of m's region, or of all members when m is the only one in its region.
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

// guardSortKey determines a member's position in the order from which groups
// are formed.
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
	for i, key := range keys {
		ids[i] = key.id
	}
	return ids
}
