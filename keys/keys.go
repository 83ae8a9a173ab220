// Package keys authenticates callers' keys, each of which identifies a team, and
// operators' admin keys. Only hashes of keys are held in memory or stored.
//
// A key's state only moves forward: absent, issued, withdrawn. Changes from the
// table service and from peers may therefore arrive in any order, late or more
// than once, and an older state never undoes a withdrawal.
package keys

import (
	"crypto/subtle"
	"slices"
	"sync/atomic"

	"github.com/buckthorntide/buckthorntide/store"
)

// maxRecentChanges is the number of changes that an instance keeps for peers
// that are behind.
const maxRecentChanges = 256

type (
	// Keys is an instance's local replica of the keys of one kind. A single
	// control goroutine calls the methods that change it; Check, CheckHash and
	// Fresh may be called concurrently by requests.
	Keys struct {
		kind   Kind
		shards [shardCount]atomic.Pointer[shard]
		// revision is the newest revision up to which all changes are applied.
		revision int64
		// recent holds the last changes up to revision, oldest first, without
		// gaps.
		recent []Change
		// loaded is true once the complete set has been read.
		loaded    bool
		freshness *freshness
	}

	// Identity is the holder of a valid key.
	Identity struct {
		// Team is the team's name; it is empty for an admin key.
		Team string
		// KeyID identifies the key without disclosing it.
		KeyID Hash
	}
)

// NewKeys returns an empty set of keys that is not fresh yet.
func NewKeys(kind Kind, options Freshness) *Keys {
	k := &Keys{kind: kind, freshness: newFreshness(options)}
	for i := range k.shards {
		k.shards[i].Store(&shard{})
	}
	return k
}

// Check returns the identity of a key, or ErrMalformed, ErrUnknownKey or
// ErrWithdrawn. It compares hashes only, so that its timing discloses nothing
// about keys. Request handlers must check Fresh first.
func (k *Keys) Check(key string) (Identity, error) {
	h, err := HashKey(k.kind, key)
	if err != nil {
		return Identity{}, err
	}
	return k.CheckHash(h)
}

// CheckHash is like Check, but takes the key's hash.
func (k *Keys) CheckHash(h Hash) (Identity, error) {
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

// Revision returns the newest revision up to which all changes are applied.
func (k *Keys) Revision() int64 { return k.revision }

// Loaded reports whether the complete set has been read, from the table service
// or from a peer.
func (k *Keys) Loaded() bool { return k.loaded }

// Len returns the number of keys, including withdrawn ones.
func (k *Keys) Len() int {
	n := 0
	for i := range k.shards {
		n += len(*k.shards[i].Load())
	}
	return n
}

// Seed adds a key that has no row, such as the initial admin key. If the key has
// been withdrawn, it stays withdrawn.
func (k *Keys) Seed(h Hash) { k.apply([]Change{{Hash: h}}) }

// Push applies a single change, usually pushed by a peer, and returns the keys
// that it withdrew.
func (k *Keys) Push(c Change) []Hash {
	withdrawn := k.apply([]Change{c})
	k.advanceRevision([]Change{c})
	return withdrawn
}

// apply merges changes into the shards and returns the newly withdrawn keys.
func (k *Keys) apply(changes []Change) []Hash {
	var byShard [shardCount][]Change
	var withdrawn []Hash
	for _, c := range changes {
		if c.Withdrawn && !k.isWithdrawn(c.Hash) {
			withdrawn = append(withdrawn, c.Hash)
		}
		byShard[c.Hash[0]] = append(byShard[c.Hash[0]], c)
	}
	for i, list := range byShard {
		if len(list) > 0 {
			next := k.shards[i].Load().withChanges(list)
			k.shards[i].Store(&next)
		}
	}
	return withdrawn
}

func (k *Keys) isWithdrawn(h Hash) bool {
	s := *k.shards[h[0]].Load()
	i, found := s.find(h)
	return found && s[i].withdrawn
}

// advanceRevision raises the revision as far as the changes continue it without
// a gap.
func (k *Keys) advanceRevision(changes []Change) {
	for _, c := range changes {
		if c.Revision != k.revision+1 {
			continue
		}
		k.revision = c.Revision
		k.recent = append(k.recent, c)
	}
	if extra := len(k.recent) - maxRecentChanges; extra > 0 {
		k.recent = slices.Delete(k.recent, 0, extra)
	}
}

// applyInOrder applies changes that are sorted by revision, advances the
// revision and returns the newly withdrawn keys.
func (k *Keys) applyInOrder(changes []Change) []Hash {
	withdrawn := k.apply(changes)
	k.advanceRevision(changes)
	return withdrawn
}

// Since returns the changes after the revision, for a peer that is behind. It
// returns false if some of them are no longer held.
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

// Page returns up to limit keys whose hashes sort after the argument after, for
// a peer that reads the complete set starting at the zero hash.
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

// change returns the change that leads to the entry, without its revision, which
// entries don't record.
func (e entry) change() Change {
	if e.withdrawn {
		return Change{Hash: e.hash, Withdrawn: true}
	}
	return Change{Hash: e.hash, Team: e.team}
}

// LearnPage applies a page of a peer's set and returns the newly withdrawn keys.
func (k *Keys) LearnPage(page []Change) []Hash { return k.apply(page) }

// LearnRows applies key rows from the table service and returns the newly
// withdrawn keys. Rows that can't be decoded are skipped and reported as an
// error.
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
