package watch

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
)

// missingInterval is the time between checks for expired missing entries.
const missingInterval = 100 * time.Millisecond

func (w *Watcher) upstreamsFailed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.feedFailedAt = common.Uptime()
}

// wholeUpstreams applies a complete read of the upstreams table.
func (w *Watcher) wholeUpstreams(found []rows.Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := common.Uptime()
	present := make(map[string]bool, len(found))
	for _, r := range found {
		present[r.Key] = true
	}
	for id := range w.upstreams {
		if !present[id] {
			w.remove(id, now)
		}
	}
	first := len(w.upstreams) == 0
	w.applyUpstreams(found, now, !first)
	if first {
		w.log.Info("upstreams read", "upstreams", len(w.upstreams), "rows", len(found))
	}
	w.publish(false)
}

func (w *Watcher) upstreamRows(found []rows.Row) {
	if len(found) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.applyUpstreams(found, common.Uptime(), true) {
		w.publish(false)
	}
}

// applyUpstreams applies the rows, logs each change if logged is set, and reports
// whether anything other than heartbeats changed.
func (w *Watcher) applyUpstreams(found []rows.Row, now time.Duration, logged bool) bool {
	changed := false
	for _, r := range found {
		if r.Part != mainPart || !w.recordIfNewer(r) {
			continue
		}
		if r.Deleted {
			w.remove(r.Key, now)
			changed = true
			continue
		}
		changed = w.setUpstream(r, now, logged) || changed
	}
	return changed
}

func (w *Watcher) setUpstream(r rows.Row, now time.Duration, logged bool) bool {
	u, err := w.decoder.Upstream(r, now)
	if err != nil {
		w.log.Warn("cannot decode upstream entry; dropping the upstream", "entry", r.Key, "rowVersion", r.Version, "error", err)
		_, known := w.upstreams[r.Key]
		delete(w.upstreams, r.Key)
		return known
	}
	delete(w.missing, u.ID)
	before := w.upstreams[u.ID]
	w.upstreams[u.ID] = u
	if before != nil && sameUpstream(before, u, now) {
		return false
	}
	if logged {
		w.log.Info("upstream state changed", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"domain", u.FailureDomain, "version", u.SoftwareVersion, "draining", u.State == site.Draining, "coldFor", max(0, u.ColdUntil-now), "rowVersion", r.Version)
	}
	return true
}

// sameUpstream compares the fields that routing depends on. The end of the cold
// phase jitters by the age of each heartbeat, so differences below 200 ms, or in
// the past, are ignored.
func sameUpstream(a, b *site.Upstream, now time.Duration) bool {
	const jitter = 200 * time.Millisecond
	coldAlike := (a.ColdUntil <= now && b.ColdUntil <= now) || (b.ColdUntil-a.ColdUntil).Abs() < jitter
	return coldAlike && a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.SoftwareVersion == b.SoftwareVersion && a.Slots == b.Slots && a.State == b.State && a.Incarnation == b.Incarnation
}

// remove drops an upstream whose entry was deleted: at once or, if the feed just
// failed, after the time that live upstreams need to write their entry again.
func (w *Watcher) remove(id string, now time.Duration) {
	if _, ok := w.upstreams[id]; !ok {
		return
	}
	if w.feedFailedAt > 0 && now-w.feedFailedAt < missingGrace {
		w.log.Info("upstream entry missing after a store outage; waiting for it", "upstream", id)
		w.missing[id] = w.feedFailedAt + missingGrace
		return
	}
	w.log.Info("upstream removed", "upstream", id)
	delete(w.upstreams, id)
}

// expireMissing drops upstreams whose entries were not written again in time.
func (w *Watcher) expireMissing(ctx context.Context) {
	for group.Sleep(ctx, missingInterval) {
		w.dropMissing(common.Uptime())
	}
}

func (w *Watcher) dropMissing(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	dropped := false
	for id, until := range w.missing {
		if now < until {
			continue
		}
		w.log.Info("upstream removed", "upstream", id)
		delete(w.missing, id)
		delete(w.upstreams, id)
		dropped = true
	}
	if dropped {
		w.publish(false)
	}
}
