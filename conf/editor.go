package conf

import (
	"context"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// ErrUnavailable reports that the table service was unreachable and that the
	// text was not changed.
	ErrUnavailable = errors.ConstError("the text was not changed, the platform is unavailable")
	// ErrUnknown reports that the text may or may not have been changed.
	ErrUnknown = errors.ConstError("the text may or may not have been changed")
)

// maxAttempts limits the proposals for one edit and the commits of each.
const maxAttempts = 8

type (
	// Editor writes the text to the table service on behalf of operators. It is
	// stateless and safe for concurrent use.
	Editor struct {
		// Table is the table service that stores the text.
		Table store.Table
		// NewID returns a unique request id.
		NewID func() string
	}

	// Edit is an accepted edit.
	Edit struct {
		// Head is the new head, which the caller must pass to Replica.Learn.
		Head Head
		// Changes holds the differences from the previous revision.
		Changes []Change
	}
)

// Put makes the text the next revision after base. It returns a *FaultsError, a
// *ConflictError with the newer revision, ErrUnavailable or ErrUnknown.
func (e Editor) Put(ctx context.Context, base int64, text []byte) (Edit, error) {
	row, err := e.readHead(ctx)
	if err != nil {
		return Edit{}, err
	}
	p, err := Propose(row, base, text, e.NewID())
	if err != nil {
		return Edit{}, err
	}
	return e.commit(ctx, p)
}

// SetDomainOut takes a failure domain out of service or brings it back. If another
// operator edits the text concurrently, it retries on the newer text, so that no
// edit is lost.
func (e Editor) SetDomainOut(ctx context.Context, name string, out bool) (Edit, error) {
	var conflict *ConflictError
	for range maxAttempts {
		edit, err := e.tryDomain(ctx, name, out)
		if !errors.As(err, &conflict) {
			return edit, err
		}
	}
	return Edit{}, conflict
}

func (e Editor) tryDomain(ctx context.Context, name string, out bool) (Edit, error) {
	row, err := e.readHead(ctx)
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

// commit commits the proposal until its outcome is known.
func (e Editor) commit(ctx context.Context, p Proposal) (Edit, error) {
	for attempt := range maxAttempts {
		_, err := e.Table.Commit(ctx, p.Txn)
		if err == nil {
			return Edit{Head: p.Head, Changes: p.Changes}, nil
		}
		// A failed later attempt doesn't rule out that an earlier one, delayed,
		// still takes effect.
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
	return Edit{}, p.unknownOutcome(errors.Errorf("not settled in %d attempts", maxAttempts))
}

// settle reads the row to determine the outcome of the proposal. Its error is nil
// for Accepted only.
func (e Editor) settle(ctx context.Context, p Proposal) (Outcome, error) {
	row, err := e.readHead(ctx)
	if err != nil {
		return 0, p.unknownOutcome(err)
	}
	outcome, err := p.Settle(row)
	if err != nil {
		return 0, p.unknownOutcome(err)
	}
	switch outcome {
	case Accepted:
		return outcome, nil
	case Superseded:
		return outcome, conflictWith(p.Base, row)
	case Indeterminate:
		return outcome, p.unknownOutcome(errors.New("too many revisions followed"))
	default:
		return outcome, p.unknownOutcome(errors.New("not in force yet"))
	}
}

// unknownOutcome returns ErrUnknown annotated with the cause's text. It doesn't
// wrap the cause, which may be ErrUnavailable: that promises that nothing was
// changed.
func (p Proposal) unknownOutcome(cause error) error {
	return errors.Annotatef(ErrUnknown, "request %s: %v", p.Txn.RequestID, cause)
}

// conflictWith returns the *ConflictError for the revision in the row.
func conflictWith(base int64, row store.Row) error {
	h, err := DecodeHead(row)
	if err != nil {
		return err
	}
	return &ConflictError{Base: base, Newer: h.Revision}
}

// readHead reads the row HeadKey; an absent row has version zero.
func (e Editor) readHead(ctx context.Context) (store.Row, error) {
	row, err := e.Table.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: HeadKey}, nil
	}
	if err != nil {
		return store.Row{}, errors.WithType(err, ErrUnavailable)
	}
	return row, nil
}
