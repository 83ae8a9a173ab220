package progs

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/prog"
)

const (
	// backUpTimeout bounds one try to hand a copy to another instance.
	backUpTimeout = 300 * time.Millisecond
	// backUpTries is how many instances are tried.
	backUpTries = 3
)

// BackUp is the remote method that hands a copy of a turn that is not yet kept
// to another instance.
var BackUp = peer.Method[prog.EndRequest, BackUpReply]{Name: "BackUpTurn"}

// BackUpReply acknowledges that the copy is held.
type BackUpReply struct{}

// Handlers are the remote methods that the client answers.
func (c *Client) Handlers() []peer.Handler {
	return []peer.Handler{BackUp.Handle(c.handleBackUp)}
}

// handleBackUp holds a copy as if the turn had been relayed here: it is listed
// to new homes and reported until it is kept. It is listed as this instance's,
// since a home forgets what instances carry that no longer answer.
func (c *Client) handleBackUp(_ context.Context, q *prog.EndRequest) (*BackUpReply, error) {
	c.carrier.Add(prog.Running{
		Begin: prog.BeginRequest{
			Program:  q.Program,
			Team:     q.Team,
			CallID:   q.CallID,
			Attempt:  q.Attempt,
			Relay:    c.viewer.View().Self.Name,
			Kind:     q.Kind,
			Digest:   q.Digest,
			Deadline: c.common.Clock.Now().Add(askTimeout),
		},
		Turn:     q.Turn,
		Previous: q.Previous,
	})
	c.group.Go(func(ctx context.Context) { c.endLater(ctx, q) })
	return &BackUpReply{}, nil
}

// backUp makes sure that a turn which is not kept is in the memory of two
// instances: where this one both relayed it and is its home, another one gets
// a copy. It returns whether there are two now.
func (c *Client) backUp(ctx context.Context, q *prog.EndRequest) bool {
	place, ok := c.router.Locate(shardOf(q.Program))
	if !ok || !place.Self {
		return ok
	}
	others := c.others(place.Instance)
	for _, m := range others[:min(len(others), backUpTries)] {
		if c.sendBackUp(ctx, m, q) == nil {
			return true
		}
	}
	c.common.Log.Warn("A turn that is not kept is in one instance only.", "program", q.Program, "turn", q.Turn)
	return false
}

func (c *Client) sendBackUp(ctx context.Context, m fleet.Member, q *prog.EndRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), backUpTimeout)
	defer cancel()
	conn, err := c.conns.To(m.Instance.Address)
	if err != nil {
		return err
	}
	_, err = BackUp.Call(ctx, conn, q)
	return err
}

// others returns the instances that answer, in random order.
func (c *Client) others(self string) []fleet.Member {
	var out []fleet.Member
	for _, m := range c.viewer.View().Members {
		if m.Reachable && !m.Leaving && m.Instance.Name != self {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
