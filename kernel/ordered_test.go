package kernel

import (
	"slices"
	"testing"
)

func TestOrderedMapKeepsOrderAndToleratesRemoval(t *testing.T) {
	var m OrderedMap[string, int]
	for i, key := range []string{"c", "a", "b"} {
		m.Set(key, i)
	}
	m.Set("a", 7)
	var seen []string
	for key := range m.All() {
		seen = append(seen, key)
		if key == "c" {
			m.Delete("a")
		}
	}
	if !slices.Equal(seen, []string{"c", "b"}) || m.Len() != 2 || m.Has("a") || m.Get("b") != 2 {
		t.Fatalf("saw %v, %d left", seen, m.Len())
	}
}
