package engine

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// OrderIdle means that no order is in flight.
	OrderIdle OrderStage = iota + 1
	// OrderWaiting means that the previous holder's lease may still be valid.
	OrderWaiting
	// OrderCommitting means that the fencing number's transaction is in flight.
	OrderCommitting
	// OrderSending means that the order may be sent until the lease expires.
	OrderSending
	// OrderVerifying means that the engine's state after the order must be
	// verified.
	OrderVerifying

	orderPrefix = "orders/"
)

type (
	// OrderStage is the progress of an order.
	OrderStage int

	// OrderRow is an engine's row in the table service: the last order, the
	// holder that gave it, its fencing number and its lease.
	OrderRow struct {
		Holder string `json:"holder"`
		Fence  int64  `json:"fence"`
		// LeaseMillis is how long after the commit the holder may send.
		LeaseMillis int64     `json:"leaseMillis"`
		Kind        OrderKind `json:"kind"`
		Target      string    `json:"target"`
	}

	// OrderLimits bound how long an order may be sent.
	OrderLimits struct {
		// Lease is how long a holder may send an order after it started to
		// commit its fencing number, by its own clock.
		Lease time.Duration
		// Margin is how much longer than the lease the other holders wait.
		Margin time.Duration
	}

	// Orders is the state machine that gives orders to one engine. Each order
	// has a fencing number that a conditional transaction commits to the table
	// first. It is not safe for concurrent use.
	Orders struct {
		limits      OrderLimits
		engine      string
		holder      string
		checksFence bool
		stage       OrderStage
		row         OrderRow
		version     int64
		// firstReadAt is when the row's version was first read.
		firstReadAt time.Time
		// rowStale means that the row must be read again before the next order.
		rowStale bool
		// commitStartedAt is when the commit started, which is also the lease's start.
		commitStartedAt time.Time
		order           Order
		// engineFence is the highest fencing number that the engine reported.
		engineFence int64
		// acknowledged means that the engine confirmed this holder's last order,
		// so it is no longer in flight.
		acknowledged bool
	}
)

// DefaultOrderLimits returns limits for a table service that responds within
// seconds.
func DefaultOrderLimits() OrderLimits {
	return OrderLimits{Lease: 10 * time.Second, Margin: 2 * time.Second}
}

// NewOrders returns the orders of one engine. checksFence means that the engine
// itself refuses a stale fencing number; for other engines a new holder first
// waits until the previous holder's lease has expired.
func NewOrders(limits OrderLimits, engine, holder string, checksFence bool) *Orders {
	return &Orders{
		limits:      limits,
		engine:      engine,
		holder:      holder,
		checksFence: checksFence,
		stage:       OrderIdle,
	}
}

// Key returns the key of the engine's row in the table service.
func (o *Orders) Key() string { return orderPrefix + o.engine }

// Stage returns the current order's progress.
func (o *Orders) Stage() OrderStage { return o.stage }

// ObserveRow applies the engine's row as read at now; an absent row has version
// zero. A new version ends the order in progress.
func (o *Orders) ObserveRow(row store.Row, now time.Time) error {
	if row.Version == o.version && !o.firstReadAt.IsZero() {
		o.rowStale = false
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
	o.row, o.version, o.firstReadAt = next, row.Version, now
	o.acknowledged, o.rowStale = false, false
	o.stage = OrderIdle
	return nil
}

// Begin returns the transaction that commits the next fencing number for the
// order. For an engine that ignores fencing numbers it returns ErrLeaseHeld
// until the previous holder's lease has certainly expired, measured by this
// holder's clock from its first read of the row.
func (o *Orders) Begin(kind OrderKind, target, requestID string, now time.Time) (store.Txn, error) {
	if o.Blocked(now) {
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
	o.stage, o.commitStartedAt = OrderCommitting, now
	return store.Txn{
		RequestID:  requestID,
		Conditions: []store.Condition{{Key: o.Key(), Version: o.version}},
		Writes:     []store.Write{{Key: o.Key(), Value: value}},
	}, nil
}

// Blocked reports whether no order may begin yet: the row hasn't been read, or the
// previous holder's lease may still be valid and the engine ignores fencing
// numbers.
func (o *Orders) Blocked(now time.Time) bool {
	return o.firstReadAt.IsZero() || o.rowStale || (!o.checksFence && now.Before(o.leaseEnd()))
}

// ObserveFence records the highest fencing number that the engine reports, so
// that a table rolled back to an older state doesn't lead to numbers that the
// engine refuses.
func (o *Orders) ObserveFence(fence int64) { o.engineFence = max(o.engineFence, fence) }

// Fence returns the fencing number in the last known row.
func (o *Orders) Fence() int64 { return o.row.Fence }

func (o *Orders) nextFence() int64 { return max(o.row.Fence, o.engineFence) + 1 }

// leaseEnd returns when the row's writer has certainly stopped sending. It counts
// from the first read, which is never before the write.
func (o *Orders) leaseEnd() time.Time {
	if o.version == 0 || o.acknowledged {
		return o.firstReadAt
	}
	lease := time.Duration(o.row.LeaseMillis) * time.Millisecond
	return o.firstReadAt.Add(lease + o.limits.Margin)
}

// Committed records the outcome of Begin's transaction. On any error the order
// is dropped and the row must be read again.
func (o *Orders) Committed(version int64, err error, now time.Time) {
	if o.stage != OrderCommitting {
		return
	}
	if err != nil {
		o.stage, o.rowStale = OrderIdle, true
		return
	}
	o.version, o.firstReadAt, o.acknowledged = version, now, false
	o.row.Holder, o.row.Fence = o.holder, o.order.Fence
	o.row.LeaseMillis = o.limits.Lease.Milliseconds()
	o.stage = OrderSending
}

// Send returns the order if it may be sent now. It must be called right before
// the order is sent, and the request must time out at until: a holder that was
// paused between the two finds its lease expired.
func (o *Orders) Send(now time.Time) (order Order, until time.Time, err error) {
	until = o.commitStartedAt.Add(o.limits.Lease)
	if o.stage != OrderSending || !now.Before(until) {
		return Order{}, time.Time{}, errors.Trace(ErrStaleFence)
	}
	return o.order, until, nil
}

// Abandon drops an order whose lease has expired. The row must be read again.
func (o *Orders) Abandon() { o.stage, o.rowStale = OrderIdle, true }

// Sent records the outcome of sending the order. The engine's state must be
// verified even after a success, since an engine that ignores fencing numbers
// may have accepted another holder's order too.
func (o *Orders) Sent(err error) {
	if o.stage != OrderSending {
		return
	}
	o.stage = OrderVerifying
	o.acknowledged = err == nil
	if errors.Is(err, ErrStaleFence) {
		o.stage, o.rowStale = OrderIdle, true
	}
}

// Verified records whether the engine's state shows the order's effect. It
// returns true if the order is done; otherwise it must be given again.
func (o *Orders) Verified(effective bool) bool {
	if o.stage != OrderVerifying {
		return false
	}
	o.stage = OrderIdle
	return effective
}

// RequestID identifies the next transaction by the holder and its fencing
// number.
func (o *Orders) RequestID() string {
	return o.Key() + "/" + o.holder + "/" + strconv.FormatInt(o.nextFence(), 10)
}
