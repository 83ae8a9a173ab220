package peer

import (
	"github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// ErrUnreachable means that the peer sent no reply; it may have applied the
	// request.
	ErrUnreachable = errors.ConstError("peer unreachable")
	// ErrFailed is an ErrUnreachable of a peer that did reply: its handler returned an
	// error, or it doesn't know the method.
	ErrFailed = errors.ConstError("peer failed the call")
	// ErrTimeout means that no reply arrived in time; the peer may have applied
	// the request.
	ErrTimeout = errors.ConstError("peer timed out")
	// ErrNotHome means that the peer is not the home of the shard that the request
	// concerns.
	ErrNotHome = errors.ConstError("peer is not the home")
)

func toPeerError(err error) error {
	s := status.Convert(err)
	switch s.Code() {
	case codes.DeadlineExceeded, codes.Canceled:
		return errors.WithType(errors.New(s.Message()), ErrTimeout)
	case codes.FailedPrecondition:
		return errors.WithType(errors.New(s.Message()), ErrNotHome)
	case codes.Unavailable:
		return errors.WithType(errors.New(s.Message()), ErrUnreachable)
	default:
		return errors.WithType(errors.WithType(errors.New(s.Message()), ErrFailed), ErrUnreachable)
	}
}

// notHomeError matches ErrNotHome for a local caller and carries the gRPC status
// for a remote one.
type notHomeError struct{}

// NotHome returns the error of a handler whose instance is not the home of the
// shard that the request concerns.
func NotHome() error { return notHomeError{} }

// Error returns the text of ErrNotHome.
func (notHomeError) Error() string { return ErrNotHome.Error() }

// Is makes the error match ErrNotHome.
func (notHomeError) Is(target error) bool { return target == error(ErrNotHome) }

// GRPCStatus returns the status that represents the error on the wire.
func (notHomeError) GRPCStatus() *status.Status {
	return status.New(codes.FailedPrecondition, ErrNotHome.Error())
}
