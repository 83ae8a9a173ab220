package route

import (
	"slices"
	"time"
)

const (
	// outageWindow and minOutageCrashes distinguish an outage from a request that
	// crashes upstreams one after the other: that many crash within the window.
	outageWindow     = 3 * time.Second
	minOutageCrashes = 3
)

// crash is one crash of an upstream with the requests in flight on it.
type crash struct {
	upstream     string
	at           time.Time
	relay        string
	resolved     bool
	fingerprints []uint64
}

// recordCrash handles a relay's report that its connection to the upstream
// broke during the attempt e.
func (p *Pool) recordCrash(u *upstream, e *entry, relay string, now time.Time) {
	reported := !u.crashedAt.IsZero() && !e.startedAt.After(u.crashedAt)
	if reported {
		p.confirmByRelay(u, e, relay)
		return
	}
	u.crashedAt = now
	p.counters.Crashes++
	c := crash{upstream: u.Name, at: now, relay: relay, resolved: u.epoch == ""}
	p.addStrike(&c, e)
	for _, o := range u.running {
		p.addStrike(&c, o)
	}
	p.crashes = append(p.crashes, c)
	u.reset()
	u.startBackoff(&p.limits, now)
	p.clearOutageSuspects(now)
	p.requeue(u, now)
	p.stopPoison()
}

// addStrike records that the attempt was in flight at the crash.
func (p *Pool) addStrike(c *crash, e *entry) {
	if e.Fingerprint == 0 {
		return
	}
	c.fingerprints = append(c.fingerprints, e.Fingerprint)
	p.suspects.strike(e.Fingerprint, strike{upstream: c.upstream, at: c.at, confirmed: c.resolved})
}

// confirmByRelay confirms a crash when a second relay reports it: a broken
// connection between one relay and the upstream is not a crash.
func (p *Pool) confirmByRelay(u *upstream, e *entry, relay string) {
	for i := range p.crashes {
		c := &p.crashes[i]
		if c.upstream == u.Name && c.at.Equal(u.crashedAt) && c.relay != relay {
			p.resolveCrash(c, true)
		}
	}
}

func (p *Pool) resolveCrash(c *crash, crashed bool) {
	if c.resolved {
		return
	}
	c.resolved = true
	p.suspects.confirm(c.upstream, c.at, crashed)
}

// clearOutageSuspects clears the requests that were in flight on only one of
// several upstreams that crashed within the outage window.
func (p *Pool) clearOutageSuspects(now time.Time) {
	p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool {
		return c.resolved && now.Sub(c.at) > outageWindow
	})
	recent := make([]*crash, 0, len(p.crashes))
	for i := range p.crashes {
		if now.Sub(p.crashes[i].at) <= outageWindow {
			recent = append(recent, &p.crashes[i])
		}
	}
	if len(recent) < minOutageCrashes {
		return
	}
	crashes := make(map[uint64]int)
	for _, c := range recent {
		for _, f := range slices.Compact(slices.Sorted(slices.Values(c.fingerprints))) {
			crashes[f]++
		}
	}
	for f, n := range crashes {
		if n == 1 {
			p.suspects.clear(f)
		}
	}
}

// confirmUnresolved confirms the crashes that the upstream's load reports have
// not resolved in time.
func (p *Pool) confirmUnresolved(now time.Time) {
	for i := range p.crashes {
		c := &p.crashes[i]
		if now.Sub(c.at) > p.limits.CrashConfirmTimeout {
			p.resolveCrash(c, true)
		}
	}
}

// stopPoison refuses the waiting calls of poison requests and cancels the
// running ones, before they crash another upstream.
func (p *Pool) stopPoison() {
	if !p.suspects.changed {
		return
	}
	p.suspects.changed = false
	for _, e := range slices.Clone(p.held) {
		if p.suspects.isPoison(e.Fingerprint) {
			p.dequeue(e)
			p.counters.Poisoned++
			p.refuseFor(e, ErrPoison)
		}
	}
	for _, u := range p.byName {
		p.cancelPoison(u)
	}
}

func (p *Pool) cancelPoison(u *upstream) {
	for _, e := range sortedEntries(u.running) {
		if p.suspects.isPoison(e.Fingerprint) {
			p.cancelRunning(e)
		}
	}
}
