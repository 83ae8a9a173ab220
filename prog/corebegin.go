package prog

import (
	"slices"
	"time"
)

// begin answers a call that is already known and queues any other.
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
	expiresAt := now.Add(c.options.LongPollTimeout)
	a.queue = append(a.queue, &queuedCall{request: *r, ticket: t, expiresAt: expiresAt})
}

// answerKnown answers a call id that is completed, running or queued.
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

// renewPlace assigns a queued call's place to a later request of the same
// attempt.
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

// closedReason returns why a program accepts no further call, or an empty
// reason.
func (f *family) closedReason(a *agent, now time.Time) Reason {
	if f.ended || a.ended {
		return ReasonEnded
	}
	if f.ledger.TimeLeft(now) <= 0 {
		return ReasonBudgetSeconds
	}
	return ""
}

// startNext starts a program's next queued call unless one is running.
func (c *Core) startNext(f *family, a *agent, now time.Time) {
	if _, blocked := c.blockedShards[ShardOf(f.root)]; blocked || f.phase != phaseReady || f.unloading {
		return
	}
	c.adoptRelayed(a, now)
	for a.running == nil && len(a.queue) > 0 {
		e := a.queue[0]
		if e.ticket == 0 {
			return // its caller is expected to repeat the request
		}
		if c.answerUnstartable(f, a, e, now) {
			a.queue = slices.Delete(a.queue, 0, 1)
			continue
		}
		reservation := f.ledger.reservationFor(a.withHistoryTokens(&e.request))
		if !f.ledger.Charged().Add(reservation).Within(f.ledger.Limit) {
			f.shortfall = reservation
			return // the next commit raises the limit
		}
		a.queue = slices.Delete(a.queue, 0, 1)
		c.start(f, a, e, reservation, now)
	}
}

// answerUnstartable answers a queued call that must not start and reports
// whether it did.
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

// timeoutReason is the reason to refuse a program's first queued call at its
// deadline.
func (f *family) timeoutReason(a *agent) Reason {
	if a.running == nil && (f.shortfall != Usage{} || f.inflight != nil) {
		return ReasonStore // it waits for a higher limit
	}
	return ReasonDeadline
}

func (c *Core) start(f *family, a *agent, e *queuedCall, reservation Usage, now time.Time) {
	f.ledger.Reserve(reservation)
	f.lastActive = now
	c.stats.Starts++
	start := &Start{
		Turn:           a.nextTurn(),
		Previous:       a.head(),
		History:        a.history(),
		ReservedTokens: reservation.Tokens,
		HistoryTokens:  a.historyTokens(),
		TimeLeft:       f.ledger.TimeLeft(now),
		CachedOn:       slices.Clone(a.engines),
		Attained:       f.ledger.Spent.Sub(f.ledger.Unreported).Tokens,
	}
	a.running = &runningCall{request: e.request, start: start, reserved: reservation}
	c.replyBegin(e.ticket, &BeginReply{Start: start})
}

// shortage returns which part of the budget is too small for a call, if any.
func (l *Ledger) shortage(r *BeginRequest) Reason {
	remaining := l.Remaining()
	if remaining.Calls < 1 {
		return ReasonBudgetCalls
	}
	minimum := r.MinimumTokens
	if minimum <= 0 {
		minimum = r.EstimatedTokens
	}
	if remaining.Tokens < minimum {
		return ReasonBudgetTokens
	}
	return ""
}

// reservationFor returns the amount to reserve for a call that the budget
// allows.
func (l *Ledger) reservationFor(r *BeginRequest) Usage {
	return Usage{Calls: 1, Tokens: max(0, min(r.EstimatedTokens, l.Remaining().Tokens))}
}
