package conf

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// Accepted means that the proposal has become its revision.
	Accepted Outcome = iota + 1
	// Superseded means that the proposal can't take effect, since another one has
	// its revision.
	Superseded
	// Pending means that the proposal has not taken effect, but that a delayed
	// request still may. The caller must commit the same transaction again.
	Pending
	// Indeterminate means that the row no longer lists the writer of the
	// proposal's revision, since too many revisions followed.
	Indeterminate
)

type (
	// Outcome is the result of committing a proposal.
	Outcome int

	// Proposal is a text that is to be committed to the row HeadKey.
	Proposal struct {
		// Base is the revision that the edit is based on.
		Base int64
		// Head is the new value of the row.
		Head Head
		// Txn writes the row, provided that it still holds the base revision.
		Txn store.Txn
		// Changes holds the differences from the base revision.
		Changes []Change
	}

	// ConflictError reports that the base of an edit is not the newest revision.
	ConflictError struct {
		Base  int64
		Newer int64
	}
)

// Error returns a message with the newer revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is not the newest; revision %d stands", e.Base, e.Newer)
}

// Propose validates a text that is based on the revision base, and returns a
// proposal to make it the next revision. The caller must have read the row
// HeadKey just before. It returns a *FaultsError or a *ConflictError.
func Propose(row store.Row, base int64, text []byte, requestID string) (Proposal, error) {
	current, err := DecodeHead(row)
	if err != nil {
		return Proposal{}, err
	}
	if base != current.Revision {
		return Proposal{}, &ConflictError{Base: base, Newer: current.Revision}
	}
	parsed, err := ParseText(text)
	if err != nil {
		return Proposal{}, err
	}
	h := current.next(string(text), requestID)
	txn, err := h.txn(row.Version)
	if err != nil {
		return Proposal{}, err
	}
	changes := Diff(parsedOrEmpty(current.Text), parsed)
	return Proposal{Base: base, Head: h, Txn: txn, Changes: changes}, nil
}

// txn returns a transaction that writes the head and its stamp, provided that the
// row HeadKey has the version.
func (h Head) txn(version int64) (store.Txn, error) {
	head, err := json.Marshal(h)
	if err != nil {
		return store.Txn{}, errors.Trace(err)
	}
	stamp, err := json.Marshal(h.Stamp())
	if err != nil {
		return store.Txn{}, errors.Trace(err)
	}
	return store.Txn{
		RequestID:  h.AcceptedBy,
		Conditions: []store.Condition{{Key: HeadKey, Version: version}},
		Writes:     []store.Write{{Key: HeadKey, Value: head}, {Key: StampKey, Value: stamp}},
	}, nil
}

// parsedOrEmpty parses an accepted text. It returns the empty text if this version
// of the software can't parse it: a proposal is still possible then, only its
// differences are unknown.
func parsedOrEmpty(source string) Text {
	t, err := ParseText([]byte(source))
	if err != nil {
		return Text{}
	}
	return t
}

// Settle determines the outcome of a proposal whose commit returned a conflict or
// no reply, from the row HeadKey as read afterwards.
func (p Proposal) Settle(row store.Row) (Outcome, error) {
	h, err := DecodeHead(row)
	if err != nil {
		return 0, err
	}
	if h.Revision < p.Head.Revision {
		return Pending, nil
	}
	writer, ok := h.writer(p.Head.Revision)
	switch {
	case !ok:
		return Indeterminate, nil
	case writer == p.Txn.RequestID:
		return Accepted, nil
	default:
		return Superseded, nil
	}
}
