package keys

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

// maxHeadChanges is the number of changes in the head row. Every instance polls
// the row about once a second, so the list is limited to about a kilobyte.
const maxHeadChanges = 8

type (
	// Change issues or withdraws a key. Peers push changes to one another;
	// applying them is commutative and idempotent.
	Change struct {
		// Revision is the revision of the key set that the change created.
		Revision int64 `json:"revision"`
		// Hash identifies the key.
		Hash Hash `json:"hash"`
		// Team is the team of an issued key.
		Team string `json:"team,omitempty"`
		// Withdrawn is true for a withdrawal and false for an issue.
		Withdrawn bool `json:"withdrawn,omitempty"`
	}

	// Head is the value of the row Kind.HeadKey.
	Head struct {
		// Revision counts the changes, from 1.
		Revision int64 `json:"revision"`
		// Changes holds the last changes, oldest first.
		Changes []Change `json:"changes"`
	}

	// Record is the value of a key's row.
	Record struct {
		// Team is the team that the key identifies.
		Team string `json:"team,omitempty"`
		// Label is a free text that describes where the key is used.
		Label string `json:"label,omitempty"`
		// IssuedAt is the revision that issued the key.
		IssuedAt int64 `json:"issuedAt"`
		// Withdrawn is true once the key has been withdrawn, which is permanent.
		Withdrawn bool `json:"withdrawn,omitempty"`
		// WithdrawnAt is the revision that withdrew the key.
		WithdrawnAt int64 `json:"withdrawnAt,omitempty"`
	}
)

// next returns the head with the change appended.
func (h Head) next(c Change) Head {
	changes := append(h.Changes[:len(h.Changes):len(h.Changes)], c)
	if extra := len(changes) - maxHeadChanges; extra > 0 {
		changes = changes[extra:]
	}
	return Head{Revision: c.Revision, Changes: changes}
}

// covers reports whether the list includes every change after the revision.
func (h Head) covers(revision int64) bool {
	return h.Revision-int64(len(h.Changes)) <= revision
}

// change returns the last change of the key.
func (r Record) change(h Hash) Change {
	if r.Withdrawn {
		return Change{Revision: r.WithdrawnAt, Hash: h, Withdrawn: true}
	}
	return Change{Revision: r.IssuedAt, Hash: h, Team: r.Team}
}

// DecodeHead decodes the head row. An absent row, which has version zero, decodes
// to the empty head.
func DecodeHead(row store.Row) (Head, error) {
	var h Head
	if row.Version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, errors.WithType(err, ErrDamaged)
	}
	return h, nil
}

// DecodeRecord decodes a key's row into its hash and record.
func DecodeRecord(kind Kind, row store.Row) (Hash, Record, error) {
	var r Record
	if len(row.Key) < len(kind.RowPrefix()) {
		return Hash{}, r, ErrDamaged
	}
	h, err := ParseHash(row.Key[len(kind.RowPrefix()):])
	if err != nil {
		return Hash{}, r, errors.WithType(err, ErrDamaged)
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Hash{}, r, errors.WithType(err, ErrDamaged)
	}
	return h, r, nil
}
