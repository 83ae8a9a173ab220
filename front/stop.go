package front

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// balancerNotice is how long new connections are still taken after the
	// instance stopped being ready: two looks a second apart, and some way.
	balancerNotice = 2500 * time.Millisecond
	// stopReserve is the end of the grace that is kept for the last writes.
	stopReserve = 700 * time.Millisecond
	// farewellWait bounds the removal from the roster.
	farewellWait = 300 * time.Millisecond
)

// Drain stops as planned: the balancer is told first, callers are asked to go
// elsewhere, answers under way are finished.
func (f *Front) Drain() {
	grace := time.Duration(f.bounds.Load().StopGrace)
	deadline := time.Now().Add(grace - stopReserve)
	f.leaving.Store(true)
	f.gate.Leave()
	f.log.Info("A planned stop begins.", "grace", grace)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	group.Sleep(ctx, balancerNotice)
	err := f.callers.Shutdown(ctx)
	farewell, cancelFarewell := context.WithTimeout(context.Background(), farewellWait)
	defer cancelFarewell()
	_, removeErr := rows.Settle(farewell, f.store, f.roster.Removal(f.settings.Instance))
	f.log.Info("The planned stop is through.", "error", err, "rosterError", removeErr)
}
