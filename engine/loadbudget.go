package engine

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

// LoadsKey is the row of the table service that counts the fleet's loads.
const LoadsKey = "loads"

type (
	// LoadRow is the row that every load of the fleet writes in the transaction
	// that takes its fencing number.
	LoadRow struct {
		Holder string `json:"holder"`
		// Loads counts the loads so far.
		Loads int64 `json:"loads"`
		// Sending says that the last load may still be on its way, for
		// LeaseMillis from the commit on.
		Sending     bool  `json:"sending"`
		LeaseMillis int64 `json:"leaseMillis"`
	}

	// LoadBudget keeps loads within the weight store's rate over all holders.
	// Each holder counts by its own clock from when it first saw the row's
	// version, which was written before; no clocks are compared. It is not safe
	// for concurrent use.
	LoadBudget struct {
		limits    OrderLimits
		holder    string
		perMinute float64
		row       LoadRow
		version   int64
		known     bool
		// notBefore is when the last load has been sent for sure.
		notBefore time.Time
		limiter   *LoadLimiter
	}
)

// NewLoadBudget returns a budget that allows nothing until the row has been
// observed.
func NewLoadBudget(limits OrderLimits, holder string) *LoadBudget {
	return &LoadBudget{limits: limits, holder: holder}
}

// SetRate takes the rate in loads a minute; zero or less allows none.
func (b *LoadBudget) SetRate(perMinute float64, now time.Time) {
	b.perMinute = perMinute
	if b.limiter != nil && !now.Before(b.notBefore) {
		b.limiter.SetRate(perMinute, now)
	}
}

// Loads returns how many loads the row is known to count.
func (b *LoadBudget) Loads() int64 { return b.row.Loads }

// ObserveRow takes the row as it was read at now; a row that is absent has
// version zero.
func (b *LoadBudget) ObserveRow(row store.Row, now time.Time) error {
	if b.known && row.Version <= b.version {
		return nil
	}
	next := LoadRow{}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &next); err != nil {
			return errors.Annotatef(err, "row %q", row.Key)
		}
	}
	b.take(next, row.Version, now)
	return nil
}

// Wait returns how long the next load has to wait, or ErrRate if none is
// allowed at all or the row isn't known.
func (b *LoadBudget) Wait(now time.Time) (time.Duration, error) {
	if !b.known || b.perMinute <= 0 {
		return 0, errors.Trace(ErrRate)
	}
	if now.Before(b.notBefore) {
		return b.notBefore.Sub(now), nil
	}
	b.limiter.SetRate(b.perMinute, now)
	trial := *b.limiter
	ok, wait := trial.Take(now)
	if ok {
		return 0, nil
	}
	return max(wait, time.Millisecond), nil
}

// Spend adds a load to the transaction that takes its fencing number. It must
// follow a Wait of zero.
func (b *LoadBudget) Spend(txn *store.Txn) error {
	return b.write(txn, LoadRow{
		Holder:      b.holder,
		Loads:       b.row.Loads + 1,
		Sending:     true,
		LeaseMillis: b.limits.Lease.Milliseconds(),
	})
}

// Spent takes the outcome of Spend's transaction.
func (b *LoadBudget) Spent(version int64, err error, now time.Time) {
	b.written(version, err, now, func(r *LoadRow) {
		r.Loads++
		r.Sending = true
		r.LeaseMillis = b.limits.Lease.Milliseconds()
	})
}

// Finish returns the transaction that tells the other holders that the load has
// been sent; until then they wait out the lease too. It begins this holder's
// own wait at now.
func (b *LoadBudget) Finish(requestID string, now time.Time) (store.Txn, error) {
	b.row.Sending = false
	b.take(b.row, b.version, now)
	txn := store.Txn{RequestID: requestID}
	err := b.write(&txn, b.row)
	return txn, err
}

// Finished takes the outcome of Finish's transaction.
func (b *LoadBudget) Finished(version int64, err error, now time.Time) {
	b.written(version, err, now, func(r *LoadRow) { r.Sending = false })
}

func (b *LoadBudget) write(txn *store.Txn, row LoadRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Trace(err)
	}
	txn.Conditions = append(txn.Conditions, store.Condition{Key: LoadsKey, Version: b.version})
	txn.Writes = append(txn.Writes, store.Write{Key: LoadsKey, Value: value})
	return nil
}

// written takes a row that this holder wrote. On an error the row is read
// again; whoever wrote it meanwhile starts the wait anew.
func (b *LoadBudget) written(version int64, err error, now time.Time, change func(r *LoadRow)) {
	if err != nil {
		return
	}
	next := b.row
	next.Holder = b.holder
	change(&next)
	b.take(next, version, now)
}

// take starts the wait for the next load: a row of a load that may still be on
// its way holds it up until its sender's lease has ended for sure.
func (b *LoadBudget) take(row LoadRow, version int64, now time.Time) {
	b.row, b.version, b.known = row, version, true
	b.notBefore = now
	if row.Sending {
		lease := time.Duration(row.LeaseMillis) * time.Millisecond
		b.notBefore = now.Add(lease + b.limits.Margin)
	}
	b.limiter = NewLoadLimiter(b.perMinute, b.notBefore)
}
