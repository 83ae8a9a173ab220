// Package quota takes rate limit tokens from the homes of callers' teams and
// serves the teams whose home this instance is. Package limit makes the
// decisions.
package quota

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/ctrl"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/limit"
	"github.com/buckthorntide/buckthorntide/peer"
)

// handoverTimeout bounds the transfer of bucket levels to the next home.
const handoverTimeout = 2 * time.Second

var (
	// Take is the remote method that takes tokens.
	Take = peer.Method[limit.TakeRequest, limit.TakeReply]{Name: "Take"}
	// HandOver is the remote method that transfers bucket levels to the next
	// home.
	HandOver = peer.Method[LevelsRequest, LevelsReply]{Name: "HandOverLevels"}
)

type (
	// LevelsRequest contains the bucket levels of shards that are handed over.
	LevelsRequest struct {
		Levels []limit.Levels `json:"levels"`
	}

	// LevelsReply acknowledges that the levels are imported.
	LevelsReply struct{}

	// Puller requests authority from all lease slot holders without waiting for
	// the next exchange, after a planned handover.
	Puller interface {
		PullNow(now time.Time)
	}

	// Home serves the teams whose home this instance is.
	Home struct {
		common  *common.Common
		thread  *ctrl.Thread
		conns   *peer.Conns
		puller  Puller
		buckets *limit.Buckets
		waiting map[uint64]chan limit.TakeReply
		// authority contains the shards whose buckets this instance may refill.
		authority map[fleet.Shard]fleet.Authority
		group     *group.Group
	}
)

// NewHome returns a home without authority. Its buckets are only accessed on
// the thread.
func NewHome(c *common.Common, thread *ctrl.Thread, conns *peer.Conns) *Home {
	return &Home{
		common:    c.Part("quota"),
		thread:    thread,
		conns:     conns,
		buckets:   limit.NewBuckets(),
		waiting:   make(map[uint64]chan limit.TakeReply),
		authority: make(map[fleet.Shard]fleet.Authority),
		group:     group.NewGroup(context.Background()),
	}
}

// SetPuller sets the puller; it must be called before the control thread starts.
func (h *Home) SetPuller(puller Puller) { h.puller = puller }

// Close cancels handovers that are in flight and waits for them.
func (h *Home) Close() { h.group.Close() }

// Handlers returns the handlers of the home's remote methods.
func (h *Home) Handlers() []peer.Handler {
	return []peer.Handler{Take.Handle(h.take), HandOver.Handle(h.importLevels)}
}

// Tick sends the replies of waiting requests that are decided; it runs on the
// control thread.
func (h *Home) Tick(now time.Time) {
	for _, reply := range h.buckets.Tick(now) {
		if c, ok := h.waiting[reply.ID]; ok {
			delete(h.waiting, reply.ID)
			c <- reply
		}
	}
}

// SetAuthority applies a change of the authority over a shard; it runs on the
// control thread.
func (h *Home) SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time) {
	h.buckets.SetAuthority(s, a, now)
	if a.Slots == 0 {
		delete(h.authority, s)
		return
	}
	h.authority[s] = a
}

// HandOver exports the shards' bucket levels and sends them to the next home;
// it runs on the control thread.
func (h *Home) HandOver(o fleet.Handover, now time.Time) {
	q := &LevelsRequest{}
	for _, s := range o.Shards.Shards() {
		q.Levels = append(q.Levels, h.buckets.Export(s, o.ID, now))
	}
	h.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		defer cancel()
		conn, err := h.conns.To(o.To.Address)
		if err == nil {
			_, err = HandOver.Call(ctx, conn, q)
		}
		if err != nil {
			h.common.Log.Warn("cannot hand over bucket levels", "to", o.To.Name, "error", err)
		}
	})
}

// Lost does nothing: tokens granted to an instance count as spent.
func (h *Home) Lost(string, time.Time) {}

// SetGrant applies a changed grant of a team; it runs on the control thread.
func (h *Home) SetGrant(team string, old, grant limit.Grant, now time.Time) {
	h.buckets.SetGrant(fleet.ShardOf(team), team, old, grant, now)
}

func (h *Home) take(ctx context.Context, q *limit.TakeRequest) (*limit.TakeReply, error) {
	var (
		reply  limit.TakeReply
		isHome bool
		c      = make(chan limit.TakeReply, 1)
	)
	err := h.thread.Do(ctx, func(now time.Time) {
		if isHome = h.canGrant(q.Shard, now); !isHome {
			return
		}
		reply = h.buckets.Take(*q, now)
		if reply.Verdict == limit.Waiting {
			h.waiting[q.ID] = c
		}
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !isHome {
		return nil, peer.NotHome()
	}
	if reply.Verdict != limit.Waiting {
		return finalReply(reply)
	}
	return h.await(ctx, q, c)
}

// finalReply returns the reply, or ErrNotHome if the shard was handed over, so
// that the requester retries at the next home.
func finalReply(reply limit.TakeReply) (*limit.TakeReply, error) {
	if reply.Verdict == limit.Moved {
		return nil, peer.NotHome()
	}
	return &reply, nil
}

// canGrant reports whether this home holds enough lease slots for a share of
// the rate: with fewer it can't decide whether a team is over its rate.
func (h *Home) canGrant(s fleet.Shard, now time.Time) bool {
	return limit.Majority{}.Of(h.authority[s].At(now).Slots) > 0
}

func (h *Home) await(ctx context.Context, q *limit.TakeRequest, c chan limit.TakeReply) (*limit.TakeReply, error) {
	select {
	case reply := <-c:
		return finalReply(reply)
	case <-ctx.Done():
		_ = h.thread.Post(context.WithoutCancel(ctx), func(time.Time) {
			if h.waiting[q.ID] != c {
				return
			}
			delete(h.waiting, q.ID)
			h.buckets.Cancel(q.Shard, q.Team, q.ID)
		})
		return nil, errors.Trace(ctx.Err())
	}
}

func (h *Home) importLevels(ctx context.Context, q *LevelsRequest) (*LevelsReply, error) {
	err := h.thread.Do(ctx, func(now time.Time) {
		for _, l := range q.Levels {
			h.buckets.Import(l, now)
		}
		h.puller.PullNow(now)
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &LevelsReply{}, nil
}
