package store

import (
	"slices"
	"strings"
)

// Memory is a table in memory. Versions come from one rising counter. It is not
// safe for concurrent use.
type Memory struct {
	byKey   map[string]Row
	keys    []string
	version int64
}

// NewMemory returns an empty table.
func NewMemory() *Memory { return &Memory{byKey: make(map[string]Row)} }

// Get returns a row and whether it exists.
func (m *Memory) Get(key string) (Row, bool) {
	row, ok := m.byKey[key]
	return row, ok
}

// Range returns up to limit rows whose key has the prefix and sorts after the
// key after, in key order.
func (m *Memory) Range(prefix, after string, limit int) []Row {
	from, _ := slices.BinarySearch(m.keys, max(prefix, after))
	found := []Row{}
	for _, k := range m.keys[from:] {
		if !strings.HasPrefix(k, prefix) || len(found) >= limit {
			break
		}
		if k == after {
			continue
		}
		found = append(found, m.byKey[k])
	}
	return found
}

// Commit applies the transaction, or returns the rows that stand against it.
func (m *Memory) Commit(txn Txn) (int64, []Row) {
	if against := m.against(txn.Conditions); len(against) > 0 {
		return 0, against
	}
	m.version++
	for _, w := range txn.Writes {
		m.write(w, txn.RequestID)
	}
	return m.version, nil
}

// Len returns the number of rows.
func (m *Memory) Len() int { return len(m.keys) }

func (m *Memory) against(conditions []Condition) []Row {
	var against []Row
	for _, c := range conditions {
		row := m.byKey[c.Key]
		if row.Version != c.Version {
			row.Key = c.Key
			against = append(against, row)
		}
	}
	return against
}

func (m *Memory) write(w Write, writer string) {
	at, found := slices.BinarySearch(m.keys, w.Key)
	if w.Delete {
		if found {
			m.keys = slices.Delete(m.keys, at, at+1)
		}
		delete(m.byKey, w.Key)
		return
	}
	if !found {
		m.keys = slices.Insert(m.keys, at, w.Key)
	}
	m.byKey[w.Key] = Row{Key: w.Key, Value: w.Value, Version: m.version, Writer: writer}
}
