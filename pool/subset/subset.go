// Package subset selects the entries that an agent works for.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SmallPool is the number of entries up to which agents connect to all of them: in
// a small pool, the choice among all endpoints is worth more than the CPU time of
// the sessions.
const SmallPool = 5

// Limit returns the number of entries that an agent connects to; 0 means
// all.
func Limit(entries, fanout int) int {
	if entries <= SmallPool {
		return 0
	}
	return fanout
}

// Preference returns the entries in an agent's order of preference, computed by
// rendezvous hashing. Each agent connects only to its first few entries, so that
// the number of sessions per entry does not grow with the fleet. The order differs
// from agent to agent, so that each entry gets its share of the agents and shares
// them with varying other entries.
func Preference(agent string, entries []string) []string {
	ordered := slices.Clone(entries)
	weight := func(entry string) uint64 { return xxhash.Sum64String(agent + "\x00" + entry) }
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ordered
}
