package boot

import (
	"context"

	"github.com/buckthorntide/buckthorntide/store"
)

// groupCommit gives package prog the committer in the form that it asks for.
type groupCommit struct{ committer *store.Committer }

// Commit commits the transaction together with others.
func (g groupCommit) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	outcome, err := g.committer.Commit(ctx, txn)
	return outcome.Version, err
}
