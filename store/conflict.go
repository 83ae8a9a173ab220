package store

// ConflictError is an ErrConflict that names the rows, as they are, whose
// conditions did not hold.
type ConflictError struct {
	Rows []Row
}

// Error returns the text of ErrConflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is says that the error is an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
