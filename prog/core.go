package prog

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/table"
)

// Core decides for the families whose home this instance is. It does no I/O
// and reads no clock; it is not safe for concurrent use. Every method returns
// the actions to take, in order.
type Core struct {
	options       Options
	families      *table.Table[string, family]
	wakes         wakeHeap
	blockedShards map[int]struct{}
	// storeAway says that the store is known not to answer.
	storeUnreachable bool
	requestCount     int64
	actions          []Action
	stats            Stats
}

// Stats counts what a Core has done since its start.
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

// Stats returns the counts.
func (c *Core) Stats() Stats { return c.stats }

// Begin asks for a turn.
func (c *Core) Begin(t Ticket, r BeginRequest, now time.Time) []Action {
	if !validProgram(r.Program) || r.CallID == "" {
		c.replyBegin(t, &BeginReply{Refusal: refuse(ReasonInvalid)})
		return c.takeActions()
	}
	c.setDefaultDeadline(&r, now)
	return c.submit(r.Program, pendingRequest{ticket: t, begin: &r}, now)
}

// End reports how a call ended.
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

// Resume tells a new home of a call that a relaying instance runs. It has no
// reply.
func (c *Core) Resume(r Running, now time.Time) []Action {
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

// SetStoreAway says whether the store is known not to answer: then nothing
// waits for a commit before it is answered as not kept.
func (c *Core) SetStoreUnreachable(away bool) { c.storeUnreachable = away }

func (c *Core) commitTimeout() time.Duration {
	if c.storeUnreachable {
		return 0
	}
	return c.options.KeptBound
}

// Tick does what has become due.
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

// Cancel forgets a request whose asker has left. A queued call loses its
// place; a started one goes on until its End or deadline.
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

// Cached notes that an engine holds a program's prefix.
func (c *Core) MarkCached(program, engine string) {
	f := c.families.Get(RootOf(program))
	if f == nil {
		return
	}
	if a := f.agent(program); a != nil {
		a.markCached(engine)
	}
}

// Hold stops new turns of a shard until Lift: a new home holds the shard while
// it asks the relaying instances for what they carry.
func (c *Core) BlockTurns(shard int) { c.blockedShards[shard] = struct{}{} }

// Lift lets the turns of a shard start.
func (c *Core) UnblockTurns(shard int, now time.Time) []Action {
	delete(c.blockedShards, shard)
	for _, f := range c.familiesInShard(shard) {
		c.advance(f, now)
	}
	return c.takeActions()
}

// RelayGone drops the calls of an instance that no longer answers. The
// reservations of running ones count as spent. Queued ones are refused as after
// a move, so that an instance that was only frozen sends them again.
func (c *Core) DropRelay(relay string, now time.Time) []Action {
	for _, root := range c.families.Keys(strings.Compare) {
		f := c.families.Get(root)
		f.pendingRequests = slices.DeleteFunc(f.pendingRequests, func(p pendingRequest) bool {
			gone := p.begin != nil && p.begin.Relay == relay
			if gone {
				c.refusePending(p, ReasonMoved)
			}
			return gone
		})
		for _, a := range f.agents {
			a.relayed = slices.DeleteFunc(a.relayed, func(r Running) bool { return r.Begin.Relay == relay })
			if a.running != nil && a.running.request.Relay == relay {
				c.abandonRunning(f, a)
			}
			a.queue = slices.DeleteFunc(a.queue, func(e *queuedCall) bool {
				gone := e.request.Relay == relay
				if gone {
					c.refuseBegin(e.ticket, ReasonMoved)
				}
				return gone
			})
		}
		c.advance(f, now)
	}
	return c.takeActions()
}

// Unload gives a shard up: what waits is refused, unused reservations go back
// with a last commit. Remaining tells when that is done.
func (c *Core) Unload(shard int, now time.Time) []Action {
	for _, f := range c.familiesInShard(shard) {
		c.unloadFamily(f, now)
	}
	return c.takeActions()
}

// Remaining returns the number of families of a shard in memory.
func (c *Core) Remaining(shard int) int { return len(c.familiesInShard(shard)) }

// Drop forgets a shard's families, committed or not.
func (c *Core) Drop(shard int) []Action {
	for _, f := range c.familiesInShard(shard) {
		c.evict(f, ReasonMoved)
	}
	return c.takeActions()
}

// Watch loads a family that an engine holds a cache for, so that the cache is
// released if no call comes.
func (c *Core) Watch(program string, now time.Time) []Action {
	if !validProgram(program) || c.families.Get(RootOf(program)) != nil {
		return nil
	}
	return c.submit(program, pendingRequest{}, now)
}

// Known reports for a program in memory whether its cache is still of use.
func (c *Core) HasEnded(program string, now time.Time) (ended, known bool) {
	f := c.families.Get(RootOf(program))
	if f == nil || f.phase == phaseLoading {
		return false, false
	}
	a := f.agent(program)
	over := f.ended || f.idle || f.ledger.TimeLeft(now) <= 0
	return over || a == nil || a.ended, true
}

func (c *Core) familiesInShard(familiesInShard int) []*family {
	var families []*family
	for _, root := range c.families.Keys(strings.Compare) {
		if ShardOf(root) == familiesInShard {
			families = append(families, c.families.Get(root))
		}
	}
	return families
}

// route hands a request to its family, which is loaded first if need be.
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

// advance starts what may start, sends what has to be kept and notes the
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

// bound gives a call without a deadline one.
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
