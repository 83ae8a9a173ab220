package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// heldScan bounds how many held calls are tried at a time.
const heldScan = 8

// place sends a call off or makes it wait where it best does.
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

// replaceQueued places the calls again that wait for an upstream which gets
// no work now.
func (p *Pool) replaceQueued(u *upstream, now time.Time) {
	if u.usable(now) {
		return
	}
	for e := u.queue.peek(); e != nil; e = u.queue.peek() {
		u.queue.remove(e)
		p.place(e, now)
	}
}

// fillAll gives every upstream the work that it may take.
func (p *Pool) fillAll(now time.Time) {
	p.releaseHeld(now)
	if p.queued == 0 {
		return
	}
	for _, u := range p.order {
		p.fillOwn(u, now)
	}
	p.rebalance(now)
}

// rebalance sends calls that wait for one upstream's cache to others that are
// free, where they are better off.
func (p *Pool) rebalance(now time.Time) {
	if p.parked() == 0 {
		return
	}
	for _, v := range p.order {
		for e := v.queue.peek(); e != nil; e = v.queue.peek() {
			c := p.choose(e, now)
			if c.upstream == nil || c.wait {
				break
			}
			p.send(e, c.upstream, c.move, now)
		}
	}
}

// parked counts the calls that wait for one upstream's cache.
func (p *Pool) parked() int { return p.queued - p.shared.size - len(p.held) }

// fill gives one upstream the work that it may take, from other upstreams'
// queues too.
func (p *Pool) fill(u *upstream, now time.Time) {
	p.fillOwn(u, now)
	for p.parked() > 0 && p.free(u, now) > 0 {
		e := p.steal(u, now)
		if e == nil {
			return
		}
		p.send(e, u, nil, now)
	}
}

func (p *Pool) fillOwn(u *upstream, now time.Time) {
	for p.queued > 0 && p.free(u, now) > 0 {
		e := p.next(u)
		if e == nil {
			return
		}
		p.send(e, u, nil, now)
	}
}

// send takes a call out of its queue to an upstream, unless it has become a
// suspect while it waited.
func (p *Pool) send(e *entry, u *upstream, move *Move, now time.Time) {
	e.queue.remove(e)
	if p.suspects.suspected(e.Fingerprint) {
		p.hold(e, now)
		return
	}
	p.assign(e, u, move, now)
}

// next returns the call that the upstream takes next, or nil.
func (p *Pool) next(u *upstream) *entry {
	own, shared := u.queue.peek(), p.shared.peek()
	switch {
	case own == nil:
		return shared
	case shared == nil:
		return own
	}
	// A team that waits for any upstream is behind the one that waits for this
	// one's cache by more than a call: it goes first.
	if shared.team.virtual+p.estimate.service/shared.team.weight < own.team.virtual {
		return shared
	}
	return own
}

// steal returns a call that waits for another upstream's cache and is better
// off here, or nil.
func (p *Pool) steal(u *upstream, now time.Time) *entry {
	for _, v := range p.order {
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

// hold keeps a suspect until it may run, and refuses a convicted request.
func (p *Pool) hold(e *entry, now time.Time) {
	if p.suspects.convicted(e.Fingerprint) {
		p.dequeue(e)
		p.counters.Poisoned++
		p.refuseFor(e, ErrPoison)
		return
	}
	e.state = stateSuspect
	p.held = append(p.held, e)
	p.releaseHeld(now)
}

// releaseHeld sends off the held calls that may run now.
func (p *Pool) releaseHeld(now time.Time) {
	if len(p.held) == 0 {
		return
	}
	tried := 0
	for _, e := range slices.Clone(p.held) {
		if tried >= heldScan {
			return
		}
		if !p.release(e, now) {
			tried++
		}
	}
}

func (p *Pool) release(e *entry, now time.Time) bool {
	alone := p.suspects.suspected(e.Fingerprint)
	if alone && (p.suspects.pending(e.Fingerprint) || p.runningCopy(e.Fingerprint)) {
		return false
	}
	u := p.emptiest(e, alone, now)
	if u == nil {
		return false
	}
	p.held = slices.Delete(p.held, slices.Index(p.held, e), slices.Index(p.held, e)+1)
	p.assign(e, u, nil, now)
	if alone {
		u.suspect = e
		e.alone = true
	}
	return true
}

// emptiest returns the upstream with the smallest batch that the call may go
// to, in a failure domain that the call hasn't failed in as long as there is
// one: a domain that fails takes its upstreams down one after the other.
// Upstreams to avoid are taken if the text has no others.
func (p *Pool) emptiest(e *entry, alone bool, now time.Time) *upstream {
	if !slices.ContainsFunc(p.order, func(u *upstream) bool { return !u.leaving && !p.avoids(e, u) }) {
		return p.anyFree(alone, now)
	}
	elsewhere := slices.ContainsFunc(p.order, func(u *upstream) bool {
		return u.usable(now) && !p.avoids(e, u) && !p.sameDomain(e, u)
	})
	var best *upstream
	for _, u := range p.order {
		if p.avoids(e, u) || p.free(u, now) <= 0 || (alone && u.suspect != nil) {
			continue
		}
		if elsewhere && p.sameDomain(e, u) {
			continue
		}
		if best == nil || len(u.running) < len(best.running) {
			best = u
		}
	}
	return best
}

// sameDomain says that the call has an upstream to avoid in u's domain.
func (p *Pool) sameDomain(e *entry, u *upstream) bool {
	return slices.ContainsFunc(e.Avoid, func(name string) bool {
		a := p.upstreams[name]
		return a != nil && a.FailureDomain == u.FailureDomain
	})
}

func (p *Pool) anyFree(alone bool, now time.Time) *upstream {
	for _, u := range p.order {
		if p.free(u, now) > 0 && (!alone || u.suspect == nil) {
			return u
		}
	}
	return nil
}

func (p *Pool) avoids(e *entry, u *upstream) bool {
	return slices.Contains(e.Avoid, u.Name) || p.suspects.struck(e.Fingerprint, u.Name)
}

// runningCopy says that a suspect with the fingerprint runs anywhere.
func (p *Pool) runningCopy(fingerprint uint64) bool {
	for _, u := range p.order {
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

// reserve counts the call's tokens and its expected prefill.
func (p *Pool) reserve(e *entry, u *upstream, now time.Time) {
	p.pauses.end(e.Program)
	u.live += e.PromptTokens
	e.uncached = max(e.PromptTokens-p.cached(e, u), 0)
	e.backlog = u.prefillBacklog(now)
	u.prefillUntil = now.Add(e.backlog + p.estimate.prefillTime(e.uncached))
}

func (p *Pool) cached(e *entry, u *upstream) int {
	if p.index == nil {
		return 0
	}
	return p.index.Tokens(u.Name, e.Program)
}

func (p *Pool) chargeTeam(e *entry) {
	p.virtual = max(p.virtual, e.team.virtual)
	e.cost = p.estimate.service
	e.team.charge(e.cost)
}

// schedule puts the call where Tick finds it when it is due.
func (p *Pool) schedule(e *entry) {
	if e.dueIndex >= 0 {
		p.due.remove(e.dueIndex)
	}
	if !e.dueAt(&p.limits).IsZero() {
		p.due.push(e)
	}
}

// sortedEntries returns the calls in a fixed order.
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
