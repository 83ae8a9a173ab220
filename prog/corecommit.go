package prog

import (
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const maxUncertain = 4 // flights that are remembered as possibly late

// commit sends what the table lacks, one transaction of a family at a time.
func (c *Core) commit(f *family, now time.Time) {
	if f.phase != phaseReady || f.inflight != nil || f.mustReload || now.Before(f.retryAt) {
		return
	}
	if !f.hasUncommitted() && f.shortfall == (Usage{}) {
		return
	}
	mark := c.nextLimit(f)
	f.shortfall = Usage{}
	fl := &inflightCommit{requestID: c.requestID(), limit: mark, revision: f.revision}
	fl.turns = f.uncommittedTurns()
	f.inflight = fl
	// A lower mark counts from now on, as the commit may take effect unseen.
	f.ledger.Limit = f.ledger.Limit.Min(mark)
	c.stats.Commits++
	c.actions = append(c.actions, Action{Commit: c.transaction(f, fl, now)})
}

// nextMark returns the mark that a commit asks for. A home that has just taken
// the family up reserves only what it needs at once, so that a change of homes
// costs no second chunk.
func (c *Core) nextLimit(f *family) Usage {
	switch {
	case f.returningReservations || f.unloading:
		return f.ledger.Charged()
	case f.freshlyLoaded:
		return f.ledger.NextLimit(f.shortfall, Usage{})
	default:
		return f.ledger.NextLimit(f.shortfall, f.ledger.Chunk(c.options.ChunksPerBudget))
	}
}

func (c *Core) transaction(f *family, fl *inflightCommit, now time.Time) *Commit {
	key := FamilyKey(f.root)
	commit := &Commit{Root: f.root}
	conditions := make([]store.Condition, 0, 1+len(fl.turns))
	writes := make([]store.Write, 0, 1+len(fl.turns))
	conditions = append(conditions, store.Condition{Key: key, Version: f.version})
	row := f.row(fl.limit, c.options.Instance, now)
	row.Commit = fl.requestID
	writes = append(writes, store.Write{Key: key, Value: mustEncode(row)})
	for _, t := range fl.turns {
		conditions = append(conditions, store.Condition{Key: t.uncommitted.key})
		writes = append(writes, store.Write{Key: t.uncommitted.key, Value: t.uncommitted.value})
		if t.uncommitted.object != nil {
			commit.Objects = append(commit.Objects, *t.uncommitted.object)
		}
	}
	commit.Txn = store.Txn{RequestID: fl.requestID, Conditions: conditions, Writes: writes}
	return commit
}

// Committed takes the outcome of a commit: nil, or an error that is one of
// the store's.
func (c *Core) Committed(root, requestID string, version int64, err error, now time.Time) []Action {
	f := c.families.Get(root)
	if f == nil || f.inflight == nil || f.inflight.requestID != requestID {
		return nil
	}
	fl := f.inflight
	f.inflight = nil
	switch {
	case err == nil:
		c.commitApplied(f, fl, version)
	case errors.Is(err, store.ErrUnavailable):
		f.retryAt = now.Add(c.options.RetryInterval)
	case errors.Is(err, store.ErrConflict):
		c.stats.Conflicts++
		f.phase = phaseStale
		c.markUncertain(f, fl)
	default:
		c.markUncertain(f, fl)
	}
	c.advance(f, now)
	return c.takeActions()
}

// doubt remembers a flight that may yet have taken effect, and reads the row.
func (c *Core) markUncertain(f *family, fl *inflightCommit) {
	f.uncertain = append(f.uncertain, fl)
	if len(f.uncertain) > maxUncertain {
		f.uncertain = f.uncertain[1:]
	}
	f.mustReload = true
	c.load(f)
}

// landed notes that a flight has taken effect.
func (c *Core) commitApplied(f *family, fl *inflightCommit, version int64) {
	f.version = version
	f.freshlyLoaded = false
	f.ledger.Limit = fl.limit
	f.uncertain = nil
	f.mustReload = false
	f.committedRevision = fl.revision
	for _, t := range fl.turns {
		c.turnCommitted(t)
	}
	waiting := f.waiters[:0]
	for _, w := range f.waiters {
		if w.revision <= f.committedRevision {
			c.reply(w.ticket, w.committedReply)
		} else {
			waiting = append(waiting, w)
		}
	}
	f.waiters = waiting
}

// keep notes that a turn is in the table.
func (c *Core) turnCommitted(t *turn) {
	if t.uncommitted == nil {
		return
	}
	for _, w := range t.uncommitted.waiters {
		c.reply(w.ticket, w.committedReply)
	}
	t.uncommitted = nil
}
