// Package rows defines the interface to the platform's table service: versioned
// rows, atomic conditional transactions and a feed of changes.
package rows

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrNotDone means that the call had no effect and never will.
	ErrNotDone = errors.ConstError("store refused the call")
	// ErrBusy is an ErrNotDone of a store that gets more calls than it takes from all
	// instances together, or that turns this one away.
	ErrBusy = errors.ConstError("store takes no more calls")
	// ErrUnknown means that the call may have taken effect, or may do so later.
	ErrUnknown = errors.ConstError("outcome of the store call is unknown")
	// ErrConflict means that a row didn't have its expected version.
	ErrConflict = errors.ConstError("row has another version")
	// ErrHistoryGone means that the feed's history was compacted beyond the
	// requested version.
	ErrHistoryGone = errors.ConstError("history of the table is gone")
)

type (
	// ID identifies a row. Part is the partition: one transaction can only change
	// rows of one part.
	ID struct {
		Table string
		Part  string
		Key   string
	}

	// Row is a row at a version. Versions come from one counter for the whole
	// store and never decrease.
	Row struct {
		ID
		Value   []byte
		Version int64
		// Deleted is set in a feed if the row was removed.
		Deleted bool
	}

	// Expectation is the version that a row must have; 0 means that it must not
	// exist.
	Expectation struct {
		ID
		Version int64
	}

	// Write sets a row's value.
	Write struct {
		ID
		Value []byte
	}

	// Txn is an atomic transaction. All its rows belong to one part.
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

	// Page is the store's reply to a Range or Feed call.
	Page struct {
		Rows []Row
		// More is set if the query matches further rows after the last one.
		More bool
		// Version is the newest version of the whole store.
		Version int64
	}

	// Parts is the store's reply to a Parts call.
	Parts struct {
		Names []string
		// Version is the newest version of the whole store.
		Version int64
	}

	// ConflictError is an ErrConflict with the current rows.
	ConflictError struct {
		Rows []Row
	}

	// Store is the table service. Implementations are safe for concurrent use.
	Store interface {
		// Commit applies the transaction and returns the store's version after
		// it, or ErrNotDone, ErrUnknown or a *ConflictError.
		Commit(ctx context.Context, txn Txn) (int64, error)
		// Range reads a consistent snapshot of rows in key order.
		Range(ctx context.Context, query Query) (Page, error)
		// Parts returns the parts of the table that have rows.
		Parts(ctx context.Context, table string) (Parts, error)
		// Feed returns the table's changes after the version, in order. It waits
		// up to the given time for the first one. After ErrHistoryGone the caller
		// must read the rows by Range.
		Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	}
)

// Error returns the text of ErrConflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == error(ErrConflict) }

// Row returns the current row, with version 0 if it doesn't exist.
func (e *ConflictError) Row(id ID) Row {
	for _, r := range e.Rows {
		if r.ID == id {
			return r
		}
	}
	return Row{ID: id}
}
