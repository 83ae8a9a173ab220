package prog

import (
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const maxDoubtful = 4 // flights that are remembered as possibly late

// commit sends what the table lacks, one transaction of a family at a time.
func (c *Core) commit(f *family, now time.Time) {
	if f.phase != phaseReady || f.flight != nil || f.unsure || now.Before(f.retryAt) {
		return
	}
	if !f.unsaved() && f.need == (Usage{}) {
		return
	}
	mark := c.nextMark(f)
	f.need = Usage{}
	fl := &flight{requestID: c.requestID(), mark: mark, revision: f.revision}
	fl.turns = f.pending()
	f.flight = fl
	// A lower mark counts from now on, as the commit may take effect unseen.
	f.ledger.Mark = f.ledger.Mark.Min(mark)
	c.stats.Commits++
	c.actions = append(c.actions, Action{Commit: c.transaction(f, fl, now)})
}

// nextMark returns the mark that a commit asks for. A home that has just taken
// the family up reserves only what it needs at once, so that a change of homes
// costs no second chunk.
func (c *Core) nextMark(f *family) Usage {
	switch {
	case f.trimming || f.leaving:
		return f.ledger.Committed()
	case f.taken:
		return f.ledger.NextMark(f.need, Usage{})
	default:
		return f.ledger.NextMark(f.need, f.ledger.Chunk(c.options.ChunkParts))
	}
}

func (c *Core) transaction(f *family, fl *flight, now time.Time) *Commit {
	key := FamilyKey(f.root)
	commit := &Commit{Root: f.root}
	conditions := make([]store.Condition, 0, 1+len(fl.turns))
	writes := make([]store.Write, 0, 1+len(fl.turns))
	conditions = append(conditions, store.Condition{Key: key, Version: f.version})
	row := f.row(fl.mark, c.options.Instance, now)
	row.Commit = fl.requestID
	writes = append(writes, store.Write{Key: key, Value: mustEncode(row)})
	for _, t := range fl.turns {
		conditions = append(conditions, store.Condition{Key: t.pending.key})
		writes = append(writes, store.Write{Key: t.pending.key, Value: t.pending.value})
		if t.pending.object != nil {
			commit.Objects = append(commit.Objects, *t.pending.object)
		}
	}
	commit.Txn = store.Txn{RequestID: fl.requestID, Conditions: conditions, Writes: writes}
	return commit
}

// Committed takes the outcome of a commit: nil, or an error that is one of
// the store's.
func (c *Core) Committed(root, requestID string, version int64, err error, now time.Time) []Action {
	f := c.families.Get(root)
	if f == nil || f.flight == nil || f.flight.requestID != requestID {
		return nil
	}
	fl := f.flight
	f.flight = nil
	switch {
	case err == nil:
		c.landed(f, fl, version)
	case errors.Is(err, store.ErrUnavailable):
		f.retryAt = now.Add(c.options.RetryInterval)
	case errors.Is(err, store.ErrConflict):
		c.stats.Conflicts++
		f.phase = phaseStale
		c.doubt(f, fl)
	default:
		c.doubt(f, fl)
	}
	c.advance(f, now)
	return c.take()
}

// doubt remembers a flight that may yet have taken effect, and reads the row.
func (c *Core) doubt(f *family, fl *flight) {
	f.doubtful = append(f.doubtful, fl)
	if len(f.doubtful) > maxDoubtful {
		f.doubtful = f.doubtful[1:]
	}
	f.unsure = true
	c.load(f)
}

// landed notes that a flight has taken effect.
func (c *Core) landed(f *family, fl *flight, version int64) {
	f.version = version
	f.taken = false
	f.ledger.Mark = fl.mark
	f.doubtful = nil
	f.unsure = false
	f.saved = fl.revision
	for _, t := range fl.turns {
		c.keep(t)
	}
	waiting := f.waiters[:0]
	for _, w := range f.waiters {
		if w.revision <= f.saved {
			c.reply(w.ticket, w.kept)
		} else {
			waiting = append(waiting, w)
		}
	}
	f.waiters = waiting
}

// keep notes that a turn is in the table.
func (c *Core) keep(t *turn) {
	if t.pending == nil {
		return
	}
	for _, w := range t.pending.waiters {
		c.reply(w.ticket, w.kept)
	}
	t.pending = nil
}
