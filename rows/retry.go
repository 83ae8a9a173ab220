package rows

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// minRetryInterval and maxRetryInterval bound the backoff between two attempts
	// of a transaction; a refused call costs the store a fraction of a millisecond.
	minRetryInterval = 15 * time.Millisecond
	maxRetryInterval = 250 * time.Millisecond
	// minBusyInterval and maxBusyInterval bound it at a store that gets too many
	// calls, of which refused ones are a part.
	minBusyInterval = 60 * time.Millisecond
	maxBusyInterval = 600 * time.Millisecond
)

// CommitUntilKnown retries a transaction until its outcome is known or the context ends. After
// an unknown outcome it resends the same transaction, of which at most one copy
// meets its expectations: a conflict with rows that already hold the transaction's
// own values means that it succeeded. Values must therefore differ from those of
// every other writer.
func CommitUntilKnown(ctx context.Context, store Store, txn Txn) (int64, error) {
	maybeApplied := false
	interval := minRetryInterval
	for {
		version, err := store.Commit(ctx, txn)
		if err == nil {
			return version, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			if maybeApplied && conflict.AppliedBy(txn) {
				return conflict.LatestVersion(), nil
			}
			return 0, err
		}
		maybeApplied = maybeApplied || errors.Is(err, ErrUnknown)
		longest := maxRetryInterval
		if errors.Is(err, ErrBusy) {
			interval, longest = max(interval, minBusyInterval), maxBusyInterval
		}
		// Jitter, since instances that were refused together would return together.
		if !group.Sleep(ctx, interval/2+rand.N(interval)) {
			return 0, retryError(err, maybeApplied)
		}
		interval = min(2*interval, longest)
	}
}

func retryError(err error, maybeApplied bool) error {
	if maybeApplied {
		return errors.Annotate(ErrUnknown, err.Error())
	}
	return err
}

// AppliedBy reports whether the current rows hold the result of every write and
// removal of the transaction that has an expectation.
func (e *ConflictError) AppliedBy(txn Txn) bool {
	expected := make(map[ID]bool, len(txn.Expect))
	for _, x := range txn.Expect {
		expected[x.ID] = true
	}
	for _, w := range txn.Writes {
		if expected[w.ID] && !bytes.Equal(e.Row(w.ID).Value, w.Value) {
			return false
		}
	}
	for _, id := range txn.Removes {
		if expected[id] && e.Row(id).Version != 0 {
			return false
		}
	}
	return true
}

// LatestVersion returns the highest version of the current rows.
func (e *ConflictError) LatestVersion() int64 {
	var version int64
	for _, r := range e.Rows {
		version = max(version, r.Version)
	}
	return version
}
