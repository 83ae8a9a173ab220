package prog

import (
	"slices"
	"time"
)

// end handles the report of a call's outcome.
func (c *Core) end(f *family, t Ticket, r *EndRequest, now time.Time) {
	a := f.agent(r.Program)
	if a == nil || f.team != r.Team {
		c.refuseEnd(t, ReasonUnknownProgram)
		return
	}
	f.lastActive = now
	if r.Outcome != OutcomeCompleted {
		c.endWithoutAnswer(f, a, r)
		c.replyEnd(t, &EndReply{Kept: true})
		return
	}
	switch {
	case r.Turn < a.nextTurn():
		c.endDuplicate(a, t, r, now)
	case r.Turn > a.nextTurn() && c.refresh(f, pendingRequest{ticket: t, end: r}, now):
	case r.Turn > a.nextTurn():
		c.refuseEnd(t, ReasonTurn)
	case r.Previous != a.head() && a.headCommitted():
		c.supersede(t, nil)
	case r.Previous != a.head():
		c.refuseEnd(t, ReasonTurn)
	default:
		c.appendTurn(f, a, t, r, now)
	}
}

// endWithoutAnswer settles a call that adds nothing to the history. Its usage
// is within the committed limit, so that it need not be committed at once.
func (c *Core) endWithoutAnswer(f *family, a *agent, r *EndRequest) {
	c.dequeueWithdrawn(a, r)
	run := a.running
	if run == nil || !run.matches(r) {
		return
	}
	if r.Outcome == OutcomeUnknown {
		c.abandonRunning(f, a)
		return
	}
	f.ledger.settleRunning(run, Usage{Calls: 1, Tokens: r.PromptTokens + r.AnswerTokens})
	a.running = nil
	a.markCached(r.Engine)
	c.releaseEnded(f, a)
}

// dequeueWithdrawn removes a withdrawn call from the queue.
func (c *Core) dequeueWithdrawn(a *agent, r *EndRequest) {
	a.queue = slices.DeleteFunc(a.queue, func(e *queuedCall) bool {
		withdrawn := r.Turn == 0 && e.request.CallID == r.CallID && e.request.Attempt == r.Attempt
		if withdrawn {
			c.refuseBegin(e.ticket, ReasonCancelled)
		}
		return withdrawn
	})
}

// endDuplicate answers a report for a turn that exists already, recorded from
// the same report or from another.
func (c *Core) endDuplicate(a *agent, t Ticket, r *EndRequest, now time.Time) {
	done := a.turns[r.Turn-1]
	switch {
	case newTurn(r).digest == done.digest:
		c.awaitTurnCommit(done, t, now)
	case done.uncommitted == nil:
		c.supersede(t, done.stored(r.Turn))
	default:
		c.refuseEnd(t, ReasonTurn) // the other is not committed either
	}
}

// appendTurn records a report as the program's next turn.
func (c *Core) appendTurn(f *family, a *agent, t Ticket, r *EndRequest, now time.Time) {
	done := newTurn(r)
	switch run := a.running; {
	case run != nil && run.matches(r):
		f.ledger.settleRunning(run, done.usage)
		a.running = nil
	case run != nil:
		c.abandonRunning(f, a)
		f.ledger.SettleUnreported(done.usage)
	default:
		f.ledger.SettleUnreported(done.usage)
	}
	a.turns = append(a.turns, done)
	a.markCached(r.Engine)
	c.stats.Turns++
	c.awaitTurnCommit(done, t, now)
	c.replayQueued(a, r.CallID)
	c.releaseEnded(f, a)
}

// replayQueued replays the answer to queued resends of the call.
func (c *Core) replayQueued(a *agent, callID string) {
	number := len(a.turns)
	a.queue = slices.DeleteFunc(a.queue, func(e *queuedCall) bool {
		if e.request.CallID != callID || e.ticket == 0 {
			return false
		}
		c.replay(e.ticket, a, number, e.request.Digest)
		return true
	})
}

func (c *Core) awaitTurnCommit(done *turn, t Ticket, now time.Time) {
	if done.uncommitted == nil {
		c.replyEnd(t, &EndReply{Kept: true})
		return
	}
	done.uncommitted.waiters = append(done.uncommitted.waiters, waiter{
		ticket:         t,
		expiresAt:      now.Add(c.commitTimeout()),
		committedReply: Reply{End: &EndReply{Kept: true}},
		timeoutReply:   Reply{End: &EndReply{}},
	})
}

// abandonRunning ends the running call and counts its reservation as spent.
func (c *Core) abandonRunning(f *family, a *agent) {
	if !a.running.reservedElsewhere {
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

// matches reports whether a report belongs to the running call.
func (r *runningCall) matches(e *EndRequest) bool {
	return (e.Turn == 0 || e.Turn == r.start.Turn) &&
		r.request.CallID == e.CallID &&
		r.request.Attempt == e.Attempt
}

// settleRunning settles the reservation of a running call.
func (l *Ledger) settleRunning(run *runningCall, used Usage) {
	if run.reservedElsewhere {
		l.SettleUnreported(used)
		return
	}
	l.Settle(run.reserved, used)
}
