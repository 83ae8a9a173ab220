package engine

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

// LoadsKey is the key of the table service's row that counts the fleet's loads.
const LoadsKey = "loads"

type (
	// LoadRow is the value of the row LoadsKey. Every weight load of the fleet
	// updates it in the transaction that commits its fencing number.
	LoadRow struct {
		Holder string `json:"holder"`
		// Loads counts the loads so far.
		Loads int64 `json:"loads"`
		// Sending means that the last load may be sent until LeaseMillis after
		// the commit.
		Sending     bool  `json:"sending"`
		LeaseMillis int64 `json:"leaseMillis"`
	}

	// LoadBudget limits the loads of all holders to the weight store's rate.
	// Each holder measures by its own clock from when it first read a version
	// of the row, which is after it was written, so clocks are never compared.
	// It is not safe for concurrent use.
	LoadBudget struct {
		limits    OrderLimits
		holder    string
		perMinute float64
		row       LoadRow
		version   int64
		rowKnown  bool
		// notBefore is the earliest time at which the last load can no longer be
		// in flight.
		notBefore time.Time
		limiter   *LoadLimiter
	}
)

// NewLoadBudget returns a budget that allows no load until the row has been
// read.
func NewLoadBudget(limits OrderLimits, holder string) *LoadBudget {
	return &LoadBudget{limits: limits, holder: holder}
}

// SetRate sets the rate in loads a minute; zero or less allows none.
func (b *LoadBudget) SetRate(perMinute float64, now time.Time) {
	b.perMinute = perMinute
	if b.limiter != nil && !now.Before(b.notBefore) {
		b.limiter.SetRate(perMinute, now)
	}
}

// Loads returns the load count of the last known row.
func (b *LoadBudget) Loads() int64 { return b.row.Loads }

// ObserveRow applies the row as read at now; an absent row has version zero.
func (b *LoadBudget) ObserveRow(row store.Row, now time.Time) error {
	if b.rowKnown && row.Version <= b.version {
		return nil
	}
	next := LoadRow{}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &next); err != nil {
			return errors.Annotatef(err, "row %q", row.Key)
		}
	}
	b.applyRow(next, row.Version, now)
	return nil
}

// Wait returns the delay until the next load, or ErrRateLimited if the rate
// allows none at all or the row hasn't been read.
func (b *LoadBudget) Wait(now time.Time) (time.Duration, error) {
	if !b.rowKnown || b.perMinute <= 0 {
		return 0, errors.Trace(ErrRateLimited)
	}
	if now.Before(b.notBefore) {
		return b.notBefore.Sub(now), nil
	}
	b.limiter.SetRate(b.perMinute, now)
	limiter := *b.limiter
	ok, delay := limiter.Take(now)
	if ok {
		return 0, nil
	}
	return max(delay, time.Millisecond), nil
}

// AddLoad adds a load to the transaction that commits its fencing number. Wait
// must have returned zero.
func (b *LoadBudget) AddLoad(txn *store.Txn) error {
	return b.appendWrite(txn, LoadRow{
		Holder:      b.holder,
		Loads:       b.row.Loads + 1,
		Sending:     true,
		LeaseMillis: b.limits.Lease.Milliseconds(),
	})
}

// RecordLoad records the outcome of AddLoad's transaction.
func (b *LoadBudget) RecordLoad(version int64, err error, now time.Time) {
	b.recordWrite(version, err, now, func(r *LoadRow) {
		r.Loads++
		r.Sending = true
		r.LeaseMillis = b.limits.Lease.Milliseconds()
	})
}

// Finish returns the transaction that reports to the other holders that the load
// has been sent; until then they also wait for the lease to expire. This
// holder's own delay starts at now.
func (b *LoadBudget) Finish(requestID string, now time.Time) (store.Txn, error) {
	b.row.Sending = false
	b.applyRow(b.row, b.version, now)
	txn := store.Txn{RequestID: requestID}
	err := b.appendWrite(&txn, b.row)
	return txn, err
}

// RecordFinish records the outcome of Finish's transaction.
func (b *LoadBudget) RecordFinish(version int64, err error, now time.Time) {
	b.recordWrite(version, err, now, func(r *LoadRow) { r.Sending = false })
}

func (b *LoadBudget) appendWrite(txn *store.Txn, row LoadRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Trace(err)
	}
	txn.Conditions = append(txn.Conditions, store.Condition{Key: LoadsKey, Version: b.version})
	txn.Writes = append(txn.Writes, store.Write{Key: LoadsKey, Value: value})
	return nil
}

// recordWrite applies a row that this holder wrote. On an error nothing changes
// until the row is read again; if another holder has written it, the delay
// restarts.
func (b *LoadBudget) recordWrite(version int64, err error, now time.Time, change func(r *LoadRow)) {
	if err != nil {
		return
	}
	next := b.row
	next.Holder = b.holder
	change(&next)
	b.applyRow(next, version, now)
}

// applyRow restarts the delay before the next load. If the row's load may still
// be in flight, the delay starts when its sender's lease has certainly expired.
func (b *LoadBudget) applyRow(row LoadRow, version int64, now time.Time) {
	b.row, b.version, b.rowKnown = row, version, true
	b.notBefore = now
	if row.Sending {
		lease := time.Duration(row.LeaseMillis) * time.Millisecond
		b.notBefore = now.Add(lease + b.limits.Margin)
	}
	b.limiter = NewLoadLimiter(b.perMinute, b.notBefore)
}
