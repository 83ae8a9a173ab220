// Package keys decides which keys work: callers' keys, each standing for a
// team, and operators' admin keys. Only hashes of keys are held or stored.
//
// A key is absent, then issued, then perhaps withdrawn, and never goes back.
// Therefore changes may come in any order, late and doubled, from the table
// service and from peers alike, and no older state undoes a withdrawal.
package keys

import (
	"crypto/subtle"
	"slices"
	"sync/atomic"

	"github.com/buckthorntide/buckthorntide/store"
)

// maxRecent is how many changes an instance keeps for peers that fell behind.
const maxRecent = 256

type (
	// Keys is what one instance knows of the keys of one kind. One control
	// thread calls the methods that change it; Check, Known and Fresh may be
	// called by traffic at the same time.
	Keys struct {
		kind   Kind
		shards [shardCount]atomic.Pointer[shard]
		// revision is the newest revision up to which every change is known.
		revision int64
		// recent are the last changes up to revision, oldest first, no gaps.
		recent []Change
		// loaded says that the whole set was read once.
		loaded    bool
		freshness *freshness
	}

	// Identity says whom a key stands for.
	Identity struct {
		// Team is the team's name; it is empty for an admin key.
		Team string
		// KeyID names the key without telling it.
		KeyID Hash
	}
)

// NewKeys returns an empty set of keys, which is not fresh.
func NewKeys(kind Kind, options Freshness) *Keys {
	k := &Keys{kind: kind, freshness: newFreshness(options)}
	for i := range k.shards {
		k.shards[i].Store(&shard{})
	}
	return k
}

// Check returns whom the key stands for, or ErrMalformed, ErrUnknownKey or
// ErrWithdrawn. The search compares hashes, so that its time tells nothing
// about keys. Whoever answers a caller must first ask Fresh.
func (k *Keys) Check(key string) (Identity, error) {
	h, err := HashKey(k.kind, key)
	if err != nil {
		return Identity{}, err
	}
	return k.Known(h)
}

// Known is Check for a key's id.
func (k *Keys) Known(h Hash) (Identity, error) {
	s := *k.shards[h[0]].Load()
	i, found := s.find(h)
	if !found || subtle.ConstantTimeCompare(s[i].hash[:], h[:]) != 1 {
		return Identity{}, ErrUnknownKey
	}
	if s[i].withdrawn {
		return Identity{}, ErrWithdrawn
	}
	return Identity{Team: s[i].team, KeyID: h}, nil
}

// Kind returns the kind of the keys.
func (k *Keys) Kind() Kind { return k.kind }

// Revision returns the newest revision up to which every change is known.
func (k *Keys) Revision() int64 { return k.revision }

// Loaded says that the whole set was read once, from the table service or from
// a peer.
func (k *Keys) Loaded() bool { return k.loaded }

// Len returns how many keys are known, withdrawn ones included.
func (k *Keys) Len() int {
	n := 0
	for i := range k.shards {
		n += len(*k.shards[i].Load())
	}
	return n
}

// Seed makes a key work that no row tells of, as the first admin key. A
// withdrawal of it holds.
func (k *Keys) Seed(h Hash) { k.apply([]Change{{Hash: h}}) }

// Push applies a change that a peer pushed, at once, and returns the keys that
// it withdrew.
func (k *Keys) Push(c Change) []Hash {
	cut := k.apply([]Change{c})
	k.advance([]Change{c})
	return cut
}

// apply merges changes into the shards and returns the keys that were not
// withdrawn before and are now.
func (k *Keys) apply(changes []Change) []Hash {
	var byShard [shardCount][]Change
	var cut []Hash
	for _, c := range changes {
		if c.Withdrawn && !k.isWithdrawn(c.Hash) {
			cut = append(cut, c.Hash)
		}
		byShard[c.Hash[0]] = append(byShard[c.Hash[0]], c)
	}
	for i, list := range byShard {
		if len(list) > 0 {
			next := k.shards[i].Load().with(list)
			k.shards[i].Store(&next)
		}
	}
	return cut
}

func (k *Keys) isWithdrawn(h Hash) bool {
	s := *k.shards[h[0]].Load()
	i, found := s.find(h)
	return found && s[i].withdrawn
}

// advance raises the revision over the changes that follow on it without a
// gap.
func (k *Keys) advance(changes []Change) {
	for _, c := range changes {
		if c.Revision != k.revision+1 {
			continue
		}
		k.revision = c.Revision
		k.recent = append(k.recent, c)
	}
	if extra := len(k.recent) - maxRecent; extra > 0 {
		k.recent = slices.Delete(k.recent, 0, extra)
	}
}

// learn applies changes in the order of their revisions.
func (k *Keys) learn(changes []Change) []Hash {
	cut := k.apply(changes)
	k.advance(changes)
	return cut
}

// Since returns the changes after the revision, for a peer that is behind, or
// false if they are no longer all kept.
func (k *Keys) Since(revision int64) ([]Change, bool) {
	behind := k.revision - revision
	if behind > int64(len(k.recent)) {
		return nil, false
	}
	if behind <= 0 {
		return nil, true
	}
	return slices.Clone(k.recent[int64(len(k.recent))-behind:]), true
}

// Page returns up to limit keys whose hash sorts after the hash after, for a
// peer that reads the whole set. The zero hash starts the reading.
func (k *Keys) Page(after Hash, limit int) []Change {
	page := make([]Change, 0, limit)
	for i := int(after[0]); i < shardCount; i++ {
		for _, e := range *k.shards[i].Load() {
			if len(page) == limit {
				return page
			}
			if e.hash.Compare(after) > 0 {
				page = append(page, e.change())
			}
		}
	}
	return page
}

// change returns the change that leads to the entry; its revision is not
// known any more.
func (e entry) change() Change {
	if e.withdrawn {
		return Change{Hash: e.hash, Withdrawn: true}
	}
	return Change{Hash: e.hash, Team: e.team}
}

// LearnPage takes a page of the whole set from a peer and returns the keys
// that it withdrew.
func (k *Keys) LearnPage(page []Change) []Hash { return k.apply(page) }

// LearnRows takes rows of keys from the table service and returns the keys
// that they withdrew. Rows that can't be read are left out and make an error.
func (k *Keys) LearnRows(rows []store.Row) ([]Hash, error) {
	var failed error
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		h, r, err := DecodeRecord(k.kind, row)
		if err != nil {
			failed = err
			continue
		}
		changes = append(changes, r.change(h))
	}
	return k.apply(changes), failed
}
