package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxHeldScan bounds the held calls tried without success in one pass.
const maxHeldScan = 8

// place assigns a call or puts it into the queue that suits it.
func (p *Pool) place(e *entry, now time.Time) {
	if p.suspects.suspected(e.Fingerprint) {
		p.hold(e, now)
		return
	}
	c := p.choose(e, now)
	switch {
	case c.upstream != nil && !c.wait:
		p.assign(e, c.upstream, c.move, now)
	case len(e.Avoid) > 0:
		p.held = append(p.held, e)
	case c.upstream != nil:
		c.upstream.queue.push(e)
	default:
		p.shared.push(e)
	}
}

// requeue places again the calls that wait for an upstream that is not usable.
func (p *Pool) requeue(u *upstream, now time.Time) {
	if u.usable(now) {
		return
	}
	for e := u.queue.peek(); e != nil; e = u.queue.peek() {
		u.queue.remove(e)
		p.place(e, now)
	}
}

// dispatchAll assigns waiting calls to all upstreams with free slots.
func (p *Pool) dispatchAll(now time.Time) {
	p.releaseHeld(now)
	if p.queued == 0 {
		return
	}
	for _, u := range p.byName {
		p.dispatchOwn(u, now)
	}
	p.rebalance(now)
}

// rebalance assigns calls that wait for one upstream's cache to free upstreams
// where they cost less.
func (p *Pool) rebalance(now time.Time) {
	if p.waitingForCache() == 0 {
		return
	}
	for _, v := range p.byName {
		for e := v.queue.peek(); e != nil; e = v.queue.peek() {
			c := p.choose(e, now)
			if c.upstream == nil || c.wait {
				break
			}
			p.send(e, c.upstream, c.move, now)
		}
	}
}

// waitingForCache counts the calls that wait for one upstream's cache.
func (p *Pool) waitingForCache() int { return p.queued - p.shared.size - len(p.held) }

// dispatch assigns waiting calls to one upstream, also from other upstreams'
// queues.
func (p *Pool) dispatch(u *upstream, now time.Time) {
	p.dispatchOwn(u, now)
	for p.waitingForCache() > 0 && p.freeSlots(u, now) > 0 {
		e := p.steal(u, now)
		if e == nil {
			return
		}
		p.send(e, u, nil, now)
	}
}

func (p *Pool) dispatchOwn(u *upstream, now time.Time) {
	for p.queued > 0 && p.freeSlots(u, now) > 0 {
		e := p.next(u)
		if e == nil {
			return
		}
		p.send(e, u, nil, now)
	}
}

// send assigns a queued call to an upstream, or holds it if it became a suspect
// while it waited.
func (p *Pool) send(e *entry, u *upstream, move *Move, now time.Time) {
	e.queue.remove(e)
	if p.suspects.suspected(e.Fingerprint) {
		p.hold(e, now)
		return
	}
	p.assign(e, u, move, now)
}

// next returns the call to assign to the upstream next, or nil.
func (p *Pool) next(u *upstream) *entry {
	own, shared := u.queue.peek(), p.shared.peek()
	switch {
	case own == nil:
		return shared
	case shared == nil:
		return own
	}
	// A team that waits for any upstream goes first if it is behind the one that
	// waits for this upstream's cache by more than one call.
	if shared.team.virtualTime+p.estimate.serviceSeconds/shared.team.weight < own.team.virtualTime {
		return shared
	}
	return own
}

// steal returns a call that waits for another upstream's cache and costs less
// here, or nil.
func (p *Pool) steal(u *upstream, now time.Time) *entry {
	for _, v := range p.byName {
		if v == u || v.queue.size == 0 {
			continue
		}
		e := v.queue.peek()
		if c := p.choose(e, now); c.upstream == u && !c.wait {
			return e
		}
	}
	return nil
}

// hold keeps a suspect until it may run, and refuses a poison request.
func (p *Pool) hold(e *entry, now time.Time) {
	if p.suspects.isPoison(e.Fingerprint) {
		p.dequeue(e)
		p.counters.Poisoned++
		p.refuseFor(e, ErrPoison)
		return
	}
	e.state = stateSuspect
	p.held = append(p.held, e)
	p.releaseHeld(now)
}

// releaseHeld assigns the held calls that may run now.
func (p *Pool) releaseHeld(now time.Time) {
	if len(p.held) == 0 {
		return
	}
	failed := 0
	for _, e := range slices.Clone(p.held) {
		if failed >= maxHeldScan {
			return
		}
		if !p.release(e, now) {
			failed++
		}
	}
}

