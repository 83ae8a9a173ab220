package prog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// Driver performs the actions of a Core with a store. It is safe for
	// concurrent use.
	Driver struct {
		common           *common.Common
		table            store.Table
		objects          store.Objects
		committer        Committer
		timeout          time.Duration
		storeUnreachable func() bool
		release          func(Release)
		group            *group.Group

		mu             sync.Mutex
		core           *Core
		random         *rand.Rand
		tickets        Ticket
		pendingReplies map[Ticket]chan Reply
	}

	// DriverOptions are the dependencies of a Driver.
	DriverOptions struct {
		Core      Options
		Common    *common.Common
		Table     store.Table
		Objects   store.Objects
		Committer Committer
		Random    *rand.Rand
		// Unreachable reports whether the last write got no answer; nil means
		// never.
		Unreachable func() bool
		// Release is called, without a lock held, for each program whose cache
		// the engines may evict. It must not block.
		Release func(Release)
	}
)

// NewDriver returns a Driver without programs. Its owner calls Tick
// periodically, such as every 50 ms.
func NewDriver(ctx context.Context, o DriverOptions) *Driver {
	return &Driver{
		common:           o.Common.Part("prog"),
		table:            o.Table,
		objects:          o.Objects,
		committer:        o.Committer,
		timeout:          time.Duration(o.Common.Settings.StoreTimeout),
		storeUnreachable: o.Unreachable,
		release:          o.Release,
		group:            group.NewGroup(ctx),
		core:             NewCore(o.Core),
		random:           o.Random,
		pendingReplies:   make(map[Ticket]chan Reply),
	}
}

// NewRoot returns a random id for a new root program.
func (d *Driver) NewRoot() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return NewRoot(d.random)
}

// Open opens a root program or a sub-agent.
func (d *Driver) Open(ctx context.Context, r OpenRequest) (*OpenReply, error) {
	program := r.Program
	if r.Parent != "" {
		program = r.Parent
	}
	reply, err := d.request(ctx, program, func(t Ticket, now time.Time) []Action {
		return d.core.Open(t, r, now)
	})
	return reply.Open, err
}

// Begin waits for the program's turn. An error means that the caller has
// disconnected and the call was not started.
func (d *Driver) Begin(ctx context.Context, r BeginRequest) (*BeginReply, error) {
	reply, err := d.request(ctx, r.Program, func(t Ticket, now time.Time) []Action {
		return d.core.Begin(t, r, now)
	})
	if err == nil && ctx.Err() != nil && reply.Begin.Start != nil {
		d.withdraw(&r)
		return nil, errors.Trace(ctx.Err())
	}
	return reply.Begin, err
}

// withdraw frees the turn of a call whose caller has disconnected.
func (d *Driver) withdraw(r *BeginRequest) {
	end := EndRequest{
		Program: r.Program,
		Team:    r.Team,
		CallID:  r.CallID,
		Attempt: r.Attempt,
		Outcome: OutcomeCancelled,
	}
	d.notify(func(now time.Time) []Action { return d.core.End(0, end, now) })
}

// End reports the outcome of a call and waits for the commit, up to a timeout.
func (d *Driver) End(ctx context.Context, r EndRequest) (*EndReply, error) {
	reply, err := d.request(ctx, r.Program, func(t Ticket, now time.Time) []Action {
		return d.core.End(t, r, now)
	})
	return reply.End, err
}

// CloseProgram ends a program and its sub-agents.
func (d *Driver) CloseProgram(ctx context.Context, r CloseRequest) (*CloseReply, error) {
	reply, err := d.request(ctx, r.Program, func(t Ticket, now time.Time) []Action {
		return d.core.CloseProgram(t, r, now)
	})
	return reply.Close, err
}

// Resume passes on a turn that a relay instance runs for an earlier home.
func (d *Driver) Resume(r RelayedTurn) {
	d.notify(func(now time.Time) []Action { return d.core.Resume(r, now) })
}

