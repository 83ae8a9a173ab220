package prog

import (
	"context"

	"github.com/buckthorntide/buckthorntide/store"
)

// Committer applies transactions, several of them together where it can. Its
// errors are those of store.Table; a conflict concerns the given transaction
// alone. An answer counts only for this transaction: a doubled sending that
// finds its own write has succeeded.
type Committer interface {
	Commit(ctx context.Context, txn store.Txn) (int64, error)
}
