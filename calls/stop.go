package calls

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/route"
)

// stopTimeout bounds the cancelling of one attempt at its engine.
const stopTimeout = 2 * time.Second

// stop ends an attempt whose answer nobody reads at its engine: the engine
// would go on for a while, and its slot must not be given away before.
func (r *run) stop(ctx context.Context, a route.Assign, report *route.Report) {
	if report.Outcome != route.OutcomeCancelled {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	target := engine.Target{Address: a.Address, Credential: r.service.Credential}
	if err := r.engines.CancelRequest(ctx, target, route.RequestID(report.Call, report.Attempt)); err != nil {
		r.common.Log.Debug("An attempt was not cancelled.", "upstream", a.Upstream, "error", err)
	}
}
