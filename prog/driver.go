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
	// Keeper drives a Core with a store. It is safe for concurrent use.
	Keeper struct {
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

	// KeeperOptions are what a Keeper works with.
	KeeperOptions struct {
		Core      Options
		Common    *common.Common
		Table     store.Table
		Objects   store.Objects
		Committer Committer
		Random    *rand.Rand
		// Unreachable says that the last write got no answer; nil means never.
		Unreachable func() bool
		// Release is called, outside of locks, for each program whose cache
		// the engines may drop. It must not block.
		Release func(Release)
	}
)

// NewKeeper returns a Keeper without programs. Tick must be called often,
// such as every 50 ms.
func NewKeeper(ctx context.Context, o KeeperOptions) *Keeper {
	return &Keeper{
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

// NewRoot returns the id of a new root program.
func (k *Keeper) NewRoot() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return NewRoot(k.random)
}

// Open opens a root program or a sub-agent.
func (k *Keeper) Open(ctx context.Context, r OpenRequest) (*OpenReply, error) {
	program := r.Program
	if r.Parent != "" {
		program = r.Parent
	}
	reply, err := k.request(ctx, program, func(t Ticket, now time.Time) []Action {
		return k.core.Open(t, r, now)
	})
	return reply.Open, err
}

// Begin waits for the program's turn. An error means that the asker left and
// that the call was not started.
func (k *Keeper) Begin(ctx context.Context, r BeginRequest) (*BeginReply, error) {
	reply, err := k.request(ctx, r.Program, func(t Ticket, now time.Time) []Action {
		return k.core.Begin(t, r, now)
	})
	if err == nil && ctx.Err() != nil && reply.Begin.Start != nil {
		k.withdraw(&r)
		return nil, errors.Trace(ctx.Err())
	}
	return reply.Begin, err
}

// withdraw gives the turn of a call back whose asker has left.
func (k *Keeper) withdraw(r *BeginRequest) {
	end := EndRequest{
		Program: r.Program,
		Team:    r.Team,
		CallID:  r.CallID,
		Attempt: r.Attempt,
		Outcome: OutcomeCancelled,
	}
	k.notify(func(now time.Time) []Action { return k.core.End(0, end, now) })
}

// End reports how a call ended and waits for the commit, up to a bound.
func (k *Keeper) End(ctx context.Context, r EndRequest) (*EndReply, error) {
	reply, err := k.request(ctx, r.Program, func(t Ticket, now time.Time) []Action {
		return k.core.End(t, r, now)
	})
	return reply.End, err
}

// CloseProgram ends a program and its sub-agents.
func (k *Keeper) CloseProgram(ctx context.Context, r CloseRequest) (*CloseReply, error) {
	reply, err := k.request(ctx, r.Program, func(t Ticket, now time.Time) []Action {
		return k.core.CloseProgram(t, r, now)
	})
	return reply.Close, err
}

// Resume tells this home of a call that a relaying instance runs for an
// earlier home.
func (k *Keeper) Resume(r Running) {
	k.notify(func(now time.Time) []Action { return k.core.Resume(r, now) })
}

// Tick does what has become due.
func (k *Keeper) Tick() {
	k.notify(func(now time.Time) []Action {
		k.core.SetStoreUnreachable(k.storeUnreachable != nil && k.storeUnreachable())
		return k.core.Tick(now)
	})
}

// Cached notes that an engine holds a program's prefix.
func (k *Keeper) MarkCached(program, engine string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.MarkCached(program, engine)
}

// Hold stops new turns of a shard until Lift. A new home calls it before it
// asks the relaying instances for what they carry.
func (k *Keeper) Hold(shard int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.BlockTurns(shard)
}

// Lift lets the turns of a shard start.
func (k *Keeper) Lift(shard int) {
	k.notify(func(now time.Time) []Action { return k.core.UnblockTurns(shard, now) })
}

// RelayGone drops the running calls of an instance that has died.
func (k *Keeper) RelayGone(relay string) {
	k.notify(func(now time.Time) []Action { return k.core.DropRelay(relay, now) })
}

// Unload gives a shard up and waits until its unused reservations are given
// back; when the context ends the shard is dropped as it is.
func (k *Keeper) Unload(ctx context.Context, shard int) error {
	k.notify(func(now time.Time) []Action { return k.core.Unload(shard, now) })
	ticker := time.NewTicker(unloadPollInterval)
	defer ticker.Stop()
	for k.remaining(shard) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			k.notify(func(time.Time) []Action { return k.core.Drop(shard) })
			return ctx.Err()
		}
	}
	return nil
}

// Dump returns the state for operators: counts, and up to limit families whose
// id has the prefix.
func (k *Keeper) Dump(prefix string, limit int) *Dump {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Dump(prefix, limit)
}

// Close cancels what is on its way to the store and waits for it.
func (k *Keeper) Close() { k.group.Close() }

func (k *Keeper) remaining(shard int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Remaining(shard)
}

// ask sends a request to the core and waits for its reply.
func (k *Keeper) request(ctx context.Context, program string, send func(Ticket, time.Time) []Action) (Reply, error) {
	answer := make(chan Reply, 1)
	k.mu.Lock()
	k.tickets++
	t := k.tickets
	k.pendingReplies[t] = answer
	actions := send(t, k.common.Clock.Now())
	k.mu.Unlock()
	k.perform(actions)
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return k.cancelRequest(t, program, answer, ctx.Err())
	case <-k.group.Context().Done():
		return k.cancelRequest(t, program, answer, ErrClosed)
	}
}

// stopAsking takes a request back, unless its reply came at that moment.
func (k *Keeper) cancelRequest(t Ticket, program string, answer chan Reply, cause error) (Reply, error) {
	k.notify(func(now time.Time) []Action {
		delete(k.pendingReplies, t)
		return k.core.Cancel(t, program, now)
	})
	select {
	case reply := <-answer:
		return reply, nil
	default:
		return Reply{}, errors.Trace(cause)
	}
}

// tell sends the core something that has no reply.
func (k *Keeper) notify(send func(time.Time) []Action) {
	k.mu.Lock()
	actions := send(k.common.Clock.Now())
	k.mu.Unlock()
	k.perform(actions)
}

func (k *Keeper) perform(actions []Action) {
	for _, a := range actions {
		switch {
		case a.Reply != nil:
			k.deliver(a.Reply)
		case a.Load != nil:
			k.group.Go(func(ctx context.Context) { k.load(ctx, a.Load.Root) })
		case a.Commit != nil:
			k.group.Go(func(ctx context.Context) { k.commit(ctx, a.Commit) })
		case a.Release != nil && k.release != nil:
			k.release(*a.Release)
		}
	}
}

func (k *Keeper) deliver(r *Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if answer, ok := k.pendingReplies[r.Ticket]; ok {
		delete(k.pendingReplies, r.Ticket)
		answer <- *r
	}
}
