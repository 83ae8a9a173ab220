package store

import (
	"context"

	"github.com/juju/errors"
)

const (
	// verdictApplied says that the transaction took effect.
	verdictApplied verdict = iota
	// verdictUntouched says that it has not taken effect so far.
	verdictUntouched
	// verdictUndecided says that its rows no longer tell.
	verdictUndecided
	// verdictUnread says that its rows could not be read.
	verdictUnread
)

type (
	// verdict is what the rows tell about a transaction whose answer was lost.
	verdict int

	getter interface {
		Get(ctx context.Context, key string) (Row, error)
	}
)

// settle looks for the transaction's request id in the rows that it writes. A
// row that still has the version it was conditioned on proves that the
// transaction has not taken effect.
func settle(ctx context.Context, table getter, txn Txn) (int64, verdict) {
	before := make(map[string]int64, len(txn.Conditions))
	for _, condition := range txn.Conditions {
		before[condition.Key] = condition.Version
	}
	for _, w := range txn.Writes {
		row, err := table.Get(ctx, w.Key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return 0, verdictUnread
		}
		if row.Writer == txn.RequestID {
			return row.Version, verdictApplied
		}
		version, conditioned := before[w.Key]
		untouched := conditioned && row.Version == version
		if untouched && (version != 0 || !w.Delete) {
			return 0, verdictUntouched
		}
	}
	return 0, verdictUndecided
}

// writesConditionedRow says that a second run of the transaction would conflict
// with the first.
func writesConditionedRow(txn Txn) bool {
	conditioned := make(map[string]bool, len(txn.Conditions))
	for _, condition := range txn.Conditions {
		conditioned[condition.Key] = true
	}
	for _, w := range txn.Writes {
		if conditioned[w.Key] {
			return true
		}
	}
	return false
}
