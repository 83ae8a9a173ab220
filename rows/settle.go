package rows

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// firstPause and longestPause bound the time between two tries of a
	// transaction; a refused call costs the store a fraction of a millisecond.
	firstPause   = 15 * time.Millisecond
	longestPause = 250 * time.Millisecond
)

// Settle commits a transaction until its outcome is known or the context ends.
// The same transaction is sent again after an unknown outcome, so that at most
// one copy finds its conditions met; a conflict with rows that already hold
// the transaction's own values is its success. Values must therefore differ
// from those of every other writer.
func Settle(ctx context.Context, store Store, txn Txn) (int64, error) {
	doubtful := false
	pause := firstPause
	for {
		version, err := store.Commit(ctx, txn)
		if err == nil {
			return version, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			if doubtful && conflict.Holds(txn) {
				return conflict.Newest(), nil
			}
			return 0, err
		}
		doubtful = doubtful || errors.Is(err, ErrUnknown)
		if !group.Sleep(ctx, pause) {
			return 0, settleError(err, doubtful)
		}
		pause = min(2*pause, longestPause)
	}
}

func settleError(err error, doubtful bool) error {
	if doubtful {
		return errors.Annotate(ErrUnknown, err.Error())
	}
	return err
}

// Holds tells whether every write of the transaction that carries a condition
// is what the store holds now.
func (e *ConflictError) Holds(txn Txn) bool {
	conditioned := make(map[ID]bool, len(txn.Expect))
	for _, x := range txn.Expect {
		conditioned[x.ID] = true
	}
	for _, w := range txn.Writes {
		if conditioned[w.ID] && !bytes.Equal(e.Row(w.ID).Value, w.Value) {
			return false
		}
	}
	for _, id := range txn.Removes {
		if conditioned[id] && e.Row(id).Version != 0 {
			return false
		}
	}
	return true
}

// Newest returns the highest version of the rows.
func (e *ConflictError) Newest() int64 {
	var version int64
	for _, r := range e.Rows {
		version = max(version, r.Version)
	}
	return version
}
