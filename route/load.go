package route

import (
	"time"

	"github.com/buckthorntide/buckthorntide/engine"
)

// loadAge is how long a load report counts.
const loadAge = 5 * time.Second

// ObserveLoad takes an upstream's load report. A new epoch means that it was
// started again: it is cold and its cache is gone.
func (p *Pool) ObserveLoad(name string, l engine.Load, now time.Time) []Decision {
	u := p.upstreams[name]
	if u == nil {
		return nil
	}
	p.observeEpoch(u, l.Epoch, now)
	p.observeCold(u, l.Coldish)
	u.loadTotal = l.Running + l.Queued
	u.loadAt = now
	u.believeWarmth()
	p.convict()
	p.releaseHeld(now)
	p.fill(u, now)
	return p.take()
}

// ObserveUnreachable notes that the controller itself can't reach an upstream.
func (p *Pool) ObserveUnreachable(name string, now time.Time) []Decision {
	u := p.upstreams[name]
	if u == nil {
		return nil
	}
	u.reset()
	u.goDown(&p.limits, now)
	p.settleCrashes(u, true, time.Time{})
	p.replaceQueued(u, now)
	p.convict()
	return p.take()
}

func (p *Pool) observeEpoch(u *upstream, epoch string, now time.Time) {
	switch {
	case u.epoch == epoch:
		// A report may be as old as the lag; only a later one shows that the
		// upstream didn't crash.
		p.settleCrashes(u, false, now.Add(-engine.EventLag))
		return
	case u.epoch != "":
		p.counters.Restarts++
		p.restart(u, now)
	case u.begunRamp():
		// It may have started again unseen since its slow start began.
		u.reset()
	}
	u.epoch = epoch
}

func (p *Pool) restart(u *upstream, now time.Time) {
	u.reset()
	p.dropCache(u)
	p.strikeRestart(u, now)
	p.settleCrashes(u, true, time.Time{})
}

// strikeRestart counts a restart that no relay has reported yet as a crash
// with the calls that are in flight.
func (p *Pool) strikeRestart(u *upstream, now time.Time) {
	if !u.crashedAt.IsZero() && now.Sub(u.crashedAt) < p.limits.ConfirmTime {
		return
	}
	if len(u.running) == 0 {
		return
	}
	u.crashedAt = now
	p.counters.Crashes++
	c := crash{upstream: u.Name, at: now, settled: true}
	for _, e := range u.running {
		p.strike(&c, e)
	}
	p.crashes = append(p.crashes, c)
	p.noteOutage(now)
}

// settleCrashes settles the upstream's open crashes; with a time only those
// before it.
func (p *Pool) settleCrashes(u *upstream, crashed bool, before time.Time) {
	for i := range p.crashes {
		c := &p.crashes[i]
		if c.upstream == u.Name && (before.IsZero() || c.at.Before(before)) {
			p.settleCrash(c, crashed)
		}
	}
}

// observeCold resets a warm upstream that calls itself cold more than once: a
// single report may be older than its slow start.
func (p *Pool) observeCold(u *upstream, coldish bool) {
	if !coldish || !u.ramp.warm() || u.ramp.cold == u.ramp.slots {
		u.coldSeen = 0
		return
	}
	u.coldSeen++
	if u.coldSeen < coldReports {
		return
	}
	p.counters.ColdResets++
	u.reset()
}

// strangers is how many calls the last load report shows beyond the pool's
// own: another controller's, or ones that are not yet adopted.
func (u *upstream) strangers(now time.Time) int {
	if now.Sub(u.loadAt) > loadAge {
		return 0
	}
	return max(u.loadTotal-max(len(u.running), u.ramp.slots), 0)
}
