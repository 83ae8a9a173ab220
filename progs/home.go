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
	// carriedTimeout bounds the wait for what other instances carry.
	carriedTimeout = time.Second
	// unloadTimeout bounds the giving up of a shard.
	unloadTimeout = 2 * time.Second
)

type (
	// Viewer gives the latest view of the fleet.
	Viewer interface {
		View() *fleet.View
	}

	// Home answers for the programs whose home this instance is.
	Home struct {
		common  *common.Common
		thread  *ctrl.Thread
		conns   *peer.Conns
		keeper  *prog.Keeper
		viewer  Viewer
		carrier *Carrier
		held    [fleet.ShardCount]bool
		// until is when the authority over each held shard lapses.
		until  [fleet.ShardCount]time.Time
		gained fleet.Bitmap
		// lapsed are gained shards that may have had another home since: what
		// is known of their programs is read again.
		lapsed fleet.Bitmap
		group  *group.Group
	}
)

// NewHome returns a home that answers with the keeper. It asks the other
// instances of the viewer's view what they carry when it gains a shard.
func NewHome(
	c *common.Common,
	thread *ctrl.Thread,
	conns *peer.Conns,
	keeper *prog.Keeper,
	carrier *Carrier,
) *Home {
	return &Home{
		common:  c.Part("progs"),
		thread:  thread,
		conns:   conns,
		keeper:  keeper,
		carrier: carrier,
		group:   group.NewGroup(context.Background()),
	}
}

// Follow sets whose view names the other instances; it must be called before
// the control thread starts.
func (h *Home) Follow(viewer Viewer) { h.viewer = viewer }

// Close waits for shards that are being given up.
func (h *Home) Close() {
	h.group.Close()
	h.keeper.Close()
}

// Handlers are the remote methods that the home answers.
func (h *Home) Handlers() []peer.Handler {
	return []peer.Handler{
		Open.Handle(h.open),
		Begin.Handle(h.begin),
		End.Handle(h.end),
		Close.Handle(h.closeProgram),
		Carried.Handle(h.carried),
		Ended.Handle(h.ended),
	}
}

// Tick runs the keeper and asks what others carry for the shards that were
// gained since the last tick. It runs on the control thread.
func (h *Home) Tick(time.Time) {
	h.keeper.Tick()
	if h.gained.Empty() {
		return
	}
	shards, lapsed := h.gained, h.lapsed
	h.gained, h.lapsed = fleet.Bitmap{}, fleet.Bitmap{}
	h.group.Go(func(ctx context.Context) {
		h.reread(ctx, lapsed)
		h.takeOver(ctx, shards)
	})
}

// SetAuthority follows the fleet; it runs on the control thread.
func (h *Home) SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time) {
	holds := a.Seats > 0
	lapsed := h.held[s] && !now.Before(h.until[s])
	h.until[s] = a.Until
	if holds == h.held[s] && !lapsed {
		return
	}
	h.held[s] = holds
	if !holds {
		h.unload(s)
		return
	}
	h.keeper.Hold(int(s))
	h.gained.Set(s)
	if lapsed {
		h.lapsed.Set(s)
	}
}

// HandOver gives up the shards of a planned move; it runs on the control
// thread.
func (h *Home) HandOver(o fleet.Handover, _ time.Time) {
	for _, s := range o.Shards.Shards() {
		h.held[s] = false
		h.unload(s)
	}
}

// Lost drops the running turns of a relaying instance that no longer answers;
// it runs on the control thread.
func (h *Home) Lost(instance string, _ time.Time) { h.keeper.RelayGone(instance) }

func (h *Home) unload(s fleet.Shard) {
	h.gained.Clear(s)
	h.lapsed.Clear(s)
	h.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, unloadTimeout)
		defer cancel()
		if err := h.keeper.Unload(ctx, int(s)); err != nil {
			h.common.Log.Warn("A shard was dropped with reservations.", "shard", s, "error", err)
		}
	})
}

// reread gives up what is known of the shards' programs, so that it is read
// from the table service again.
func (h *Home) reread(ctx context.Context, shards fleet.Bitmap) {
	ctx, cancel := context.WithTimeout(ctx, unloadTimeout)
	defer cancel()
	for _, s := range shards.Shards() {
		if err := h.keeper.Unload(ctx, int(s)); err != nil {
			h.common.Log.Warn("A shard was dropped with reservations.", "shard", s, "error", err)
		}
	}
}

