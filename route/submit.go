package route

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// unusableRetryDelay is when a retry may find an upstream usable again.
const unusableRetryDelay = 2 * time.Second

// Submit asks for an upstream. Resends are idempotent: a known call gets its
// present state, and a resend by another relay takes over the running attempt.
// A retry after a final decision needs a new ID.
func (p *Pool) Submit(c Call, now time.Time) []Decision {
	if e := p.calls[c.ID]; e != nil {
		p.resubmit(e, &c)
		return p.takeDecisions()
	}
	if refusal := p.refusal(&c, now); refusal != nil {
		p.counters.Refused++
		refusal.Attempts = c.Attempts
		p.decideRefuse(c.ID, c.Relay, refusal)
		return p.takeDecisions()
	}
	p.admit(c, now)
	return p.takeDecisions()
}

// Cancel ends a call whose caller is gone: a queued one at once, a running one
// by a Cancel decision, unless its relay reports the end itself.
func (p *Pool) Cancel(id string, now time.Time) []Decision {
	e := p.calls[id]
	switch {
	case e == nil:
		p.finished.add(id, ending{reason: ErrFinished, state: RunStateUnknown})
	case e.state == stateRunning:
		p.cancelRunning(e)
	default:
		p.dequeue(e)
		p.finish(e, e.runState())
	}
	p.dispatchAll(now)
	return p.takeDecisions()
}

func (p *Pool) resubmit(e *entry, c *Call) {
	if e.state != stateRunning {
		e.Relay = c.Relay
		p.decideQueued(e)
		return
	}
	resume := c.Relay != e.Relay || !e.orphanedAt.IsZero()
	e.Relay = c.Relay
	e.orphanedAt = time.Time{}
	p.schedule(e)
	p.decideAssign(e, nil, resume)
}

// refusal returns why the call can't be accepted, or nil.
func (p *Pool) refusal(c *Call, now time.Time) *Refuse {
	if end, ok := p.finished.get(c.ID); ok {
		return &Refuse{Reason: end.reason, RunState: end.state}
	}
	if p.suspects.isPoison(c.Fingerprint) {
		return &Refuse{Reason: ErrPoison, RunState: c.runState()}
	}
	if c.Begun && !c.Repeatable {
		return &Refuse{Reason: ErrUpstreamFailed, RunState: RunStateUnknown}
	}
	if !c.Deadline.IsZero() && !now.Before(c.Deadline) {
		return &Refuse{Reason: ErrDeadline, RunState: c.runState()}
	}
	if c.RunningProgram {
		return p.waitRefusal(c, now)
	}
	if p.newProgramsBlocked {
		return &Refuse{Reason: ErrDependency, RunState: c.runState(), RetryAfter: unusableRetryDelay}
	}
	if !p.settling.active && !p.Usable(now) {
		return &Refuse{Reason: ErrNoUpstream, RunState: c.runState(), RetryAfter: unusableRetryDelay}
	}
	return p.waitRefusal(c, now)
}

// waitRefusal refuses a call if the queue is full or the expected wait exceeds
// its deadline.
func (p *Pool) waitRefusal(c *Call, now time.Time) *Refuse {
	if p.queued == 0 {
		return nil
	}
	wait := p.expectedWait(c.Team)
	if p.queued >= p.limits.MaxQueued && !p.evictForCall(c) {
		return &Refuse{Reason: ErrQueueFull, RunState: c.runState(), RetryAfter: wait}
	}
	if !c.Deadline.IsZero() && now.Add(wait).After(c.Deadline) {
		return &Refuse{Reason: ErrDeadline, RunState: c.runState(), RetryAfter: wait}
	}
	return nil
}

// expectedWait returns how long a call of the team waits. Fair queueing puts no
// more calls of another team before it than the team has itself, scaled by the
// ratio of the weights.
func (p *Pool) expectedWait(name string) time.Duration {
	own, weight := 0, p.weight(name)
	if t := p.teams[name]; t != nil {
		own = t.queued
	}
	ahead := own
	for _, t := range p.teams {
		if t.name != name {
			ahead += min(t.queued, int(float64(own+1)*t.weight/weight)+1)
		}
	}
	return p.estimate.wait(ahead, p.slots())
}

// slots returns how many calls the service can run now.
func (p *Pool) slots() int {
	n := 0
	for _, u := range p.byName {
		if !u.leaving {
			n += u.ramp.allowance
		}
	}
	return n
}

