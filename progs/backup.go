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
	// backUpTimeout bounds one attempt to send a copy to a peer.
	backUpTimeout = 300 * time.Millisecond
	// maxBackUpAttempts is the maximum number of peers that are tried.
	maxBackUpAttempts = 3
)

// BackUp is the remote method that sends a peer a copy of a turn report that is
// not stored yet.
var BackUp = peer.Method[prog.EndRequest, BackUpReply]{Name: "BackUpTurn"}

// BackUpReply acknowledges that the peer holds the copy in memory.
type BackUpReply struct{}

// Handlers returns the handlers of the client's remote methods.
func (c *Client) Handlers() []peer.Handler {
	return []peer.Handler{BackUp.Handle(c.handleBackUp)}
}

// handleBackUp treats the turn as if this instance had relayed it: the turn is
// listed to new homes and its report is retried until it is stored. The relay
// is set to this instance, since a home drops the turns of unreachable relays.
func (c *Client) handleBackUp(_ context.Context, q *prog.EndRequest) (*BackUpReply, error) {
	c.pending.Add(prog.RelayedTurn{
		Begin: prog.BeginRequest{
			Program:  q.Program,
			Team:     q.Team,
			CallID:   q.CallID,
			Attempt:  q.Attempt,
			Relay:    c.viewer.View().Self.Name,
			Kind:     q.Kind,
			Digest:   q.Digest,
			Deadline: c.common.Clock.Now().Add(requestTimeout),
		},
		Turn:     q.Turn,
		Previous: q.Previous,
	})
	c.group.Go(func(ctx context.Context) { c.retryEnd(ctx, q) })
	return &BackUpReply{}, nil
}

// backUp ensures that the report of a turn that is not stored is in the memory
// of two instances: if this instance is both relay and home, it sends a copy
// to a peer. It reports whether two instances hold the turn.
func (c *Client) backUp(ctx context.Context, q *prog.EndRequest) bool {
	place, ok := c.router.Locate(shardOf(q.Program))
	if !ok || !place.Self {
		return ok
	}
	peers := c.peers(place.Instance)
	for _, m := range peers[:min(len(peers), maxBackUpAttempts)] {
		if c.sendBackUp(ctx, m, q) == nil {
			return true
		}
	}
	c.common.Log.Warn("turn is not stored and only one instance holds it", "program", q.Program, "turn", q.Turn)
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

// peers returns the reachable peers that are not leaving, in random order.
func (c *Client) peers(self string) []fleet.Member {
	var out []fleet.Member
	for _, m := range c.viewer.View().Members {
		if m.Reachable && !m.Leaving && m.Instance.Name != self {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
