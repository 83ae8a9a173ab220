package engine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// orderWorld is a table row and an engine that gets orders from several
	// holders.
	orderWorld struct {
		t        *rapid.T
		now      time.Time
		row      store.Row
		checks   bool
		fence    int64
		holders  []*orderHolder
		accepted int64
	}

	orderHolder struct {
		orders *engine.Orders
		// version and err are the outcome of a commit whose reply is in flight.
		committing bool
		version    int64
		err        error
		// order is in flight to the engine until it arrives or times out.
		order *engine.Order
		until time.Time
	}
)

// step runs one holder's next step; a holder may be paused before any step.
func (w *orderWorld) step(t *rapid.T) {
	h := rapid.SampledFrom(w.holders).Draw(t, "holder")
	switch {
	case h.committing:
		h.committing = false
		h.orders.Committed(h.version, h.err, w.now)
	case h.order != nil:
		w.arrive(h)
	case h.orders.Stage() == engine.OrderSending:
		w.send(h)
	case rapid.Bool().Draw(t, "read"):
		assert.NilError(t, h.orders.ObserveRow(w.row, w.now))
	default:
		w.begin(t, h)
	}
}

func (w *orderWorld) begin(t *rapid.T, h *orderHolder) {
	txn, err := h.orders.Begin(engine.OrderLoadModel, "m", h.orders.RequestID(), w.now)
	if err != nil {
		return
	}
	h.committing, h.err, h.version = true, nil, w.row.Version+1
	if txn.Conditions[0].Version != w.row.Version {
		h.err = store.ErrConflict
		return
	}
	w.row = store.Row{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: h.version}
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		h.err = store.ErrUnknown
	}
}

func (w *orderWorld) send(h *orderHolder) {
	order, until, err := h.orders.Send(w.now)
	if err != nil {
		h.orders.Abandon()
		return
	}
	h.order, h.until = &order, until
}

// arrive delivers an order to the engine unless the sender's timeout has
// expired.
func (w *orderWorld) arrive(h *orderHolder) {
	order := *h.order
	h.order = nil
	if !w.now.Before(h.until) {
		h.orders.Sent(engine.ErrBroken)
		h.orders.Verified(false)
		return
	}
	if w.checks && order.Fence < w.fence {
		h.orders.Sent(engine.ErrStaleFence)
		return
	}
	if order.Fence < w.fence {
		w.t.Fatalf("engine took fence %d after %d", order.Fence, w.fence)
	}
	w.fence = order.Fence
	w.accepted++
	h.orders.Sent(nil)
	h.orders.Verified(true)
}

func (w *orderWorld) advanceClock(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "milliseconds")) * time.Millisecond)
}

// TestNoStaleOrderAfterNewer races two holders that may be paused at any point
// and lose replies to commits. Whether the engine checks fencing numbers or not,
// it never accepts an order with a lower one than before.
func TestNoStaleOrderAfterNewer(t *testing.T) {
	for _, checks := range []bool{true, false} {
		rapid.Check(t, func(t *rapid.T) {
			w := &orderWorld{t: t, now: start, checks: checks}
			for _, name := range []string{"a", "b"} {
				w.holders = append(w.holders, &orderHolder{
					orders: engine.NewOrders(engine.DefaultOrderLimits(), "e", name, checks),
				})
			}
			t.Repeat(map[string]func(*rapid.T){
				"advance": w.step, "advance2": w.step, "advance3": w.step, "advance4": w.step, "pass": w.advanceClock,
			})
		})
	}
}

func TestOrderIsSentWithinItsLease(t *testing.T) {
	o := engine.NewOrders(engine.DefaultOrderLimits(), "e", "a", false)
	_, err := o.Begin(engine.OrderLoadModel, "m", "r", start)
	assert.ErrorIs(t, err, engine.ErrLeaseHeld)
	assert.NilError(t, o.ObserveRow(store.Row{}, start))
	for i := range int64(2) {
		txn, err := o.Begin(engine.OrderLoadModel, "m", o.RequestID(), start)
		assert.NilError(t, err)
		assert.DeepEqual(t, txn.Conditions, []store.Condition{{Key: o.Key(), Version: i}})
		o.Committed(i+1, nil, start)
		order, _, err := o.Send(start)
		assert.NilError(t, err)
		assert.Equal(t, order.Fence, i+1)
		o.Sent(nil)
		assert.Assert(t, o.Verified(true))
	}
	o.Begin(engine.OrderLoadModel, "m", o.RequestID(), start)
	o.Committed(3, nil, start)
	_, _, err = o.Send(start.Add(time.Minute))
	assert.ErrorIs(t, err, engine.ErrStaleFence, "a paused holder sends nothing after its lease")
}

func TestLoadLimiterKeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 20).Draw(t, "rate")
		now := start
		l := engine.NewLoadLimiter(rate, now)
		taken, lastTaken := 0, start
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "takeover") == 0 {
				l = engine.NewLoadLimiter(rate, now)
			}
			if ok, _ := l.Take(now); ok {
				taken++
				assert.Assert(t, now.Sub(lastTaken).Minutes()*rate > 1-1e-6, "two loads at once")
				lastTaken = now
			}
		}
		assert.Assert(t, float64(taken) <= rate*now.Sub(start).Minutes()+1e-6, "%d loads", taken)
	})
}
