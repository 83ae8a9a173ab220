package orders

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// ErrNotHome means that this instance has lost its authority over the engine.
	ErrNotHome = errors.ConstError("not the engine's home any more")
	// ErrTooLate means that an order was not sent because its lease had expired.
	ErrTooLate = errors.ConstError("order's lease is over")
)

// attempt is one order in flight.
type attempt struct {
	upstream *upstream
	target   engine.Target
	model    string
	// sent is set once the engine may have received the order.
	sent bool
	// accepted is set once the engine has acknowledged the order.
	accepted bool
}

// runOrder executes all steps of one order. State changes run on the control
// thread, network calls on the calling goroutine.
func (r *Runner) runOrder(ctx context.Context, a *attempt) {
	err := r.tryOrder(ctx, a)
	_ = r.thread.Do(ctx, func(now time.Time) { r.applyOutcome(a, err, now) })
}

func (r *Runner) tryOrder(ctx context.Context, a *attempt) error {
	if err := r.readRows(ctx, a.upstream); err != nil {
		return err
	}
	order, until, err := r.commit(ctx, a)
	if err != nil {
		return err
	}
	sent := r.send(ctx, a, order, until)
	if err := r.recordFinish(ctx, a, sent); err != nil {
		return err
	}
	if err := r.check(ctx, a); err != nil {
		return err
	}
	return sent
}

// applyOutcome records the outcome of an order and schedules the next one.
func (r *Runner) applyOutcome(a *attempt, err error, now time.Time) {
	u := a.upstream
	r.ordering = false
	u.err = err
	switch {
	case !a.sent:
		u.nextTry = now.Add(orderInterval)
		r.common.Log.Debug("order deferred", "upstream", u.config.Name, "model", a.model, "error", err)
	case !slices.Contains(u.missing(), a.model) && u.known:
		r.count("orders.loaded")
		r.common.Log.Info("engine serves the ordered model",
			"upstream", u.config.Name, "model", a.model, "fence", u.orders.Fence())
	case a.accepted:
		u.nextTry = now.Add(loadTimeout)
		u.loadingUntil = u.nextTry
		r.count("orders.accepted")
		r.common.Log.Info("engine accepted the order and is loading the model",
			"upstream", u.config.Name, "model", a.model, "fence", u.orders.Fence())
	default:
		u.nextTry = now.Add(retryInterval)
		r.count("orders.failed")
		r.common.Log.Warn("order failed", "upstream", u.config.Name, "model", a.model, "error", err)
	}
}

func (r *Runner) count(name string) { metrics.GetOrRegisterCounter(name, r.common.Metrics).Inc(1) }

// readRows reads the row of the engine's last order and the row of the fleet's
// load budget.
func (r *Runner) readRows(ctx context.Context, u *upstream) error {
	fence, err := r.read(ctx, u.orders.Key())
	if err != nil {
		return err
	}
	loads, err := r.read(ctx, engine.LoadsKey)
	if err != nil {
		return err
	}
	return r.onThread(ctx, func(now time.Time) error {
		if err := u.orders.ObserveRow(fence, now); err != nil {
			return err
		}
		return r.budget.ObserveRow(loads, now)
	})
}

// read returns a row, with version 0 if it is absent.
func (r *Runner) read(ctx context.Context, key string) (store.Row, error) {
	row, err := r.table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: key}, nil
	}
	return row, err
}

// commit reserves the next fencing number and one load of the fleet's budget in
// one transaction. It returns the order and the time until which it may be sent.
func (r *Runner) commit(ctx context.Context, a *attempt) (order engine.Order, until time.Time, err error) {
	var txn store.Txn
	err = r.onThread(ctx, func(now time.Time) (err error) {
		txn, err = r.begin(a.upstream, a.model, now)
		return err
	})
	if err != nil {
		return engine.Order{}, time.Time{}, err
	}
	commitCtx, cancel := context.WithTimeout(ctx, engine.DefaultOrderLimits().Lease)
	defer cancel()
	version, failed := r.table.Commit(commitCtx, txn)
	err = r.onThread(ctx, func(now time.Time) (err error) {
		order, until, err = r.committed(a.upstream, version, failed, now)
		return err
	})
	return order, until, err
}

