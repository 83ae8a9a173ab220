package prog

import (
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const maxUncertain = 4 // commits tracked that may still take effect

// commit writes the uncommitted state of a family, one transaction at a time.
func (c *Core) commit(f *family, now time.Time) {
	if f.phase != phaseReady || f.inflight != nil || f.mustReload || now.Before(f.retryAt) {
		return
	}
	if !f.hasUncommitted() && f.shortfall == (Usage{}) {
		return
	}
	limit := c.nextLimit(f)
	f.shortfall = Usage{}
	inflight := &inflightCommit{requestID: c.requestID(), limit: limit, revision: f.revision}
	inflight.turns = f.uncommittedTurns()
	f.inflight = inflight
	// A lower limit applies at once, since the commit may take effect without
	// an answer.
	f.ledger.Limit = f.ledger.Limit.Min(limit)
	c.stats.Commits++
	c.actions = append(c.actions, Action{Commit: c.transaction(f, inflight, now)})
}

// nextLimit returns the spending limit to commit. A home that has just loaded
// the family reserves only what it needs now, so that a change of home doesn't
// reserve a second chunk.
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

func (c *Core) transaction(f *family, inflight *inflightCommit, now time.Time) *Commit {
	key := FamilyKey(f.root)
	commit := &Commit{Root: f.root}
	conditions := make([]store.Condition, 0, 1+len(inflight.turns))
	writes := make([]store.Write, 0, 1+len(inflight.turns))
	conditions = append(conditions, store.Condition{Key: key, Version: f.version})
	row := f.row(inflight.limit, c.options.Instance, now)
	row.Commit = inflight.requestID
	writes = append(writes, store.Write{Key: key, Value: mustEncode(row)})
	for _, t := range inflight.turns {
		conditions = append(conditions, store.Condition{Key: t.uncommitted.key})
		writes = append(writes, store.Write{Key: t.uncommitted.key, Value: t.uncommitted.value})
		if t.uncommitted.object != nil {
			commit.Objects = append(commit.Objects, *t.uncommitted.object)
		}
	}
	commit.Txn = store.Txn{RequestID: inflight.requestID, Conditions: conditions, Writes: writes}
	return commit
}

// Committed handles the outcome of a commit; err is nil or one of the store's
// errors.
func (c *Core) Committed(root, requestID string, version int64, err error, now time.Time) []Action {
	f := c.families.Get(root)
	if f == nil || f.inflight == nil || f.inflight.requestID != requestID {
		return nil
	}
	inflight := f.inflight
	f.inflight = nil
	switch {
	case err == nil:
		c.commitApplied(f, inflight, version)
	case errors.Is(err, store.ErrUnavailable):
		f.retryAt = now.Add(c.options.RetryInterval)
	case errors.Is(err, store.ErrConflict):
		c.stats.Conflicts++
		f.phase = phaseStale
		c.markUncertain(f, inflight)
	default:
		c.markUncertain(f, inflight)
	}
	c.advance(f, now)
	return c.takeActions()
}

// markUncertain records a commit that may have taken effect, and reloads the
// row.
func (c *Core) markUncertain(f *family, inflight *inflightCommit) {
	f.uncertain = append(f.uncertain, inflight)
	if len(f.uncertain) > maxUncertain {
		f.uncertain = f.uncertain[1:]
	}
	f.mustReload = true
	c.load(f)
}

// commitApplied records that a commit has taken effect.
func (c *Core) commitApplied(f *family, inflight *inflightCommit, version int64) {
	f.version = version
	f.freshlyLoaded = false
	f.ledger.Limit = inflight.limit
	f.uncertain = nil
	f.mustReload = false
	f.committedRevision = inflight.revision
	for _, t := range inflight.turns {
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

// turnCommitted records that a turn is in the table and answers its reports.
func (c *Core) turnCommitted(t *turn) {
	if t.uncommitted == nil {
		return
	}
	for _, w := range t.uncommitted.waiters {
		c.reply(w.ticket, w.committedReply)
	}
	t.uncommitted = nil
}
