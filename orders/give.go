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
	// ErrNotHome says that this instance has lost its authority over the engine.
	ErrNotHome = errors.ConstError("not the engine's home any more")
	// ErrTooLate says that an order was not sent since its lease is over.
	ErrTooLate = errors.ConstError("order's lease is over")
)

// attempt is one order on its way.
type attempt struct {
	upstream *upstream
	target   engine.Target
	model    string
	// sent says that the engine may have got the order.
	sent bool
	// accepted says that the engine answered that it takes it.
	accepted bool
}

// give takes one order through all of its steps. Each step that decides runs on
// the control thread; what goes over the network runs here.
func (r *Runner) give(ctx context.Context, a *attempt) {
	err := r.tryGive(ctx, a)
	_ = r.thread.Do(ctx, func(now time.Time) { r.given(a, err, now) })
}

func (r *Runner) tryGive(ctx context.Context, a *attempt) error {
	if err := r.readRows(ctx, a.upstream); err != nil {
		return err
	}
	order, until, err := r.commit(ctx, a)
	if err != nil {
		return err
	}
	sent := r.send(ctx, a, order, until)
	if err := r.finish(ctx, a, sent); err != nil {
		return err
	}
	if err := r.check(ctx, a); err != nil {
		return err
	}
	return sent
}

// given takes the outcome of an order.
func (r *Runner) given(a *attempt, err error, now time.Time) {
	u := a.upstream
	r.giving = false
	u.err = err
	switch {
	case !a.sent:
		u.nextTry = now.Add(giveInterval)
		r.common.Log.Debug("An order waits.", "upstream", u.config.Name, "model", a.model, "error", err)
	case !slices.Contains(u.missing(), a.model) && u.known:
		r.count("orders.loaded")
		r.common.Log.Info("An engine serves a model as ordered.",
			"upstream", u.config.Name, "model", a.model, "fence", u.orders.Fence())
	case a.accepted:
		u.nextTry = now.Add(loadTimeout)
		u.loadingUntil = u.nextTry
		r.count("orders.accepted")
		r.common.Log.Info("An engine loads a model.",
			"upstream", u.config.Name, "model", a.model, "fence", u.orders.Fence())
	default:
		u.nextTry = now.Add(retryInterval)
		r.count("orders.failed")
		r.common.Log.Warn("An order failed.", "upstream", u.config.Name, "model", a.model, "error", err)
	}
}

func (r *Runner) count(name string) { metrics.GetOrRegisterCounter(name, r.common.Metrics).Inc(1) }

// readRows reads who gave the engine its last order and the fleet's loads.
func (r *Runner) readRows(ctx context.Context, u *upstream) error {
	fence, err := r.read(ctx, u.orders.Key())
	if err != nil {
		return err
	}
	loads, err := r.read(ctx, engine.LoadsKey)
	if err != nil {
		return err
	}
	return r.decide(ctx, func(now time.Time) error {
		if err := u.orders.ObserveRow(fence, now); err != nil {
			return err
		}
		return r.budget.ObserveRow(loads, now)
	})
}

// read returns a row; one that is absent has version zero.
func (r *Runner) read(ctx context.Context, key string) (store.Row, error) {
	row, err := r.table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: key}, nil
	}
	return row, err
}

// commit takes the next fencing number and a load of the fleet's budget in one
// transaction, and returns the order and until when it may be sent.
func (r *Runner) commit(ctx context.Context, a *attempt) (order engine.Order, until time.Time, err error) {
	var txn store.Txn
	err = r.decide(ctx, func(now time.Time) (err error) {
		txn, err = r.begin(a.upstream, a.model, now)
		return err
	})
	if err != nil {
		return engine.Order{}, time.Time{}, err
	}
	commitCtx, cancel := context.WithTimeout(ctx, engine.DefaultOrderLimits().Lease)
	defer cancel()
	version, failed := r.table.Commit(commitCtx, txn)
	err = r.decide(ctx, func(now time.Time) (err error) {
		order, until, err = r.committed(a.upstream, version, failed, now)
		return err
	})
	return order, until, err
}

func (r *Runner) begin(u *upstream, model string, now time.Time) (store.Txn, error) {
	if !r.holds(u, now) {
		return store.Txn{}, errors.Trace(ErrNotHome)
	}
	if u.orders.Held(now) {
		return store.Txn{}, errors.Trace(engine.ErrLeaseHeld)
	}
	wait, err := r.budget.Wait(now)
	if err != nil {
		return store.Txn{}, err
	}
	if wait > 0 {
		r.nextGive = now.Add(min(wait, giveInterval))
		return store.Txn{}, errors.Trace(engine.ErrRate)
	}
	txn, err := u.orders.Begin(engine.OrderLoadModel, model, r.requestID(u), now)
	if err != nil {
		return store.Txn{}, err
	}
	return txn, r.budget.Spend(&txn)
}

// committed is asked whether the order may go out: a runner that was paused
// since finds its lease or its authority over.
func (r *Runner) committed(u *upstream, version int64, failed error, now time.Time) (engine.Order, time.Time, error) {
	u.orders.Committed(version, failed, now)
	r.budget.Spent(version, failed, now)
	if failed != nil {
		return engine.Order{}, time.Time{}, failed
	}
	if !r.holds(u, now) {
		u.orders.Abandon()
		return engine.Order{}, time.Time{}, errors.Trace(ErrNotHome)
	}
	order, until, err := u.orders.Send(now)
	if err != nil {
		u.orders.Abandon()
	}
	return order, until, err
}

// send looks at the clock once more right before the sending.
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

// finish tells the other homes that nothing is on its way any more. If that
// fails they wait out the lease, so its error is no failure of the order.
func (r *Runner) finish(ctx context.Context, a *attempt, sent error) error {
	u := a.upstream
	a.accepted = sent == nil
	var txn store.Txn
	err := r.decide(ctx, func(now time.Time) (err error) {
		u.given++
		u.orders.Sent(sent)
		txn, err = r.budget.Finish(r.requestID(u), now)
		return err
	})
	if err != nil {
		return err
	}
	version, failed := r.table.Commit(ctx, txn)
	return r.decide(ctx, func(now time.Time) error {
		r.budget.Finished(version, failed, now)
		return nil
	})
}

// check looks at what the engine serves, whatever became of the order.
func (r *Runner) check(ctx context.Context, a *attempt) error {
	serving, err := r.ask(ctx, a.target)
	return r.decide(ctx, func(time.Time) error {
		a.upstream.looked(serving, err)
		a.upstream.orders.Checked(err == nil && slices.Contains(serving.Models, a.model))
		return err
	})
}

func (r *Runner) requestID(u *upstream) string {
	r.attempts++
	return u.orders.RequestID() + "/" + strconv.FormatInt(r.attempts, 10)
}

// decide runs f on the control thread and returns its error.
func (r *Runner) decide(ctx context.Context, f func(now time.Time) error) error {
	var err error
	if stopped := r.thread.Do(ctx, func(now time.Time) { err = f(now) }); stopped != nil {
		return errors.Trace(stopped)
	}
	return err
}
