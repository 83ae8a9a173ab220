package keys

import "slices"

// shardCount is the number of shards; the first byte of its hash selects a key's
// shard.
const shardCount = 256

type (
	// entry is the state of one key.
	entry struct {
		hash Hash
		// team is empty for withdrawn keys, to release the memory of the name.
		team      string
		withdrawn bool
	}

	// shard is a list of entries sorted by hash. It is immutable once published,
	// so that it can be read without a lock.
	shard []entry
)

// newEntry returns the entry that results from a change alone.
func newEntry(c Change) entry {
	if c.Withdrawn {
		return entry{hash: c.Hash, withdrawn: true}
	}
	return entry{hash: c.Hash, team: c.Team}
}

// merge combines two entries of the same key: a withdrawal wins in either order.
func merge(old, fresh entry) entry {
	if old.withdrawn {
		return old
	}
	return fresh
}

// find returns the position of the hash and true, or the position to insert it
// at and false.
func (s shard) find(h Hash) (int, bool) {
	return slices.BinarySearchFunc(s, h, func(e entry, h Hash) int { return e.hash.Compare(h) })
}

// withChanges returns a copy of the shard with the changes applied.
func (s shard) withChanges(changes []Change) shard {
	next := make(shard, 0, len(s)+len(changes))
	next = append(next, s...)
	for _, c := range changes {
		e := newEntry(c)
		if i, found := next.find(e.hash); found {
			next[i] = merge(next[i], e)
		} else {
			next = slices.Insert(next, i, e)
		}
	}
	return slices.Clip(next)
}
