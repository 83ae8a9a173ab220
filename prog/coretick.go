package prog

import (
	"slices"
	"time"
)

// leave gives a family up with its shard.
func (c *Core) leave(f *family, now time.Time) {
	if f.leaving {
		return
	}
	f.leaving = true
	c.refuseWaiting(f, ReasonMoved)
	if f.phase == phaseReady {
		c.trim(f)
	}
	c.advance(f, now)
}

// trim has the next commit give unused reservations back.
func (c *Core) trim(f *family) {
	f.trimming = true
	if f.ledger.Committed() != f.ledger.Mark {
		f.change()
	}
}

// refuseWaiting refuses what is parked or queued.
func (c *Core) refuseWaiting(f *family, reason Reason) {
	parked := f.parked
	f.parked = nil
	for _, p := range parked {
		c.refuseParked(p, reason)
	}
	for _, a := range f.agents {
		for _, e := range a.queue {
			c.refuseBegin(e.ticket, reason)
		}
		a.queue = nil
	}
}

// forget drops a family from memory and answers all that waits for it.
func (c *Core) forget(f *family, reason Reason) {
	c.families.Delete(f.root)
	c.refuseWaiting(f, reason)
	for _, w := range f.waiters {
		c.reply(w.ticket, w.notKept)
	}
	f.waiters = nil
	for _, a := range f.agents {
		for _, t := range a.pendingTurns() {
			for _, w := range t.pending.waiters {
				c.reply(w.ticket, w.notKept)
			}
			t.pending.waiters = nil
		}
	}
}

// expire does what has become due for a family.
func (c *Core) expire(f *family, now time.Time) {
	f.wakeAt = time.Time{}
	f.waiters = c.expireWaiters(f.waiters, now)
	for _, a := range f.agents {
		c.expireAgent(f, a, now)
	}
	f.parked = slices.DeleteFunc(f.parked, func(p parked) bool {
		late := now.After(p.until)
		if late {
			c.refuseParked(p, ReasonStore)
		}
		return late
	})
	if f.unsure && !now.Before(f.retryAt) {
		c.load(f)
	}
	c.rest(f, now)
	c.advance(f, now)
}

func (c *Core) expireWaiters(waiters []waiter, now time.Time) []waiter {
	return slices.DeleteFunc(waiters, func(w waiter) bool {
		late := !now.Before(w.until)
		if late {
			c.reply(w.ticket, w.notKept)
		}
		return late
	})
}

func (c *Core) expireAgent(f *family, a *agent, now time.Time) {
	for _, t := range a.pendingTurns() {
		t.pending.waiters = c.expireWaiters(t.pending.waiters, now)
	}
	if a.running != nil && !now.Before(c.lost(a.running)) {
		c.drop(f, a)
	}
	position := 0
	a.queue = slices.DeleteFunc(a.queue, func(e *entry) bool {
		gone := c.expireEntry(e, position, f.lateReason(a), now)
		if !gone {
			position++
		}
		return gone
	})
}

// lost is when a running call's report is no longer waited for.
func (c *Core) lost(run *running) time.Time {
	return run.request.Deadline.Add(c.options.RunGrace)
}

// expireEntry answers a queued call whose time has come and reports whether
// its place is given up.
func (c *Core) expireEntry(e *entry, position int, late Reason, now time.Time) bool {
	if !now.Before(e.request.Deadline) {
		c.refuseBegin(e.ticket, late)
		return true
	}
	if now.Before(e.until) {
		return false
	}
	if e.ticket == 0 {
		return true
	}
	c.replyBegin(e.ticket, &BeginReply{Wait: &Wait{Position: position}})
	e.ticket = 0
	e.until = now.Add(c.options.WaitGrace)
	return false
}

// rest releases the cache of a program that pauses for long, and drops an
// ended or idle one from memory.
func (c *Core) rest(f *family, now time.Time) {
	if f.phase != phaseReady || f.busy() {
		return
	}
	pause := now.Sub(f.touched)
	if !f.idle && !f.ended && pause >= c.options.IdleTimeout {
		f.idle = true
		for _, a := range f.agents {
			c.release(a)
		}
	}
	if pause < c.restAfter(f) {
		return
	}
	if !f.trimming {
		c.trim(f)
	}
	if !f.unsaved() {
		c.forget(f, ReasonEnded)
	}
}

func (c *Core) restAfter(f *family) time.Duration {
	if f.ended {
		return c.options.Linger
	}
	return c.options.IdleTimeout + c.options.Linger
}

// arm notes when a family has to be looked at next.
func (c *Core) arm(f *family) {
	if f == nil {
		return
	}
	at := c.nextWake(f)
	if f.wakeAt.IsZero() || at.Before(f.wakeAt) {
		f.wakeAt = at
		c.wakes.push(wake{at: at, root: f.root})
	}
}

func (c *Core) nextWake(f *family) time.Time {
	at := f.touched.Add(c.restAfter(f))
	if !f.idle && !f.ended {
		at = f.touched.Add(c.options.IdleTimeout)
	}
	sooner := func(t time.Time) {
		if t.Before(at) {
			at = t
		}
	}
	if f.unsaved() || f.need != (Usage{}) {
		sooner(f.retryAt)
	}
	for _, w := range f.waiters {
		sooner(w.until)
	}
	for _, p := range f.parked {
		sooner(p.until)
	}
	for _, a := range f.agents {
		c.agentWakes(a, sooner)
	}
	return at
}

func (c *Core) agentWakes(a *agent, sooner func(time.Time)) {
	if a.running != nil {
		sooner(c.lost(a.running))
	}
	for _, e := range a.queue {
		sooner(e.until)
		sooner(e.request.Deadline)
	}
	for _, t := range a.pendingTurns() {
		for _, w := range t.pending.waiters {
			sooner(w.until)
		}
	}
}
