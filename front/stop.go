package front

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// balancerDelay is how long new connections are still accepted after the
	// instance has become not ready: two health checks of the balancer a second
	// apart, and a margin.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is the end of the grace period, reserved for the last writes.
	stopMargin = 700 * time.Millisecond
	// deregisterTimeout bounds the removal of this instance from the roster.
	deregisterTimeout = 300 * time.Millisecond
)

// Drain stops the instance gracefully: the readiness check fails first, callers
// are asked to reconnect elsewhere, and answers in flight are completed.
func (f *Front) Drain() {
	grace := time.Duration(f.reloadable.Load().StopGrace)
	deadline := time.Now().Add(grace - stopMargin)
	f.stopping.Store(true)
	f.proxy.Drain()
	f.log.Info("drain started", "grace", grace)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	group.Sleep(ctx, balancerDelay)
	err := f.callerServer.Shutdown(ctx)
	deregisterCtx, cancelDeregister := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancelDeregister()
	_, removeErr := rows.CommitUntilKnown(deregisterCtx, f.store, f.roster.Removal(f.settings.Instance))
	f.log.Info("drain finished", "error", err, "rosterError", removeErr)
}
