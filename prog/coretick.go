package prog

import (
	"slices"
	"time"
)

// unloadFamily starts to evict a family whose shard this instance gives up.
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

// returnReservations makes the next commit return unused reservations.
func (c *Core) returnReservations(f *family) {
	f.returningReservations = true
	if f.ledger.Charged() != f.ledger.Limit {
		f.markChanged()
	}
}

// refuseWaiting refuses the pending and queued requests.
func (c *Core) refuseWaiting(f *family, reason Reason) {
	pending := f.pendingRequests
	f.pendingRequests = nil
	for _, p := range pending {
		c.refusePending(p, reason)
	}
	for _, a := range f.agents {
		for _, e := range a.queue {
			c.refuseBegin(e.ticket, reason)
		}
		a.queue = nil
	}
}

// evict removes a family from memory and answers every request that waits for
// it.
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

// expire handles a family's expired timers.
func (c *Core) expire(f *family, now time.Time) {
	f.wakeAt = time.Time{}
	f.waiters = c.expireWaiters(f.waiters, now)
	for _, a := range f.agents {
		c.expireAgent(f, a, now)
	}
	f.pendingRequests = slices.DeleteFunc(f.pendingRequests, func(p pendingRequest) bool {
		expired := now.After(p.expiresAt)
		if expired {
			c.refusePending(p, ReasonStore)
		}
		return expired
	})
	if f.mustReload && !now.Before(f.retryAt) {
		c.load(f)
	}
	c.expireIdle(f, now)
	c.advance(f, now)
}

func (c *Core) expireWaiters(waiters []waiter, now time.Time) []waiter {
	return slices.DeleteFunc(waiters, func(w waiter) bool {
		expired := !now.Before(w.expiresAt)
		if expired {
			c.reply(w.ticket, w.timeoutReply)
		}
		return expired
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
		removed := c.expireQueued(e, position, f.timeoutReason(a), now)
		if !removed {
			position++
		}
		return removed
	})
}

// reportDeadline is when a running call without a report is abandoned.
func (c *Core) reportDeadline(run *runningCall) time.Time {
	return run.request.Deadline.Add(c.options.ReportGracePeriod)
}

// expireQueued answers a queued call whose wait has expired and reports whether
// to remove it from the queue.
func (c *Core) expireQueued(e *queuedCall, position int, reason Reason, now time.Time) bool {
	if !now.Before(e.request.Deadline) {
		c.refuseBegin(e.ticket, reason)
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

// expireIdle releases the cache of an idle program, and evicts an idle or ended
// one from memory.
func (c *Core) expireIdle(f *family, now time.Time) {
	if f.phase != phaseReady || f.busy() {
		return
	}
	idleFor := now.Sub(f.lastActive)
	if !f.idle && !f.ended && idleFor >= c.options.IdleTimeout {
		f.idle = true
		for _, a := range f.agents {
			c.release(a)
		}
	}
	if idleFor < c.evictAfter(f) {
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

// scheduleWake schedules the next expire of a family.
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
	wakeBy := func(t time.Time) {
		if t.Before(at) {
			at = t
		}
	}
	if f.hasUncommitted() || f.shortfall != (Usage{}) {
		wakeBy(f.retryAt)
	}
	for _, w := range f.waiters {
		wakeBy(w.expiresAt)
	}
	for _, p := range f.pendingRequests {
		wakeBy(p.expiresAt)
	}
	for _, a := range f.agents {
		c.addAgentWakes(a, wakeBy)
	}
	return at
}

func (c *Core) addAgentWakes(a *agent, wakeBy func(time.Time)) {
	if a.running != nil {
		wakeBy(c.reportDeadline(a.running))
	}
	for _, e := range a.queue {
		wakeBy(e.expiresAt)
		wakeBy(e.request.Deadline)
	}
	for _, t := range a.uncommittedTurns() {
		for _, w := range t.uncommitted.waiters {
			wakeBy(w.expiresAt)
		}
	}
}
