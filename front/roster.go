package front

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/peers"
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
	// minRegisterInterval and maxRegisterInterval bound the time between attempts to
	// register.
	minRegisterInterval = 50 * time.Millisecond
	maxRegisterInterval = 800 * time.Millisecond
	// handoverInterval is the time between two questions to earlier homes in a fleet of up
	// to handoverFleet instances, and longer in a larger one: each asks over a connection of
	// its own. handoverPause is the time until new ones are looked for.
	handoverInterval = 200 * time.Millisecond
	handoverFleet    = 24
	handoverPause    = 2 * time.Second
	// witnessInterval is the time between two checks whether this instance needs other
	// witnesses, and witnessGrace how long they may be missing: a planned restart takes less.
	witnessInterval = time.Second
	witnessGrace    = 3 * time.Second
	// calmTime is how long the store must have been reachable so that a process that
	// has ended since has recorded what it granted in outages: instances that are dead
	// for longer are removed from the roster. It counts where too many witnesses of the
	// process have ended too.
	calmTime = 15 * time.Second
)

func (f *Front) replaceRoster(found []rows.Row) {
	entries := make([]roster.Entry, 0, len(found))
	for _, r := range found {
		if roster.IsLoss(r) {
			f.applyLoss(r)
		} else if e, ok := f.decodeEntry(r); ok {
			entries = append(entries, e)
		}
	}
	wasListed := f.roster.Listed()
	f.roster.Replace(entries)
	f.log.Info("roster loaded", "instances", f.roster.Len(), "rows", len(found))
	if wasListed && !f.roster.Listed() {
		f.registerAgain()
	}
}

// askHandovers asks the instances that were listed before this one, each until it has handed
// over the programs of which this one is the home.
func (f *Front) askHandovers(ctx context.Context) {
	pause := handoverPause
	for group.Sleep(ctx, pause) {
		pause = handoverPause
		if f.peers.AskHandover(ctx) {
			pause = handoverInterval * time.Duration(max(1, f.roster.Len()/handoverFleet))
		}
	}
}

// registerAgain registers this instance after others have removed it.
func (f *Front) registerAgain() {
	if !f.stopping.Load() {
		f.group.Go(f.register)
	}
}

func (f *Front) applyRosterRows(found []rows.Row) {
	// Losses come first: the names of a lost instance move as its row is applied.
	for _, r := range found {
		if roster.IsLoss(r) {
			f.applyLoss(r)
		}
	}
	for _, r := range found {
		if !roster.IsLoss(r) {
			f.applyRosterRow(r)
		}
	}
}

func (f *Front) applyLoss(r rows.Row) {
	if err := f.roster.SetLoss(r); err != nil {
		f.log.Warn("invalid loss on the roster", "key", r.Key, "error", err)
		return
	}
	f.log.Info("instance lost; grants that only it knew count as spent", "key", r.Key, "expired", r.Deleted, "rowVersion", r.Version)
}

