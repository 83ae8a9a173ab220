package progs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/ctrl"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/prog"
)

const (
	// pendingTurnsTimeout bounds the requests for the peers' pending turns.
	pendingTurnsTimeout = time.Second
	// unloadTimeout bounds the unloading of a shard.
	unloadTimeout = 2 * time.Second
)

type (
	// Viewer returns the latest view of the fleet.
	Viewer interface {
		View() *fleet.View
	}

	// Home serves the programs whose home this instance is.
	Home struct {
		common  *common.Common
		thread  *ctrl.Thread
		conns   *peer.Conns
		driver  *prog.Driver
		viewer  Viewer
		pending *PendingTurns
		held    [fleet.ShardCount]bool
		// authorityExpiry is when the authority over each held shard expires.
		authorityExpiry [fleet.ShardCount]time.Time
		gained          fleet.Bitmap
		// expired are gained shards that may have had another home since: the
		// state of their programs is reloaded.
		expired fleet.Bitmap
		group   *group.Group
	}
)

// NewHome returns a home that decides with the driver. When it gains a shard, it
// requests the pending turns of all instances in the viewer's view.
func NewHome(
	c *common.Common,
	thread *ctrl.Thread,
	conns *peer.Conns,
	driver *prog.Driver,
	pending *PendingTurns,
) *Home {
	return &Home{
		common:  c.Part("progs"),
		thread:  thread,
		conns:   conns,
		driver:  driver,
		pending: pending,
		group:   group.NewGroup(context.Background()),
	}
}

// SetViewer sets the source of the fleet's view; it must be called before the
// control thread starts.
func (h *Home) SetViewer(viewer Viewer) { h.viewer = viewer }

// Close cancels the unloading of released shards, waits for it and closes the
// driver.
func (h *Home) Close() {
	h.group.Close()
	h.driver.Close()
}

// Handlers returns the handlers of the home's remote methods.
func (h *Home) Handlers() []peer.Handler {
	return []peer.Handler{
		Open.Handle(h.open),
		Begin.Handle(h.begin),
		End.Handle(h.end),
		Close.Handle(h.closeProgram),
		ListPending.Handle(h.listPending),
		Ended.Handle(h.ended),
	}
}

// Tick runs the driver and starts the takeover of the shards that were gained
// since the last tick. It runs on the control thread.
func (h *Home) Tick(time.Time) {
	h.driver.Tick()
	if h.gained.Empty() {
		return
	}
	shards, expired := h.gained, h.expired
	h.gained, h.expired = fleet.Bitmap{}, fleet.Bitmap{}
	h.group.Go(func(ctx context.Context) {
		h.reload(ctx, expired)
		h.takeOver(ctx, shards)
	})
}

// SetAuthority applies a change of the authority over a shard; it runs on the
// control thread.
func (h *Home) SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time) {
	holds := a.Slots > 0
	expired := h.held[s] && !now.Before(h.authorityExpiry[s])
	h.authorityExpiry[s] = a.Until
	if holds == h.held[s] && !expired {
		return
	}
	h.held[s] = holds
	if !holds {
		h.unload(s)
		return
	}
	h.driver.BlockTurns(int(s))
	h.gained.Set(s)
	if expired {
		h.expired.Set(s)
	}
}

// HandOver unloads the shards of a planned handover; it runs on the control
// thread.
func (h *Home) HandOver(o fleet.Handover, _ time.Time) {
	for _, s := range o.Shards.Shards() {
		h.held[s] = false
		h.unload(s)
	}
}

// Lost drops the running turns of an unreachable relay instance; it runs on the
// control thread.
func (h *Home) Lost(instance string, _ time.Time) { h.driver.DropRelay(instance) }

func (h *Home) unload(s fleet.Shard) {
	h.gained.Clear(s)
	h.expired.Clear(s)
	h.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, unloadTimeout)
		defer cancel()
		if err := h.driver.Unload(ctx, int(s)); err != nil {
			h.common.Log.Warn("shard not unloaded in time; dropping it with its reservations", "shard", s, "error", err)
		}
	})
}

// reload unloads the shards, so that the state of their programs is read from
// the table service again.
func (h *Home) reload(ctx context.Context, shards fleet.Bitmap) {
	ctx, cancel := context.WithTimeout(ctx, unloadTimeout)
	defer cancel()
	for _, s := range shards.Shards() {
		if err := h.driver.Unload(ctx, int(s)); err != nil {
			h.common.Log.Warn("shard not unloaded in time; dropping it with its reservations", "shard", s, "error", err)
		}
	}
}

