package route

import "time"

// suspectSweepInterval is the time between two removals of expired suspects.
const suspectSweepInterval = time.Minute

// Tick handles what is due: deadlines, lost attempts, and the ends of backoffs
// and reservations.
func (p *Pool) Tick(now time.Time) []Decision {
	p.pauses.expire(now)
	p.expireDue(now)
	p.confirmUnresolved(now)
	if now.Sub(p.sweptAt) >= suspectSweepInterval {
		p.sweptAt = now
		p.suspects.expire(now, p.limits.SuspectTTL)
	}
	p.stopPoison()
	p.settle(now)
	p.dispatchAll(now)
	return p.takeDecisions()
}

func (p *Pool) expireDue(now time.Time) {
	for p.due.size() > 0 {
		e := p.due.items[0]
		if e.dueAt(&p.limits).After(now) {
			return
		}
		p.expire(e, now)
	}
}

// expire handles one call that is due: a waiting one missed its deadline, an
// orphaned one is cancelled, and a running one whose end was not reported is
// lost.
func (p *Pool) expire(e *entry, now time.Time) {
	switch {
	case e.state != stateRunning:
		p.dequeue(e)
		p.refuseFor(e, ErrDeadline)
	case !e.orphanedAt.IsZero() && !e.cancelSent:
		p.cancelRunning(e)
		e.Deadline = now
		p.schedule(e)
	default:
		p.counters.Lost++
		p.detach(e, e.upstream)
		p.finish(e, RunStateUnknown)
	}
}
