package keys

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// Accepted means that the key is in the proposed state.
	Accepted Outcome = iota + 1
	// Superseded means that the proposal can't take effect, since another change
	// has its revision. The caller must create a new proposal.
	Superseded
	// Pending means that the proposal has not taken effect, but that a delayed
	// request still may. The caller must commit the same transaction again.
	Pending
)

type (
	// Outcome is the result of committing a proposal.
	Outcome int

	// Proposal is a change that is to be committed to the table service.
	Proposal struct {
		// Change is pushed to peers once the proposal is accepted.
		Change Change
		// Txn writes the key's row and the head row, provided that the head row is
		// unchanged.
		Txn store.Txn
	}
)

// Issue proposes a new key from Generate. The caller must have read the head row
// just before.
func Issue(kind Kind, head store.Row, key, team, label, requestID string) (Proposal, error) {
	hash, err := HashKey(kind, key)
	if err != nil {
		return Proposal{}, err
	}
	h, err := DecodeHead(head)
	if err != nil {
		return Proposal{}, err
	}
	c := Change{Revision: h.Revision + 1, Hash: hash, Team: team}
	r := Record{Team: team, Label: label, IssuedAt: c.Revision}
	return newProposal(kind, head, h, c, r, requestID)
}

// Withdraw proposes to withdraw a key. The caller must have read the rows just
// before, the head row first. It returns ErrUnknownKey if the key has no row,
// unless it is a seed, and ErrWithdrawn if it is already withdrawn.
func Withdraw(kind Kind, head, row store.Row, hash Hash, seed bool, requestID string) (Proposal, error) {
	h, err := DecodeHead(head)
	if err != nil {
		return Proposal{}, err
	}
	var r Record
	switch {
	case row.Version > 0:
		if _, r, err = DecodeRecord(kind, row); err != nil {
			return Proposal{}, err
		}
	case !seed:
		return Proposal{}, ErrUnknownKey
	}
	if r.Withdrawn {
		return Proposal{}, ErrWithdrawn
	}
	c := Change{Revision: h.Revision + 1, Hash: hash, Withdrawn: true}
	r.Withdrawn, r.WithdrawnAt = true, c.Revision
	return newProposal(kind, head, h, c, r, requestID)
}

// newProposal returns the proposal of a change with its transaction.
func newProposal(kind Kind, head store.Row, h Head, c Change, r Record, requestID string) (Proposal, error) {
	record, err := json.Marshal(r)
	if err != nil {
		return Proposal{}, errors.Trace(err)
	}
	next, err := json.Marshal(h.next(c))
	if err != nil {
		return Proposal{}, errors.Trace(err)
	}
	return Proposal{Change: c, Txn: store.Txn{
		RequestID: requestID,
		// Every change writes the head row, so checking its version guards all rows.
		Conditions: []store.Condition{{Key: kind.HeadKey(), Version: head.Version}},
		Writes: []store.Write{
			{Key: kind.RowKey(c.Hash), Value: record},
			{Key: kind.HeadKey(), Value: next},
		},
	}}, nil
}

// Settle determines the outcome of a proposal whose commit returned a conflict
// or no reply. The head row must have been read before the key's row: if the
// head has reached the proposal's revision, the key's row has too.
func (p Proposal) Settle(kind Kind, head, row store.Row) (Outcome, error) {
	h, err := DecodeHead(head)
	if err != nil {
		return 0, err
	}
	done, err := p.inEffect(kind, row)
	switch {
	case err != nil:
		return 0, err
	case done:
		return Accepted, nil
	case h.Revision >= p.Change.Revision:
		return Superseded, nil
	default:
		return Pending, nil
	}
}

// inEffect reports whether the key's row is in the proposed state, regardless of
// who wrote it.
func (p Proposal) inEffect(kind Kind, row store.Row) (bool, error) {
	if row.Version == 0 {
		return false, nil
	}
	_, r, err := DecodeRecord(kind, row)
	if err != nil {
		return false, err
	}
	return r.Withdrawn || !p.Change.Withdrawn, nil
}
