// Package quota asks for the tokens of callers' teams and answers for the
// teams whose home this instance is. Package limit decides.
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

// handoverTimeout bounds the sending of levels to the next home.
const handoverTimeout = 2 * time.Second

var (
	// Take is the remote method that asks for tokens.
	Take = peer.Method[limit.TakeRequest, limit.TakeReply]{Name: "Take"}
	// HandOver is the remote method that carries levels to the next home.
	HandOver = peer.Method[LevelsRequest, LevelsReply]{Name: "HandOverLevels"}
)

type (
	// LevelsRequest carries the levels of shards that are handed over.
	LevelsRequest struct {
		Levels []limit.Levels `json:"levels"`
	}

	// LevelsReply acknowledges a LevelsRequest.
	LevelsReply struct{}

	// Hurrier gathers authority at once after a planned handover.
	Hurrier interface {
		Hurry(now time.Time)
	}

	// Home answers for the teams whose home this instance is.
	Home struct {
		common  *common.Common
		thread  *ctrl.Thread
		conns   *peer.Conns
		hurrier Hurrier
		buckets *limit.Buckets
		waiting map[uint64]chan limit.TakeReply
		// authority holds the shards that this instance may mint for.
		authority map[fleet.Shard]fleet.Authority
		group     *group.Group
	}
)

// NewHome returns a home without authority. Its systems run on the thread.
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

// Follow sets who gathers authority; it must be called before the control
// thread starts.
func (h *Home) Follow(hurrier Hurrier) { h.hurrier = hurrier }

// Close waits for handovers that are under way.
func (h *Home) Close() { h.group.Close() }

// Handlers are the remote methods that the home answers.
func (h *Home) Handlers() []peer.Handler {
	return []peer.Handler{Take.Handle(h.take), HandOver.Handle(h.takeOver)}
}

// Tick decides waiting requests; it runs on the control thread.
func (h *Home) Tick(now time.Time) {
	for _, reply := range h.buckets.Tick(now) {
		if c, ok := h.waiting[reply.ID]; ok {
			delete(h.waiting, reply.ID)
			c <- reply
		}
	}
}

// SetAuthority follows the fleet; it runs on the control thread.
func (h *Home) SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time) {
	h.buckets.SetAuthority(s, a, now)
	if a.Seats == 0 {
		delete(h.authority, s)
		return
	}
	h.authority[s] = a
}

// HandOver sends the shards' levels to the next home; it runs on the control
// thread.
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
			h.common.Log.Warn("Handing levels over failed.", "to", o.To.Name, "error", err)
		}
	})
}

// Lost does nothing: tokens that an instance was given are spent.
func (h *Home) Lost(string, time.Time) {}

// SetGrant follows a changed grant; it runs on the control thread.
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
		if isHome = h.mayMint(q.Shard, now); !isHome {
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
		return final(reply)
	}
	return h.await(ctx, q, c)
}

// final sends the asker of a shard that was handed over to the next home.
func final(reply limit.TakeReply) (*limit.TakeReply, error) {
	if reply.Verdict == limit.Moved {
		return nil, peer.NotHome()
	}
	return &reply, nil
}

// mayMint tells whether this home's seats are worth anything: one that holds
// too few can't tell whether a team is over its rate.
func (h *Home) mayMint(s fleet.Shard, now time.Time) bool {
	return limit.Majority{}.Of(h.authority[s].At(now).Seats) > 0
}

func (h *Home) await(ctx context.Context, q *limit.TakeRequest, c chan limit.TakeReply) (*limit.TakeReply, error) {
	select {
	case reply := <-c:
		return final(reply)
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

func (h *Home) takeOver(ctx context.Context, q *LevelsRequest) (*LevelsReply, error) {
	err := h.thread.Do(ctx, func(now time.Time) {
		for _, l := range q.Levels {
			h.buckets.Import(l, now)
		}
		h.hurrier.Hurry(now)
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &LevelsReply{}, nil
}