func (r *Runner) begin(u *upstream, model string, now time.Time) (store.Txn, error) {
	if !r.hasAuthority(u, now) {
		return store.Txn{}, errors.Trace(ErrNotHome)
	}
	if u.orders.Blocked(now) {
		return store.Txn{}, errors.Trace(engine.ErrLeaseHeld)
	}
	wait, err := r.budget.Wait(now)
	if err != nil {
		return store.Txn{}, err
	}
	if wait > 0 {
		r.nextOrder = now.Add(min(wait, orderInterval))
		return store.Txn{}, errors.Trace(engine.ErrRateLimited)
	}
	txn, err := u.orders.Begin(engine.OrderLoadModel, model, r.requestID(u), now)
	if err != nil {
		return store.Txn{}, err
	}
	return txn, r.budget.AddLoad(&txn)
}

// committed returns the order if it may still be sent: after a pause of this
// process, the lease may have expired or the authority may be lost.
func (r *Runner) committed(u *upstream, version int64, failed error, now time.Time) (engine.Order, time.Time, error) {
	u.orders.Committed(version, failed, now)
	r.budget.RecordLoad(version, failed, now)
	if failed != nil {
		return engine.Order{}, time.Time{}, failed
	}
	if !r.hasAuthority(u, now) {
		u.orders.Abandon()
		return engine.Order{}, time.Time{}, errors.Trace(ErrNotHome)
	}
	order, until, err := u.orders.Send(now)
	if err != nil {
		u.orders.Abandon()
	}
	return order, until, err
}

// send checks the lease once more right before it sends the order.
func (r *Runner) send(ctx context.Context, a *attempt, order engine.Order, until time.Time) error {
	left := until.Sub(r.common.Clock.Now())
	if left <= 0 {
		return errors.Trace(ErrTooLate)
	}
	a.sent = true
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return r.engines.Order(ctx, a.target, order)
}

// recordFinish records for the other homes that the order is no longer in
// flight. If the commit fails they wait until the lease expires, so its error
// doesn't fail the order.
func (r *Runner) recordFinish(ctx context.Context, a *attempt, sent error) error {
	u := a.upstream
	a.accepted = sent == nil
	var txn store.Txn
	err := r.onThread(ctx, func(now time.Time) (err error) {
		u.orderCount++
		u.orders.Sent(sent)
		txn, err = r.budget.Finish(r.requestID(u), now)
		return err
	})
	if err != nil {
		return err
	}
	version, failed := r.table.Commit(ctx, txn)
	return r.onThread(ctx, func(now time.Time) error {
		r.budget.RecordFinish(version, failed, now)
		return nil
	})
}

// check fetches what the engine serves, whatever the outcome of the order.
func (r *Runner) check(ctx context.Context, a *attempt) error {
	serving, err := r.fetchServing(ctx, a.target)
	return r.onThread(ctx, func(time.Time) error {
		a.upstream.applyProbe(serving, err)
		a.upstream.orders.Verified(err == nil && slices.Contains(serving.Models, a.model))
		return err
	})
}

func (r *Runner) requestID(u *upstream) string {
	r.requestCount++
	return u.orders.RequestID() + "/" + strconv.FormatInt(r.requestCount, 10)
}

// onThread runs f on the control thread and returns its error.
func (r *Runner) onThread(ctx context.Context, f func(now time.Time) error) error {
	var err error
	if stopped := r.thread.Do(ctx, func(now time.Time) { err = f(now) }); stopped != nil {
		return errors.Trace(stopped)
	}
	return err
}
