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
	// firstRequestTime is how long a connection that was just accepted may take to
	// send its first request, and callersInterval the time between two checks.
	firstRequestTime = time.Second
	callersInterval  = 20 * time.Millisecond
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
	f.logDrain("drain started", "grace", grace)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	group.Sleep(ctx, balancerDelay)
	err := f.finishCallers(ctx)
	deregisterCtx, cancelDeregister := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancelDeregister()
	_, removeErr := rows.CommitUntilKnown(deregisterCtx, f.store, f.roster.Removal(f.settings.Instance))
	f.logDrain("drain finished", "error", err, "rosterError", removeErr)
}

// logDrain logs a step of the drain with the callers' connections that are left.
func (f *Front) logDrain(step string, fields ...any) {
	n := f.callers.counts()
	f.log.Info(step, append(fields, "fresh", n.fresh, "active", n.active, "idle", n.idle)...)
}

// finishCallers accepts no more connections, waits until every request that was
// accepted is answered, or until the context ends, and then closes the idle
// connections. It does not shut the server down before: that would drop requests
// that have just been read on new connections. Nothing else may close idle
// connections, since a request that is read meanwhile would be passed on without a
// way for its answer; only a server that shuts down drops it.
func (f *Front) finishCallers(ctx context.Context) error {
	if err := f.listeners[callerListener].Close(); err != nil {
		f.log.Warn("close of the callers' listener failed", "error", err)
	}
	f.logDrain("no new connections accepted")
	for f.callers.pending(firstRequestTime) {
		if !group.Sleep(ctx, callersInterval) {
			break
		}
	}
	return f.callerServer.Shutdown(ctx)
}
