package route

import (
	"slices"
	"time"
)

const (
	// maxConsecutiveFailures is how many consecutive failures start an upstream's
	// backoff.
	maxConsecutiveFailures = 3
	// refusalBackoff is how long an upstream that refused a call is excluded.
	refusalBackoff = 250 * time.Millisecond
)

// Done handles the report of an attempt's end. A late or duplicate report of an
// attempt that has ended is ignored.
func (p *Pool) Done(r Report, now time.Time) []Decision {
	e := p.calls[r.Call]
	if e == nil || e.state != stateRunning || e.attempt != r.Attempt {
		return nil
	}
	u := e.upstream
	p.detach(e, u)
	p.learnOutcome(e, u, &r, now)
	p.conclude(e, &r, now)
	if u.leaving {
		p.removeIdle(u, p.configured(u))
	}
	p.releaseHeld(now)
	p.dispatch(u, now)
	return p.takeDecisions()
}

// detach removes the attempt from its upstream's accounting.
func (p *Pool) detach(e *entry, u *upstream) {
	delete(u.running, e.ID)
	u.liveTokens -= e.PromptTokens
	if len(u.running) == 0 {
		u.prefillUntil = time.Time{}
	}
	if u.suspect == e {
		u.suspect = nil
	}
	e.isolated = false
	e.team.running--
	if e.dueIndex >= 0 {
		p.due.remove(e.dueIndex)
	}
	e.upstream = nil
}

// learnOutcome updates the upstream's state from the attempt's outcome.
func (p *Pool) learnOutcome(e *entry, u *upstream, r *Report, now time.Time) {
	switch r.Outcome {
	case OutcomeCompleted:
		p.learnSuccess(e, u, r, now)
	case OutcomeCrashed:
		p.recordCrash(u, e, r.Relay, now)
	case OutcomeUnreachable:
		u.reset()
		u.startBackoff(&p.limits, now)
		p.requeue(u, now)
	case OutcomeRefused:
		u.downUntil = maxTime(u.downUntil, now.Add(refusalBackoff))
		p.requeue(u, now)
	case OutcomeFailed:
		p.learnFailure(u, now)
	case OutcomeCancelled:
		p.startPause(e, u, r, now)
	}
}

func (p *Pool) learnFailure(u *upstream, now time.Time) {
	u.failures++
	if u.failures < maxConsecutiveFailures {
		return
	}
	u.failures = 0
	u.reset()
	u.startBackoff(&p.limits, now)
	p.requeue(u, now)
}

func (p *Pool) learnSuccess(e *entry, u *upstream, r *Report, now time.Time) {
	took := now.Sub(e.startedAt)
	u.failures = 0
	if e.startedAt.After(u.crashedAt) {
		u.endBackoff()
	}
	p.retryBudget.earn()
	p.suspects.clear(e.Fingerprint)
	p.estimate.observeServiceTime(took)
	e.team.charge(took.Seconds() - e.cost)
	p.startPause(e, u, r, now)
	p.learnFirstToken(e, u, r)
	u.ramp.recordSuccess(e.generation)
}

// startPause records the prefix that the attempt left in the cache and reserves
// its tokens for the program's next call.
func (p *Pool) startPause(e *entry, u *upstream, r *Report, now time.Time) {
	tokens := e.PromptTokens + r.Tokens
	if p.index == nil || r.FirstToken == 0 || u.leaving {
		return
	}
	p.index.Observe(u.Name, e.Program, tokens, now)
	p.pauses.begin(e.Program, u, tokens, now.Add(p.limits.PauseReservation))
}

func (p *Pool) learnFirstToken(e *entry, u *upstream, r *Report) {
	if r.FirstToken == 0 || e.generation != u.ramp.generation {
		return
	}
	uncached := max(e.PromptTokens-r.CachedTokens, 0)
	if e.backlog == 0 {
		p.estimate.observePrefill(uncached, r.FirstToken)
	}
	if u.observeFirstToken(r.FirstToken, e.backlog+p.estimate.prefillTime(uncached)) {
		p.counters.ColdResets++
		u.reset()
	}
}

// conclude ends the call or retries it.
func (p *Pool) conclude(e *entry, r *Report, now time.Time) {
	if r.Outcome.notBegun() {
		e.begun = e.wasBegun
	}
	switch {
	case r.Outcome == OutcomeCompleted:
		p.finish(e, RunStateRan)
	case r.Outcome == OutcomeCancelled && p.suspects.isPoison(e.Fingerprint):
		p.counters.Poisoned++
		p.refuseFor(e, ErrPoison)
	case r.Outcome == OutcomeCancelled:
		p.finish(e, RunStateUnknown)
	case p.suspects.isPoison(e.Fingerprint):
		p.counters.Poisoned++
		p.refuseFor(e, ErrPoison)
	case p.mayRetry(e, r):
		p.retry(e, r.Upstream, now)
	default:
		p.refuseFor(e, ErrUpstreamFailed)
	}
}

// mayRetry allows another attempt of a call that has delivered nothing and may
// run again. An attempt that never began costs no retry budget.
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
	return e.Repeatable && p.retryBudget.spend()
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
