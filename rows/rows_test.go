package rows_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/rows"
)

var owner = rows.ID{Table: "t", Part: "p", Key: "owner"}

func write(value string, version int64) rows.Txn {
	return rows.Txn{
		Expect: []rows.Expectation{{ID: owner, Version: version}},
		Writes: []rows.Write{{ID: owner, Value: []byte(value)}},
	}
}

// lossy loses the replies to the first commits after they took effect.
type lossy struct {
	*rows.Memory
	losses int
}

func (l *lossy) Commit(ctx context.Context, txn rows.Txn) (int64, error) {
	version, err := l.Memory.Commit(ctx, txn)
	if err == nil && l.losses > 0 {
		l.losses--
		return 0, rows.ErrUnknown
	}
	return version, err
}

func TestSettle(t *testing.T) {
	tests := []struct {
		name   string
		losses int
		before string
		expect int64
		err    error
	}{
		{name: "first write"},
		{name: "reply lost", losses: 1},
		{name: "two replies lost", losses: 2},
		{name: "conflict with an earlier writer", before: "other", err: rows.ErrConflict},
		{name: "conflict with an earlier writer and a reply lost", before: "other", losses: 1, err: rows.ErrConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &lossy{Memory: rows.NewMemory()}
			if tt.before != "" {
				_, err := store.Commit(t.Context(), write(tt.before, 0))
				assert.NilError(t, err)
			}
			store.losses = tt.losses
			_, err := rows.CommitUntilKnown(t.Context(), store, write("ours", tt.expect))
			if tt.err != nil {
				assert.Assert(t, errors.Is(err, tt.err), "%v", err)
				return
			}
			assert.NilError(t, err)
		})
	}
}

func TestSettleStopsWithTheContext(t *testing.T) {
	tests := []struct {
		name  string
		fault errors.ConstError
	}{
		{"store unavailable", rows.ErrNotDone},
		{"replies lost", rows.ErrUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := rows.NewMemory()
			store.SetFault(tt.fault, false)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := rows.CommitUntilKnown(ctx, store, write("ours", 0))
			assert.Assert(t, errors.Is(err, tt.fault), "%v", err)
		})
	}
}

// A transaction whose first attempt may have taken effect must not be reported as
// refused when later attempts are refused.
// refusing is a store whose first commit has an unknown outcome and that refuses the
// others.
type refusing struct {
	*rows.Memory
	commits int
}

func (r *refusing) Commit(context.Context, rows.Txn) (int64, error) {
	r.commits++
	if r.commits == 1 {
		return 0, rows.ErrUnknown
	}
	return 0, rows.ErrNotDone
}

func TestSettleReportsUnknownAfterLaterRefusals(t *testing.T) {
	store := &refusing{Memory: rows.NewMemory()}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := rows.CommitUntilKnown(ctx, store, write("ours", 0))
	assert.Assert(t, store.commits > 1)
	assert.Assert(t, errors.Is(err, rows.ErrUnknown), "%v", err)
	assert.Assert(t, !errors.Is(err, rows.ErrNotDone), "%v", err)
}

func TestFeed(t *testing.T) {
	store := rows.NewMemory()
	first, err := store.Commit(t.Context(), write("a", 0))
	assert.NilError(t, err)
	second, err := store.Commit(t.Context(), rows.Txn{Removes: []rows.ID{owner}})
	assert.NilError(t, err)

	page, err := store.Feed(t.Context(), "t", first, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Rows), 1)
	assert.Assert(t, page.Rows[0].Deleted)
	assert.Equal(t, page.Version, second)

	store.Compact()
	_, err = store.Feed(t.Context(), "t", first, time.Second)
	assert.Assert(t, errors.Is(err, rows.ErrHistoryGone))
}
