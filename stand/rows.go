package stand

import (
	"slices"
	"strings"

	"github.com/buckthorntide/buckthorntide/store"
)

// rows is the table service's table. Versions come from one rising counter.
type rows struct {
	byKey   map[string]store.Row
	keys    []string
	version int64
}

func newRows() *rows { return &rows{byKey: make(map[string]store.Row)} }

func (t *rows) get(key string) (store.Row, bool) {
	row, ok := t.byKey[key]
	return row, ok
}

func (t *rows) scan(prefix, after string, limit int) []store.Row {
	from, _ := slices.BinarySearch(t.keys, max(prefix, after))
	found := []store.Row{}
	for _, k := range t.keys[from:] {
		if !strings.HasPrefix(k, prefix) || len(found) >= limit {
			break
		}
		if k == after {
			continue
		}
		found = append(found, t.byKey[k])
	}
	return found
}

// commit applies the transaction, or returns the rows that stand against it.
func (t *rows) commit(txn store.Txn) (int64, []store.Row) {
	if against := t.against(txn.Conditions); len(against) > 0 {
		return 0, against
	}
	t.version++
	for _, w := range txn.Writes {
		t.write(w, txn.RequestID)
	}
	return t.version, nil
}

func (t *rows) against(conditions []store.Condition) []store.Row {
	var against []store.Row
	for _, c := range conditions {
		row := t.byKey[c.Key]
		if row.Version != c.Version {
			row.Key = c.Key
			against = append(against, row)
		}
	}
	return against
}

func (t *rows) write(w store.Write, writer string) {
	at, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if found {
			t.keys = slices.Delete(t.keys, at, at+1)
		}
		delete(t.byKey, w.Key)
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, at, w.Key)
	}
	t.byKey[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: t.version, Writer: writer}
}