// takeOver asks every other instance for the turns it runs, then lets the
// shards' turns start.
func (h *Home) takeOver(ctx context.Context, shards fleet.Bitmap) {
	ctx, cancel := context.WithTimeout(ctx, carriedTimeout)
	defer cancel()
	asks := group.NewGroup(ctx)
	for _, m := range h.viewer.View().Members {
		asks.Go(func(ctx context.Context) { h.askCarried(ctx, m, shards) })
	}
	asks.Wait()
	asks.Close()
	for _, s := range shards.Shards() {
		h.keeper.Lift(int(s))
	}
}

func (h *Home) askCarried(ctx context.Context, m fleet.Member, shards fleet.Bitmap) {
	q := &CarriedRequest{Shards: shards, Asker: h.viewer.View().Self.Address}
	reply, err := h.callCarried(ctx, m, q)
	if err != nil {
		h.common.Log.Debug("An instance did not say what it carries.", "instance", m.Instance.Name, "error", err)
		return
	}
	now := h.common.Clock.Now()
	for _, t := range reply.Turns {
		h.keeper.Resume(prog.Running{Begin: t.Begin.received(now), Turn: t.Turn, Previous: t.Previous})
	}
}

func (h *Home) callCarried(ctx context.Context, m fleet.Member, q *CarriedRequest) (*CarriedReply, error) {
	if m.Instance.Name == h.viewer.View().Self.Name {
		return h.carried(ctx, q)
	}
	conn, err := h.conns.To(m.Instance.Address)
	if err != nil {
		return nil, err
	}
	return Carried.Call(ctx, conn, q)
}

func (h *Home) open(ctx context.Context, q *prog.OpenRequest) (*prog.OpenReply, error) {
	program := q.Program
	if q.Parent != "" {
		program = q.Parent
	}
	if !h.isHome(program) {
		return nil, peer.NotHome()
	}
	reply, err := h.keeper.Open(ctx, *q)
	if err == nil && isMoved(reply.Refusal) {
		return nil, peer.NotHome()
	}
	return reply, errors.Trace(err)
}

func (h *Home) begin(ctx context.Context, q *BeginMessage) (*prog.BeginReply, error) {
	if !h.isHome(q.Request.Program) {
		return nil, peer.NotHome()
	}
	reply, err := h.keeper.Begin(ctx, q.received(h.common.Clock.Now()))
	if err == nil && isMoved(reply.Refusal) {
		return nil, peer.NotHome()
	}
	return reply, errors.Trace(err)
}

func (h *Home) end(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error) {
	if !h.isHome(q.Program) {
		return nil, peer.NotHome()
	}
	reply, err := h.keeper.End(ctx, *q)
	if err == nil && isMoved(reply.Refusal) {
		return nil, peer.NotHome()
	}
	return reply, errors.Trace(err)
}

func (h *Home) closeProgram(ctx context.Context, q *prog.CloseRequest) (*prog.CloseReply, error) {
	if !h.isHome(q.Program) {
		return nil, peer.NotHome()
	}
	reply, err := h.keeper.CloseProgram(ctx, *q)
	if err == nil && isMoved(reply.Refusal) {
		return nil, peer.NotHome()
	}
	return reply, errors.Trace(err)
}

// isMoved tells a refusal by a home that has given the shard up.
func isMoved(r *prog.Refusal) bool { return r != nil && r.Reason == prog.ReasonMoved }

func (h *Home) carried(_ context.Context, q *CarriedRequest) (*CarriedReply, error) {
	return &CarriedReply{Turns: h.carrier.List(q, h.common.Clock.Now())}, nil
}

// ended answers also for programs of other homes: what this home does not
// know is read from the table service.
func (h *Home) ended(ctx context.Context, q *EndedRequest) (*EndedReply, error) {
	return &EndedReply{Programs: h.keeper.Ended(ctx, q.Programs)}, nil
}

// isHome tells whether this instance has any authority over the program's
// shard. Which home may begin a turn needs no exclusive authority: the commit
// is conditional.
func (h *Home) isHome(program string) bool {
	s := fleet.Shard(prog.ShardOf(program))
	return h.viewer.View().Authority(s, h.common.Clock.Now()).Seats > 0
}
