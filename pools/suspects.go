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
	// suspectPrefix is followed by a service's name: the row holds the requests
	// that are suspected of crashing its upstreams.
	suspectPrefix = "suspect/"
	// suspectInterval is the time between two looks for changed suspects.
	suspectInterval = 100 * time.Millisecond
	// suspectRetry is the time after which a failed write is tried again.
	suspectRetry = time.Second
	// suspectTimeout bounds one request to the table service. A new home takes
	// no calls before the first one has been answered or has failed.
	suspectTimeout = time.Second
)

type (
	// suspectRow is what the table service keeps of a service's suspects. The
	// ages of their strikes are as of the write; the time since then does not
	// count, since no two instances' clocks are compared.
	suspectRow struct {
		Suspects []route.Suspect `json:"suspects"`
	}

	// suspectState is what a home knows of the row. It belongs to the control
	// thread.
	suspectState struct {
		// kept are the suspects that the row holds.
		kept    []route.Suspect
		version int64
		// known says that the row has been read since the take-up or the last
		// conflict.
		known bool
		busy  bool
		next  time.Time
		// asked is closed once the row has been read or could not be.
		asked chan struct{}
	}
)

// Keep sets the table service that outlives this instance; it must be called
// before the control thread starts. Without it suspects are only in memory.
func (h *Home) Keep(table store.Table) { h.table = table }

// keepSuspects brings the row into line with what the policy suspects.
func (h *Home) keepSuspects(s *service, now time.Time) {
	k := &s.suspects
	if h.table == nil || k.busy || now.Before(k.next) {
		return
	}
	k.next = now.Add(suspectInterval)
	if !k.known {
		k.busy = true
		h.group.Go(func(ctx context.Context) { h.readSuspects(ctx, s) })
		return
	}
	suspects := s.policy.Suspects(now)
	if slices.EqualFunc(suspects, k.kept, sameSuspect) {
		return
	}
	k.busy = true
	version := k.version
	h.group.Go(func(ctx context.Context) { h.writeSuspects(ctx, s, suspects, version) })
}

// open lets calls in.
func (k *suspectState) open() {
	select {
	case <-k.asked:
	default:
		close(k.asked)
	}
}

// awaitSuspects waits until the service's home knows what an earlier one
// suspected, or could not find out.
func (h *Home) awaitSuspects(ctx context.Context, name string) error {
	asked := make(chan struct{})
	close(asked)
	err := h.thread.Do(ctx, func(now time.Time) {
		if s, ok := h.service(name, now); ok && h.table != nil {
			asked = s.suspects.asked
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case <-asked:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// readSuspects adopts the row of an earlier home.
func (h *Home) readSuspects(ctx context.Context, s *service) {
	askCtx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	row, err := h.table.Get(askCtx, suspectPrefix+s.config.Name)
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
		defer k.open()
		if err != nil {
			h.common.Log.Debug("The suspects were not read.", "service", s.config.Name, "error", err)
			k.next = now.Add(suspectRetry)
			return
		}
		k.known, k.kept, k.version = true, body.Suspects, row.Version
		h.apply(s, s.policy.AdoptSuspects(body.Suspects, now))
	})
}

// writeSuspects writes the row if it is still the one that was read; else
// another home has written and the row is read again.
func (h *Home) writeSuspects(ctx context.Context, s *service, suspects []route.Suspect, version int64) {
	askCtx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	written, err := h.commitSuspects(askCtx, suspectPrefix+s.config.Name, suspects, version)
	_ = h.thread.Post(context.WithoutCancel(ctx), func(now time.Time) {
		k := &s.suspects
		k.busy = false
		if err != nil {
			h.common.Log.Debug("The suspects were not written.", "service", s.config.Name, "error", err)
			k.known = false
			k.next = now.Add(suspectRetry)
			return
		}
		k.kept, k.version = suspects, written
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
