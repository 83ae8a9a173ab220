package keys

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func newTestIssuer(table *fakeTable, seed byte) Issuer {
	n := 0
	return Issuer{
		Table:  table,
		Random: rand.NewChaCha8([32]byte{seed}),
		NewID: func() string {
			n++
			return fmt.Sprint("r", seed, "-", n)
		},
	}
}

func TestIssuerDeterminesTheOutcome(t *testing.T) {
	tests := []struct {
		name   string
		faults []commitFault
		want   error
		// stored means that the change must be in the store afterwards.
		stored bool
	}{
		{"no fault", nil, nil, true},
		{"down", []commitFault{down}, ErrUnavailable, false},
		{"reply lost", []commitFault{replyLost}, nil, true},
		{"reply lost and reads fail", []commitFault{replyLostReadsDown}, ErrUnknownOutcome, true},
		{"request delayed, then retried", []commitFault{requestDelayed}, nil, true},
		{"request delayed, then store down", append([]commitFault{requestDelayed}, manyDown()...), ErrUnknownOutcome, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newFakeTable()
			i := newTestIssuer(table, 1)
			table.faults = tt.faults
			_, err := i.Issue(t.Context(), "atlas", "till 3")
			checkOutcome(t, err, tt.want)
			table.applyDelayed()
			assert.Equal(t, len(table.rows) == 2, tt.stored)

			table = newFakeTable()
			i.Table = table
			issued, err := i.Issue(t.Context(), "atlas", "")
			assert.NilError(t, err)
			table.faults = tt.faults
			_, err = i.Withdraw(t.Context(), issued.Change.Hash, false)
			checkOutcome(t, err, tt.want)
			table.applyDelayed()
			list, err := i.List(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, list[0].Record.Withdrawn, tt.stored)
		})
	}
}

func manyDown() []commitFault {
	faults := make([]commitFault, maxAttempts)
	for i := range faults {
		faults[i] = down
	}
	return faults
}

func checkOutcome(t *testing.T, err, want error) {
	t.Helper()
	assert.ErrorIs(t, err, want)
	if !errors.Is(want, ErrUnavailable) {
		assert.Assert(t, !errors.Is(err, ErrUnavailable), "an unknown outcome must not promise that nothing changed")
	}
}

// TestConcurrentIssuers has a second operator issue and withdraw keys between the
// reads and the commit of the first. No change may be lost, and each must have its
// own revision.
func TestConcurrentIssuers(t *testing.T) {
	table := newFakeTable()
	first, second := newTestIssuer(table, 1), newTestIssuer(table, 2)
	old, err := first.Issue(t.Context(), "fes", "")
	assert.NilError(t, err)
	var other IssuedKey
	table.beforeCommit = func() {
		table.beforeCommit = nil
		other, err = second.Issue(context.Background(), "fes", "")
		assert.NilError(t, err)
		_, err = second.Withdraw(context.Background(), old.Change.Hash, false)
		assert.NilError(t, err)
	}
	issued, err := first.Issue(t.Context(), "atlas", "")
	assert.NilError(t, err)
	assert.Equal(t, other.Change.Revision, int64(2))
	assert.Equal(t, issued.Change.Revision, int64(4))

	table.beforeCommit = func() {
		table.beforeCommit = nil
		_, err := second.Withdraw(context.Background(), issued.Change.Hash, false)
		assert.NilError(t, err)
	}
	withdrawn, err := first.Withdraw(t.Context(), issued.Change.Hash, false)
	assert.NilError(t, err)
	assert.Equal(t, withdrawn.Hash, issued.Change.Hash)
	assert.Assert(t, withdrawn.Withdrawn)
	again, err := first.Withdraw(t.Context(), issued.Change.Hash, false)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, Change{Revision: 5, Hash: issued.Change.Hash, Withdrawn: true})
}

func TestWithdrawUnknownKey(t *testing.T) {
	_, h := testKey(CallerKind, 9)
	_, err := newTestIssuer(newFakeTable(), 1).Withdraw(t.Context(), h, false)
	assert.ErrorIs(t, err, ErrUnknownKey)
}

func TestListReadsEveryPage(t *testing.T) {
	table := newFakeTable()
	i := newTestIssuer(table, 1)
	for range listPageRows + 3 {
		_, err := i.Issue(t.Context(), "atlas", "till 3")
		assert.NilError(t, err)
	}
	assert.Assert(t, len(table.rows["keys/head"].Value) < 2000, "every instance polls this row")
	list, err := i.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), listPageRows+3)
	assert.Equal(t, list[0].Record.Label, "till 3")
}
