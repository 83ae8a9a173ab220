package calls

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/route"
)

// resumable reports whether a broken stream can be resumed at its last chunk.
func resumable(err error) bool {
	return errors.Is(err, engine.ErrTruncated) || errors.Is(err, engine.ErrGap)
}

func outcomeOf(ctx context.Context, err error) route.Outcome {
	switch {
	case err == nil:
		return route.OutcomeCompleted
	case errors.Is(err, errCallerDisconnected) || ctx.Err() != nil:
		return route.OutcomeCancelled
	case errors.Is(err, engine.ErrUnreachable):
		return route.OutcomeUnreachable
	case errors.Is(err, engine.ErrRefused):
		return route.OutcomeRefused
	case errors.Is(err, engine.ErrFailed):
		return route.OutcomeFailed
	default:
		return route.OutcomeCrashed
	}
}

func refuseInterrupted(ctx context.Context, outcome route.Outcome) *Refusal {
	r := &Refusal{
		Status:   statusClientClosedRequest,
		Code:     "cancelled",
		Message:  "the caller left",
		RunState: Unknown,
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Status = http.StatusGatewayTimeout
		r.Code = "deadline"
		r.Message = "the answer did not come before the deadline"
	}
	if errors.Is(context.Cause(ctx), ErrKeyWithdrawn) {
		r.Status = http.StatusUnauthorized
		r.Code = "keyWithdrawn"
		r.Message = "the key was withdrawn while the call ran"
	}
	if errors.Is(context.Cause(ctx), ErrStopping) {
		r.Status = http.StatusServiceUnavailable
		r.Code = "unavailable"
		r.Message = "the instance stopped while the call ran"
	}
	if outcome == route.OutcomeUnreachable || outcome == route.OutcomeRefused {
		r.RunState = NotRun
	}
	return r
}
