package keys

import "github.com/juju/errors"

const (
	// ErrMalformed says that a text is not a key or not an id of a key.
	ErrMalformed = errors.ConstError("malformed key")
	// ErrUnknownKey says that no such key was issued.
	ErrUnknownKey = errors.ConstError("unknown key")
	// ErrWithdrawn says that the key was withdrawn.
	ErrWithdrawn = errors.ConstError("withdrawn key")
	// ErrAmbiguous says that a part of an id fits several keys.
	ErrAmbiguous = errors.ConstError("several keys have this id")
	// ErrDamaged says that a row does not hold what it should.
	ErrDamaged = errors.ConstError("damaged key row")
	// ErrUnavailable says that the table service was not reached and that no
	// key was changed.
	ErrUnavailable = errors.ConstError("no key was changed, the platform is unavailable")
	// ErrUnknownOutcome says that the key may or may not have been changed.
	ErrUnknownOutcome = errors.ConstError("the key may or may not have been changed")
)
