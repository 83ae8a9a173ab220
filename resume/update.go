package resume

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
)

const (
	// listInterval is the time between two checks for versions that are not listed,
	// and retireInterval the mean time between those for versions that have left.
	listInterval   = time.Second
	retireInterval = 5 * time.Second
	// retireDelay is how long a version must have been absent before it is marked as
	// retiring. A mark is taken back if the version returns.
	retireDelay = 10 * time.Second
	// maxViewAge is the maximum age of the view with which streams begin, and
	// absenceViewAge that with which versions count as absent.
	maxViewAge     = 30 * time.Second
	absenceViewAge = 5 * time.Second
	// removalDelay is how long a version is retiring before it is removed: instances
	// with an older view may begin streams for maxViewAge.
	removalDelay = maxViewAge + streamTTL
	// baseDelay is how long streams without a row are taken up at the base: callers
	// wait a few seconds for an answer with all its retries.
	baseDelay = 30 * time.Second
	// updateTimeout bounds an update of a row, and maxUpdates its tries.
	updateTimeout = time.Second
	maxUpdates    = 8
	// sweepPause is the pause between two transactions that remove the streams of a
	// service.
	sweepPause = 50 * time.Millisecond
	sweepLimit = 500
)

// edit returns the new versions of a service, and whether they differ.
type edit func(s *state, writer string) ([]Listed, bool)

func (t *Tracker) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run keeps the rows of the versions table up to date.
func (t *Tracker) run(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	retireAt := t.nextCheck()
	for {
		select {
		case <-t.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		view := t.views.View()
		for _, service := range view.ResumableServices() {
			t.list(ctx, service, view)
			t.announce(ctx, service)
		}
		if now := t.now(); now >= retireAt {
			retireAt = t.nextCheck()
			t.retireAbsent(ctx, view, now)
		}
	}
}

// nextCheck returns when versions that have left are looked for again. Instances
// differ, so that one of them does the work.
func (t *Tracker) nextCheck() time.Duration {
	return t.now() + retireInterval/2 + rand.N(retireInterval)
}

// list adds the versions of the service's upstreams to its row.
func (t *Tracker) list(ctx context.Context, service string, view *site.View) {
	present := presentVersions(view, service)
	t.update(ctx, service, func(s *state, writer string) ([]Listed, bool) { return add(s.versions, present, writer) })
}

func presentVersions(view *site.View, service string) []string {
	var present []string
	for _, u := range view.Pool(service) {
		if !slices.Contains(present, u.SoftwareVersion) {
			present = append(present, u.SoftwareVersion)
		}
	}
	return present
}

// retireAbsent marks versions that have left, and removes those whose streams can't
// be taken up any more.
func (t *Tracker) retireAbsent(ctx context.Context, view *site.View, now time.Duration) {
	age, known := t.views.Age(now)
	fresh := known && age < absenceViewAge
	for _, service := range t.services() {
		absent := t.noteAbsent(service, presentVersions(view, service), fresh, now)
		t.update(ctx, service, func(s *state, writer string) ([]Listed, bool) {
			if len(s.versions) < 2 {
				return nil, false
			}
			next := retire(s.versions, absent, writer)
			if now-s.baseSince >= baseDelay {
				clearBase(next)
			}
			next = slices.DeleteFunc(next, func(l Listed) bool { return s.removable(l, now) })
			if len(next) == 0 {
				next = s.versions[len(s.versions)-1:]
			}
			return next, !slices.Equal(next, s.versions)
		})
	}
}

// clearBase makes streams without a row begin at an unknown version.
func clearBase(versions []Listed) {
	for i := range versions {
		versions[i].Base = ""
	}
}

// removable reports whether no stream that began at the version can be taken up any
// more.
func (s *state) removable(l Listed, now time.Duration) bool {
	if l.Retiring == "" {
		return false
	}
	since, ok := s.retiringSince[l.Version+"/"+l.Retiring]
	return ok && now-since >= removalDelay
}

// noteAbsent returns the versions that have been absent for retireDelay. Without a
// fresh view nothing is known about their absence.
func (t *Tracker) noteAbsent(service string, present []string, fresh bool, now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(service)
	absentSince := make(map[string]time.Duration)
	var absent []string
	for _, l := range s.versions {
		if !fresh || l.Retiring != "" || slices.Contains(present, l.Version) {
			continue
		}
		since, ok := s.absentSince[l.Version]
		if !ok {
			since = now
		}
		absentSince[l.Version] = since
		if now-since >= retireDelay {
			absent = append(absent, l.Version)
		}
	}
	s.absentSince = absentSince
	return absent
}

// update writes the service's row if its versions change.
func (t *Tracker) update(ctx context.Context, service string, next edit) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	for range maxUpdates {
		txn, before, err := t.updateTxn(service, next)
		if err != nil || len(txn.Writes) == 0 {
			t.logUpdate(service, err)
			return
		}
		version, err := rows.CommitUntilKnown(ctx, t.store, txn)
		var conflict *rows.ConflictError
		switch {
		case err == nil:
			t.apply(rows.Row{ID: versionID(service), Value: txn.Writes[0].Value, Version: version})
			if _, ok := single(t.versions(service)); ok && len(before) > 1 {
				t.group.Go(func(ctx context.Context) { t.sweep(ctx, service, version) })
			}
			if was, ok := base(before); ok {
				if now, _ := base(t.versions(service)); now.Base != was.Base {
					t.group.Go(func(ctx context.Context) { t.removeAnnounced(ctx, service, was.Base) })
				}
			}
			return
		case !errors.As(err, &conflict):
			t.logUpdate(service, err)
			return
		}
		t.apply(conflict.Row(versionID(service)))
	}
	t.logUpdate(service, errors.New("the row changes too often"))
}

