package route

import (
	"time"

	"github.com/buckthorntide/buckthorntide/engine"
)

// loadTTL is how long a load report counts.
const loadTTL = 5 * time.Second

// ObserveLoad handles an upstream's load report. A new epoch means that it has
// restarted: it is cold and its cache is empty.
func (p *Pool) ObserveLoad(name string, l engine.Load, now time.Time) []Decision {
	u := p.upstreams[name]
	if u == nil {
		return nil
	}
	p.observeEpoch(u, l.Epoch, now)
	p.observeCold(u, l.Coldish)
	u.reportedCalls = l.Running + l.Queued
	u.loadAt = now
	u.applyWarmth()
	p.stopPoison()
	p.releaseHeld(now)
	p.dispatch(u, now)
	return p.takeDecisions()
}

// ObserveUnreachable handles a failed connection from the controller itself to
// an upstream.
func (p *Pool) ObserveUnreachable(name string, now time.Time) []Decision {
	u := p.upstreams[name]
	if u == nil {
		return nil
	}
	u.reset()
	u.startBackoff(&p.limits, now)
	p.resolveCrashes(u, true, time.Time{})
	p.requeue(u, now)
	p.stopPoison()
	return p.takeDecisions()
}

func (p *Pool) observeEpoch(u *upstream, epoch string, now time.Time) {
	switch {
	case u.epoch == epoch:
		// A report may be as old as the event lag; only a later one shows that the
		// upstream didn't crash.
		p.resolveCrashes(u, false, now.Add(-engine.EventLag))
		return
	case u.epoch != "":
		p.counters.Restarts++
		p.restart(u, now)
	case u.rampInProgress():
		// It may have restarted unobserved since its slow start began.
		u.reset()
	}
	u.epoch = epoch
}

func (p *Pool) restart(u *upstream, now time.Time) {
	u.reset()
	p.dropCache(u)
	p.recordUnreportedCrash(u, now)
	p.resolveCrashes(u, true, time.Time{})
}

// recordUnreportedCrash counts a restart that no relay has reported yet as a
// crash with the calls in flight.
func (p *Pool) recordUnreportedCrash(u *upstream, now time.Time) {
	if !u.crashedAt.IsZero() && now.Sub(u.crashedAt) < p.limits.CrashConfirmTimeout {
		return
	}
	if len(u.running) == 0 {
		return
	}
	u.crashedAt = now
	p.counters.Crashes++
	c := crash{upstream: u.Name, at: now, resolved: true}
	for _, e := range u.running {
		p.addStrike(&c, e)
	}
	p.crashes = append(p.crashes, c)
	p.clearOutageSuspects(now)
}

// resolveCrashes resolves the upstream's open crashes; with a time, only those
// before it.
func (p *Pool) resolveCrashes(u *upstream, crashed bool, before time.Time) {
	for i := range p.crashes {
		c := &p.crashes[i]
		if c.upstream == u.Name && (before.IsZero() || c.at.Before(before)) {
			p.resolveCrash(c, crashed)
		}
	}
}

// observeCold resets a warm upstream that reports itself cold more than once,
// since a single report may be older than its slow start.
func (p *Pool) observeCold(u *upstream, coldish bool) {
	if !coldish || !u.ramp.warm() || u.ramp.coldSlots == u.ramp.slots {
		u.coldReports = 0
		return
	}
	u.coldReports++
	if u.coldReports < coldReportsToReset {
		return
	}
	p.counters.ColdResets++
	u.reset()
}

// foreignCalls returns how many calls the last load report shows beyond the
// pool's own: another controller's, or ones not yet adopted.
func (u *upstream) foreignCalls(now time.Time) int {
	if now.Sub(u.loadAt) > loadTTL {
		return 0
	}
	return max(u.reportedCalls-max(len(u.running), u.ramp.slots), 0)
}
