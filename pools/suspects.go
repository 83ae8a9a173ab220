package pools

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/route"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// suspectPrefix and a service's name form the key of the row with the
	// requests that are suspected of crashing the service's upstreams.
	suspectPrefix = "suspect/"
	// suspectInterval is the time between two checks for changed suspects.
	suspectInterval = 100 * time.Millisecond
	// suspectRetryInterval is the delay before a failed read or write is
	// retried.
	suspectRetryInterval = time.Second
	// suspectTimeout bounds one request to the table service. A new home
	// accepts no calls until the first read has succeeded or failed.
	suspectTimeout = time.Second
)

type (
	// suspectRow is the stored row of a service's suspects. The ages of their
	// strikes are as of the write; the time since then isn't added, since the
	// clocks of two instances can't be compared.
	suspectRow struct {
		Suspects []route.Suspect `json:"suspects"`
	}

	// suspectState is a home's copy of the row. Only the control thread accesses
	// it.
	suspectState struct {
		// stored are the suspects in the row.
		stored  []route.Suspect
		version int64
		// loaded is set if the row has been read since this instance became the
		// service's home or the last write failed.
		loaded bool
		busy   bool
		next   time.Time
		// ready is closed once the first read has succeeded or failed.
		ready chan struct{}
	}
)

// SetTable sets the table service in which suspects survive this instance; it must
// be called before the control thread starts. Without it, suspects are only in
// memory.
func (h *Home) SetTable(table store.Table) { h.table = table }

// syncSuspects reads the row if it isn't loaded, or else writes it if the
// policy's suspects have changed.
func (h *Home) syncSuspects(s *service, now time.Time) {
	k := &s.suspects
	if h.table == nil || k.busy || now.Before(k.next) {
		return
	}
	k.next = now.Add(suspectInterval)
	if !k.loaded {
		k.busy = true
		h.group.Go(func(ctx context.Context) { h.readSuspects(ctx, s) })
		return
	}
	suspects := s.policy.Suspects(now)
	if slices.EqualFunc(suspects, k.stored, sameSuspect) {
		return
	}
	k.busy = true
	version := k.version
	h.group.Go(func(ctx context.Context) { h.writeSuspects(ctx, s, suspects, version) })
}

// markReady lets the service accept calls.
func (k *suspectState) markReady() {
	select {
	case <-k.ready:
	default:
		close(k.ready)
	}
}

// awaitSuspects waits until the service's home has read the suspects of an
// earlier home, or has failed to.
func (h *Home) awaitSuspects(ctx context.Context, name string) error {
	ready := make(chan struct{})
	close(ready)
	err := h.thread.Do(ctx, func(now time.Time) {
		if s, ok := h.lookup(name, now); ok && h.table != nil {
			ready = s.suspects.ready
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// readSuspects reads the row and adopts the suspects of an earlier home.
func (h *Home) readSuspects(ctx context.Context, s *service) {
	requestCtx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	row, err := h.table.Get(requestCtx, suspectPrefix+s.config.Name)
	if errors.Is(err, store.ErrNotFound) {
		row, err = store.Row{}, nil
	}
	var body suspectRow
	if err == nil && len(row.Value) > 0 {
		err = json.Unmarshal(row.Value, &body)
	}
	_ = h.thread.Post(context.WithoutCancel(ctx), func(now time.Time) {
		k := &s.suspects
		k.busy = false
		defer k.markReady()
		if err != nil {
			h.common.Log.Debug("cannot read suspects", "service", s.config.Name, "error", err)
			k.next = now.Add(suspectRetryInterval)
			return
		}
		k.loaded, k.stored, k.version = true, body.Suspects, row.Version
		h.apply(s, s.policy.AdoptSuspects(body.Suspects, now))
	})
}

// writeSuspects writes the row if its version hasn't changed since it was read.
// If it has, another home has written it, and the row is read again.
func (h *Home) writeSuspects(ctx context.Context, s *service, suspects []route.Suspect, version int64) {
	requestCtx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	written, err := h.commitSuspects(requestCtx, suspectPrefix+s.config.Name, suspects, version)
	_ = h.thread.Post(context.WithoutCancel(ctx), func(now time.Time) {
		k := &s.suspects
		k.busy = false
		if err != nil {
			h.common.Log.Debug("cannot write suspects", "service", s.config.Name, "error", err)
			k.loaded = false
			k.next = now.Add(suspectRetryInterval)
			return
		}
		k.stored, k.version = suspects, written
	})
}

func (h *Home) commitSuspects(ctx context.Context, key string, suspects []route.Suspect, version int64) (int64, error) {
	value, err := json.Marshal(suspectRow{Suspects: suspects})
	if err != nil {
		return 0, errors.Trace(err)
	}
	return h.table.Commit(ctx, store.Txn{
		RequestID:  "suspect/" + uuid.NewString(),
		Conditions: []store.Condition{{Key: key, Version: version}},
		Writes:     []store.Write{{Key: key, Value: value}},
	})
}

func sameSuspect(a, b route.Suspect) bool {
	return a.Fingerprint == b.Fingerprint && slices.EqualFunc(a.Strikes, b.Strikes, sameStrike)
}

func sameStrike(a, b route.Strike) bool {
	return a.Upstream == b.Upstream && a.Confirmed == b.Confirmed
}
