package keys

import (
	"context"
	"io"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// maxAttempts bounds how often one change is committed or made anew.
	maxAttempts = 16
	// pageRows is how many rows one read of a list asks for.
	pageRows = 500
)

type (
	// Issuer issues and withdraws keys in the table service on behalf of
	// operators. It keeps nothing between calls.
	Issuer struct {
		// Kind is the kind of the keys.
		Kind Kind
		// Table is the table service.
		Table store.Table
		// Random is a cryptographic source.
		Random io.Reader
		// NewID returns a request id that no one else uses.
		NewID func() string
	}

	// Issued is a new key. The key itself is nowhere else.
	Issued struct {
		Key    string
		Change Change
	}

	// Listed is one key in a list.
	Listed struct {
		Hash   Hash
		Record Record
	}

	// makeProposal makes a proposal from the rows as just read.
	makeProposal func(head, row store.Row) (Proposal, error)
)

// Issue makes a key for a team. It returns ErrUnavailable or ErrUnknownOutcome;
// after the latter the key is lost and may work, but nobody has it.
func (i Issuer) Issue(ctx context.Context, team, label string) (Issued, error) {
	key, err := Generate(i.Kind, i.Random)
	if err != nil {
		return Issued{}, err
	}
	hash, err := HashKey(i.Kind, key)
	if err != nil {
		return Issued{}, err
	}
	c, err := i.change(ctx, hash, func(head, _ store.Row) (Proposal, error) {
		return Issue(i.Kind, head, key, team, label, i.NewID())
	})
	if err != nil {
		return Issued{}, err
	}
	return Issued{Key: key, Change: c}, nil
}

// Withdraw makes a key work no more. A key that is withdrawn already is no
// error. It returns ErrUnknownKey, ErrUnavailable or ErrUnknownOutcome; after
// the latter it may be called again. The argument seed allows a key that has no
// row, as the first admin key.
func (i Issuer) Withdraw(ctx context.Context, hash Hash, seed bool) (Change, error) {
	var stands Change
	c, err := i.change(ctx, hash, func(head, row store.Row) (Proposal, error) {
		p, err := Withdraw(i.Kind, head, row, hash, seed, i.NewID())
		if errors.Is(err, ErrWithdrawn) {
			_, r, _ := DecodeRecord(i.Kind, row)
			stands = r.change(hash)
		}
		return p, err
	})
	if errors.Is(err, ErrWithdrawn) {
		return stands, nil
	}
	return c, err
}

// change makes proposals until one is accepted.
func (i Issuer) change(ctx context.Context, hash Hash, propose makeProposal) (Change, error) {
	head, row, err := i.read(ctx, hash)
	if err != nil {
		return Change{}, errors.WithType(err, ErrUnavailable)
	}
	for range maxAttempts {
		p, err := propose(head, row)
		if err != nil {
			return Change{}, err
		}
		var outcome Outcome
		outcome, head, row, err = i.commit(ctx, hash, p)
		if err != nil {
			return Change{}, err
		}
		if outcome == Accepted {
			return p.Change, nil
		}
	}
	return Change{}, errors.Annotatef(ErrUnavailable, "overtaken %d times", maxAttempts)
}

// commit commits one proposal until it is known what became of it, and returns
// the rows that tell.
func (i Issuer) commit(ctx context.Context, hash Hash, p Proposal) (outcome Outcome, head, row store.Row, err error) {
	for attempt := range maxAttempts {
		_, err := i.Table.Commit(ctx, p.Txn)
		if err == nil {
			return Accepted, head, row, nil
		}
		// A later attempt says nothing about an earlier one, which may be late.
		if attempt == 0 && errors.Is(err, store.ErrUnavailable) {
			return 0, head, row, errors.WithType(err, ErrUnavailable)
		}
		if head, row, err = i.read(ctx, hash); err != nil {
			return 0, head, row, p.unknown(err)
		}
		outcome, err = p.Settle(i.Kind, head, row)
		if err != nil {
			return 0, head, row, p.unknown(err)
		}
		if outcome != Pending {
			return outcome, head, row, nil
		}
	}
	return 0, head, row, p.unknown(errors.Errorf("not settled in %d attempts", maxAttempts))
}

// unknown returns ErrUnknownOutcome with the cause in words only, so that it
// never passes for ErrUnavailable, which promises that nothing was changed.
func (p Proposal) unknown(cause error) error {
	return errors.Annotatef(ErrUnknownOutcome, "request %s: %v", p.Txn.RequestID, cause)
}

// read returns the head row and then the key's row; the order matters to
// Settle.
func (i Issuer) read(ctx context.Context, hash Hash) (head, row store.Row, err error) {
	if head, err = i.get(ctx, i.Kind.HeadKey()); err != nil {
		return head, row, err
	}
	row, err = i.get(ctx, i.Kind.RowKey(hash))
	return head, row, err
}

// get returns a row, of version zero where it is absent.
func (i Issuer) get(ctx context.Context, key string) (store.Row, error) {
	row, err := i.Table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: key}, nil
	}
	return row, err
}

// List returns every key's record, withdrawn ones included, in the order of
// their ids.
func (i Issuer) List(ctx context.Context) ([]Listed, error) {
	var list []Listed
	after := ""
	for {
		rows, err := i.Table.Range(ctx, i.Kind.RowPrefix(), after, pageRows)
		if err != nil {
			return nil, errors.WithType(err, ErrUnavailable)
		}
		for _, row := range rows {
			h, r, err := DecodeRecord(i.Kind, row)
			if err != nil {
				return nil, err
			}
			list = append(list, Listed{Hash: h, Record: r})
		}
		if len(rows) < pageRows {
			return list, nil
		}
		after = rows[len(rows)-1].Key
	}
}
