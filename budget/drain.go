package budget

import (
	"context"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
)

// Drain ends the ledger's work for others before a planned stop: it grants no further
// provisional allocations and records those that the store lacks, until the context
// ends.
func (l *Ledger) Drain(ctx context.Context) {
	l.draining.Store(true)
	for l.recordAll(ctx); l.unrecorded() && group.Sleep(ctx, drainInterval); {
		l.recordAll(ctx)
	}
}

// unrecorded reports whether the store may lack a provisional allocation.
func (l *Ledger) unrecorded() bool {
	return len(l.home.unrecorded(common.Uptime())) > 0 || len(l.unrecordedAccounts()) > 0
}
