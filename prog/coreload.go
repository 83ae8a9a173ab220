package prog

import (
	"slices"
	"time"
)

func (c *Core) load(f *family) {
	if f.loading {
		return
	}
	f.loading = true
	c.actions = append(c.actions, Action{Load: &Load{Root: f.root}})
}

// refresh reloads the family for a request that refers to a turn unknown to
// this home, since another home may have committed it. The request waits for
// the result. refresh returns false if a commit or a reload is in progress, or
// if the last refresh was within RetryInterval.
func (c *Core) refresh(f *family, p pendingRequest, now time.Time) bool {
	if f.inflight != nil || f.mustReload || now.Sub(f.refreshedAt) < c.options.RetryInterval {
		return false
	}
	f.refreshedAt = now
	f.mustReload = true
	p.expiresAt = now.Add(c.options.LongPollTimeout)
	f.pendingRequests = append(f.pendingRequests, p)
	c.load(f)
	return true
}

// Loaded handles the result of a Load.
func (c *Core) Loaded(root string, result *LoadResult, err error, now time.Time) []Action {
	f := c.families.Get(root)
	if f == nil || !f.loading {
		return nil
	}
	f.loading = false
	switch {
	case err != nil:
		c.handleLoadFailure(f, now)
	case f.phase == phaseLoading:
		c.handleFirstLoad(f, result, now)
	default:
		c.reconcile(f, result, now)
	}
	c.advance(f, now)
	return c.takeActions()
}

func (c *Core) handleLoadFailure(f *family, now time.Time) {
	if f.phase == phaseLoading {
		c.evict(f, ReasonStore)
		return
	}
	f.retryAt = now.Add(c.options.RetryInterval)
	pending := f.pendingRequests
	f.pendingRequests = nil
	for _, p := range pending {
		c.refusePending(p, ReasonStore)
	}
}

func (c *Core) handleFirstLoad(f *family, result *LoadResult, now time.Time) {
	if result.Row.Version == 0 {
		c.handleMissingRow(f, now)
		return
	}
	loaded, err := restore(result, now)
	if err != nil {
		c.stats.Damaged++
		c.evict(f, ReasonDamaged)
		return
	}
	f.replaceWith(loaded)
	c.handlePending(f, now)
}

// handleMissingRow opens a program whose opening was never committed, or
// refuses the requests for a program that doesn't exist.
func (c *Core) handleMissingRow(f *family, now time.Time) {
	for _, p := range f.pendingRequests {
		if p.open != nil && p.open.Parent == "" {
			c.initFamily(f, p.open, now)
			c.handlePending(f, now)
			return
		}
	}
	c.evict(f, ReasonUnknownProgram)
}

// replaceWith replaces the family's state by the table's.
func (f *family) replaceWith(loaded *family) {
	f.team = loaded.team
	f.ledger = loaded.ledger
	f.agents = loaded.agents
	f.ended = loaded.ended
	f.version = loaded.version
	f.freshlyLoaded = true
	f.uncertain = nil
	f.mustReload = false
	f.committedRevision = f.revision
	f.phase = phaseReady
}

func (c *Core) handlePending(f *family, now time.Time) {
	pending := f.pendingRequests
	f.pendingRequests = nil
	for _, p := range pending {
		c.handle(f, p, now)
	}
}

// reconcile compares the table with a family whose last commit failed or has an
// unknown outcome.
func (c *Core) reconcile(f *family, result *LoadResult, now time.Time) {
	writer := f.findWriter(result.Row.Value)
	switch {
	case result.Row.Version == f.version:
		f.mustReload = false
		f.phase = phaseReady
	case writer >= 0:
		c.commitApplied(f, f.uncertain[writer], result.Row.Version)
		f.phase = phaseReady
	case result.Row.Version == 0:
		c.stats.Damaged++
		c.evict(f, ReasonDamaged)
		return
	default:
		if !c.rebase(f, result, now) {
			return
		}
	}
	c.handlePending(f, now)
}

