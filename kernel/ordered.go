package kernel

import (
	"iter"
	"slices"
)

// OrderedMap is a map whose iteration follows the order of insertion, so that
// a state machine that ranges over it does the same for the same events. The
// zero value is empty. Removal costs a scan of the keys.
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

// Set adds or replaces a value; a replaced one keeps its place.
func (m *OrderedMap[K, V]) Set(key K, value V) {
	if m.values == nil {
		m.values = map[K]V{}
	}
	if _, ok := m.values[key]; !ok {
		m.keys = append(m.keys, key)
	}
	m.values[key] = value
}

// Delete removes a key.
func (m *OrderedMap[K, V]) Delete(key K) {
	if _, ok := m.values[key]; !ok {
		return
	}
	delete(m.values, key)
	at := slices.Index(m.keys, key)
	m.keys = slices.Delete(m.keys, at, at+1)
}

// Len is the number of keys.
func (m *OrderedMap[K, V]) Len() int { return len(m.keys) }

// All ranges over the entries that are present when it begins and still are
// when their turn comes.
func (m *OrderedMap[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range slices.Clone(m.keys) {
			if value, ok := m.values[key]; ok && !yield(key, value) {
				return
			}
		}
	}
}