func (p *Pool) release(e *entry, now time.Time) bool {
	alone := p.suspects.suspected(e.Fingerprint)
	if alone && (p.suspects.mayBePoison(e.Fingerprint) || p.runningCopy(e.Fingerprint)) {
		return false
	}
	u := p.leastLoaded(e, alone, now)
	if u == nil {
		return false
	}
	p.held = slices.Delete(p.held, slices.Index(p.held, e), slices.Index(p.held, e)+1)
	p.assign(e, u, nil, now)
	if alone {
		u.suspect = e
		e.isolated = true
	}
	return true
}

// leastLoaded returns the upstream with the smallest batch that the call may go
// to. It prefers failure domains that the call hasn't failed in, since a
// failing domain takes its upstreams down one after the other. Upstreams to
// avoid are used only if the configuration has no others.
func (p *Pool) leastLoaded(e *entry, alone bool, now time.Time) *upstream {
	if !slices.ContainsFunc(p.byName, func(u *upstream) bool { return !u.leaving && !p.avoids(e, u) }) {
		return p.anyFree(alone, now)
	}
	otherDomain := slices.ContainsFunc(p.byName, func(u *upstream) bool {
		return u.usable(now) && !p.avoids(e, u) && !p.avoidsDomain(e, u)
	})
	var best *upstream
	for _, u := range p.byName {
		if p.avoids(e, u) || p.freeSlots(u, now) <= 0 || (alone && u.suspect != nil) {
			continue
		}
		if otherDomain && p.avoidsDomain(e, u) {
			continue
		}
		if best == nil || len(u.running) < len(best.running) {
			best = u
		}
	}
	return best
}

// avoidsDomain reports whether the call avoids an upstream in u's failure
// domain.
func (p *Pool) avoidsDomain(e *entry, u *upstream) bool {
	return slices.ContainsFunc(e.Avoid, func(name string) bool {
		a := p.upstreams[name]
		return a != nil && a.FailureDomain == u.FailureDomain
	})
}

func (p *Pool) anyFree(alone bool, now time.Time) *upstream {
	for _, u := range p.byName {
		if p.freeSlots(u, now) > 0 && (!alone || u.suspect == nil) {
			return u
		}
	}
	return nil
}

func (p *Pool) avoids(e *entry, u *upstream) bool {
	return slices.Contains(e.Avoid, u.Name) || p.suspects.hasStrike(e.Fingerprint, u.Name)
}

// runningCopy reports whether a call with the fingerprint is running on any
// upstream.
func (p *Pool) runningCopy(fingerprint uint64) bool {
	for _, u := range p.byName {
		for _, e := range u.running {
			if e.Fingerprint == fingerprint {
				return true
			}
		}
	}
	return false
}

// assign sends a waiting call to an upstream.
func (p *Pool) assign(e *entry, u *upstream, move *Move, now time.Time) {
	p.queued--
	e.team.queued--
	e.team.running++
	e.state = stateRunning
	e.attempt++
	e.upstream = u
	e.startedAt = now
	e.generation = u.ramp.generation
	e.wasBegun, e.begun = e.begun, true
	u.running[e.ID] = e
	p.reserve(e, u, now)
	p.chargeTeam(e)
	p.schedule(e)
	p.counters.Assigned++
	p.decideAssign(e, move, false)
}

// reserve adds the call's tokens and its expected prefill to the upstream.
func (p *Pool) reserve(e *entry, u *upstream, now time.Time) {
	p.pauses.end(e.Program)
	u.liveTokens += e.PromptTokens
	e.uncached = max(e.PromptTokens-p.cachedTokens(e, u), 0)
	e.backlog = u.prefillBacklog(now)
	u.prefillUntil = now.Add(e.backlog + p.estimate.prefillTime(e.uncached))
}

func (p *Pool) cachedTokens(e *entry, u *upstream) int {
	if p.index == nil {
		return 0
	}
	return p.index.Tokens(u.Name, e.Program)
}

func (p *Pool) chargeTeam(e *entry) {
	p.virtualTime = max(p.virtualTime, e.team.virtualTime)
	e.cost = p.estimate.serviceSeconds
	e.team.charge(e.cost)
}

// schedule puts the call into the heap of due calls.
func (p *Pool) schedule(e *entry) {
	if e.dueIndex >= 0 {
		p.due.remove(e.dueIndex)
	}
	if !e.dueAt(&p.limits).IsZero() {
		p.due.push(e)
	}
}

// sortedEntries returns the calls by submission time and ID, so that decisions
// are deterministic.
func sortedEntries(running map[string]*entry) []*entry {
	out := make([]*entry, 0, len(running))
	for _, e := range running {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int {
		return cmp.Or(a.queuedAt.Compare(b.queuedAt), strings.Compare(a.ID, b.ID))
	})
	return out
}
