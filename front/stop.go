package front

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/drain"
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
	// maxMarginFraction bounds stopMargin to a part of a short grace period.
	maxMarginFraction = 8
	// settleSevenths is the part of that margin in which the budgets' last messages are
	// sent, if callers were answered until its beginning, and deregisterSevenths the one
	// for the removal of this instance from the roster. The rest is for the end of the
	// process.
	settleSevenths     = 2
	deregisterSevenths = 3
	// homeTime is how long turns at other instances may take to end the reservations
	// that they made here before this instance was leaving.
	homeTime = time.Second
)

// stopPlan divides the grace period of a planned stop.
type stopPlan struct {
	// accept is how long new connections are accepted.
	accept time.Duration
	// first is until when connections without a request may send their first one, and
	// answer is how long requests in progress may take, both from the stop signal.
	first  time.Duration
	answer time.Duration
	// settle and deregister bound the two steps that may follow then.
	settle     time.Duration
	deregister time.Duration
}

func newStopPlan(grace time.Duration) stopPlan {
	margin := min(stopMargin, grace/maxMarginFraction)
	answer := grace - margin
	accept := min(balancerDelay, answer/2)
	return stopPlan{
		accept:     accept,
		first:      accept + drain.FirstRequestTime(accept),
		answer:     answer,
		settle:     margin * settleSevenths / 7,
		deregister: margin * deregisterSevenths / 7,
	}
}

// Drain stops the instance gracefully: the readiness check fails first, callers
// are asked to reconnect elsewhere, answers in flight are completed, and budgets are
// settled.
func (f *Front) Drain() {
	grace := time.Duration(f.reloadable.Load().StopGrace)
	plan := newStopPlan(grace)
	start := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(plan.answer))
	defer cancel()
	f.stopping.Store(true)
	f.proxy.Drain(drain.Plan{AcceptUntil: start.Add(plan.first), AnswerBy: start.Add(plan.answer)})
	f.logDrain("drain started", "grace", grace)
	f.group.Go(func(context.Context) {
		f.leave(ctx)
		// Turns have gone to other homes when new connections end.
		if group.Sleep(ctx, time.Until(start.Add(plan.accept))) {
			f.ledger.ReturnUnused(ctx)
		}
	})
	group.Sleep(ctx, plan.accept)
	err := f.finishCallers(ctx, start.Add(plan.first))
	unsettled := f.settleBudgets(max(time.Until(start.Add(plan.answer)), plan.settle))
	deregisterCtx, cancelDeregister := context.WithTimeout(context.Background(), plan.deregister)
	defer cancelDeregister()
	var removeErr error
	recorded := f.ledger.Recorded()
	if recorded {
		removeErr = f.deregister(deregisterCtx)
	}
	// Otherwise the row stays, so that whoever replaces it records the loss.
	f.logDrain("drain finished", "error", err, "rosterError", removeErr, "unsettled", unsettled, "provisionalsRecorded", recorded)
}

// deregister removes this process' row from the roster.
func (f *Front) deregister(ctx context.Context) error {
	row, err := f.ownRow(ctx)
	if err != nil || row.Version == 0 {
		return err
	}
	txn, own := f.roster.Removal(row)
	if !own {
		f.log.Info("an earlier process' row stays on the roster", "rowVersion", row.Version)
		return nil
	}
	_, err = rows.CommitUntilKnown(ctx, f.store, txn)
	return err
}

// settleBudgets ends the turns' reservations at the programs' homes and drains the
// ledger, which may take the given time. It returns how many reservations are left.
func (f *Front) settleBudgets(timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	g := group.NewGroup(ctx)
	defer g.Close()
	g.Go(func(ctx context.Context) {
		homeCtx, cancel := context.WithTimeout(ctx, homeTime)
		defer cancel()
		f.ledger.Drain(homeCtx)
	})
	unsettled := f.broker.Drain(ctx)
	g.Wait()
	return unsettled
}

// logDrain logs a step of the drain with the callers' connections that are left.
func (f *Front) logDrain(step string, fields ...any) {
	n := f.callerServer.Counts()
	f.log.Info(step, append(fields, "fresh", n.Fresh, "active", n.Active, "idle", n.Idle, "dropped", n.Dropped)...)
}

// finishCallers accepts no more connections and waits until the requests in progress
// are answered, or until the context ends. First requests are accepted until the given
// time.
func (f *Front) finishCallers(ctx context.Context, first time.Time) error {
	if err := f.callerServer.StopAccepting(); err != nil {
		f.log.Warn("close of the callers' listener failed", "error", err)
	}
	f.logDrain("no new connections accepted")
	return f.callerServer.Finish(ctx, first)
}
