package boot

import (
	"context"

	"github.com/buckthorntide/buckthorntide/store"
)

// groupCommit adapts store.Committer to prog.Committer.
type groupCommit struct{ committer *store.Committer }

// Commit commits the transaction in a group with others and returns the
// version that it was committed at.
func (g groupCommit) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	outcome, err := g.committer.Commit(ctx, txn)
	return outcome.Version, err
}
