package prog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const unloadPollInterval = 5 * time.Millisecond

// load reads a family and passes the result to the core.
func (d *Driver) load(ctx context.Context, root string) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	result, err := ReadFamily(ctx, d.table, d.objects, root)
	if err != nil {
		d.common.Log.Warn("cannot read program rows; refusing the pending requests", "program", root, "error", err)
	}
	d.notify(func(now time.Time) []Action { return d.core.Loaded(root, result, err, now) })
}

// commit writes the objects, then the transaction.
func (d *Driver) commit(ctx context.Context, c *Commit) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	version, err := d.put(ctx, c)
	if err != nil {
		d.common.Log.Warn("cannot commit program; retrying", "program", c.Root, "error", err)
	}
	d.notify(func(now time.Time) []Action {
		return d.core.Committed(c.Root, c.Txn.RequestID, version, err, now)
	})
}

func (d *Driver) put(ctx context.Context, c *Commit) (int64, error) {
	for _, o := range c.Objects {
		if err := d.objects.PutObject(ctx, o.Name, o.Body); err != nil {
			return 0, errors.WithType(err, store.ErrUnavailable)
		}
	}
	return d.committer.Commit(ctx, c.Txn)
}

// ReadFamily reads a family's row, its turns and their objects. The row is read
// first, so that the turns are never older than the row.
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
			continue // restore reports the malformed row
		}
		body, err := objects.GetObject(ctx, row.Object)
		if errors.Is(err, store.ErrNotFound) {
			continue // restore reports the digest mismatch
		}
		if err != nil {
			return errors.Trace(err)
		}
		result.Bodies[row.Object] = body
	}
	return nil
}

// Ended returns the programs that have ended or are idle, so that engines may
// evict their caches. Programs whose state can't be read are not included. A
// program that is not in memory is watched from then on.
func (d *Driver) Ended(ctx context.Context, programs []string) []string {
	var ended []string
	for _, p := range programs {
		if d.hasEnded(ctx, p) {
			ended = append(ended, p)
		}
	}
	return ended
}

func (d *Driver) hasEnded(ctx context.Context, program string) bool {
	d.mu.Lock()
	now := d.common.Clock.Now()
	ended, known := d.core.HasEnded(program, now)
	d.mu.Unlock()
	if known {
		return ended
	}
	row, err := d.table.Get(ctx, FamilyKey(RootOf(program)))
	if errors.Is(err, store.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	if endedInRow(row.Value, program, now) {
		return true
	}
	d.notify(func(now time.Time) []Action { return d.core.Watch(program, now) })
	return false
}

func endedInRow(value []byte, program string, now time.Time) bool {
	row, err := DecodeFamily(value)
	if err != nil {
		return false
	}
	expiry := time.UnixMilli(row.OpenedAtMillis).Add(time.Duration(row.Budget.Seconds) * time.Second)
	if row.Ended || now.After(expiry) {
		return true
	}
	for _, a := range row.Agents {
		if a.Program == program {
			return a.Ended
		}
	}
	return true
}
