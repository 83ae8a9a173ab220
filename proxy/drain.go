package proxy

import "github.com/buckthorntide/buckthorntide/drain"

// Drain makes every response close its connection, so that callers reconnect to
// other instances, and refuses requests by the plan. Later calls change nothing.
func (g *Proxy) Drain(plan drain.Plan) { g.drain.Begin(plan) }

// askToReconnect makes the answer close its connection if the instance drains, also
// if it began to do so after the request.
func (x *exchange) askToReconnect() {
	if x.proxy.drain.Begun() {
		x.w.Header().Set("Connection", "close")
	}
}

// checkDrain refuses a request that came too late to be accepted, or that may not be
// answered before the instance ends.
func (x *exchange) checkDrain() *refusal {
	switch {
	case x.proxy.drain.Closed(x.start):
		return refuseNotReady("the instance stops and accepts no more requests")
	case x.proxy.drain.Refuses(x.answerDeadline()):
		return refuseNotReady("the instance stops before the answer is due")
	default:
		return nil
	}
}
