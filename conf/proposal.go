package conf

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// Accepted says that the proposal is in force.
	Accepted Outcome = iota + 1
	// Overtaken says that the proposal never takes effect, since another one
	// took its revision.
	Overtaken
	// Pending says that the proposal has not taken effect, but that a late
	// request still could. Commit the same transaction again.
	Pending
	// Forgotten says that so many revisions followed that the row no longer
	// tells who wrote the proposal's.
	Forgotten
)

type (
	// Outcome is what became of a proposal.
	Outcome int

	// Proposal is one text on its way to the row HeadKey.
	Proposal struct {
		// Base is the revision that the text was edited from.
		Base int64
		// Head is what the row will hold.
		Head Head
		// Txn writes the row if it still holds the base revision.
		Txn store.Txn
		// Changes is what the text changes.
		Changes []Change
	}

	// ConflictError says that the base of an edit is not the newest revision.
	ConflictError struct {
		Base  int64
		Newer int64
	}
)

// Error names the newer revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is not the newest; revision %d stands", e.Base, e.Newer)
}

// Propose checks a text that was edited from the revision base against the
// row HeadKey as just read, and returns the transaction that makes it the next
// revision. It returns a *FaultsError or a *ConflictError.
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

// txn writes the head and its stamp if the row HeadKey has the version.
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

// parsedOrEmpty returns an accepted text, or the empty one where this program
// can't read it: its differences are then unknown, not its revision.
func parsedOrEmpty(source string) Text {
	t, err := ParseText([]byte(source))
	if err != nil {
		return Text{}
	}
	return t
}

// Settle tells from the row HeadKey, read back after the transaction's answer
// was lost or was a conflict, what became of the proposal.
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
		return Forgotten, nil
	case writer == p.Txn.RequestID:
		return Accepted, nil
	default:
		return Overtaken, nil
	}
}
