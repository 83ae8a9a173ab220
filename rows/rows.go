// Package rows is the port to the platform's table service: versioned rows,
// atomic conditional transactions and a feed of changes.
package rows

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrNotDone says that the call surely had no effect and never will.
	ErrNotDone = errors.ConstError("store refused the call")
	// ErrUnknown says that the call may have taken effect, or may do so later.
	ErrUnknown = errors.ConstError("outcome of the store call is unknown")
	// ErrConflict says that a row didn't have its expected version.
	ErrConflict = errors.ConstError("row has another version")
	// ErrHistoryGone says that the feed no longer reaches back to the version.
	ErrHistoryGone = errors.ConstError("history of the table is gone")
)

type (
	// ID names a row. Part groups rows that one transaction can change.
	ID struct {
		Table string
		Part  string
		Key   string
	}

	// Row is one row at one version. Versions come from a single counter of the
	// whole store and never go down.
	Row struct {
		ID
		Value   []byte
		Version int64
		// Deleted is set in feeds for a row that was removed.
		Deleted bool
	}

	// Expectation is the version that a row must have; 0 means no such row.
	Expectation struct {
		ID
		Version int64
	}

	// Write sets a row's value.
	Write struct {
		ID
		Value []byte
	}

	// Txn is applied whole or not at all. Its rows share one part.
	Txn struct {
		Expect  []Expectation
		Writes  []Write
		Removes []ID
	}

	// Query selects the rows of a part whose keys lie in [From, To).
	Query struct {
		Table string
		Part  string
		From  string
		To    string
		Limit int
	}

	// Page is an answer of the store about rows.
	Page struct {
		Rows []Row
		// More says that the query has further rows after the last one.
		More bool
		// Version is the newest version of the whole store.
		Version int64
	}

	// ConflictError is an ErrConflict with the rows as they are.
	ConflictError struct {
		Rows []Row
	}

	// Store is the table service. Implementations are safe for concurrent use.
	Store interface {
		// Commit applies the transaction and returns the store's version after
		// it, or ErrNotDone, ErrUnknown or a *ConflictError.
		Commit(ctx context.Context, txn Txn) (int64, error)
		// Range reads rows in key order, as of a single moment.
		Range(ctx context.Context, query Query) (Page, error)
		// Feed returns the table's changes after the version, in order. It waits
		// up to the given time for the first one. ErrHistoryGone asks for Range.
		Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	}
)

// Error returns the error as one line.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == error(ErrConflict) }

// Row returns the row as it is, with version 0 where it doesn't exist.
func (e *ConflictError) Row(id ID) Row {
	for _, r := range e.Rows {
		if r.ID == id {
			return r
		}
	}
	return Row{ID: id}
}
