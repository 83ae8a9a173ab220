package keys

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// Accepted says that the key is as the proposal asked for.
	Accepted Outcome = iota + 1
	// Overtaken says that the proposal never takes effect, since another change
	// took its revision. Propose anew.
	Overtaken
	// Pending says that the proposal has not taken effect, but that a late
	// request still could. Commit the same transaction again.
	Pending
)

type (
	// Outcome is what became of a proposal.
	Outcome int

	// Proposal is one change on its way to the table service.
	Proposal struct {
		// Change is what peers are pushed once the proposal is accepted.
		Change Change
		// Txn writes the key's row and the head row if the head row is as read.
		Txn store.Txn
	}
)

// Issue proposes a new key. The head row is as just read; the key is fresh
// from Generate.
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
	return propose(kind, head, h, c, r, requestID)
}

// Withdraw proposes to withdraw a key. The rows are as just read, the head row
// before the key's. It returns ErrUnknownKey where there is no such key, unless
// the key is a seed, and ErrWithdrawn where nothing is left to do.
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
	return propose(kind, head, h, c, r, requestID)
}

// propose makes the transaction of a change.
func propose(kind Kind, head store.Row, h Head, c Change, r Record, requestID string) (Proposal, error) {
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
		// Every change writes the head row, so that its version guards all rows.
		Conditions: []store.Condition{{Key: kind.HeadKey(), Version: head.Version}},
		Writes: []store.Write{
			{Key: kind.RowKey(c.Hash), Value: record},
			{Key: kind.HeadKey(), Value: next},
		},
	}}, nil
}

// Settle tells what became of a proposal whose answer was lost or was a
// conflict. The head row must have been read before the key's row: if it is
// past the proposal's revision, the key's row is too.
func (p Proposal) Settle(kind Kind, head, row store.Row) (Outcome, error) {
	h, err := DecodeHead(head)
	if err != nil {
		return 0, err
	}
	done, err := p.done(kind, row)
	switch {
	case err != nil:
		return 0, err
	case done:
		return Accepted, nil
	case h.Revision >= p.Change.Revision:
		return Overtaken, nil
	default:
		return Pending, nil
	}
}

// done says that the key's row is as the proposal asked for, whoever wrote it.
func (p Proposal) done(kind Kind, row store.Row) (bool, error) {
	if row.Version == 0 {
		return false, nil
	}
	_, r, err := DecodeRecord(kind, row)
	if err != nil {
		return false, err
	}
	return r.Withdrawn || !p.Change.Withdrawn, nil
}
