package route

import "time"

type (
	// RelayState is what a relay reports to a new controller.
	RelayState struct {
		Relay string
		// Calls are its running attempts.
		Calls []Inflight
		// Warmths are the latest ones that it received, one for each upstream.
		Warmths []Warmth
	}

	// settling is the state of a new controller that doesn't yet know all running
	// calls.
	settling struct {
		active  bool
		awaited map[string]struct{}
		until   time.Time
	}
)

// maxWarmthAge is the age up to which a new controller applies a warmth.
const maxWarmthAge = 30 * time.Second

// AwaitRelays makes a new controller wait for the relays' reports, until the
// given time at the latest. Meanwhile cold upstreams get no new calls, and warm
// ones keep Limits.SettlingReserve of their slots free.
func (p *Pool) AwaitRelays(relays []string, until time.Time) {
	p.settling = settling{active: true, awaited: make(map[string]struct{}), until: until}
	for _, r := range relays {
		p.settling.awaited[r] = struct{}{}
	}
}

// Adopt takes over the calls that a relay has running. They count against their
// upstreams from now on, even beyond the limit of calls in flight.
func (p *Pool) Adopt(s RelayState, now time.Time) []Decision {
	for i := range s.Calls {
		p.adopt(&s.Calls[i], now)
	}
	if p.settling.active {
		p.adoptWarmths(s.Warmths)
	}
	p.relayReported(s.Relay, now)
	return p.takeDecisions()
}

// RemoveRelay handles the loss of a relay. Its waiting calls are dropped; its
// running ones wait for another relay to resume them, and are cancelled after
// Limits.ResumeTimeout.
func (p *Pool) RemoveRelay(relay string, now time.Time) []Decision {
	for _, e := range sortedEntries(p.calls) {
		if e.Relay == relay {
			p.orphan(e, now)
		}
	}
	p.relayReported(relay, now)
	p.dispatchAll(now)
	return p.takeDecisions()
}

// Suspects returns the suspects, to be sent to the other controllers.
func (p *Pool) Suspects(now time.Time) []Suspect { return p.suspects.list(now) }

// AdoptSuspects merges other controllers' suspects.
func (p *Pool) AdoptSuspects(suspects []Suspect, now time.Time) []Decision {
	for _, s := range suspects {
		p.adoptSuspect(s, now)
	}
	p.stopPoison()
	return p.takeDecisions()
}

func (p *Pool) orphan(e *entry, now time.Time) {
	if e.state != stateRunning {
		p.dequeue(e)
		p.finish(e, RunStateNotRun)
		return
	}
	e.orphanedAt = now
	p.schedule(e)
}

func (p *Pool) relayReported(relay string, now time.Time) {
	if !p.settling.active {
		return
	}
	delete(p.settling.awaited, relay)
	p.settle(now)
}

// settle ends the settling once all relays have reported or the time is over.
func (p *Pool) settle(now time.Time) {
	if !p.settling.active {
		return
	}
	if len(p.settling.awaited) > 0 && now.Before(p.settling.until) {
		return
	}
	p.settling = settling{}
	p.dispatchAll(now)
}

func (p *Pool) adopt(f *Inflight, now time.Time) {
	e := p.calls[f.Call.ID]
	if e != nil && e.state == stateRunning {
		return
	}
	if _, ended := p.finished.get(f.Call.ID); ended {
		return
	}
	if e != nil {
		p.dequeue(e)
	} else {
		e = &entry{Call: f.Call, queuedAt: now, index: -1, dueIndex: -1}
		e.team = p.team(f.Call.Team)
		p.calls[e.ID] = e
	}
	p.adoptRunning(e, p.adoptUpstream(f), f.Attempt, now)
}

// adoptRunning adds an adopted attempt to its upstream's accounting. Its
// success doesn't count for the slow start, since it may have begun before a
// reset.
func (p *Pool) adoptRunning(e *entry, u *upstream, attempt int, now time.Time) {
	e.state = stateRunning
	e.attempt = attempt
	e.begun, e.wasBegun = true, true
	e.upstream = u
	e.startedAt = now
	e.generation = -1
	e.team.running++
	u.running[e.ID] = e
	u.liveTokens += e.PromptTokens
	p.schedule(e)
}

// adoptUpstream returns the attempt's upstream. One that is not configured is
// created to hold the attempt until it ends.
func (p *Pool) adoptUpstream(f *Inflight) *upstream {
	if u := p.upstreams[f.Upstream]; u != nil {
		return u
	}
	u := newUpstream(unconfiguredUpstream(f.Upstream))
	u.leaving = true
	p.upstreams[f.Upstream] = u
	p.byName = append(p.byName, u)
	sortUpstreams(p.byName)
	return u
}

// adoptWarmths keeps the latest warmth of each upstream.
func (p *Pool) adoptWarmths(warmths []Warmth) {
	for _, w := range warmths {
		u := p.upstreams[w.Upstream]
		if u == nil || u.leaving || w.Age > maxWarmthAge {
			continue
		}
		if u.warmth.Upstream != "" && w.Age >= u.warmth.Age {
			continue
		}
		u.warmth = w
		u.applyWarmth()
	}
}

// adoptSuspect adds the strikes that are not known here. An unconfirmed one is
// resolved like a crash that was observed here.
func (p *Pool) adoptSuspect(s Suspect, now time.Time) {
	for _, k := range s.Strikes {
		if p.suspects.hasStrike(s.Fingerprint, k.Upstream) {
			continue
		}
		c := crash{upstream: k.Upstream, at: now.Add(-k.Age), resolved: k.Confirmed}
		c.fingerprints = []uint64{s.Fingerprint}
		p.suspects.strike(s.Fingerprint, strike{upstream: k.Upstream, at: c.at, confirmed: k.Confirmed})
		if !k.Confirmed {
			p.crashes = append(p.crashes, c)
		}
	}
}
