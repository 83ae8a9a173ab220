package keys

import "slices"

// shardCount is how many shards the keys are spread over, by the hash's first
// byte.
const shardCount = 256

type (
	// entry is one key in memory.
	entry struct {
		hash Hash
		// team is empty for withdrawn keys, so that no memory stays with them.
		team      string
		withdrawn bool
	}

	// shard is a sorted list of entries that is never changed once published,
	// so that it may be read without a lock.
	shard []entry
)

// newEntry returns the entry that a change leads to on its own.
func newEntry(c Change) entry {
	if c.Withdrawn {
		return entry{hash: c.Hash, withdrawn: true}
	}
	return entry{hash: c.Hash, team: c.Team}
}

// merge returns what two entries of one key come to: a withdrawal wins in
// either order.
func merge(old, fresh entry) entry {
	if old.withdrawn {
		return old
	}
	return fresh
}

// find returns the position of the hash, or where it would be.
func (s shard) find(h Hash) (int, bool) {
	return slices.BinarySearchFunc(s, h, func(e entry, h Hash) int { return e.hash.Compare(h) })
}

// with returns the shard with the changes applied, as a new list.
func (s shard) with(changes []Change) shard {
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
