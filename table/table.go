// Package table holds the control state's entities in tables. A table tracks
// which rows changed, so that a tick processes only those.
package table

import "slices"

// Table is a map of rows by key, with the set of keys that changed since the last
// call of TakeChanged. It is not safe for concurrent use: one control thread
// owns it.
type Table[K comparable, V any] struct {
	rows    map[K]*V
	changed map[K]struct{}
}

// NewTable returns an empty table.
func NewTable[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]*V), changed: make(map[K]struct{})}
}

// Get returns the row of the key, or nil. Call Touch after changing it.
func (t *Table[K, V]) Get(k K) *V { return t.rows[k] }

// Put stores a row and marks it as changed.
func (t *Table[K, V]) Put(k K, v V) *V {
	t.rows[k] = &v
	t.changed[k] = struct{}{}
	return &v
}

// Touch marks a row as changed after it was modified in place.
func (t *Table[K, V]) Touch(k K) { t.changed[k] = struct{}{} }

// Delete removes a row. TakeChanged doesn't return its key.
func (t *Table[K, V]) Delete(k K) {
	delete(t.rows, k)
	delete(t.changed, k)
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Each calls f with every row, in no fixed order, until f returns false.
func (t *Table[K, V]) Each(f func(k K, v *V) bool) {
	for k, v := range t.rows {
		if !f(k, v) {
			return
		}
	}
}

// Keys returns all keys, sorted by compare.
func (t *Table[K, V]) Keys(compare func(a, b K) int) []K {
	keys := make([]K, 0, len(t.rows))
	for k := range t.rows {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compare)
	return keys
}

// TakeChanged returns the changed keys, in no fixed order, and clears the set of
// changes.
func (t *Table[K, V]) TakeChanged() []K {
	keys := make([]K, 0, len(t.changed))
	for k := range t.changed {
		keys = append(keys, k)
	}
	clear(t.changed)
	return keys
}
