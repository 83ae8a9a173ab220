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
	replyLost
	requestDelayed
	replyLostReadsDown
)

type (
	// commitFault is a fault injected into a commit.
	commitFault int

	// fakeTable is an in-memory table service with fault injection.
	fakeTable struct {
		store.Table

		rows map[string]store.Row
		// faults are injected into the next commits, one each.
		faults []commitFault
		// readsDown is the number of next reads that fail.
		readsDown int
		// beforeCommit runs before each commit.
		beforeCommit func()
		// delayed holds transactions that take effect in applyDelayed.
		delayed []store.Txn
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

func (t *fakeTable) applyDelayed() {
	for _, txn := range t.delayed {
		_ = t.apply(txn)
	}
	t.delayed = nil
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
	if t.beforeCommit != nil {
		t.beforeCommit()
	}
	fault := noFault
	if len(t.faults) > 0 {
		fault, t.faults = t.faults[0], t.faults[1:]
	}
	switch fault {
	case down:
		return 0, store.ErrUnavailable
	case requestDelayed:
		t.delayed = append(t.delayed, txn)
		return 0, store.ErrUnknown
	case replyLostReadsDown:
		t.readsDown = 1
	}
	if err := t.apply(txn); err != nil || fault == noFault {
		return 1, err
	}
	return 0, store.ErrUnknown
}