// takeOver requests the pending turns of every instance, then lets the turns of
// the shards start.
func (h *Home) takeOver(ctx context.Context, shards fleet.Bitmap) {
	ctx, cancel := context.WithTimeout(ctx, pendingTurnsTimeout)
	defer cancel()
	requests := group.NewGroup(ctx)
	for _, m := range h.viewer.View().Members {
		requests.Go(func(ctx context.Context) { h.resumePending(ctx, m, shards) })
	}
	requests.Wait()
	requests.Close()
	for _, s := range shards.Shards() {
		h.driver.UnblockTurns(int(s))
	}
}

func (h *Home) resumePending(ctx context.Context, m fleet.Member, shards fleet.Bitmap) {
	q := &PendingTurnsRequest{Shards: shards, Requester: h.viewer.View().Self.Address}
	reply, err := h.fetchPending(ctx, m, q)
	if err != nil {
		h.common.Log.Debug("cannot list the pending turns of an instance", "instance", m.Instance.Name, "error", err)
		return
	}
	now := h.common.Clock.Now()
	for _, t := range reply.Turns {
		h.driver.Resume(prog.RelayedTurn{Begin: t.Begin.received(now), Turn: t.Turn, Previous: t.Previous})
	}
}

func (h *Home) fetchPending(ctx context.Context, m fleet.Member, q *PendingTurnsRequest) (*PendingTurnsReply, error) {
	if m.Instance.Name == h.viewer.View().Self.Name {
		return h.listPending(ctx, q)
	}
	conn, err := h.conns.To(m.Instance.Address)
	if err != nil {
		return nil, err
	}
	return ListPending.Call(ctx, conn, q)
}

func (h *Home) open(ctx context.Context, q *prog.OpenRequest) (*prog.OpenReply, error) {
	program := q.Program
	if q.Parent != "" {
		program = q.Parent
	}
	if !h.isHome(program) {
		return nil, peer.NotHome()
	}
	reply, err := h.driver.Open(ctx, *q)
	if err == nil && isMoved(reply.Refusal) {
		return nil, peer.NotHome()
	}
	return reply, errors.Trace(err)
}

func (h *Home) begin(ctx context.Context, q *BeginMessage) (*prog.BeginReply, error) {
	if !h.isHome(q.Request.Program) {
		return nil, peer.NotHome()
	}
	reply, err := h.driver.Begin(ctx, q.received(h.common.Clock.Now()))
	if err == nil && isMoved(reply.Refusal) {
		return nil, peer.NotHome()
	}
	return reply, errors.Trace(err)
}

func (h *Home) end(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error) {
	if !h.isHome(q.Program) {
		return nil, peer.NotHome()
	}
	reply, err := h.driver.End(ctx, *q)
	if err == nil && isMoved(reply.Refusal) {
		return nil, peer.NotHome()
	}
	return reply, errors.Trace(err)
}

func (h *Home) closeProgram(ctx context.Context, q *prog.CloseRequest) (*prog.CloseReply, error) {
	if !h.isHome(q.Program) {
		return nil, peer.NotHome()
	}
	reply, err := h.driver.CloseProgram(ctx, *q)
	if err == nil && isMoved(reply.Refusal) {
		return nil, peer.NotHome()
	}
	return reply, errors.Trace(err)
}

// isMoved reports whether a home refused because it has released the shard.
func isMoved(r *prog.Refusal) bool { return r != nil && r.Reason == prog.ReasonMoved }

func (h *Home) listPending(_ context.Context, q *PendingTurnsRequest) (*PendingTurnsReply, error) {
	return &PendingTurnsReply{Turns: h.pending.List(q, h.common.Clock.Now())}, nil
}

// ended also serves programs of other homes: it reads programs that are not
// loaded here from the table service.
func (h *Home) ended(ctx context.Context, q *EndedRequest) (*EndedReply, error) {
	return &EndedReply{Programs: h.driver.Ended(ctx, q.Programs)}, nil
}

// isHome reports whether this instance has any authority over the program's
// shard. Beginning a turn needs no exclusive authority: the commit is
// conditional.
func (h *Home) isHome(program string) bool {
	s := fleet.Shard(prog.ShardOf(program))
	return h.viewer.View().Authority(s, h.common.Clock.Now()).Slots > 0
}
