package calls

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/route"
)

// cancelTimeout bounds the cancellation of one attempt at its engine.
const cancelTimeout = 2 * time.Second

// cancelAttempt stops a cancelled attempt at its engine. The engine would keep
// running it for a while, and its slot must not be reassigned before it ends.
func (r *modelRun) cancelAttempt(ctx context.Context, a route.Assign, report *route.Report) {
	if report.Outcome != route.OutcomeCancelled {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	target := engine.Target{Address: a.Address, Credential: r.service.Credential}
	if err := r.engines.CancelRequest(ctx, target, route.RequestID(report.Call, report.Attempt)); err != nil {
		r.common.Log.Debug("cannot cancel attempt", "upstream", a.Upstream, "error", err)
	}
}
