package engine

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// OrderFree says that nothing is under way.
	OrderFree OrderStage = iota + 1
	// OrderWaiting says that the previous holder's lease may still run.
	OrderWaiting
	// OrderCommitting says that the fence's transaction is under way.
	OrderCommitting
	// OrderSending says that the order may be sent until the lease ends.
	OrderSending
	// OrderChecking says that the state after the order must be looked at.
	OrderChecking

	orderPrefix = "orders/"
)

type (
	// OrderStage is how far an order has come.
	OrderStage int

	// OrderRow is an engine's row in the table service: who gave it the last
	// order, under which number and for how long.
	OrderRow struct {
		Holder string `json:"holder"`
		Fence  int64  `json:"fence"`
		// LeaseMillis is how long the holder may send, from the commit on.
		LeaseMillis int64     `json:"leaseMillis"`
		Kind        OrderKind `json:"kind"`
		Target      string    `json:"target"`
	}

	// OrderLimits bound the giving of orders.
	OrderLimits struct {
		// Lease is how long a holder may send an order after it began the
		// commit of its fencing number, by its own clock.
		Lease time.Duration
		// Margin is how much longer everyone else waits.
		Margin time.Duration
	}

	// Orders gives one engine its orders, each under a fencing number that a
	// conditional transaction takes from the table. It is not safe for
	// concurrent use.
	Orders struct {
		limits      OrderLimits
		engine      string
		holder      string
		checksFence bool
		stage       OrderStage
		row         OrderRow
		version     int64
		// seenAt is when the row's version was first seen.
		seenAt time.Time
		// unread says that the row must be read again before the next order.
		unread bool
		// beganAt is when the commit was begun.
		beganAt time.Time
		order   Order
		// engineFence is the highest number that the engine said it has seen.
		engineFence int64
		// answered says that the engine answered the last order of this holder,
		// so that nothing of it is still on its way.
		answered bool
	}
)

// DefaultOrderLimits returns the limits for a table that answers in seconds.
func DefaultOrderLimits() OrderLimits {
	return OrderLimits{Lease: 10 * time.Second, Margin: 2 * time.Second}
}

// NewOrders returns the orders of one engine. checksFence says that the engine
// itself refuses an old number; for one that doesn't, a new holder first waits
// out the lease of the one before.
func NewOrders(limits OrderLimits, engine, holder string, checksFence bool) *Orders {
	return &Orders{
		limits:      limits,
		engine:      engine,
		holder:      holder,
		checksFence: checksFence,
		stage:       OrderFree,
	}
}

// Key is the engine's row in the table.
func (o *Orders) Key() string { return orderPrefix + o.engine }

// Stage returns how far the order has come.
func (o *Orders) Stage() OrderStage { return o.stage }

// ObserveRow takes the engine's row as it was read at now; a row that is
// absent has version zero.
func (o *Orders) ObserveRow(row store.Row, now time.Time) error {
	if row.Version == o.version && !o.seenAt.IsZero() {
		o.unread = false
		return nil
	}
	if row.Version < o.version {
		return nil
	}
	next := OrderRow{}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &next); err != nil {
			return errors.Annotatef(err, "row %q", row.Key)
		}
	}
	o.row, o.version, o.seenAt = next, row.Version, now
	o.answered, o.unread = false, false
	o.stage = OrderFree
	return nil
}

// Begin returns the transaction that takes the next fencing number for the
// order. For an engine that ignores numbers it returns ErrLeaseHeld until the
// previous holder's lease has ended for sure, by this holder's own clock from
// when it first saw the row.
func (o *Orders) Begin(kind OrderKind, target, requestID string, now time.Time) (store.Txn, error) {
	if o.Held(now) {
		o.stage = OrderWaiting
		return store.Txn{}, errors.Trace(ErrLeaseHeld)
	}
	o.order = Order{Kind: kind, Target: target, Fence: o.nextFence()}
	value, err := json.Marshal(OrderRow{
		Holder:      o.holder,
		Fence:       o.order.Fence,
		LeaseMillis: o.limits.Lease.Milliseconds(),
		Kind:        kind,
		Target:      target,
	})
	if err != nil {
		return store.Txn{}, errors.Trace(err)
	}
	o.stage, o.beganAt = OrderCommitting, now
	return store.Txn{
		RequestID:  requestID,
		Conditions: []store.Condition{{Key: o.Key(), Version: o.version}},
		Writes:     []store.Write{{Key: o.Key(), Value: value}},
	}, nil
}

// Held says that no order may be begun yet: the row hasn't been read, or the
// previous holder's lease may still run at an engine that ignores numbers.
func (o *Orders) Held(now time.Time) bool {
	return o.seenAt.IsZero() || o.unread || (!o.checksFence && now.Before(o.leaseEnds()))
}

// ObserveFence takes the highest number that the engine says it has seen, so
// that a table which was set back doesn't lead to numbers that it refuses.
func (o *Orders) ObserveFence(fence int64) { o.engineFence = max(o.engineFence, fence) }

// Fence returns the last number that the row is known to hold.
func (o *Orders) Fence() int64 { return o.row.Fence }

func (o *Orders) nextFence() int64 { return max(o.row.Fence, o.engineFence) + 1 }

// leaseEnds is when whoever wrote the row has stopped sending. The row may have
// been written long before it was seen, never after.
func (o *Orders) leaseEnds() time.Time {
	if o.version == 0 || o.answered {
		return o.seenAt
	}
	lease := time.Duration(o.row.LeaseMillis) * time.Millisecond
	return o.seenAt.Add(lease + o.limits.Margin)
}

// Committed takes the outcome of Begin's transaction. On any error the order
// is dropped; the row must be read again.
func (o *Orders) Committed(version int64, err error, now time.Time) {
	if o.stage != OrderCommitting {
		return
	}
	if err != nil {
		o.stage, o.unread = OrderFree, true
		return
	}
	o.version, o.seenAt, o.answered = version, now, false
	o.row.Holder, o.row.Fence = o.holder, o.order.Fence
	o.row.LeaseMillis = o.limits.Lease.Milliseconds()
	o.stage = OrderSending
}

// Send returns the order if it may be sent now. It is asked right before the
// sending, and the send must time out at until: a holder that was paused finds
// its lease over.
func (o *Orders) Send(now time.Time) (order Order, until time.Time, err error) {
	until = o.beganAt.Add(o.limits.Lease)
	if o.stage != OrderSending || !now.Before(until) {
		return Order{}, time.Time{}, errors.Trace(ErrOldFence)
	}
	return o.order, until, nil
}

// Abandon gives up an order that may not be sent any more. The row must be read
// again.
func (o *Orders) Abandon() { o.stage, o.unread = OrderFree, true }

// Sent takes the outcome of the sending. Whatever it was, the engine's state
// is looked at before anything is concluded, since an engine that ignores
// fences may have taken another's order too.
func (o *Orders) Sent(err error) {
	if o.stage != OrderSending {
		return
	}
	o.stage = OrderChecking
	o.answered = err == nil
	if errors.Is(err, ErrOldFence) {
		o.stage, o.unread = OrderFree, true
	}
}

// Checked takes whether the engine's state shows the order's effect. It
// returns true once the order is done; otherwise it is given again.
func (o *Orders) Checked(effective bool) bool {
	if o.stage != OrderChecking {
		return false
	}
	o.stage = OrderFree
	return effective
}

// RequestID names a transaction by the holder and the number it takes.
func (o *Orders) RequestID() string {
	return o.Key() + "/" + o.holder + "/" + strconv.FormatInt(o.nextFence(), 10)
}
