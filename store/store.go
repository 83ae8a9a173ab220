// Package store reaches the platform's table service, object store and
// instance list. The interfaces here are all that the other packages know of
// the platform.
package store

import (
	"context"

	"github.com/juju/errors"
)

const (
	// ErrNotFound says that a row or an object does not exist.
	ErrNotFound = errors.ConstError("not found")
	// ErrConflict says that a transaction's condition did not hold and that
	// nothing was written.
	ErrConflict = errors.ConstError("condition does not hold")
	// ErrUnavailable says that the platform was not reached in time and that
	// nothing was written.
	ErrUnavailable = errors.ConstError("platform unavailable")
	// ErrUnknown says that a transaction may or may not have taken effect.
	ErrUnknown = errors.ConstError("outcome unknown")
)

type (
	// Row is one row of the table service.
	Row struct {
		Key   string `json:"key"`
		Value []byte `json:"value,omitempty"`
		// Version rises with each write of the row; zero means absent.
		Version int64 `json:"version"`
		// Writer is the request id of the transaction that wrote the row.
		Writer string `json:"writer,omitempty"`
	}

	// Condition asks that a row has a version; zero asks that it is absent.
	Condition struct {
		Key     string `json:"key"`
		Version int64  `json:"version"`
	}

	// Write puts or deletes one row.
	Write struct {
		Key    string `json:"key"`
		Value  []byte `json:"value,omitempty"`
		Delete bool   `json:"delete,omitempty"`
	}

	// Txn writes all of its rows if all of its conditions hold, else none.
	Txn struct {
		RequestID  string      `json:"requestId"`
		Conditions []Condition `json:"conditions,omitempty"`
		Writes     []Write     `json:"writes,omitempty"`
	}

	// Instance is an entry of the platform's lagging instance list.
	Instance struct {
		Name          string `json:"name"`
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
		Leaving       bool   `json:"leaving,omitempty"`
	}

	// Table is the platform's transactional table service.
	Table interface {
		// Get returns a row, or ErrNotFound or ErrUnavailable.
		Get(ctx context.Context, key string) (Row, error)
		// Range returns up to limit rows whose key has the prefix and sorts
		// after the key after, in key order.
		Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
		// Commit applies a transaction and returns the version that every
		// written row now has. A lost answer is settled by reading back;
		// ErrUnknown is returned only where that could not be done either. An
		// ErrConflict may be a *ConflictError that names the rows.
		Commit(ctx context.Context, txn Txn) (int64, error)
	}

	// Objects is the platform's object store.
	Objects interface {
		PutObject(ctx context.Context, name string, body []byte) error
		GetObject(ctx context.Context, name string) ([]byte, error)
		ListObjects(ctx context.Context, prefix string) ([]string, error)
		DeleteObject(ctx context.Context, name string) error
	}

	// Lister gives the platform's lagging list of instances.
	Lister interface {
		ListInstances(ctx context.Context) ([]Instance, error)
		// Announce puts this instance on the list or marks it as leaving.
		Announce(ctx context.Context, instance Instance) error
	}

	// Platform is all of the above.
	Platform interface {
		Table
		Objects
		Lister
	}
)
