package route

import "time"

// suspectsEvery is the time between two sweeps of the suspects.
const suspectsEvery = time.Minute

// Tick does what time brings: deadlines, lost attempts, the end of back-offs
// and reservations. It touches only what is due.
func (p *Pool) Tick(now time.Time) []Decision {
	p.pauses.expire(now)
	p.expireDue(now)
	p.settleLate(now)
	if now.Sub(p.sweptAt) >= suspectsEvery {
		p.sweptAt = now
		p.suspects.expire(now, p.limits.SuspectTime)
	}
	p.convict()
	p.settle(now)
	p.fillAll(now)
	return p.take()
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

// expire handles one call that is due: a waiting one is late, an orphaned one
// is cancelled, a running one whose end nobody reported is lost.
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
