package prog

import "github.com/juju/errors"

const (
	// ErrRow reports a malformed row value.
	ErrRow = errors.ConstError("malformed row")
	// ErrChain reports that a family's rows are inconsistent.
	ErrChain = errors.ConstError("inconsistent turn chain")
	// ErrClosed reports that the Driver is closed.
	ErrClosed = errors.ConstError("keeper closed")
)
