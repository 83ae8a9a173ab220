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
	if reason := f.closedFor(a, now); reason != "" {
		c.refuseBegin(t, reason)
		return
	}
	if len(a.queue) >= maxQueue {
		c.refuseBegin(t, ReasonQueueFull)
		return
	}
	ahead := r.ExpectedTurn > a.next() && a.running == nil && len(a.queue) == 0
	if ahead && c.refresh(f, parked{ticket: t, begin: r}, now) {
		return
	}
	f.touched = now
	f.idle = false
	until := now.Add(c.options.WaitBound)
	a.queue = append(a.queue, &entry{request: *r, ticket: t, until: until})
}

// answerKnown answers a call id that was seen before: completed, running or
// queued.
func (c *Core) answerKnown(a *agent, t Ticket, r *BeginRequest, now time.Time) bool {
	if number := a.completed(r.CallID); number > 0 {
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
			c.renew(e, i, t, now)
			return true
		}
	}
	return false
}

func (c *Core) answerRunning(run *running, t Ticket, r *BeginRequest) bool {
	if run.request.CallID != r.CallID {
		return false
	}
	if run.request.Digest != r.Digest {
		c.refuseBegin(t, ReasonConflict)
		return true
	}
	if run.request.Attempt != r.Attempt || run.foreign {
		return false
	}
	c.replyBegin(t, &BeginReply{Start: run.start})
	return true
}

// renew gives a queued call's place to a later sending of the same request.
func (c *Core) renew(e *entry, position int, t Ticket, now time.Time) {
	if e.ticket != 0 && e.ticket != t {
		c.replyBegin(e.ticket, &BeginReply{Wait: &Wait{Position: position}})
	}
	e.ticket = t
	e.until = now.Add(c.options.WaitBound)
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
func (f *family) closedFor(a *agent, now time.Time) Reason {
	if f.ended || a.ended {
		return ReasonEnded
	}
	if f.ledger.TimeLeft(now) <= 0 {
		return ReasonBudgetSeconds
	}
	return ""
}

// pump starts a program's next call if none runs.
func (c *Core) pump(f *family, a *agent, now time.Time) {
	if _, held := c.held[ShardOf(f.root)]; held || f.phase != phaseReady || f.leaving {
		return
	}
	c.expect(a, now)
	for a.running == nil && len(a.queue) > 0 {
		e := a.queue[0]
		if e.ticket == 0 {
			return // its asker is about to send again
		}
		if c.settled(f, a, e, now) {
			a.queue = slices.Delete(a.queue, 0, 1)
			continue
		}
		want := f.ledger.want(a.demand(&e.request))
		if !f.ledger.Committed().Add(want).Within(f.ledger.Mark) {
			f.need = want
			return // the next commit raises the mark
		}
		a.queue = slices.Delete(a.queue, 0, 1)
		c.start(f, a, e, want, now)
	}
}

// settled answers a queued call that must not start.
func (c *Core) settled(f *family, a *agent, e *entry, now time.Time) bool {
	if number := a.completed(e.request.CallID); number > 0 {
		c.replay(e.ticket, a, number, e.request.Digest)
		return true
	}
	reason := f.closedFor(a, now)
	switch {
	case reason != "":
	case !now.Before(e.request.Deadline):
		reason = f.lateReason(a)
	case e.request.ExpectedTurn != 0 && e.request.ExpectedTurn != a.next():
		reason = ReasonTurn
	default:
		reason = f.ledger.lacks(a.demand(&e.request))
	}
	if reason == "" {
		return false
	}
	c.refuseBegin(e.ticket, reason)
	return true
}

// lateReason is why a program's first waiting call has not started.
func (f *family) lateReason(a *agent) Reason {
	if a.running == nil && (f.need != Usage{} || f.flight != nil) {
		return ReasonStore // it waits for the mark
	}
	return ReasonDeadline
}

func (c *Core) start(f *family, a *agent, e *entry, want Usage, now time.Time) {
	f.ledger.Reserve(want)
	f.touched = now
	c.stats.Starts++
	start := &Start{
		Turn:           a.next(),
		Previous:       a.head(),
		History:        a.history(),
		ReservedTokens: want.Tokens,
		HistoryTokens:  a.historyTokens(),
		TimeLeft:       f.ledger.TimeLeft(now),
		CachedOn:       slices.Clone(a.engines),
		Attained:       f.ledger.Spent.Sub(f.ledger.Dead).Tokens,
	}
	a.running = &running{request: e.request, start: start, reserved: want}
	c.replyBegin(e.ticket, &BeginReply{Start: start})
}

// lacks returns which part of the budget is too small for a call.
func (l *Ledger) lacks(r *BeginRequest) Reason {
	left := l.Left()
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
func (l *Ledger) want(r *BeginRequest) Usage {
	return Usage{Calls: 1, Tokens: max(0, min(r.EstimatedTokens, l.Left().Tokens))}
}
