package conf

import (
	"context"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// ErrUnavailable says that the table service was not reached and that the
	// text was not changed.
	ErrUnavailable = errors.ConstError("the text was not changed, the platform is unavailable")
	// ErrUnknown says that the text may or may not have been changed.
	ErrUnknown = errors.ConstError("the text may or may not have been changed")
)

// maxAttempts bounds how often one edit is committed or made anew.
const maxAttempts = 8

type (
	// Editor writes the text to the table service on behalf of operators. It
	// keeps nothing between calls and may be used by several at once.
	Editor struct {
		// Table is the table service.
		Table store.Table
		// NewID returns a request id that no one else uses.
		NewID func() string
	}

	// Edit is an edit that was accepted.
	Edit struct {
		// Head is what the instance's ledger should learn.
		Head Head
		// Changes is what the edit changed.
		Changes []Change
	}
)

// Put makes the text the next revision after base. It returns a *FaultsError,
// a *ConflictError that names the newer revision, ErrUnavailable or ErrUnknown.
func (e Editor) Put(ctx context.Context, base int64, text []byte) (Edit, error) {
	row, err := e.read(ctx)
	if err != nil {
		return Edit{}, err
	}
	p, err := Propose(row, base, text, e.NewID())
	if err != nil {
		return Edit{}, err
	}
	return e.commit(ctx, p)
}

// Domain takes a failure domain out or brings it back. Where other operators
// edit at the same time it edits their newer text, so that no edit is lost.
func (e Editor) Domain(ctx context.Context, name string, out bool) (Edit, error) {
	var conflict *ConflictError
	for range maxAttempts {
		edit, err := e.domainOnce(ctx, name, out)
		if !errors.As(err, &conflict) {
			return edit, err
		}
	}
	return Edit{}, conflict
}

func (e Editor) domainOnce(ctx context.Context, name string, out bool) (Edit, error) {
	row, err := e.read(ctx)
	if err != nil {
		return Edit{}, err
	}
	h, err := DecodeHead(row)
	if err != nil {
		return Edit{}, err
	}
	if h.Revision == 0 {
		return Edit{}, errors.Annotate(ErrUnknownDomain, "no text was accepted yet")
	}
	text, changed, err := EditDomain([]byte(h.Text), name, out)
	if err != nil {
		return Edit{}, err
	}
	if !changed {
		return Edit{Head: h}, nil
	}
	p, err := Propose(row, h.Revision, text, e.NewID())
	if err != nil {
		return Edit{}, err
	}
	return e.commit(ctx, p)
}

// commit commits the proposal until it is known what became of it.
func (e Editor) commit(ctx context.Context, p Proposal) (Edit, error) {
	for attempt := range maxAttempts {
		_, err := e.Table.Commit(ctx, p.Txn)
		if err == nil {
			return Edit{Head: p.Head, Changes: p.Changes}, nil
		}
		// A later attempt says nothing about an earlier one, which may be late.
		if attempt == 0 && errors.Is(err, store.ErrUnavailable) {
			return Edit{}, errors.WithType(err, ErrUnavailable)
		}
		outcome, err := e.settle(ctx, p)
		if outcome == Accepted {
			return Edit{Head: p.Head, Changes: p.Changes}, nil
		}
		if outcome != Pending {
			return Edit{}, err
		}
	}
	return Edit{}, p.unknown(errors.Errorf("not settled in %d attempts", maxAttempts))
}

// settle reads back what became of the proposal. Its error is nil for
// Accepted only.
func (e Editor) settle(ctx context.Context, p Proposal) (Outcome, error) {
	row, err := e.read(ctx)
	if err != nil {
		return 0, p.unknown(err)
	}
	outcome, err := p.Settle(row)
	if err != nil {
		return 0, p.unknown(err)
	}
	switch outcome {
	case Accepted:
		return outcome, nil
	case Overtaken:
		return outcome, newerThan(p.Base, row)
	case Forgotten:
		return outcome, p.unknown(errors.New("too many revisions followed"))
	default:
		return outcome, p.unknown(errors.New("not in force yet"))
	}
}

// unknown returns ErrUnknown with the cause in words only, so that it never
// passes for ErrUnavailable, which promises that nothing was changed.
func (p Proposal) unknown(cause error) error {
	return errors.Annotatef(ErrUnknown, "request %s: %v", p.Txn.RequestID, cause)
}

// newerThan returns the conflict with what the row holds.
func newerThan(base int64, row store.Row) error {
	h, err := DecodeHead(row)
	if err != nil {
		return err
	}
	return &ConflictError{Base: base, Newer: h.Revision}
}

// read returns the row HeadKey, of version zero where it is absent.
func (e Editor) read(ctx context.Context) (store.Row, error) {
	row, err := e.Table.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: HeadKey}, nil
	}
	if err != nil {
		return store.Row{}, errors.WithType(err, ErrUnavailable)
	}
	return row, nil
}
