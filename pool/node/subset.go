package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// smallPool is the number of entries up to which agents work for all of them:
// there, the choice among all endpoints is worth more than the processor time of
// the sessions.
const smallPool = 5

// limitFor is the number of entries that an agent works for; 0 means all.
func connectionLimit(entries, fanout int) int {
	if entries <= smallPool {
		return 0
	}
	return fanout
}

// preference orders entries for one agent. Each agent works for its first few
// entries, so that the sessions of an entry do not grow with the fleet; the
// order differs from agent to agent, so that each entry gets its share of the
// agents and shares them with changing others (rendezvous hashing).
func preference(agent string, entries []string) []string {
	ordered := slices.Clone(entries)
	weight := func(entry string) uint64 { return xxhash.Sum64String(agent + "\x00" + entry) }
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ordered
}
