package front

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/roster"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// lostCheckInterval is the time between two checks for lost instances.
	lostCheckInterval = 2 * time.Second
	// lostTimeout is how long an instance must have been unreachable before it is
	// removed from the roster. Restarts take less. It exceeds the age up to which
	// the instance accepts keys by lostMargin, so that one that is cut off has
	// stopped to use its shares of quotas before others take them over.
	lostTimeout = 8 * time.Second
	lostMargin  = 3 * time.Second
	// homeReadyTime is how long an instance that starts waits until it can be the home
	// of programs before it registers all the same.
	homeReadyTime     = 150 * time.Millisecond
	homeReadyInterval = 5 * time.Millisecond
)

func (f *Front) replaceRoster(found []rows.Row) {
	entries := make([]roster.Entry, 0, len(found))
	for _, r := range found {
		if e, ok := f.decodeEntry(r); ok {
			entries = append(entries, e)
		}
	}
	f.roster.Replace(entries)
	f.log.Info("roster loaded", "instances", f.roster.Len(), "rows", len(found))
}

func (f *Front) applyRosterRows(found []rows.Row) {
	for _, r := range found {
		f.applyRosterRow(r)
	}
}

func (f *Front) applyRosterRow(r rows.Row) {
	if r.Deleted {
		f.log.Info("instance removed from the roster", "instance", r.Key, "rowVersion", r.Version)
		if f.roster.Remove(r.Key) && !f.stopping.Load() {
			f.group.Go(f.register)
		}
		return
	}
	e, ok := f.decodeEntry(r)
	if !ok || !f.roster.Set(e) {
		return
	}
	f.log.Info("instance added to the roster or updated", "instance", e.Name, "address", e.Address, "domain", e.FailureDomain,
		"start", e.Start, "instances", f.roster.Len(), "rowVersion", r.Version)
}

func (f *Front) decodeEntry(r rows.Row) (roster.Entry, bool) {
	e, err := roster.Decode(r)
	if err != nil {
		f.log.Warn("invalid roster entry", "instance", r.Key, "error", err)
	}
	return e, err == nil
}

// registerWhenReady adds this instance to the roster once it can be the home of programs,
// which then moves to it. It doesn't wait long, since quotas need its registration too.
func (f *Front) registerWhenReady(ctx context.Context) {
	until := f.startedAt + homeReadyTime
	for !f.ledger.Ready() || f.watcher.AsksReached() {
		if common.Uptime() > until {
			f.log.Info("registering before this instance can vouch for budgets", "heavyProgramsRead", f.ledger.Ready())
			break
		}
		if !group.Sleep(ctx, homeReadyInterval) {
			return
		}
	}
	f.register(ctx)
}

// register adds this instance to the roster.
func (f *Front) register(ctx context.Context) {
	txn, err := f.roster.Registration()
	if err != nil {
		f.log.Error("cannot encode the instance's roster entry", "error", err)
		return
	}
	if _, err := rows.CommitUntilKnown(ctx, f.store, txn); err != nil {
		f.log.Warn("registration on the roster failed", "error", err)
		return
	}
	f.roster.MarkListed()
}

// leave marks this instance as leaving, so that the others no longer count on it as
// the home of programs while they still reach it.
func (f *Front) leave(ctx context.Context) {
	if err := f.markLeaving(ctx); err != nil {
		f.log.Warn("cannot mark this instance as leaving on the roster", "error", err)
	}
}

func (f *Front) markLeaving(ctx context.Context) error {
	page, err := f.store.Range(ctx, f.roster.Own())
	if err != nil {
		return err
	}
	if len(page.Rows) == 0 || page.Rows[0].Key != f.settings.Instance {
		return nil
	}
	txn, err := f.roster.Departure(page.Rows[0])
	if err != nil {
		return err
	}
	if _, err := rows.CommitUntilKnown(ctx, f.store, txn); err != nil {
		return err
	}
	f.roster.MarkLeaving()
	return nil
}

// removeLost removes instances from the roster that this one hasn't reached for
// lostTimeout. An instance that is still running registers again.
func (f *Front) removeLost(ctx context.Context) {
	for group.Sleep(ctx, lostCheckInterval) {
		age, known := f.watcher.Age(common.Uptime())
		if !known || age > time.Duration(f.reloadable.Load().ConfigDelay) {
			// This instance itself is probably partitioned.
			continue
		}
		after := max(lostTimeout, time.Duration(f.reloadable.Load().KeyRevocation)+lostMargin)
		for _, name := range f.roster.Unreachable(common.Uptime(), after) {
			_, err := f.direct.Commit(ctx, f.roster.Removal(name))
			f.log.Warn("instance unreachable; removing it from the roster", "instance", name, "error", err)
		}
	}
}
