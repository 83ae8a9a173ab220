package keys

import (
	"context"
	"io"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// maxAttempts limits the proposals for one change and the commits of each.
	maxAttempts = 16
	// listPageRows is the page size for listing rows.
	listPageRows = 500
)

type (
	// Issuer issues and withdraws keys in the table service on behalf of
	// operators. It is stateless.
	Issuer struct {
		// Kind is the kind of keys that the issuer manages.
		Kind Kind
		// Table is the table service that stores the keys.
		Table store.Table
		// Random is a cryptographic source.
		Random io.Reader
		// NewID returns a unique request id.
		NewID func() string
	}

	// IssuedKey is a newly issued key. The key itself is stored nowhere.
	IssuedKey struct {
		Key    string
		Change Change
	}

	// ListedKey is a key's entry in a list.
	ListedKey struct {
		Hash   Hash
		Record Record
	}

	// proposeFunc creates a proposal from the rows that were read last.
	proposeFunc func(head, row store.Row) (Proposal, error)
)

// Issue issues a key to a team. It returns ErrUnavailable or ErrUnknownOutcome;
// in the latter case a valid key may exist that nobody holds.
func (i Issuer) Issue(ctx context.Context, team, label string) (IssuedKey, error) {
	key, err := Generate(i.Kind, i.Random)
	if err != nil {
		return IssuedKey{}, err
	}
	hash, err := HashKey(i.Kind, key)
	if err != nil {
		return IssuedKey{}, err
	}
	c, err := i.commitChange(ctx, hash, func(head, _ store.Row) (Proposal, error) {
		return Issue(i.Kind, head, key, team, label, i.NewID())
	})
	if err != nil {
		return IssuedKey{}, err
	}
	return IssuedKey{Key: key, Change: c}, nil
}

// Withdraw withdraws a key. It is idempotent: a key that is already withdrawn is
// not an error. It returns ErrUnknownKey, ErrUnavailable or ErrUnknownOutcome;
// after the latter it may be retried. The argument seed permits a key without a
// row, such as the initial admin key.
func (i Issuer) Withdraw(ctx context.Context, hash Hash, seed bool) (Change, error) {
	var existing Change
	c, err := i.commitChange(ctx, hash, func(head, row store.Row) (Proposal, error) {
		p, err := Withdraw(i.Kind, head, row, hash, seed, i.NewID())
		if errors.Is(err, ErrWithdrawn) {
			_, r, _ := DecodeRecord(i.Kind, row)
			existing = r.change(hash)
		}
		return p, err
	})
	if errors.Is(err, ErrWithdrawn) {
		return existing, nil
	}
	return c, err
}

// commitChange creates and commits proposals until one is accepted.
func (i Issuer) commitChange(ctx context.Context, hash Hash, propose proposeFunc) (Change, error) {
	head, row, err := i.readRows(ctx, hash)
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

// commit commits a proposal until its outcome is known, and returns the outcome
// with the rows that were read last.
func (i Issuer) commit(ctx context.Context, hash Hash, p Proposal) (outcome Outcome, head, row store.Row, err error) {
	for attempt := range maxAttempts {
		_, err := i.Table.Commit(ctx, p.Txn)
		if err == nil {
			return Accepted, head, row, nil
		}
		// A failed later attempt doesn't rule out that an earlier one, delayed,
		// still takes effect.
		if attempt == 0 && errors.Is(err, store.ErrUnavailable) {
			return 0, head, row, errors.WithType(err, ErrUnavailable)
		}
		if head, row, err = i.readRows(ctx, hash); err != nil {
			return 0, head, row, p.unknownOutcome(err)
		}
		outcome, err = p.Settle(i.Kind, head, row)
		if err != nil {
			return 0, head, row, p.unknownOutcome(err)
		}
		if outcome != Pending {
			return outcome, head, row, nil
		}
	}
	return 0, head, row, p.unknownOutcome(errors.Errorf("not settled in %d attempts", maxAttempts))
}

// unknownOutcome returns ErrUnknownOutcome annotated with the cause's text. It
// doesn't wrap the cause, which may be ErrUnavailable: that promises that nothing
// was changed.
func (p Proposal) unknownOutcome(cause error) error {
	return errors.Annotatef(ErrUnknownOutcome, "request %s: %v", p.Txn.RequestID, cause)
}

// readRows reads the head row and then the key's row; Settle relies on this
// order.
func (i Issuer) readRows(ctx context.Context, hash Hash) (head, row store.Row, err error) {
	if head, err = i.getRow(ctx, i.Kind.HeadKey()); err != nil {
		return head, row, err
	}
	row, err = i.getRow(ctx, i.Kind.RowKey(hash))
	return head, row, err
}

// getRow reads a row; an absent row has version zero.
func (i Issuer) getRow(ctx context.Context, key string) (store.Row, error) {
	row, err := i.Table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: key}, nil
	}
	return row, err
}

// List returns all keys with their records, including withdrawn ones, sorted by
// id.
func (i Issuer) List(ctx context.Context) ([]ListedKey, error) {
	var list []ListedKey
	after := ""
	for {
		rows, err := i.Table.Range(ctx, i.Kind.RowPrefix(), after, listPageRows)
		if err != nil {
			return nil, errors.WithType(err, ErrUnavailable)
		}
		for _, row := range rows {
			h, r, err := DecodeRecord(i.Kind, row)
			if err != nil {
				return nil, err
			}
			list = append(list, ListedKey{Hash: h, Record: r})
		}
		if len(rows) < listPageRows {
			return list, nil
		}
		after = rows[len(rows)-1].Key
	}
}