// evictForCall refuses a waiting call of the team with the most calls for its
// weight, if that isn't the caller's own. A call that has begun isn't refused.
func (p *Pool) evictForCall(c *Call) bool {
	var heaviest *team
	load := float64(1)
	if t := p.teams[c.Team]; t != nil {
		load = float64(t.queued+1) / t.weight
	}
	for _, t := range p.teams {
		share := float64(t.queued) / t.weight
		if t.name != c.Team && (share > load || (heaviest != nil && share == load && t.name < heaviest.name)) {
			heaviest, load = t, share
		}
	}
	if heaviest == nil {
		return false
	}
	e := p.shared.last(heaviest)
	if e == nil || e.begun {
		return false
	}
	p.dequeue(e)
	p.refuse(e, &Refuse{Reason: ErrQueueFull, RunState: RunStateNotRun, RetryAfter: p.estimate.wait(p.queued, p.slots())})
	return true
}

// admit adds a new call.
func (p *Pool) admit(c Call, now time.Time) {
	c.Avoid = slices.Clone(c.Avoid)
	e := &entry{Call: c, queuedAt: now, index: -1, dueIndex: -1}
	e.attempt, e.begun = c.Attempts, c.Begun
	e.key = orderKey(&e.Call, now)
	e.team = p.team(c.Team)
	p.calls[c.ID] = e
	p.counters.Submitted++
	p.enqueue(e, now)
	if e.state != stateRunning {
		p.decideQueued(e)
	}
}

// enqueue marks a call as waiting and places it.
func (p *Pool) enqueue(e *entry, now time.Time) {
	p.queued++
	e.team.queued++
	e.state = stateQueued
	if !e.Deadline.IsZero() {
		p.due.push(e)
	}
	p.place(e, now)
}

// dequeue removes a waiting call from its queue.
func (p *Pool) dequeue(e *entry) {
	p.queued--
	e.team.queued--
	if e.dueIndex >= 0 {
		p.due.remove(e.dueIndex)
	}
	if e.queue != nil {
		e.queue.remove(e)
		return
	}
	if i := slices.Index(p.held, e); i >= 0 {
		p.held = slices.Delete(p.held, i, i+1)
	}
}

// finish ends a call that is no longer queued or running.
func (p *Pool) finish(e *entry, state RunState) {
	p.remove(e, ending{reason: ErrFinished, state: state})
}

// remove deletes a call. If the call was ever assigned, its ending is kept, so
// that a resend gets the same answer; a call that only waited may be submitted
// again.
func (p *Pool) remove(e *entry, how ending) {
	delete(p.calls, e.ID)
	if e.attempt > 0 || how.state != RunStateNotRun {
		p.finished.add(e.ID, how)
	}
	p.removeIdleTeam(e.team)
}

// refuse ends a call with a refusal.
func (p *Pool) refuse(e *entry, r *Refuse) {
	p.counters.Refused++
	r.Attempts = e.attempt
	p.decideRefuse(e.ID, e.Relay, r)
	p.remove(e, ending{reason: r.Reason, state: r.RunState})
}

func (p *Pool) refuseFor(e *entry, reason errors.ConstError) {
	p.refuse(e, &Refuse{Reason: reason, RunState: e.runState()})
}

func (p *Pool) decideRefuse(id, relay string, r *Refuse) {
	p.decisions = append(p.decisions, Decision{Kind: KindRefuse, Call: id, Relay: relay, Refuse: r})
}

func (p *Pool) decideQueued(e *entry) {
	p.decisions = append(p.decisions, Decision{Kind: KindQueued, Call: e.ID, Relay: e.Relay})
}

func (p *Pool) decideAssign(e *entry, move *Move, resume bool) {
	u := e.upstream
	p.decisions = append(p.decisions, Decision{
		Kind:  KindAssign,
		Call:  e.ID,
		Relay: e.Relay,
		Assign: &Assign{
			Upstream: u.Name,
			Address:  u.Address,
			Attempt:  e.attempt,
			Priority: priority(&e.Call),
			Resume:   resume,
			Move:     move,
			Warmth:   Warmth{Upstream: u.Name, Epoch: u.epoch, Allowance: u.ramp.allowance},
		},
	})
}

func (p *Pool) cancelRunning(e *entry) {
	if e.cancelSent {
		return
	}
	e.cancelSent = true
	p.decisions = append(p.decisions, Decision{
		Kind:   KindCancel,
		Call:   e.ID,
		Relay:  e.Relay,
		Cancel: &Cancel{Upstream: e.upstream.Name, Address: e.upstream.Address, Attempt: e.attempt},
	})
}