func (f *Front) applyRosterRow(r rows.Row) {
	if r.Deleted {
		f.log.Info("instance removed from the roster", "instance", r.Key, "rowVersion", r.Version)
		if f.roster.Remove(r.Key) {
			f.registerAgain()
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

// register adds this instance to the roster, in place of an earlier process' row.
func (f *Front) register(ctx context.Context) {
	for interval := minRegisterInterval; ; interval = min(2*interval, maxRegisterInterval) {
		err := f.registerOnce(ctx)
		if err == nil {
			f.roster.MarkListed()
			return
		}
		if interval == minRegisterInterval {
			f.log.Warn("registration on the roster failed; trying again", "error", err)
		}
		if !group.Sleep(ctx, interval) {
			return
		}
	}
}

func (f *Front) registerOnce(ctx context.Context) error {
	f.registering.Lock()
	defer f.registering.Unlock()
	row, err := f.ownRow(ctx)
	if err != nil {
		return err
	}
	lost := f.predecessorLoss(ctx, row)
	txn, own, err := f.roster.Registration(row, lost)
	if err != nil {
		return err
	}
	f.ledger.SuspendPermission()
	version, err := rows.CommitUntilKnown(ctx, f.store, txn)
	if err != nil {
		return err
	}
	f.log.Info("registered on the roster", "epoch", own.Epoch, "witnesses", own.Witnesses, "rowVersion", version)
	f.witnesses.Store(&own.Witnesses)
	f.ledger.Registered(ctx, own.Epoch, own.Witnesses)
	for _, w := range txn.Writes {
		if r := (rows.Row{ID: w.ID, Value: w.Value, Version: version}); roster.IsLoss(r) {
			f.applyLoss(r)
		}
	}
	return nil
}

// keepWitnesses registers this instance again with other witnesses once some have been
// missing for long.
func (f *Front) keepWitnesses(ctx context.Context) {
	missingSince := time.Duration(0)
	for group.Sleep(ctx, witnessInterval) {
		names, now := f.witnesses.Load(), common.Uptime()
		switch {
		case names == nil || f.stopping.Load() || !f.roster.Listed() || !f.roster.LacksWitnesses(*names):
			missingSince = 0
		case missingSince == 0:
			missingSince = now
		case now-missingSince >= witnessGrace:
			missingSince = 0
			f.log.Info("replacing witnesses that are not listed", "witnesses", *names)
			f.register(ctx)
		}
	}
}

// ownRow returns this instance's row of the roster, with version 0 if there is none.
func (f *Front) ownRow(ctx context.Context) (rows.Row, error) {
	return roster.ReadRow(ctx, f.store, f.settings.Instance)
}

// predecessorLoss returns the loss of the earlier process that wrote this instance's row
// and ended without removing it. There is none if its witnesses know that it granted nothing
// that the store lacks, or if none is known to have permitted that and there was no outage
// for so long that it has recorded all.
func (f *Front) predecessorLoss(ctx context.Context, row rows.Row) *roster.Loss {
	reached := f.watcher.Reached()
	if row.Version == 0 {
		return nil
	}
	e, err := roster.Decode(row)
	if err != nil {
		f.log.Warn("invalid roster entry of an earlier process", "error", err)
		e = roster.Entry{Name: f.settings.Instance}
	}
	if e.Start == f.roster.Self().Start {
		return nil
	}
	if unused, permitted := f.ledger.RevokeAll(ctx, peers.StandingOf(e)); unused || reached >= calmTime && !permitted {
		return nil
	}
	return roster.NewLoss(e, reached)
}

// leave marks this instance as leaving, so that the others no longer count on it as
// the home of programs while they still reach it.
func (f *Front) leave(ctx context.Context) {
	if err := f.markLeaving(ctx); err != nil {
		f.log.Warn("cannot mark this instance as leaving on the roster", "error", err)
	}
}

func (f *Front) markLeaving(ctx context.Context) error {
	row, err := f.ownRow(ctx)
	if err != nil || row.Version == 0 {
		return err
	}
	txn, err := f.roster.Departure(row)
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
			f.log.Warn("instance unreachable; removing it from the roster", "instance", name, "error", f.removeAsLost(ctx, name))
		}
	}
}

// removeAsLost removes an instance that may still run. Unless its witnesses know that it
// granted nothing that the store lacks, its loss is recorded.
func (f *Front) removeAsLost(ctx context.Context, name string) error {
	row, err := roster.ReadRow(ctx, f.direct, name)
	if err != nil || row.Version == 0 {
		return err
	}
	e, err := roster.Decode(row)
	if err != nil {
		return err
	}
	if known, listed := f.roster.Find(name); !listed || known.Start != e.Start {
		// Another process of the instance has registered.
		return nil
	}
	var loss *roster.Loss
	if unused, _ := f.ledger.RevokeAll(ctx, peers.StandingOf(e)); !unused {
		loss = roster.NewLoss(e, f.watcher.Reached())
	}
	txn, err := f.roster.RemovalOf(row, loss)
	if err != nil {
		return err
	}
	_, err = f.direct.Commit(ctx, txn)
	return err
}
