package route

import (
	"slices"
	"time"
)

const (
	// failuresInRow is how many failures in a row take an upstream for down.
	failuresInRow = 3
	// refusedPause is how long an upstream that refuses gets nothing.
	refusedPause = 250 * time.Millisecond
)

// Done takes the report of an attempt's end. A late or doubled report of an
// attempt that has ended is dropped.
func (p *Pool) Done(r Report, now time.Time) []Decision {
	e := p.calls[r.Call]
	if e == nil || e.state != stateRunning || e.attempt != r.Attempt {
		return nil
	}
	u := e.upstream
	p.detach(e, u)
	p.learn(e, u, &r, now)
	p.conclude(e, &r, now)
	if u.leaving {
		p.forgetIdle(u, p.named(u))
	}
	p.releaseHeld(now)
	p.fill(u, now)
	return p.take()
}

// detach takes the attempt out of its upstream's books.
func (p *Pool) detach(e *entry, u *upstream) {
	delete(u.running, e.ID)
	u.live -= e.PromptTokens
	if len(u.running) == 0 {
		u.prefillUntil = time.Time{}
	}
	if u.suspect == e {
		u.suspect = nil
	}
	e.alone = false
	e.team.running--
	if e.dueIndex >= 0 {
		p.due.remove(e.dueIndex)
	}
	e.upstream = nil
}

// learn takes what the attempt tells about its upstream.
func (p *Pool) learn(e *entry, u *upstream, r *Report, now time.Time) {
	switch r.Outcome {
	case OutcomeCompleted:
		p.learnSuccess(e, u, r, now)
	case OutcomeCrashed:
		p.noteCrash(u, e, r.Relay, now)
	case OutcomeUnreachable:
		u.reset()
		u.goDown(&p.limits, now)
		p.replaceQueued(u, now)
	case OutcomeRefused:
		u.downUntil = maxTime(u.downUntil, now.Add(refusedPause))
		p.replaceQueued(u, now)
	case OutcomeFailed:
		p.learnFailure(u, now)
	case OutcomeCancelled:
		p.pause(e, u, r, now)
	}
}

func (p *Pool) learnFailure(u *upstream, now time.Time) {
	u.failures++
	if u.failures < failuresInRow {
		return
	}
	u.failures = 0
	u.reset()
	u.goDown(&p.limits, now)
	p.replaceQueued(u, now)
}

func (p *Pool) learnSuccess(e *entry, u *upstream, r *Report, now time.Time) {
	took := now.Sub(e.startedAt)
	u.failures = 0
	if e.startedAt.After(u.crashedAt) {
		u.comeUp()
	}
	p.budget.succeed()
	p.suspects.clear(e.Fingerprint)
	p.estimate.serviceTime(took)
	e.team.charge(took.Seconds() - e.cost)
	p.pause(e, u, r, now)
	p.learnFirstToken(e, u, r)
	u.ramp.succeed(e.generation)
}

// pause notes the prefix that the attempt left and reserves its place for the
// program's next call.
func (p *Pool) pause(e *entry, u *upstream, r *Report, now time.Time) {
	tokens := e.PromptTokens + r.Tokens
	if p.index == nil || r.FirstToken == 0 || u.leaving {
		return
	}
	p.index.Observe(u.Name, e.Program, tokens, now)
	p.pauses.begin(e.Program, u, tokens, now.Add(p.limits.ToolPause))
}

func (p *Pool) learnFirstToken(e *entry, u *upstream, r *Report) {
	if r.FirstToken == 0 || e.generation != u.ramp.generation {
		return
	}
	uncached := max(e.PromptTokens-r.CachedTokens, 0)
	if e.backlog == 0 {
		p.estimate.firstToken(uncached, r.FirstToken)
	}
	if u.noteFirstToken(r.FirstToken, e.backlog+p.estimate.prefillTime(uncached)) {
		p.counters.ColdResets++
		u.reset()
	}
}

// conclude ends the call or tries it again.
func (p *Pool) conclude(e *entry, r *Report, now time.Time) {
	if r.Outcome.notBegun() {
		e.begun = e.wasBegun
	}
	switch {
	case r.Outcome == OutcomeCompleted:
		p.finish(e, RunStateRan)
	case r.Outcome == OutcomeCancelled && p.suspects.convicted(e.Fingerprint):
		p.counters.Poisoned++
		p.refuseFor(e, ErrPoison)
	case r.Outcome == OutcomeCancelled:
		p.finish(e, RunStateUnknown)
	case p.suspects.convicted(e.Fingerprint):
		p.counters.Poisoned++
		p.refuseFor(e, ErrPoison)
	case p.mayRetry(e, r):
		p.retry(e, r.Upstream, now)
	default:
		p.refuseFor(e, ErrUpstreamFailed)
	}
}

// mayRetry allows another attempt of a call that has delivered nothing and may
// run again. An attempt that never began takes nothing from the budget.
func (p *Pool) mayRetry(e *entry, r *Report) bool {
	if !r.Outcome.retriable() || r.Delivered || e.attempt >= p.limits.MaxAttempts {
		return false
	}
	if !e.orphanedAt.IsZero() || e.cancelSent {
		return false
	}
	if r.Outcome.notBegun() {
		return true
	}
	return e.Repeatable && p.budget.take()
}

func (p *Pool) retry(e *entry, upstream string, now time.Time) {
	if !slices.Contains(e.Avoid, upstream) {
		e.Avoid = append(e.Avoid, upstream)
	}
	p.counters.Retried++
	p.enqueue(e, now)
	if e.state != stateRunning {
		p.decideQueued(e)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
