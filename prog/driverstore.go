package prog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const unloadPollInterval = 5 * time.Millisecond

// load reads a family and hands it to the core.
func (k *Keeper) load(ctx context.Context, root string) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	result, err := ReadFamily(ctx, k.table, k.objects, root)
	if err != nil {
		k.common.Log.Warn("Cannot read the program.", "program", root, "error", err)
	}
	k.notify(func(now time.Time) []Action { return k.core.Loaded(root, result, err, now) })
}

// commit puts the objects and then the transaction.
func (k *Keeper) commit(ctx context.Context, c *Commit) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	version, err := k.put(ctx, c)
	if err != nil {
		k.common.Log.Warn("Cannot commit the program.", "program", c.Root, "error", err)
	}
	k.notify(func(now time.Time) []Action {
		return k.core.Committed(c.Root, c.Txn.RequestID, version, err, now)
	})
}

func (k *Keeper) put(ctx context.Context, c *Commit) (int64, error) {
	for _, o := range c.Objects {
		if err := k.objects.PutObject(ctx, o.Name, o.Body); err != nil {
			return 0, errors.WithType(err, store.ErrUnavailable)
		}
	}
	return k.committer.Commit(ctx, c.Txn)
}

// ReadFamily reads a family's row, its turns and their objects. The row is
// read first, so that the turns are never older than the row.
func ReadFamily(ctx context.Context, table store.Table, objects store.Objects, root string) (*LoadResult, error) {
	result := &LoadResult{Bodies: make(map[string][]byte)}
	row, err := table.Get(ctx, FamilyKey(root))
	if errors.Is(err, store.ErrNotFound) {
		return result, nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	result.Row = row
	after := ""
	for {
		rows, err := table.Range(ctx, turnPrefix(root), after, rangePageSize)
		if err != nil {
			return nil, errors.Trace(err)
		}
		result.Turns = append(result.Turns, rows...)
		if len(rows) < rangePageSize {
			break
		}
		after = rows[len(rows)-1].Key
	}
	return result, readBodies(ctx, objects, result)
}

func readBodies(ctx context.Context, objects store.Objects, result *LoadResult) error {
	for _, r := range result.Turns {
		row, err := DecodeTurn(r.Value)
		if err != nil || row.Object == "" {
			continue // restore reports a row that cannot be read
		}
		body, err := objects.GetObject(ctx, row.Object)
		if errors.Is(err, store.ErrNotFound) {
			continue // restore reports the digest that does not fit
		}
		if err != nil {
			return errors.Trace(err)
		}
		result.Bodies[row.Object] = body
	}
	return nil
}

// Ended returns which of the programs have ended or pause for long, so that
// engines may drop their caches. What cannot be found out is left out. A
// program that is not in memory is watched from then on.
func (k *Keeper) Ended(ctx context.Context, programs []string) []string {
	var ended []string
	for _, p := range programs {
		if k.hasEnded(ctx, p) {
			ended = append(ended, p)
		}
	}
	return ended
}

func (k *Keeper) hasEnded(ctx context.Context, program string) bool {
	k.mu.Lock()
	now := k.common.Clock.Now()
	ended, known := k.core.HasEnded(program, now)
	k.mu.Unlock()
	if known {
		return ended
	}
	row, err := k.table.Get(ctx, FamilyKey(RootOf(program)))
	if errors.Is(err, store.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	if endedInRow(row.Value, program, now) {
		return true
	}
	k.notify(func(now time.Time) []Action { return k.core.Watch(program, now) })
	return false
}

func endedInRow(value []byte, program string, now time.Time) bool {
	row, err := DecodeFamily(value)
	if err != nil {
		return false
	}
	over := time.UnixMilli(row.OpenedAtMillis).Add(time.Duration(row.Budget.Seconds) * time.Second)
	if row.Ended || now.After(over) {
		return true
	}
	for _, a := range row.Agents {
		if a.Program == program {
			return a.Ended
		}
	}
	return true
}
