package keys

import (
	"context"
	"slices"
	"strings"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	noFault commitFault = iota
	down
	answerLost
	requestLate
	answerLostReadsDown
)

type (
	// commitFault is what befalls one commit.
	commitFault int

	// fakeTable is a table service in memory.
	fakeTable struct {
		store.Table

		rows map[string]store.Row
		// faults are what befalls the next commits, one each.
		faults []commitFault
		// readsDown is how many reads fail next.
		readsDown int
		// before runs ahead of each commit.
		before func()
		// late are transactions that take effect by applyLate.
		late []store.Txn
	}
)

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]store.Row)} }

// apply applies a transaction if its conditions hold.
func (t *fakeTable) apply(txn store.Txn) error {
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return store.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		version := t.rows[w.Key].Version + 1
		t.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: version, Writer: txn.RequestID}
	}
	return nil
}

func (t *fakeTable) applyLate() {
	for _, txn := range t.late {
		_ = t.apply(txn)
	}
	t.late = nil
}

func (t *fakeTable) Get(_ context.Context, key string) (store.Row, error) {
	if t.readsDown > 0 {
		t.readsDown--
		return store.Row{}, store.ErrUnavailable
	}
	r, ok := t.rows[key]
	if !ok {
		return r, store.ErrNotFound
	}
	return r, nil
}

func (t *fakeTable) Range(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	var rows []store.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(len(rows), limit)], nil
}

func (t *fakeTable) Commit(_ context.Context, txn store.Txn) (int64, error) {
	if t.before != nil {
		t.before()
	}
	fault := noFault
	if len(t.faults) > 0 {
		fault, t.faults = t.faults[0], t.faults[1:]
	}
	switch fault {
	case down:
		return 0, store.ErrUnavailable
	case requestLate:
		t.late = append(t.late, txn)
		return 0, store.ErrUnknown
	case answerLostReadsDown:
		t.readsDown = 1
	}
	if err := t.apply(txn); err != nil || fault == noFault {
		return 1, err
	}
	return 0, store.ErrUnknown
}
