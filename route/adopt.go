package route

import "time"

type (
	// RelayState is what a relay tells a new controller.
	RelayState struct {
		Relay string
		// Calls are the attempts that it has running.
		Calls []Inflight
		// Warmths are the last ones that it got, one for each upstream.
		Warmths []Warmth
	}

	// settling is the time in which a new controller doesn't yet know all calls
	// that are running.
	settling struct {
		active  bool
		awaited map[string]struct{}
		until   time.Time
	}
)

// warmthAge is how old a warmth may be that a new controller believes.
const warmthAge = 30 * time.Second

// SettleUntil tells a new controller whose reports to await, and until when.
// Until then cold upstreams get nothing new, and warm ones leave
// Limits.SettlingReserve of their slots free.
func (p *Pool) SettleUntil(relays []string, until time.Time) {
	p.settling = settling{active: true, awaited: make(map[string]struct{}), until: until}
	for _, r := range relays {
		p.settling.awaited[r] = struct{}{}
	}
}

// Adopt takes the calls that a relay has running. They count against their
// upstreams from now on, also beyond what may be in flight.
func (p *Pool) Adopt(s RelayState, now time.Time) []Decision {
	for i := range s.Calls {
		p.adopt(&s.Calls[i], now)
	}
	if p.settling.active {
		p.adoptWarmths(s.Warmths)
	}
	p.reported(s.Relay, now)
	return p.take()
}

// Forget notes that a relay has gone. Its waiting calls go; its running ones
// wait for another relay to resume them, and are cancelled after
// Limits.ResumeTime.
func (p *Pool) Forget(relay string, now time.Time) []Decision {
	for _, e := range sortedEntries(p.calls) {
		if e.Relay == relay {
			p.orphan(e, now)
		}
	}
	p.reported(relay, now)
	p.fillAll(now)
	return p.take()
}

// Suspects returns the suspects for the other controllers.
func (p *Pool) Suspects(now time.Time) []Suspect { return p.suspects.list(now) }

// AdoptSuspects takes other controllers' suspects.
func (p *Pool) AdoptSuspects(suspects []Suspect, now time.Time) []Decision {
	for _, s := range suspects {
		p.adoptSuspect(s, now)
	}
	p.convict()
	return p.take()
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

func (p *Pool) reported(relay string, now time.Time) {
	if !p.settling.active {
		return
	}
	delete(p.settling.awaited, relay)
	p.settle(now)
}

// settle ends the settling once it may.
func (p *Pool) settle(now time.Time) {
	if !p.settling.active {
		return
	}
	if len(p.settling.awaited) > 0 && now.Before(p.settling.until) {
		return
	}
	p.settling = settling{}
	p.fillAll(now)
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
	p.run(e, p.adoptUpstream(f), f.Attempt, now)
}

// run puts an adopted attempt into its upstream's books. Its success doesn't
// count for the slow start, since it may have begun before a reset.
func (p *Pool) run(e *entry, u *upstream, attempt int, now time.Time) {
	e.state = stateRunning
	e.attempt = attempt
	e.begun, e.wasBegun = true, true
	e.upstream = u
	e.startedAt = now
	e.generation = -1
	e.team.running++
	u.running[e.ID] = e
	u.live += e.PromptTokens
	p.schedule(e)
}

// adoptUpstream returns the attempt's upstream; one that is in no text is made
// to hold the attempt until it ends.
func (p *Pool) adoptUpstream(f *Inflight) *upstream {
	if u := p.upstreams[f.Upstream]; u != nil {
		return u
	}
	u := newUpstream(upstreamOf(f.Upstream))
	u.leaving = true
	p.upstreams[f.Upstream] = u
	p.order = append(p.order, u)
	sortUpstreams(p.order)
	return u
}

// adoptWarmths keeps the youngest warmth of each upstream.
func (p *Pool) adoptWarmths(warmths []Warmth) {
	for _, w := range warmths {
		u := p.upstreams[w.Upstream]
		if u == nil || u.leaving || w.Age > warmthAge {
			continue
		}
		if u.warmth.Upstream != "" && w.Age >= u.warmth.Age {
			continue
		}
		u.warmth = w
		u.believeWarmth()
	}
}

// adoptSuspect takes the strikes that are not known here. One that isn't
// confirmed yet is settled like a crash that was seen here.
func (p *Pool) adoptSuspect(s Suspect, now time.Time) {
	for _, k := range s.Strikes {
		if p.suspects.struck(s.Fingerprint, k.Upstream) {
			continue
		}
		c := crash{upstream: k.Upstream, at: now.Add(-k.Age), settled: k.Confirmed}
		c.fingerprints = []uint64{s.Fingerprint}
		p.suspects.strike(s.Fingerprint, strike{upstream: k.Upstream, at: c.at, confirmed: k.Confirmed})
		if !k.Confirmed {
			p.crashes = append(p.crashes, c)
		}
	}
}
