package kernel

import (
	"iter"
	"slices"
)

// OrderedMap is a map that iterates in the order of insertion. State machines
// use it so that the same events always give the same result. The zero value is
// an empty map. Delete takes time linear in the number of keys.
type OrderedMap[K comparable, V any] struct {
	values map[K]V
	keys   []K
}

// Get returns the value of a key, or the zero value.
func (m *OrderedMap[K, V]) Get(key K) V { return m.values[key] }

// Has reports whether a key is present.
func (m *OrderedMap[K, V]) Has(key K) bool {
	_, ok := m.values[key]
	return ok
}

// Set adds or replaces the value of a key. Replacing a value does not change the
// key's position.
func (m *OrderedMap[K, V]) Set(key K, value V) {
	if m.values == nil {
		m.values = map[K]V{}
	}
	if _, ok := m.values[key]; !ok {
		m.keys = append(m.keys, key)
	}
	m.values[key] = value
}

// Delete removes a key; a key that is not present is ignored.
func (m *OrderedMap[K, V]) Delete(key K) {
	if _, ok := m.values[key]; !ok {
		return
	}
	delete(m.values, key)
	index := slices.Index(m.keys, key)
	m.keys = slices.Delete(m.keys, index, index+1)
}

// Len returns the number of keys.
func (m *OrderedMap[K, V]) Len() int { return len(m.keys) }

// All iterates over the entries. Entries may be added or deleted meanwhile: those
// added are not visited, nor are those deleted before their turn.
func (m *OrderedMap[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range slices.Clone(m.keys) {
			if value, ok := m.values[key]; ok && !yield(key, value) {
				return
			}
		}
	}
}
