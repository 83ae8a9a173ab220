package watch

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// maxDirectAge is the age of the view from which peers are asked. While the store
	// holds a call, the view is as of the start of the call before.
	maxDirectAge = 2*feedHoldTime + 300*time.Millisecond
	// peerInterval is the time between such calls to peers.
	peerInterval = 200 * time.Millisecond
)

// pollPeers asks other instances for updates while the direct path to the store
// fails.
func (w *Watcher) pollPeers(ctx context.Context) {
	helped := false
	for group.Sleep(ctx, peerInterval) {
		start := common.Uptime()
		age, known := w.Age(start)
		if known && age < maxDirectAge {
			helped = false
			w.setStoreDown(false)
			continue
		}
		updates, ok := w.peers.Updates(ctx, w.position())
		w.setStoreDown(ok && updates.Age >= maxDirectAge)
		if !ok || !updates.Known {
			continue
		}
		if !helped {
			w.log.Info("receiving updates via a peer", "ageMs", updates.Age.Milliseconds(), "rows", len(updates.Rows))
		}
		helped = true
		w.apply(updates.Rows)
		w.wasRead(w.decoder.Tables())
		w.setFreshAt(start - updates.Age)
	}
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

// UpdatesSince returns the rows that are newer than the positions.
func (w *Watcher) UpdatesSince(known Positions) Updates {
	age, ok := w.Age(common.Uptime())
	w.mu.Lock()
	defer w.mu.Unlock()
	updates := Updates{Age: age, Known: ok}
	operator, _ := w.decoder.Tables()
	for id, r := range w.known {
		since := known.Upstreams
		if id.Table == operator {
			since = known.Operator
		}
		if r.Version > since {
			updates.Rows = append(updates.Rows, r)
		}
	}
	return updates
}

func (w *Watcher) position() Positions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.positions
}

func (w *Watcher) apply(found []rows.Row) {
	operator, _ := w.decoder.Tables()
	var orders, entries []rows.Row
	for _, r := range found {
		if r.Table == operator {
			orders = append(orders, r)
		} else {
			entries = append(entries, r)
		}
	}
	w.operatorRows(orders)
	w.upstreamRows(entries)
}
