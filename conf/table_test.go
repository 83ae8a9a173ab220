package conf

import (
	"context"

	"github.com/buckthorntide/buckthorntide/store"
)

// fakeTable is an in-memory table service with fault injection. It keeps every
// version of its rows.
type fakeTable struct {
	store.Table

	rows map[string][]store.Row
	// faults are injected into the next commits, one each.
	faults []commitFault
	// readsDown is the number of next reads that fail.
	readsDown int
	// beforeCommit runs before each commit.
	beforeCommit func()
	// delayed holds transactions that take effect in applyDelayed.
	delayed []store.Txn
}

// commitFault is a fault injected into a commit.
type commitFault int

const (
	noFault commitFault = iota
	down
	replyLost
	requestDelayed
	replyLostReadsDown
)

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string][]store.Row)} }

// row returns the row as of age writes ago.
func (t *fakeTable) row(key string, age int) store.Row {
	versions := t.rows[key]
	if age >= len(versions) {
		return store.Row{Key: key}
	}
	return versions[len(versions)-1-age]
}

// apply applies a transaction if its conditions hold.
func (t *fakeTable) apply(txn store.Txn) error {
	for _, c := range txn.Conditions {
		if t.row(c.Key, 0).Version != c.Version {
			return store.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		version := t.row(w.Key, 0).Version + 1
		t.rows[w.Key] = append(t.rows[w.Key], store.Row{Key: w.Key, Value: w.Value, Version: version, Writer: txn.RequestID})
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
	r := t.row(key, 0)
	if r.Version == 0 {
		return r, store.ErrNotFound
	}
	return r, nil
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
	err := t.apply(txn)
	if fault != noFault {
		return 0, store.ErrUnknown
	}
	return t.row(HeadKey, 0).Version, err
}
