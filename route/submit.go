package route

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// unusableRetry is when a new try may find an upstream again.
const unusableRetry = 2 * time.Second

// Submit asks for an upstream. A call that is known already is answered as it
// stands: a resend is idempotent, and a resend by another relay takes the
// running attempt over. A new try after a final decision needs a new ID.
func (p *Pool) Submit(c Call, now time.Time) []Decision {
	if e := p.calls[c.ID]; e != nil {
		p.resubmit(e, &c)
		return p.take()
	}
	if refusal := p.refusal(&c, now); refusal != nil {
		p.counters.Refused++
		refusal.Attempts = c.Attempts
		p.decideRefuse(c.ID, c.Relay, refusal)
		return p.take()
	}
	p.enter(c, now)
	return p.take()
}

// Cancel ends a call whose caller has gone: a queued one at once, a running
// one by a Cancel decision, unless its relay reports the end itself.
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
	p.fillAll(now)
	return p.take()
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

// refusal returns why the call can't be taken, or nil.
func (p *Pool) refusal(c *Call, now time.Time) *Refuse {
	if end, ok := p.finished.get(c.ID); ok {
		return &Refuse{Reason: end.reason, RunState: end.state}
	}
	if p.suspects.convicted(c.Fingerprint) {
		return &Refuse{Reason: ErrPoison, RunState: c.runState()}
	}
	if c.Begun && !c.Repeatable {
		return &Refuse{Reason: ErrUpstreamFailed, RunState: RunStateUnknown}
	}
	if !c.Deadline.IsZero() && !now.Before(c.Deadline) {
		return &Refuse{Reason: ErrDeadline, RunState: c.runState()}
	}
	if c.RunningProgram {
		return p.refuseLate(c, now)
	}
	if p.blocked {
		return &Refuse{Reason: ErrDependency, RunState: c.runState(), RetryAfter: unusableRetry}
	}
	if !p.settling.active && !p.Usable(now) {
		return &Refuse{Reason: ErrNoUpstream, RunState: c.runState(), RetryAfter: unusableRetry}
	}
	return p.refuseLate(c, now)
}

// refuseLate refuses a call that would wait beyond its deadline, and one that
// finds the queue full.
func (p *Pool) refuseLate(c *Call, now time.Time) *Refuse {
	if p.queued == 0 {
		return nil
	}
	wait := p.expectedWait(c.Team)
	if p.queued >= p.limits.MaxQueued && !p.makeRoom(c) {
		return &Refuse{Reason: ErrQueueFull, RunState: c.runState(), RetryAfter: wait}
	}
	if !c.Deadline.IsZero() && now.Add(wait).After(c.Deadline) {
		return &Refuse{Reason: ErrDeadline, RunState: c.runState(), RetryAfter: wait}
	}
	return nil
}

// expectedWait is how long a call of the team waits. Fair queueing puts no
// more calls of another team before it than the team has itself, over the
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

// slots is how many calls the service bears now.
func (p *Pool) slots() int {
	n := 0
	for _, u := range p.order {
		if !u.leaving {
			n += u.ramp.allowance
		}
	}
	return n
}

// makeRoom refuses a waiting call of the team that has most for its weight, if
// that isn't the caller's own. A call that has begun isn't refused.
func (p *Pool) makeRoom(c *Call) bool {
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

// enter takes a new call in.
func (p *Pool) enter(c Call, now time.Time) {
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

// enqueue makes a call wait and places it.
func (p *Pool) enqueue(e *entry, now time.Time) {
	p.queued++
	e.team.queued++
	e.state = stateQueued
	if !e.Deadline.IsZero() {
		p.due.push(e)
	}
	p.place(e, now)
}

// dequeue takes a waiting call out of wherever it waits.
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

// finish forgets a call that isn't queued or running any more.
func (p *Pool) finish(e *entry, state RunState) {
	p.end(e, ending{reason: ErrFinished, state: state})
}

// end forgets a call but for how it ended, if it was ever assigned: a resend
// gets the same answer. A call that only waited may be sent again.
func (p *Pool) end(e *entry, how ending) {
	delete(p.calls, e.ID)
	if e.attempt > 0 || how.state != RunStateNotRun {
		p.finished.add(e.ID, how)
	}
	p.forgetTeam(e.team)
}

// refuse ends a call with a refusal.
func (p *Pool) refuse(e *entry, r *Refuse) {
	p.counters.Refused++
	r.Attempts = e.attempt
	p.decideRefuse(e.ID, e.Relay, r)
	p.end(e, ending{reason: r.Reason, state: r.RunState})
}

func (p *Pool) refuseFor(e *entry, reason errors.ConstError) {
	p.refuse(e, &Refuse{Reason: reason, RunState: e.runState()})
}

func (p *Pool) decideRefuse(id, relay string, r *Refuse) {
	p.out = append(p.out, Decision{Kind: KindRefuse, Call: id, Relay: relay, Refuse: r})
}

func (p *Pool) decideQueued(e *entry) {
	p.out = append(p.out, Decision{Kind: KindQueued, Call: e.ID, Relay: e.Relay})
}

func (p *Pool) decideAssign(e *entry, move *Move, resume bool) {
	u := e.upstream
	p.out = append(p.out, Decision{
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
	p.out = append(p.out, Decision{
		Kind:   KindCancel,
		Call:   e.ID,
		Relay:  e.Relay,
		Cancel: &Cancel{Upstream: e.upstream.Name, Address: e.upstream.Address, Attempt: e.attempt},
	})
}
