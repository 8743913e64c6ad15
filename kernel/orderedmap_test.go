package kernel

import (
	"slices"
	"testing"
)

func TestOrderedMapKeepsOrderAndAllowsDeleteDuringIteration(t *testing.T) {
	var m OrderedMap[string, int]
	for i, key := range []string{"c", "a", "b"} {
		m.Set(key, i)
	}
	m.Set("a", 7)
	var visited []string
	for key := range m.All() {
		visited = append(visited, key)
		if key == "c" {
			m.Delete("a")
		}
	}
	if !slices.Equal(visited, []string{"c", "b"}) || m.Len() != 2 || m.Has("a") || m.Get("b") != 2 {
		t.Fatalf("visited %v with %d keys left, want [c b] with 2", visited, m.Len())
	}
}
