package prog

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/table"
)

// Core applies the rules of programs to the families whose home this instance
// is. It does no I/O and reads no clock, and is not safe for concurrent use.
// Methods return the actions to perform, in order.
type Core struct {
	options       Options
	families      *table.Table[string, family]
	wakes         wakeHeap
	blockedShards map[int]struct{}
	// storeUnreachable is set while the store is known not to answer.
	storeUnreachable bool
	requestCount     int64
	actions          []Action
	stats            Stats
}

// Stats counts a Core's decisions since its start.
type Stats struct {
	Starts     int64 `json:"starts"`
	Replays    int64 `json:"replays"`
	Refusals   int64 `json:"refusals"`
	Commits    int64 `json:"commits"`
	Turns      int64 `json:"turns"`
	Conflicts  int64 `json:"conflicts"`
	Superseded int64 `json:"superseded"`
	Damaged    int64 `json:"damaged"`
}

// NewCore returns a Core without programs.
func NewCore(options Options) *Core {
	return &Core{
		options:       options,
		families:      table.NewTable[string, family](),
		blockedShards: make(map[int]struct{}),
	}
}

// Stats returns the counters since the Core's start.
func (c *Core) Stats() Stats { return c.stats }

// Begin requests a program's next turn for a call.
func (c *Core) Begin(t Ticket, r BeginRequest, now time.Time) []Action {
	if !validProgram(r.Program) || r.CallID == "" {
		c.replyBegin(t, &BeginReply{Refusal: refuse(ReasonInvalid)})
		return c.takeActions()
	}
	c.setDefaultDeadline(&r, now)
	return c.submit(r.Program, pendingRequest{ticket: t, begin: &r}, now)
}

// End reports the outcome of a call.
func (c *Core) End(t Ticket, r EndRequest, now time.Time) []Action {
	withdraws := r.Turn == 0 && r.Outcome != OutcomeCompleted
	if !validProgram(r.Program) || r.Turn < 1 && !withdraws {
		c.replyEnd(t, &EndReply{Refusal: refuse(ReasonInvalid)})
		return c.takeActions()
	}
	return c.submit(r.Program, pendingRequest{ticket: t, end: &r}, now)
}

// CloseProgram ends a program and its sub-agents.
func (c *Core) CloseProgram(t Ticket, r CloseRequest, now time.Time) []Action {
	if !validProgram(r.Program) {
		c.replyClose(t, &CloseReply{Refusal: refuse(ReasonInvalid)})
		return c.takeActions()
	}
	return c.submit(r.Program, pendingRequest{ticket: t, close: &r}, now)
}

// Resume tells a new home about a turn of a relay instance. It has no reply.
func (c *Core) Resume(r RelayedTurn, now time.Time) []Action {
	if !validProgram(r.Begin.Program) {
		return nil
	}
	c.setDefaultDeadline(&r.Begin, now)
	return c.submit(r.Begin.Program, pendingRequest{resume: &r}, now)
}

// Open opens a root program or a sub-agent.
func (c *Core) Open(t Ticket, r OpenRequest, now time.Time) []Action {
	if r.Parent != "" {
		if !validProgram(r.Parent) || r.Key == "" {
			c.replyOpen(t, &OpenReply{Refusal: refuse(ReasonInvalid)})
			return c.takeActions()
		}
		return c.submit(r.Parent, pendingRequest{ticket: t, open: &r}, now)
	}
	if !ValidRoot(r.Program) || r.Team == "" {
		c.replyOpen(t, &OpenReply{Refusal: refuse(ReasonInvalid)})
		return c.takeActions()
	}
	if c.families.Get(r.Program) == nil && !r.Resent {
		c.createFamily(&r, now)
	}
	return c.submit(r.Program, pendingRequest{ticket: t, open: &r}, now)
}

// SetStoreUnreachable sets whether the store is known not to answer. While it
// is, requests don't wait for a commit: they are answered as not kept.
func (c *Core) SetStoreUnreachable(unreachable bool) { c.storeUnreachable = unreachable }

func (c *Core) commitTimeout() time.Duration {
	if c.storeUnreachable {
		return 0
	}
	return c.options.CommitTimeout
}

// Tick handles the timers that have expired.
func (c *Core) Tick(now time.Time) []Action {
	changed := c.families.TakeChanged()
	slices.Sort(changed)
	for _, root := range changed {
		c.scheduleWake(c.families.Get(root))
	}
	for {
		root, due := c.wakes.pop(now)
		if !due {
			return c.takeActions()
		}
		if f := c.families.Get(root); f != nil {
			c.expire(f, now)
		}
	}
}

// Cancel drops a request whose caller has disconnected. A queued call loses its
// place; a started one runs on until its End or deadline.
func (c *Core) Cancel(t Ticket, program string, now time.Time) []Action {
	f := c.families.Get(RootOf(program))
	if f == nil {
		return nil
	}
	f.pendingRequests = slices.DeleteFunc(f.pendingRequests, func(p pendingRequest) bool { return p.ticket == t })
	for _, a := range f.agents {
		a.queue = slices.DeleteFunc(a.queue, func(e *queuedCall) bool { return e.ticket == t })
	}
	c.advance(f, now)
	return c.takeActions()
}

// MarkCached records that an engine holds a program's prefix.
func (c *Core) MarkCached(program, engine string) {
	f := c.families.Get(RootOf(program))
	if f == nil {
		return
	}
	if a := f.agent(program); a != nil {
		a.markCached(engine)
	}
}

