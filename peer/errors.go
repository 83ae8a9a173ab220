package peer

import (
	"github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// ErrUnreachable says that the peer did not answer; it may have acted.
	ErrUnreachable = errors.ConstError("peer unreachable")
	// ErrTimeout says that the peer did not answer in time; it may have acted.
	ErrTimeout = errors.ConstError("peer timed out")
	// ErrNotHome says that the peer is not the home that the request needs.
	ErrNotHome = errors.ConstError("peer is not the home")
)

func toPeerError(err error) error {
	s := status.Convert(err)
	switch s.Code() {
	case codes.DeadlineExceeded, codes.Canceled:
		return errors.WithType(errors.New(s.Message()), ErrTimeout)
	case codes.FailedPrecondition:
		return errors.WithType(errors.New(s.Message()), ErrNotHome)
	default:
		return errors.WithType(errors.New(s.Message()), ErrUnreachable)
	}
}

// notHomeError is ErrNotHome for a local asker and a status for a remote one.
type notHomeError struct{}

// NotHome returns the error that a handler answers where this instance is not
// the home of what the request names.
func NotHome() error { return notHomeError{} }

// Error returns the error as one line.
func (notHomeError) Error() string { return ErrNotHome.Error() }

// Is makes the error match ErrNotHome.
func (notHomeError) Is(target error) bool { return target == error(ErrNotHome) }

// GRPCStatus is how the error goes over the wire.
func (notHomeError) GRPCStatus() *status.Status {
	return status.New(codes.FailedPrecondition, ErrNotHome.Error())
}
