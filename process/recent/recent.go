// Package recent provides a map that drops its entries some time after they were added.
package recent

import (
	"iter"
	"time"
)

// Map holds entries for at least TTL and at most twice as long, or less if there are more than Limit. It keeps two
// generations: when the newer one is old or full, it replaces the older one. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	TTL   time.Duration
	Limit int // of both generations together

	newer, older map[K]V
	replaceAt    time.Time
}

// Put stores a value, in place of an earlier one of the key.
func (m *Map[K, V]) Put(key K, value V, now time.Time) {
	if !now.Before(m.replaceAt) || len(m.newer) >= m.Limit/2 {
		m.newer, m.older, m.replaceAt = map[K]V{}, m.newer, now.Add(m.TTL)
	}
	m.newer[key] = value
}

// Get returns the value of a key, and false if there is none.
func (m *Map[K, V]) Get(key K) (V, bool) {
	if value, ok := m.newer[key]; ok {
		return value, true
	}
	value, ok := m.older[key]
	return value, ok
}

// Len returns the number of stored values. One that was replaced may count twice.
func (m *Map[K, V]) Len() int { return len(m.newer) + len(m.older) }

// All returns the keys and their values.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for key, value := range m.newer {
			if !yield(key, value) {
				return
			}
		}
		for key, value := range m.older {
			if _, replaced := m.newer[key]; !replaced && !yield(key, value) {
				return
			}
		}
	}
}
