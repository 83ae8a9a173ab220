package prog

import (
	"context"

	"github.com/buckthorntide/buckthorntide/store"
)

// Committer applies transactions, in groups where possible. Its errors are
// those of store.Table; a conflict refers to the given transaction alone. If a
// transaction was sent twice and the second request finds the first one's
// write, that is a success.
type Committer interface {
	Commit(ctx context.Context, txn store.Txn) (int64, error)
}
