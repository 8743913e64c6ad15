package subset

import (
	"fmt"
	"testing"
)

// TestEachEntryGetsItsShareOfAgents checks that no entry of a large pool has far
// more or fewer agents than the mean: 76 agents, 14 entries, each agent connected
// to 3.
func TestEachEntryGetsItsShareOfAgents(t *testing.T) {
	const agents, entries, fanout = 76, 14, 3
	var list []string
	for i := range entries {
		list = append(list, fmt.Sprintf("10.1.%d.1:7700", i))
	}
	sessions := map[string]int{}
	for a := range agents {
		for _, entry := range Preference(fmt.Sprintf("side-%d", a), list)[:fanout] {
			sessions[entry]++
		}
	}
	mean := agents * fanout / entries
	for _, entry := range list {
		if n := sessions[entry]; n < mean/2 || n > 2*mean {
			t.Errorf("%s has %d agents, the mean is %d", entry, n, mean)
		}
	}
}

// TestEntriesOfASmallPoolUseAllEndpoints: when some of eleven endpoints in a pool
// with four entries turn slow, each entry must have the choice among all
// endpoints.
func TestEntriesOfASmallPoolUseAllEndpoints(t *testing.T) {
	for entries, want := range map[int]int{1: 0, 4: 0, SmallPool: 0, SmallPool + 1: 3, 14: 3} {
		if got := Limit(entries, 3); got != want {
			t.Errorf("%d entries: limit %d, want %d", entries, got, want)
		}
	}
}

func TestPreferenceIsStable(t *testing.T) {
	with := Preference("a", []string{"x", "y", "z", "w"})
	without := Preference("a", []string{"w", "z", "y"})
	at := 0
	for _, entry := range with {
		if entry == "x" {
			continue
		}
		if without[at] != entry {
			t.Fatalf("%v without x is %v", with, without)
		}
		at++
	}
}
