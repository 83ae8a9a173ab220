package watch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// maxDirectAge is the age of the view from which peers are asked. While the store
	// holds a call, the view is as of the start of the call before.
	maxDirectAge = 2*feedHoldTime + 300*time.Millisecond
	// peerInterval is the time between such calls to peers, startInterval that of
	// an instance that knows nothing yet.
	peerInterval  = 200 * time.Millisecond
	startInterval = 50 * time.Millisecond
	// reachInterval is how long after its start an instance asks peers since when they
	// have reached the store; it has then reached that for long itself.
	reachInterval = 2 * time.Second
)

// pollPeers asks other instances for updates at the start, when their reads may be
// newer than those of a store that is short of history, and while the direct path
// to the store fails.
func (w *Watcher) pollPeers(ctx context.Context) {
	w.askPeers(ctx)
	w.wasRead(peersAsked)
	helped := false
	for group.Sleep(ctx, w.peerPause()) {
		age, known := w.Age(common.Uptime())
		if known && age < maxDirectAge {
			helped = false
			w.setStoreDown(false)
			if w.AsksReached() {
				w.askPeers(ctx)
			}
			continue
		}
		updates, ok := w.askPeers(ctx)
		stale := !updates.Known || updates.Age >= maxDirectAge
		w.setStoreDown(ok && stale && common.Uptime()-w.startedAt >= maxDirectAge)
		if ok && updates.Known && !helped {
			helped = true
			w.log.Info("receiving updates via a peer", "ageMs", updates.Age.Milliseconds(), "rows", len(updates.Rows))
		}
	}
}

// peerPause returns the time until peers are asked again; an instance that knows
// nothing yet can serve nobody.
func (w *Watcher) peerPause() time.Duration {
	if w.complete.Load() && !w.AsksReached() {
		return peerInterval
	}
	return startInterval
}

// AsksReached reports whether peers may still tell since when they have reached the
// store.
func (w *Watcher) AsksReached() bool {
	return common.Uptime()-w.startedAt < reachInterval && w.reach.asks()
}

// Reached returns how long the store has been reachable without interruption, as far as
// this instance and those that it asked at its start know; 0 if it isn't.
func (w *Watcher) Reached() time.Duration { return w.reach.until(common.Uptime()) }

// FirstStart records that the whole deployment starts for the first time, so that no
// earlier process can have missed the store. It must be called before Start.
func (w *Watcher) FirstStart() { w.reach.tell(w.startedAt - maxReach) }

// askPeers asks other instances for updates and applies them. What they know is as
// current as it was at their last call of the store, and never replaces what is
// newer.
func (w *Watcher) askPeers(ctx context.Context) (Updates, bool) {
	start := common.Uptime()
	updates, ok := w.peers.Updates(ctx, w.copyPositions())
	if !ok || !updates.Known {
		return updates, ok
	}
	if err := w.apply(updates); err != nil {
		return Updates{}, false
	}
	w.setFreshAt(start - updates.Age)
	if updates.Reached > 0 && updates.Age < maxDirectAge {
		w.reach.tell(start - updates.Age - updates.Reached)
	}
	return updates, ok
}

// StoreDown reports whether the store seems to be unreachable for all instances: neither
// this one nor the peers that it reaches have read from it for a while.
func (w *Watcher) StoreDown() bool { return w.storeDown.Load() }

func (w *Watcher) setStoreDown(down bool) {
	if w.storeDown.Swap(down) == down {
		return
	}
	age, _ := w.Age(common.Uptime())
	w.log.Info("store reachability changed for all instances", "away", down, "ageMs", age.Milliseconds())
}

// UpdatesSince returns the rows that are newer than the positions, and all rows of the
// tables that were read whole after those.
func (w *Watcher) UpdatesSince(known Positions) Updates {
	now := common.Uptime()
	age, ok := w.Age(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	updates := Updates{Age: age, Known: ok, Reached: w.reach.until(now - age), Positions: maps.Clone(w.positions)}
	whole := make(map[string]bool)
	for table := range w.required {
		if known[table] < w.wholeAt[table] {
			whole[table] = true
			updates.Whole = append(updates.Whole, table)
		}
	}
	for id, r := range w.known {
		if whole[id.Table] || r.Version > known[id.Table] {
			updates.Rows = append(updates.Rows, r)
		}
	}
	return updates
}

func (w *Watcher) copyPositions() Positions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.positions)
}

// apply applies what another instance told of the tables that are followed.
func (w *Watcher) apply(updates Updates) error {
	byTable := make(map[string][]rows.Row)
	for _, r := range updates.Rows {
		byTable[r.Table] = append(byTable[r.Table], r)
	}
	for table := range w.required {
		version := updates.Positions[table]
		w.mu.Lock()
		f, followed := w.feeds[table]
		w.mu.Unlock()
		if !followed || version == 0 {
			continue
		}
		if err := w.applyTold(f, byTable[table], version, slices.Contains(updates.Whole, table)); err != nil {
			return err
		}
		w.wasRead(table)
	}
	return nil
}

// applyTold applies the rows of a table up to the version of another instance, which
// are all of its rows if whole is set.
func (w *Watcher) applyTold(f feed, found []rows.Row, version int64, whole bool) (err error) {
	defer w.recoverPanic(f.table, &err)
	if !whole {
		w.applyChanges(f, found, version)
		return nil
	}
	present := slices.DeleteFunc(found, func(r rows.Row) bool { return r.Deleted })
	if err := w.applyWhole(f, present, version); err != nil {
		// The store has told more meanwhile.
		w.log.Debug("table of a peer not taken over", "table", f.table, "error", err)
		return nil
	}
	w.log.Info("table taken over from a peer", "table", f.table, "rows", len(present), "version", version)
	return nil
}

// remember keeps the rows of a required table for other instances, and returns
// those that are newer than the known ones.
func (w *Watcher) remember(found []rows.Row) []rows.Row {
	w.mu.Lock()
	defer w.mu.Unlock()
	newer := found[:0:0]
	for _, r := range found {
		if !w.required[r.Table] || w.recordIfNewer(r) {
			newer = append(newer, r)
		}
	}
	return newer
}