// BlockTurns stops new turns of a shard until UnblockTurns. A new home blocks a
// shard while it asks the relay instances for their turns.
func (c *Core) BlockTurns(shard int) { c.blockedShards[shard] = struct{}{} }

// UnblockTurns allows new turns of a shard.
func (c *Core) UnblockTurns(shard int, now time.Time) []Action {
	delete(c.blockedShards, shard)
	for _, f := range c.shard(shard) {
		c.advance(f, now)
	}
	return c.takeActions()
}

// DropRelay drops the calls of an instance that no longer answers. The
// reservations of its running calls count as spent. Its queued calls are
// refused with ReasonMoved, so that an instance that was only frozen sends them
// again.
func (c *Core) DropRelay(relay string, now time.Time) []Action {
	for _, root := range c.families.Keys(strings.Compare) {
		f := c.families.Get(root)
		f.pendingRequests = slices.DeleteFunc(f.pendingRequests, func(p pendingRequest) bool {
			dropped := p.begin != nil && p.begin.Relay == relay
			if dropped {
				c.refusePending(p, ReasonMoved)
			}
			return dropped
		})
		for _, a := range f.agents {
			a.relayed = slices.DeleteFunc(a.relayed, func(r RelayedTurn) bool { return r.Begin.Relay == relay })
			if a.running != nil && a.running.request.Relay == relay {
				c.abandonRunning(f, a)
			}
			a.queue = slices.DeleteFunc(a.queue, func(e *queuedCall) bool {
				dropped := e.request.Relay == relay
				if dropped {
					c.refuseBegin(e.ticket, ReasonMoved)
				}
				return dropped
			})
		}
		c.advance(f, now)
	}
	return c.takeActions()
}

// Unload starts to evict a shard: queued requests are refused, and a last
// commit returns unused reservations. It is complete once Remaining returns
// zero.
func (c *Core) Unload(shard int, now time.Time) []Action {
	for _, f := range c.shard(shard) {
		c.unloadFamily(f, now)
	}
	return c.takeActions()
}

// Remaining returns the number of the shard's families in memory.
func (c *Core) Remaining(shard int) int { return len(c.shard(shard)) }

// Drop evicts a shard's families without waiting for their commits.
func (c *Core) Drop(shard int) []Action {
	for _, f := range c.shard(shard) {
		c.evict(f, ReasonMoved)
	}
	return c.takeActions()
}

// Watch loads the family of a program that is cached on an engine, so that the
// cache is released if no further call arrives.
func (c *Core) Watch(program string, now time.Time) []Action {
	if !validProgram(program) || c.families.Get(RootOf(program)) != nil {
		return nil
	}
	return c.submit(program, pendingRequest{}, now)
}

// HasEnded reports whether a program in memory no longer needs its cache. known
// is false if its family is not loaded.
func (c *Core) HasEnded(program string, now time.Time) (ended, known bool) {
	f := c.families.Get(RootOf(program))
	if f == nil || f.phase == phaseLoading {
		return false, false
	}
	a := f.agent(program)
	expired := f.ended || f.idle || f.ledger.TimeLeft(now) <= 0
	return expired || a == nil || a.ended, true
}

// shard returns a shard's families in the order of their ids.
func (c *Core) shard(shard int) []*family {
	var families []*family
	for _, root := range c.families.Keys(strings.Compare) {
		if ShardOf(root) == shard {
			families = append(families, c.families.Get(root))
		}
	}
	return families
}

// submit passes a request to its family, loading the family if necessary.
func (c *Core) submit(program string, p pendingRequest, now time.Time) []Action {
	root := RootOf(program)
	f := c.families.Get(root)
	if f == nil {
		f = c.families.Put(root, family{root: root, lastActive: now})
		c.load(f)
	}
	p.expiresAt = now.Add(c.options.LongPollTimeout)
	c.handle(f, p, now)
	c.advance(f, now)
	return c.takeActions()
}

func (c *Core) handle(f *family, p pendingRequest, now time.Time) {
	if f.unloading {
		c.refusePending(p, ReasonMoved)
		return
	}
	f.returningReservations = false
	if f.phase != phaseReady {
		f.pendingRequests = append(f.pendingRequests, p)
		return
	}
	switch {
	case p.open != nil:
		c.open(f, p.ticket, p.open, now)
	case p.begin != nil:
		c.begin(f, p.ticket, p.begin, now)
	case p.end != nil:
		c.end(f, p.ticket, p.end, now)
	case p.close != nil:
		c.close(f, p.ticket, p.close, now)
	case p.resume != nil:
		c.resume(f, p.resume, now)
	}
}

// advance starts the calls that can run, commits pending changes and marks the
// family for the next tick.
func (c *Core) advance(f *family, now time.Time) {
	if c.families.Get(f.root) != f {
		return
	}
	for _, a := range f.agents {
		c.startNext(f, a, now)
	}
	c.commit(f, now)
	c.families.Touch(f.root)
	if f.unloading && !f.hasUncommitted() && !f.loading {
		c.evict(f, ReasonMoved)
	}
}

// setDefaultDeadline sets the deadline of a call that has none.
func (c *Core) setDefaultDeadline(r *BeginRequest, now time.Time) {
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(c.options.DefaultCallTimeout)
	}
}

func (c *Core) requestID() string {
	c.requestCount++
	return c.options.Instance + "/" + c.options.Epoch + "/" + strconv.FormatInt(c.requestCount, 36)
}

func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func validProgram(program string) bool {
	return len(program) <= maxIDBytes && ValidRoot(RootOf(program)) && !strings.Contains(program, "/")
}
