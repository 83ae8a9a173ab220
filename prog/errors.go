package prog

import "github.com/juju/errors"

const (
	// ErrRow says that a row's value cannot be read.
	ErrRow = errors.ConstError("row cannot be read")
	// ErrChain says that a family's rows do not fit together.
	ErrChain = errors.ConstError("turns do not fit together")
	// ErrClosed says that the Keeper is closed.
	ErrClosed = errors.ConstError("keeper closed")
)
