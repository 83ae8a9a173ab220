package keys

import "github.com/juju/errors"

const (
	// ErrMalformed reports a string that is not a well-formed key or key id.
	ErrMalformed = errors.ConstError("malformed key")
	// ErrUnknownKey reports a key that was never issued.
	ErrUnknownKey = errors.ConstError("unknown key")
	// ErrWithdrawn reports a key that has been withdrawn.
	ErrWithdrawn = errors.ConstError("withdrawn key")
	// ErrAmbiguous reports an id prefix that matches several keys.
	ErrAmbiguous = errors.ConstError("several keys have this id")
	// ErrDamaged reports a row that can't be decoded.
	ErrDamaged = errors.ConstError("damaged key row")
	// ErrUnavailable reports that the table service was unreachable and that no
	// key was changed.
	ErrUnavailable = errors.ConstError("no key was changed, the platform is unavailable")
	// ErrUnknownOutcome reports that the key may or may not have been changed.
	ErrUnknownOutcome = errors.ConstError("the key may or may not have been changed")
)
