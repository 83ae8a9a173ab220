package engine

import "github.com/juju/errors"

const (
	// ErrTruncated says that a stream ended without its end mark.
	ErrTruncated = errors.ConstError("stream is truncated")
	// ErrGap says that a chunk stayed missing.
	ErrGap = errors.ConstError("stream has a gap")
	// ErrChunkTooLong says that an event is longer than MaxEventBytes.
	ErrChunkTooLong = errors.ConstError("stream event is too long")
	// ErrWrongRequest says that an answer belongs to another request.
	ErrWrongRequest = errors.ConstError("answer belongs to another request")
	// ErrUnreachable says that the engine took no connection, so that nothing
	// ran.
	ErrUnreachable = errors.ConstError("engine unreachable")
	// ErrBroken says that the connection broke after the request was sent, so
	// that it may have run.
	ErrBroken = errors.ConstError("connection broke")
	// ErrRefused says that the engine refused a request before it ran.
	ErrRefused = errors.ConstError("engine refused the request")
	// ErrFailed says that the engine ran a request and failed.
	ErrFailed = errors.ConstError("engine failed")
	// ErrNotFound says that the engine knows no such request or prefix.
	ErrNotFound = errors.ConstError("engine has no such entry")
	// ErrOldFence says that the engine refused an old fencing number.
	ErrOldFence = errors.ConstError("fencing number is old")
	// ErrRate says that the weight store's rate leaves no room for a load now.
	ErrRate = errors.ConstError("weight store rate is used up")
	// ErrLeaseHeld says that the previous holder's lease may still run.
	ErrLeaseHeld = errors.ConstError("previous holder's lease may still run")
)
