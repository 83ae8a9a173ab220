package prog

import (
	"slices"
	"time"
)

// begin answers what is known already, and queues the rest.
func (c *Core) begin(f *family, t Ticket, r *BeginRequest, now time.Time) {
	a := f.agent(r.Program)
	if a == nil || f.team != r.Team {
		c.refuseBegin(t, ReasonUnknownProgram)
		return
	}
	if c.answerKnown(a, t, r, now) {
		return
	}
	if reason := f.closedReason(a, now); reason != "" {
		c.refuseBegin(t, reason)
		return
	}
	if len(a.queue) >= maxQueuedCalls {
		c.refuseBegin(t, ReasonQueueFull)
		return
	}
	ahead := r.ExpectedTurn > a.nextTurn() && a.running == nil && len(a.queue) == 0
	if ahead && c.refresh(f, pendingRequest{ticket: t, begin: r}, now) {
		return
	}
	f.lastActive = now
	f.idle = false
	until := now.Add(c.options.LongPollTimeout)
	a.queue = append(a.queue, &queuedCall{request: *r, ticket: t, expiresAt: until})
}

// answerKnown answers a call id that was seen before: completed, running or
// queued.
func (c *Core) answerKnown(a *agent, t Ticket, r *BeginRequest, now time.Time) bool {
	if number := a.completedTurn(r.CallID); number > 0 {
		c.replay(t, a, number, r.Digest)
		return true
	}
	if a.running != nil && c.answerRunning(a.running, t, r) {
		return true
	}
	for i, e := range a.queue {
		if e.request.CallID != r.CallID {
			continue
		}
		if e.request.Digest != r.Digest {
			c.refuseBegin(t, ReasonConflict)
			return true
		}
		if e.request.Attempt == r.Attempt {
			c.renewPlace(e, i, t, now)
			return true
		}
	}
	return false
}

func (c *Core) answerRunning(run *runningCall, t Ticket, r *BeginRequest) bool {
	if run.request.CallID != r.CallID {
		return false
	}
	if run.request.Digest != r.Digest {
		c.refuseBegin(t, ReasonConflict)
		return true
	}
	if run.request.Attempt != r.Attempt || run.reservedElsewhere {
		return false
	}
	c.replyBegin(t, &BeginReply{Start: run.start})
	return true
}

// renew gives a queued call's place to a later sending of the same request.
func (c *Core) renewPlace(e *queuedCall, position int, t Ticket, now time.Time) {
	if e.ticket != 0 && e.ticket != t {
		c.replyBegin(e.ticket, &BeginReply{Wait: &Wait{Position: position}})
	}
	e.ticket = t
	e.expiresAt = now.Add(c.options.LongPollTimeout)
}

func (c *Core) replay(t Ticket, a *agent, number int, digest string) {
	done := a.turns[number-1]
	if done.requestDigest != digest {
		c.refuseBegin(t, ReasonConflict)
		return
	}
	c.stats.Replays++
	c.replyBegin(t, &BeginReply{Replay: done.stored(number)})
}

// closedFor returns why a program takes no further call, if so.
func (f *family) closedReason(a *agent, now time.Time) Reason {
	if f.ended || a.ended {
		return ReasonEnded
	}
	if f.ledger.TimeLeft(now) <= 0 {
		return ReasonBudgetSeconds
	}
	return ""
}

// pump starts a program's next call if none runs.
func (c *Core) startNext(f *family, a *agent, now time.Time) {
	if _, held := c.blockedShards[ShardOf(f.root)]; held || f.phase != phaseReady || f.unloading {
		return
	}
	c.adoptRelayed(a, now)
	for a.running == nil && len(a.queue) > 0 {
		e := a.queue[0]
		if e.ticket == 0 {
			return // its asker is about to send again
		}
		if c.answerUnstartable(f, a, e, now) {
			a.queue = slices.Delete(a.queue, 0, 1)
			continue
		}
		want := f.ledger.reservationFor(a.withHistoryTokens(&e.request))
		if !f.ledger.Charged().Add(want).Within(f.ledger.Limit) {
			f.shortfall = want
			return // the next commit raises the mark
		}
		a.queue = slices.Delete(a.queue, 0, 1)
		c.start(f, a, e, want, now)
	}
}

// settled answers a queued call that must not start.
func (c *Core) answerUnstartable(f *family, a *agent, e *queuedCall, now time.Time) bool {
	if number := a.completedTurn(e.request.CallID); number > 0 {
		c.replay(e.ticket, a, number, e.request.Digest)
		return true
	}
	reason := f.closedReason(a, now)
	switch {
	case reason != "":
	case !now.Before(e.request.Deadline):
		reason = f.timeoutReason(a)
	case e.request.ExpectedTurn != 0 && e.request.ExpectedTurn != a.nextTurn():
		reason = ReasonTurn
	default:
		reason = f.ledger.shortage(a.withHistoryTokens(&e.request))
	}
	if reason == "" {
		return false
	}
	c.refuseBegin(e.ticket, reason)
	return true
}

// lateReason is why a program's first waiting call has not started.
func (f *family) timeoutReason(a *agent) Reason {
	if a.running == nil && (f.shortfall != Usage{} || f.inflight != nil) {
		return ReasonStore // it waits for the mark
	}
	return ReasonDeadline
}

func (c *Core) start(f *family, a *agent, e *queuedCall, want Usage, now time.Time) {
	f.ledger.Reserve(want)
	f.lastActive = now
	c.stats.Starts++
	start := &Start{
		Turn:           a.nextTurn(),
		Previous:       a.head(),
		History:        a.history(),
		ReservedTokens: want.Tokens,
		HistoryTokens:  a.historyTokens(),
		TimeLeft:       f.ledger.TimeLeft(now),
		CachedOn:       slices.Clone(a.engines),
		Attained:       f.ledger.Spent.Sub(f.ledger.Unreported).Tokens,
	}
	a.running = &runningCall{request: e.request, start: start, reserved: want}
	c.replyBegin(e.ticket, &BeginReply{Start: start})
}

// lacks returns which part of the budget is too small for a call.
func (l *Ledger) shortage(r *BeginRequest) Reason {
	left := l.Remaining()
	if left.Calls < 1 {
		return ReasonBudgetCalls
	}
	least := r.MinimumTokens
	if least <= 0 {
		least = r.EstimatedTokens
	}
	if left.Tokens < least {
		return ReasonBudgetTokens
	}
	return ""
}

// want returns what to reserve for a call that nothing is lacking for.
func (l *Ledger) reservationFor(r *BeginRequest) Usage {
	return Usage{Calls: 1, Tokens: max(0, min(r.EstimatedTokens, l.Remaining().Tokens))}
}
