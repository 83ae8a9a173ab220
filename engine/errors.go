package engine

import "github.com/juju/errors"

const (
	// ErrTruncated means that a stream ended without its end marker.
	ErrTruncated = errors.ConstError("stream is truncated")
	// ErrGap means that a chunk of the stream is missing.
	ErrGap = errors.ConstError("stream has a gap")
	// ErrChunkTooLong means that an event is longer than MaxEventBytes.
	ErrChunkTooLong = errors.ConstError("stream event is too long")
	// ErrWrongRequest means that a response belongs to another request.
	ErrWrongRequest = errors.ConstError("answer belongs to another request")
	// ErrUnreachable means that no connection to the engine could be made, so
	// nothing ran.
	ErrUnreachable = errors.ConstError("engine unreachable")
	// ErrBroken means that the connection broke after the request was sent, so
	// the request may have run.
	ErrBroken = errors.ConstError("connection broke")
	// ErrRefused means that the engine refused a request without running it.
	ErrRefused = errors.ConstError("engine refused the request")
	// ErrFailed means that the engine started the request and failed.
	ErrFailed = errors.ConstError("engine failed")
	// ErrNotFound means that the engine has no such request or prefix.
	ErrNotFound = errors.ConstError("engine has no such entry")
	// ErrStaleFence means that an order's fencing number is stale or its lease has
	// expired.
	ErrStaleFence = errors.ConstError("fencing number is old")
	// ErrRateLimited means that the weight store's rate allows no load now.
	ErrRateLimited = errors.ConstError("weight store rate is used up")
	// ErrLeaseHeld means that the previous holder's lease may still be valid.
	ErrLeaseHeld = errors.ConstError("previous holder's lease may still run")
)
