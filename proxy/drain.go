package proxy

import (
	"time"

	"github.com/buckthorntide/buckthorntide/common"
)

// DrainPlan is how a planned stop treats requests.
type DrainPlan struct {
	// AcceptUntil is until when requests are accepted. Accepted ones that are not sent
	// by then are refused if they may last longer than until AnswerBy, when the
	// instance ends.
	AcceptUntil time.Time
	AnswerBy    time.Time
}

// drain is a planned stop in progress.
type drain struct {
	DrainPlan
	// since is on the clock of common.Uptime.
	since time.Duration
}

// Drain makes every response close its connection, so that callers reconnect to
// other instances, and refuses requests by the plan. Later calls change nothing.
func (g *Proxy) Drain(plan DrainPlan) {
	g.drain.CompareAndSwap(nil, &drain{DrainPlan: plan, since: common.Uptime()})
}

// drainingFor returns how long callers have been asked to use other instances, or 0.
func (g *Proxy) drainingFor() time.Duration {
	d := g.drain.Load()
	if d == nil {
		return 0
	}
	return max(1, common.Uptime()-d.since)
}

// askToReconnect makes the answer close its connection if the instance drains, also
// if it began to do so after the request.
func (x *exchange) askToReconnect() {
	if x.proxy.drain.Load() != nil {
		x.w.Header().Set("Connection", "close")
	}
}

// checkDrain refuses a request that came too late to be accepted, or that may not be
// answered before the instance ends.
func (x *exchange) checkDrain() *refusal {
	d := x.proxy.drain.Load()
	switch {
	case d == nil || time.Now().Before(d.AcceptUntil):
		return nil
	case x.start.After(d.AcceptUntil):
		return refuseNotReady("the instance stops and accepts no more requests")
	case x.answerDeadline().After(d.AnswerBy):
		return refuseNotReady("the instance stops before the answer is due")
	default:
		return nil
	}
}
