package prog

import (
	"slices"
	"time"
)

// end takes a report in.
func (c *Core) end(f *family, t Ticket, r *EndRequest, now time.Time) {
	a := f.agent(r.Program)
	if a == nil || f.team != r.Team {
		c.refuseEnd(t, ReasonUnknownProgram)
		return
	}
	f.touched = now
	if r.Outcome != OutcomeCompleted {
		c.endWithoutAnswer(f, a, r)
		c.replyEnd(t, &EndReply{Kept: true})
		return
	}
	switch {
	case r.Turn < a.next():
		c.endAgain(a, t, r, now)
	case r.Turn > a.next() && c.refresh(f, parked{ticket: t, end: r}, now):
	case r.Turn > a.next():
		c.refuseEnd(t, ReasonTurn)
	case r.Previous != a.head() && a.headKept():
		c.supersede(t, nil)
	case r.Previous != a.head():
		c.refuseEnd(t, ReasonTurn)
	default:
		c.append(f, a, t, r, now)
	}
}

// endWithoutAnswer settles a call that adds nothing to the history. What it
// used lies below the mark, so that it need not be committed at once.
func (c *Core) endWithoutAnswer(f *family, a *agent, r *EndRequest) {
	c.unqueue(a, r)
	run := a.running
	if run == nil || !run.is(r) {
		return
	}
	if r.Outcome == OutcomeUnknown {
		c.drop(f, a)
		return
	}
	f.ledger.finish(run, Usage{Calls: 1, Tokens: r.PromptTokens + r.AnswerTokens})
	a.running = nil
	a.cached(r.Engine)
	c.releaseEnded(f, a)
}

// unqueue takes a withdrawn call out of the queue.
func (c *Core) unqueue(a *agent, r *EndRequest) {
	a.queue = slices.DeleteFunc(a.queue, func(e *entry) bool {
		withdrawn := r.Turn == 0 && e.request.CallID == r.CallID && e.request.Attempt == r.Attempt
		if withdrawn {
			c.refuseBegin(e.ticket, ReasonCancelled)
		}
		return withdrawn
	})
}

// endAgain answers a report for a turn that is taken: by the same report, or
// by another.
func (c *Core) endAgain(a *agent, t Ticket, r *EndRequest, now time.Time) {
	done := a.turns[r.Turn-1]
	switch {
	case newTurn(r).digest == done.digest:
		c.awaitTurn(done, t, now)
	case done.pending == nil:
		c.supersede(t, done.stored(r.Turn))
	default:
		c.refuseEnd(t, ReasonTurn) // the other is not surely kept either
	}
}

// append makes a report the program's next turn.
func (c *Core) append(f *family, a *agent, t Ticket, r *EndRequest, now time.Time) {
	done := newTurn(r)
	switch run := a.running; {
	case run != nil && run.is(r):
		f.ledger.finish(run, done.usage)
		a.running = nil
	case run != nil:
		c.drop(f, a)
		f.ledger.SettleDead(done.usage)
	default:
		f.ledger.SettleDead(done.usage)
	}
	a.turns = append(a.turns, done)
	a.cached(r.Engine)
	c.stats.Turns++
	c.awaitTurn(done, t, now)
	c.replayQueued(a, r.CallID)
	c.releaseEnded(f, a)
}

// replayQueued answers the resends that waited for a call.
func (c *Core) replayQueued(a *agent, callID string) {
	number := len(a.turns)
	a.queue = slices.DeleteFunc(a.queue, func(e *entry) bool {
		if e.request.CallID != callID || e.ticket == 0 {
			return false
		}
		c.replay(e.ticket, a, number, e.request.Digest)
		return true
	})
}

func (c *Core) awaitTurn(done *turn, t Ticket, now time.Time) {
	if done.pending == nil {
		c.replyEnd(t, &EndReply{Kept: true})
		return
	}
	done.pending.waiters = append(done.pending.waiters, waiter{
		ticket:  t,
		until:   now.Add(c.keptBound()),
		kept:    Reply{End: &EndReply{Kept: true}},
		notKept: Reply{End: &EndReply{}},
	})
}

// drop takes the turn from a running call and counts its reservation as
// spent.
func (c *Core) drop(f *family, a *agent) {
	if !a.running.foreign {
		f.ledger.Abandon(a.running.reserved)
	}
	a.running = nil
}

func (c *Core) supersede(t Ticket, stored *Stored) {
	c.stats.Superseded++
	c.replyEnd(t, &EndReply{Superseded: true, Stored: stored})
}

func (c *Core) releaseEnded(f *family, a *agent) {
	if f.ended || a.ended {
		c.release(a)
	}
}

// is reports whether a report is that of the running call.
func (r *running) is(e *EndRequest) bool {
	return (e.Turn == 0 || e.Turn == r.start.Turn) &&
		r.request.CallID == e.CallID &&
		r.request.Attempt == e.Attempt
}

// finish settles a running call.
func (l *Ledger) finish(run *running, used Usage) {
	if run.foreign {
		l.SettleDead(used)
		return
	}
	l.Settle(run.reserved, used)
}