func (t *Tracker) logUpdate(service string, err error) {
	if err != nil {
		t.log.Warn("versions of the service can't be written", "service", service, "error", err)
	}
}

// updateTxn returns the transaction for the edit, without writes if there is none,
// and the versions before it.
func (t *Tracker) updateTxn(service string, next edit) (rows.Txn, []Listed, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(service)
	t.writes++
	writer := fmt.Sprintf("%s/%d", t.config.Process, t.writes)
	versions, changed := next(s, writer)
	if !changed {
		return rows.Txn{}, nil, nil
	}
	value, err := json.Marshal(listing{Versions: versions, Writer: writer})
	if err != nil {
		return rows.Txn{}, nil, errors.Trace(err)
	}
	id := versionID(service)
	return rows.Txn{
		Expect: []rows.Expectation{{ID: id, Version: s.row.Version}},
		Writes: []rows.Write{{ID: id, Value: value}},
	}, s.versions, nil
}

// sweep removes the rows of the service's streams that were written before the
// version of the store. Writers that ended have left theirs.
func (t *Tracker) sweep(ctx context.Context, service string, before int64) {
	removed := 0
	for part := range parts {
		n, err := t.sweepPart(ctx, service, partName(part), before)
		removed += n
		if err != nil {
			t.log.Warn("streams of the service can't be removed", "service", service, "removed", removed, "error", err)
			return
		}
	}
	t.log.Info("streams of the service removed", "service", service, "removed", removed)
}

func (t *Tracker) sweepPart(ctx context.Context, service, part string, before int64) (int, error) {
	removed := 0
	query := rows.Query{Table: StreamTable, Part: part, Limit: sweepLimit}
	for more := true; more; {
		page, err := t.store.Range(ctx, query)
		if err != nil {
			return removed, err
		}
		var old []rows.ID
		for _, r := range page.Rows {
			if origin, err := decodeOrigin(r.Value); r.Version < before && (err != nil || origin.Service == service) {
				old = append(old, r.ID)
			}
		}
		for ids := range slices.Chunk(old, maxTxnRows) {
			if !group.Sleep(ctx, sweepPause) {
				return removed, ctx.Err()
			}
			if _, err := t.store.Commit(ctx, rows.Txn{Removes: ids}); err != nil {
				return removed, err
			}
			removed += len(ids)
		}
		more = page.More && len(page.Rows) > 0
		if more {
			query.From = page.Rows[len(page.Rows)-1].Key + "\x00"
		}
	}
	return removed, nil
}
