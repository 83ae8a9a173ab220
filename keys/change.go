package keys

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

// maxChanges is how many changes the head row lists. Every instance polls the
// row about once a second, so that the list is kept near a kilobyte.
const maxChanges = 8

type (
	// Change is an issue or a withdrawal. Peers push it to one another; it has
	// the same effect in any order, late and doubled.
	Change struct {
		// Revision is the revision of the keys that the change made.
		Revision int64 `json:"revision"`
		// Hash names the key.
		Hash Hash `json:"hash"`
		// Team is the team that an issued key stands for.
		Team string `json:"team,omitempty"`
		// Withdrawn tells a withdrawal from an issue.
		Withdrawn bool `json:"withdrawn,omitempty"`
	}

	// Head is the row Kind.HeadKey.
	Head struct {
		// Revision counts the changes, from 1.
		Revision int64 `json:"revision"`
		// Changes are the last changes, oldest first.
		Changes []Change `json:"changes"`
	}

	// Record is the row of one key.
	Record struct {
		// Team is the team that the key stands for.
		Team string `json:"team,omitempty"`
		// Label says for people where the key is used.
		Label string `json:"label,omitempty"`
		// IssuedAt is the revision that issued the key.
		IssuedAt int64 `json:"issuedAt"`
		// Withdrawn says that the key works no more, for good.
		Withdrawn bool `json:"withdrawn,omitempty"`
		// WithdrawnAt is the revision that withdrew the key.
		WithdrawnAt int64 `json:"withdrawnAt,omitempty"`
	}
)

// next returns the head after one more change.
func (h Head) next(c Change) Head {
	changes := append(h.Changes[:len(h.Changes):len(h.Changes)], c)
	if extra := len(changes) - maxChanges; extra > 0 {
		changes = changes[extra:]
	}
	return Head{Revision: c.Revision, Changes: changes}
}

// covers says that the list reaches back to the change after the revision.
func (h Head) covers(revision int64) bool {
	return h.Revision-int64(len(h.Changes)) <= revision
}

// change returns the last change that the record tells of.
func (r Record) change(h Hash) Change {
	if r.Withdrawn {
		return Change{Revision: r.WithdrawnAt, Hash: h, Withdrawn: true}
	}
	return Change{Revision: r.IssuedAt, Hash: h, Team: r.Team}
}

// DecodeHead reads a head row; an absent row, of version zero, is the empty
// head.
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

// DecodeRecord reads the row of one key.
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
