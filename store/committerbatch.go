package store

import (
	"context"

	"github.com/buckthorntide/buckthorntide/group"

	"github.com/juju/errors"
)

// commitOnce commits one batch and returns false if the platform was not
// reached, so that the batch went back to the queue.
func (c *Committer) commitOnce(ctx context.Context) bool {
	b := c.takeBatch()
	if len(b.members) == 0 {
		return true
	}
	txn := c.marker.join(b.txn())
	version, err := c.write(ctx, txn)
	if isDoubtful(err) {
		version, err = c.settleBatch(ctx, txn)
	}
	switch {
	case err == nil:
		c.marker.version = version
		c.finish(b.members, Outcome{Version: version, Writer: txn.RequestID})
	case errors.Is(err, ErrConflict):
		return c.splitBatch(ctx, b, err)
	case errors.Is(err, ErrUnavailable):
		c.requeue(b.members)
		return false
	default:
		c.finish(b.members, Outcome{Err: ErrUnknown})
	}
	return true
}

func isDoubtful(err error) bool {
	return err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnavailable)
}

func (c *Committer) takeBatch() *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := newBatch(c.queue, c.config.MaxWrites)
	c.queue = b.later
	c.inFlight = len(b.members)
	for _, p := range b.members {
		p.state = pendingInFlight
	}
	return b
}

func (c *Committer) write(ctx context.Context, txn Txn) (int64, error) {
	c.mu.Lock()
	c.stats.Writes++
	c.mu.Unlock()
	version, err := c.table.Commit(ctx, txn)
	c.failing.Store(err != nil && !errors.Is(err, ErrConflict))
	return version, err
}

// settleBatch finds out what became of a transaction whose answer was lost. It
// is sent again, as often as it takes, if a second run would conflict with the
// first.
func (c *Committer) settleBatch(ctx context.Context, txn Txn) (int64, error) {
	if !writesConditionedRow(txn) {
		return 0, ErrUnknown
	}
	for failures := 1; group.Sleep(ctx, c.backoff(failures)); failures++ {
		version, err := c.write(ctx, txn)
		if err == nil {
			c.countSettled()
			return version, nil
		}
		if !errors.Is(err, ErrConflict) {
			continue
		}
		version, verdict := settle(ctx, c.table, txn)
		if verdict == verdictUnread {
			continue
		}
		c.countSettled()
		return settled(version, verdict, err)
	}
	return 0, ErrUnknown
}

func settled(version int64, verdict verdict, conflict error) (int64, error) {
	switch verdict {
	case verdictApplied:
		return version, nil
	case verdictUntouched:
		return 0, conflict
	}
	return 0, ErrUnknown
}

func (c *Committer) countSettled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Settled++
}

// splitBatch fails the members whose conditions do not hold and puts the others
// back at the head of the queue.
func (c *Committer) splitBatch(ctx context.Context, b *batch, conflict error) bool {
	against, err := c.rowsAgainst(ctx, b, conflict)
	if err != nil {
		c.requeue(b.members)
		return false
	}
	var failed, others []*Pending
	for _, p := range b.members {
		if p.conflictsWith(against) {
			failed = append(failed, p)
			continue
		}
		others = append(others, p)
	}
	if len(failed) == 0 {
		c.marker.renew()
	}
	c.finish(failed, Outcome{Err: ErrConflict})
	c.requeue(others)
	return true
}

// rowsAgainst returns rows whose conditions may not hold: those that the
// conflict names, else all that have a condition, as they are read.
func (c *Committer) rowsAgainst(ctx context.Context, b *batch, conflict error) ([]Row, error) {
	var detail *ConflictError
	if errors.As(conflict, &detail) && len(detail.Rows) > 0 {
		return detail.Rows, nil
	}
	var rows []Row
	for key := range b.conditioned() {
		row, err := c.table.Get(ctx, key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return nil, err
		}
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

func (c *Committer) finish(members []*Pending, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := int64(len(members))
	switch {
	case outcome.Err == nil:
		c.stats.Committed += n
	case errors.Is(outcome.Err, ErrConflict):
		c.stats.Conflicts += n
	default:
		c.stats.Unknown += n
	}
	for _, p := range members {
		p.finish(outcome)
	}
	c.inFlight -= len(members)
	if c.inFlight+len(c.queue) == 0 {
		c.wakeIdle()
	}
}

func (c *Committer) requeue(members []*Pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range members {
		p.state = pendingQueued
	}
	c.queue = append(append(make([]*Pending, 0, len(members)+len(c.queue)), members...), c.queue...)
	c.inFlight -= len(members)
}