// Tick handles the core's timers that have expired.
func (d *Driver) Tick() {
	d.notify(func(now time.Time) []Action {
		d.core.SetStoreUnreachable(d.storeUnreachable != nil && d.storeUnreachable())
		return d.core.Tick(now)
	})
}

// MarkCached records that an engine holds a program's prefix.
func (d *Driver) MarkCached(program, engine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.MarkCached(program, engine)
}

// BlockTurns stops new turns of a shard until UnblockTurns. A new home calls it
// before it asks the relay instances for their turns.
func (d *Driver) BlockTurns(shard int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.BlockTurns(shard)
}

// UnblockTurns allows new turns of a shard.
func (d *Driver) UnblockTurns(shard int) {
	d.notify(func(now time.Time) []Action { return d.core.UnblockTurns(shard, now) })
}

// DropRelay drops the calls of an instance that no longer answers.
func (d *Driver) DropRelay(relay string) {
	d.notify(func(now time.Time) []Action { return d.core.DropRelay(relay, now) })
}

// Unload evicts a shard and waits until its unused reservations are returned.
// If the context ends first, the shard is dropped without that.
func (d *Driver) Unload(ctx context.Context, shard int) error {
	d.notify(func(now time.Time) []Action { return d.core.Unload(shard, now) })
	ticker := time.NewTicker(unloadPollInterval)
	defer ticker.Stop()
	for d.remaining(shard) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.notify(func(time.Time) []Action { return d.core.Drop(shard) })
			return ctx.Err()
		}
	}
	return nil
}

// Dump returns a Core's state for operators: counters, and up to limit families
// whose id has the prefix.
func (d *Driver) Dump(prefix string, limit int) *Dump {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Dump(prefix, limit)
}

// Close cancels the store requests in flight and waits for them to return.
func (d *Driver) Close() { d.group.Close() }

func (d *Driver) remaining(shard int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Remaining(shard)
}

// request sends a request to the core and waits for its reply.
func (d *Driver) request(ctx context.Context, program string, send func(Ticket, time.Time) []Action) (Reply, error) {
	replies := make(chan Reply, 1)
	d.mu.Lock()
	d.tickets++
	t := d.tickets
	d.pendingReplies[t] = replies
	actions := send(t, d.common.Clock.Now())
	d.mu.Unlock()
	d.perform(actions)
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return d.cancelRequest(t, program, replies, ctx.Err())
	case <-d.group.Context().Done():
		return d.cancelRequest(t, program, replies, ErrClosed)
	}
}

// cancelRequest cancels a request, unless its reply has just arrived.
func (d *Driver) cancelRequest(t Ticket, program string, replies chan Reply, cause error) (Reply, error) {
	d.notify(func(now time.Time) []Action {
		delete(d.pendingReplies, t)
		return d.core.Cancel(t, program, now)
	})
	select {
	case reply := <-replies:
		return reply, nil
	default:
		return Reply{}, errors.Trace(cause)
	}
}

// notify sends the core an input that has no reply.
func (d *Driver) notify(send func(time.Time) []Action) {
	d.mu.Lock()
	actions := send(d.common.Clock.Now())
	d.mu.Unlock()
	d.perform(actions)
}

func (d *Driver) perform(actions []Action) {
	for _, a := range actions {
		switch {
		case a.Reply != nil:
			d.deliver(a.Reply)
		case a.Load != nil:
			d.group.Go(func(ctx context.Context) { d.load(ctx, a.Load.Root) })
		case a.Commit != nil:
			d.group.Go(func(ctx context.Context) { d.commit(ctx, a.Commit) })
		case a.Release != nil && d.release != nil:
			d.release(*a.Release)
		}
	}
}

func (d *Driver) deliver(r *Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if replies, ok := d.pendingReplies[r.Ticket]; ok {
		delete(d.pendingReplies, r.Ticket)
		replies <- *r
	}
}
