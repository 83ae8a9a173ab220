package rows

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// Memory is an in-memory Store for tests and the demo. While a fault is set, calls
// fail with it.
type Memory struct {
	mu               sync.Mutex
	rows             map[ID]Row
	history          []Row
	compactedVersion int64
	version          int64
	changed          chan struct{}
	fault            error
	faultApplies     bool
	calls            int
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: make(map[ID]Row), changed: make(chan struct{})}
}

// SetFault makes every call fail with the error; nil removes the fault. If applies
// is set, transactions take effect nevertheless.
func (m *Memory) SetFault(fault error, applies bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault, m.faultApplies = fault, applies
}

// Compact drops the history of changes.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.compactedVersion = nil, m.version
}

// Calls returns the number of calls, including failed ones and every check of a feed.
func (m *Memory) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Commit applies a transaction if its rows have the expected versions.
func (m *Memory) Commit(_ context.Context, txn Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.fault != nil && !m.faultApplies {
		return 0, m.fault
	}
	if !valid(txn) {
		return 0, ErrNotDone
	}
	if conflict := m.conflict(txn); conflict != nil {
		return 0, conflict
	}
	m.apply(txn)
	if m.fault != nil {
		return 0, m.fault
	}
	return m.version, nil
}

// Range reads rows in key order.
func (m *Memory) Range(_ context.Context, q Query) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.fault != nil {
		return Page{}, m.fault
	}
	var found []Row
	for id, r := range m.rows {
		if id.Table == q.Table && id.Part == q.Part && id.Key >= q.From && (q.To == "" || id.Key < q.To) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	more := q.Limit > 0 && len(found) > q.Limit
	if more {
		found = found[:q.Limit]
	}
	return Page{Rows: found, More: more, Version: m.version}, nil
}

// Parts returns the parts of the table that have rows.
func (m *Memory) Parts(_ context.Context, table string) (Parts, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.fault != nil {
		return Parts{}, m.fault
	}
	found := Parts{Version: m.version}
	for id := range m.rows {
		if id.Table == table && !slices.Contains(found.Names, id.Part) {
			found.Names = append(found.Names, id.Part)
		}
	}
	slices.Sort(found.Names)
	return found, nil
}

// Feed returns the changes of a table, or an empty page if none occur in time.
func (m *Memory) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := m.changes(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return Page{}, ErrUnknown
		}
	}
}

func (m *Memory) changes(table string, after int64) (Page, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.fault != nil {
		return Page{}, nil, m.fault
	}
	if after < m.compactedVersion {
		return Page{}, nil, ErrHistoryGone
	}
	page := Page{Version: m.version}
	for _, r := range m.history {
		if r.Table == table && r.Version > after {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, m.changed, nil
}

// valid reports whether the platform's store would accept the transaction: it has
// no empty values or keys, and its rows belong to one part.
func valid(txn Txn) bool {
	part, seen := "", false
	validID := func(id ID) bool {
		same := !seen || id.Part == part
		part, seen = id.Part, true
		return same && id.Table != "" && id.Key != ""
	}
	for _, x := range txn.Expect {
		if !validID(x.ID) {
			return false
		}
	}
	for _, w := range txn.Writes {
		if !validID(w.ID) || len(w.Value) == 0 {
			return false
		}
	}
	for _, id := range txn.Removes {
		if !validID(id) {
			return false
		}
	}
	return true
}

func (m *Memory) conflict(txn Txn) error {
	mismatch := false
	var current []Row
	for _, x := range txn.Expect {
		r := m.rows[x.ID]
		if r.Version != x.Version {
			mismatch = true
		}
		if r.Version != 0 {
			current = append(current, r)
		}
	}
	if !mismatch {
		return nil
	}
	return &ConflictError{Rows: current}
}

func (m *Memory) apply(txn Txn) {
	m.version++
	for _, w := range txn.Writes {
		m.put(Row{ID: w.ID, Value: slices.Clone(w.Value), Version: m.version})
	}
	for _, id := range txn.Removes {
		delete(m.rows, id)
		m.history = append(m.history, Row{ID: id, Version: m.version, Deleted: true})
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) put(r Row) {
	m.rows[r.ID] = r
	m.history = append(m.history, r)
}
