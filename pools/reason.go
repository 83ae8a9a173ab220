package pools

import (
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/route"
)

// reasons are the refusal reasons that can be decoded from their text.
var reasons = []errors.ConstError{
	route.ErrQueueFull, route.ErrDeadline, route.ErrNoUpstream, route.ErrDependency,
	route.ErrPoison, route.ErrUpstreamFailed, route.ErrFinished,
}

func newRefuseReply(r *route.Refuse) *RefuseReply {
	return &RefuseReply{Reason: r.Reason.Error(), RunState: r.RunState, RetryAfter: r.RetryAfter, Attempts: r.Attempts}
}

func (r *RefuseReply) refuse() *route.Refuse {
	out := &route.Refuse{Reason: route.ErrNoUpstream, RunState: r.RunState, RetryAfter: r.RetryAfter, Attempts: r.Attempts}
	for _, reason := range reasons {
		if reason.Error() == r.Reason {
			out.Reason = reason
		}
	}
	return out
}
