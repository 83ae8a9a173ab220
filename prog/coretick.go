package prog

import (
	"slices"
	"time"
)

// leave gives a family up with its shard.
func (c *Core) unloadFamily(f *family, now time.Time) {
	if f.unloading {
		return
	}
	f.unloading = true
	c.refuseWaiting(f, ReasonMoved)
	if f.phase == phaseReady {
		c.returnReservations(f)
	}
	c.advance(f, now)
}

// trim has the next commit give unused reservations back.
func (c *Core) returnReservations(f *family) {
	f.returningReservations = true
	if f.ledger.Charged() != f.ledger.Limit {
		f.markChanged()
	}
}

// refuseWaiting refuses what is parked or queued.
func (c *Core) refuseWaiting(f *family, reason Reason) {
	parked := f.pendingRequests
	f.pendingRequests = nil
	for _, p := range parked {
		c.refusePending(p, reason)
	}
	for _, a := range f.agents {
		for _, e := range a.queue {
			c.refuseBegin(e.ticket, reason)
		}
		a.queue = nil
	}
}

// forget drops a family from memory and answers all that waits for it.
func (c *Core) evict(f *family, reason Reason) {
	c.families.Delete(f.root)
	c.refuseWaiting(f, reason)
	for _, w := range f.waiters {
		c.reply(w.ticket, w.timeoutReply)
	}
	f.waiters = nil
	for _, a := range f.agents {
		for _, t := range a.uncommittedTurns() {
			for _, w := range t.uncommitted.waiters {
				c.reply(w.ticket, w.timeoutReply)
			}
			t.uncommitted.waiters = nil
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
	f.pendingRequests = slices.DeleteFunc(f.pendingRequests, func(p pendingRequest) bool {
		late := now.After(p.expiresAt)
		if late {
			c.refusePending(p, ReasonStore)
		}
		return late
	})
	if f.mustReload && !now.Before(f.retryAt) {
		c.load(f)
	}
	c.expireIdle(f, now)
	c.advance(f, now)
}

func (c *Core) expireWaiters(waiters []waiter, now time.Time) []waiter {
	return slices.DeleteFunc(waiters, func(w waiter) bool {
		late := !now.Before(w.expiresAt)
		if late {
			c.reply(w.ticket, w.timeoutReply)
		}
		return late
	})
}

func (c *Core) expireAgent(f *family, a *agent, now time.Time) {
	for _, t := range a.uncommittedTurns() {
		t.uncommitted.waiters = c.expireWaiters(t.uncommitted.waiters, now)
	}
	if a.running != nil && !now.Before(c.reportDeadline(a.running)) {
		c.abandonRunning(f, a)
	}
	position := 0
	a.queue = slices.DeleteFunc(a.queue, func(e *queuedCall) bool {
		gone := c.expireEntry(e, position, f.timeoutReason(a), now)
		if !gone {
			position++
		}
		return gone
	})
}

// lost is when a running call's report is no longer waited for.
func (c *Core) reportDeadline(run *runningCall) time.Time {
	return run.request.Deadline.Add(c.options.ReportGracePeriod)
}

// expireEntry answers a queued call whose time has come and reports whether
// its place is given up.
func (c *Core) expireEntry(e *queuedCall, position int, late Reason, now time.Time) bool {
	if !now.Before(e.request.Deadline) {
		c.refuseBegin(e.ticket, late)
		return true
	}
	if now.Before(e.expiresAt) {
		return false
	}
	if e.ticket == 0 {
		return true
	}
	c.replyBegin(e.ticket, &BeginReply{Wait: &Wait{Position: position}})
	e.ticket = 0
	e.expiresAt = now.Add(c.options.QueuePlaceTTL)
	return false
}

// rest releases the cache of a program that pauses for long, and drops an
// ended or idle one from memory.
func (c *Core) expireIdle(f *family, now time.Time) {
	if f.phase != phaseReady || f.busy() {
		return
	}
	pause := now.Sub(f.lastActive)
	if !f.idle && !f.ended && pause >= c.options.IdleTimeout {
		f.idle = true
		for _, a := range f.agents {
			c.release(a)
		}
	}
	if pause < c.evictAfter(f) {
		return
	}
	if !f.returningReservations {
		c.returnReservations(f)
	}
	if !f.hasUncommitted() {
		c.evict(f, ReasonEnded)
	}
}

func (c *Core) evictAfter(f *family) time.Duration {
	if f.ended {
		return c.options.EvictDelay
	}
	return c.options.IdleTimeout + c.options.EvictDelay
}

// arm notes when a family has to be looked at next.
func (c *Core) scheduleWake(f *family) {
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
	at := f.lastActive.Add(c.evictAfter(f))
	if !f.idle && !f.ended {
		at = f.lastActive.Add(c.options.IdleTimeout)
	}
	sooner := func(t time.Time) {
		if t.Before(at) {
			at = t
		}
	}
	if f.hasUncommitted() || f.shortfall != (Usage{}) {
		sooner(f.retryAt)
	}
	for _, w := range f.waiters {
		sooner(w.expiresAt)
	}
	for _, p := range f.pendingRequests {
		sooner(p.expiresAt)
	}
	for _, a := range f.agents {
		c.addAgentWakes(a, sooner)
	}
	return at
}

func (c *Core) addAgentWakes(a *agent, sooner func(time.Time)) {
	if a.running != nil {
		sooner(c.reportDeadline(a.running))
	}
	for _, e := range a.queue {
		sooner(e.expiresAt)
		sooner(e.request.Deadline)
	}
	for _, t := range a.uncommittedTurns() {
		for _, w := range t.uncommitted.waiters {
			sooner(w.expiresAt)
		}
	}
}