// findWriter returns the index of the uncertain commit that wrote a row, or -1.
func (f *family) findWriter(value []byte) int {
	row, err := DecodeFamily(value)
	if err != nil {
		return -1
	}
	return slices.IndexFunc(f.uncertain, func(inflight *inflightCommit) bool {
		return inflight.requestID == row.Commit
	})
}

// rebase adopts another home's state and reapplies this home's uncommitted
// changes that still fit.
func (c *Core) rebase(f *family, result *LoadResult, now time.Time) bool {
	loaded, err := restore(result, now)
	if err != nil {
		c.stats.Damaged++
		c.evict(f, ReasonDamaged)
		return false
	}
	if loaded.team != f.team || loaded.agents[0].key != f.agents[0].key {
		c.evict(f, ReasonUnknownProgram)
		return false
	}
	old := f.agents
	f.replaceWith(loaded)
	for _, a := range old {
		c.rebaseAgent(f, a)
	}
	c.wakeWaiters(f)
	return true
}

func (c *Core) rebaseAgent(f *family, old *agent) {
	a := f.agent(old.program)
	if a == nil {
		a = f.readdAgent(old)
	}
	if a == nil || a.key != old.key {
		c.refuseOrphan(old)
		return
	}
	c.rebaseTurns(f, a, old)
	if old.running != nil && a.follows(old.running) {
		a.running = old.running
		a.running.reservedElsewhere = true
	}
	a.queue = old.queue
	a.relayed = old.relayed
	a.engines = old.engines
	if old.ended && !a.ended {
		a.ended = true
		f.ended = f.agents[0].ended
		f.markChanged()
	}
}

// readdAgent adds a sub-agent that this home opened and that is not in the
// table.
func (f *family) readdAgent(old *agent) *agent {
	if f.agent(parentOf(old.program)) == nil || len(f.agents) >= maxAgents {
		return nil
	}
	f.agents = append(f.agents, newAgent(old.program, f.team, old.key))
	f.markChanged()
	return f.agents[len(f.agents)-1]
}

func (c *Core) rebaseTurns(f *family, a, old *agent) {
	first := len(old.turns) - len(old.uncommittedTurns())
	for i := first; i < len(old.turns); i++ {
		t := old.turns[i]
		switch {
		case i < len(a.turns) && a.turns[i].digest == t.digest:
			c.turnCommitted(t)
		case i == len(a.turns) && t.uncommitted.previous == a.head():
			a.turns = append(a.turns, t)
			f.ledger.SettleUnreported(t.usage)
		default:
			c.supersedeTurn(a, t, i+1)
		}
	}
}

// supersedeTurn answers the reports of a turn that another call has taken.
func (c *Core) supersedeTurn(a *agent, t *turn, number int) {
	var stored *Stored
	if number <= len(a.turns) {
		stored = a.turns[number-1].stored(number)
	}
	for _, w := range t.uncommitted.waiters {
		c.supersede(w.ticket, stored)
	}
}

// refuseOrphan answers the requests of a sub-agent that is not in the table and
// can't be added.
func (c *Core) refuseOrphan(old *agent) {
	for _, t := range old.uncommittedTurns() {
		for _, w := range t.uncommitted.waiters {
			c.supersede(w.ticket, nil)
		}
	}
	for _, e := range old.queue {
		c.refuseBegin(e.ticket, ReasonUnknownProgram)
	}
}

func (a *agent) follows(run *runningCall) bool {
	return run.start.Turn == a.nextTurn() && run.start.Previous == a.head()
}

// wakeWaiters answers requests that wait for state that is in the table by now.
func (c *Core) wakeWaiters(f *family) {
	for i := range f.waiters {
		w := &f.waiters[i]
		w.revision = f.revision
		if w.committedReply.Open != nil && f.agent(w.committedReply.Open.Program) == nil {
			w.committedReply = Reply{Open: &OpenReply{Refusal: refuse(ReasonConflict)}}
		}
	}
	if f.revision != f.committedRevision {
		return
	}
	for _, w := range f.waiters {
		c.reply(w.ticket, w.committedReply)
	}
	f.waiters = nil
}
