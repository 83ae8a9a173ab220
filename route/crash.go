package route

import (
	"slices"
	"time"
)

const (
	// outageWindow and outageCrashes tell an outage from a request that crashes
	// upstreams one after the other: that many crash within the window.
	outageWindow  = 3 * time.Second
	outageCrashes = 3
)

// crash is one crash of an upstream and what was in flight on it.
type crash struct {
	upstream     string
	at           time.Time
	relay        string
	settled      bool
	fingerprints []uint64
}

// noteCrash takes one relay's report that its connection to the upstream broke
// during the attempt e.
func (p *Pool) noteCrash(u *upstream, e *entry, relay string, now time.Time) {
	known := !u.crashedAt.IsZero() && !e.startedAt.After(u.crashedAt)
	if known {
		p.secondReport(u, e, relay)
		return
	}
	u.crashedAt = now
	p.counters.Crashes++
	c := crash{upstream: u.Name, at: now, relay: relay, settled: u.epoch == ""}
	p.strike(&c, e)
	for _, o := range u.running {
		p.strike(&c, o)
	}
	p.crashes = append(p.crashes, c)
	u.reset()
	u.goDown(&p.limits, now)
	p.noteOutage(now)
	p.replaceQueued(u, now)
	p.convict()
}

// strike notes the attempt as one that was in flight at the crash.
func (p *Pool) strike(c *crash, e *entry) {
	if e.Fingerprint == 0 {
		return
	}
	c.fingerprints = append(c.fingerprints, e.Fingerprint)
	p.suspects.strike(e.Fingerprint, strike{upstream: c.upstream, at: c.at, confirmed: c.settled})
}

// secondReport takes another relay's word for the same crash as a proof: a cut
// between one relay and the upstream is not a crash.
func (p *Pool) secondReport(u *upstream, e *entry, relay string) {
	for i := range p.crashes {
		c := &p.crashes[i]
		if c.upstream == u.Name && c.at.Equal(u.crashedAt) && c.relay != relay {
			p.settleCrash(c, true)
		}
	}
}

func (p *Pool) settleCrash(c *crash, crashed bool) {
	if c.settled {
		return
	}
	c.settled = true
	p.suspects.confirm(c.upstream, c.at, crashed)
}

// noteOutage exonerates the requests that were in flight on only one of many
// upstreams that crashed at about the same time.
func (p *Pool) noteOutage(now time.Time) {
	p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool {
		return c.settled && now.Sub(c.at) > outageWindow
	})
	recent := make([]*crash, 0, len(p.crashes))
	for i := range p.crashes {
		if now.Sub(p.crashes[i].at) <= outageWindow {
			recent = append(recent, &p.crashes[i])
		}
	}
	if len(recent) < outageCrashes {
		return
	}
	seen := make(map[uint64]int)
	for _, c := range recent {
		for _, f := range slices.Compact(slices.Sorted(slices.Values(c.fingerprints))) {
			seen[f]++
		}
	}
	for f, n := range seen {
		if n == 1 {
			p.suspects.clear(f)
		}
	}
}

// settleLate confirms the crashes whose upstream has kept silent since.
func (p *Pool) settleLate(now time.Time) {
	for i := range p.crashes {
		c := &p.crashes[i]
		if now.Sub(c.at) > p.limits.ConfirmTime {
			p.settleCrash(c, true)
		}
	}
}

// convict refuses the waiting calls of convicted requests and cancels the
// running ones, before they crash another upstream.
func (p *Pool) convict() {
	if !p.suspects.changed {
		return
	}
	p.suspects.changed = false
	for _, e := range slices.Clone(p.held) {
		if p.suspects.convicted(e.Fingerprint) {
			p.dequeue(e)
			p.counters.Poisoned++
			p.refuseFor(e, ErrPoison)
		}
	}
	for _, u := range p.order {
		p.convictRunning(u)
	}
}

func (p *Pool) convictRunning(u *upstream) {
	for _, e := range sortedEntries(u.running) {
		if p.suspects.convicted(e.Fingerprint) {
			p.cancelRunning(e)
		}
	}
}
