package progs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/prog"
)

const (
	// resendInterval is the time between two attempts to report a turn or to
	// open a program whose result is not stored yet.
	resendInterval = time.Second
	// requestTimeout bounds a request to open or close a program, and one
	// resent report of a turn.
	requestTimeout = 10 * time.Second
)

// Client sends requests to the programs' homes. It holds reports and openings
// that a home has not stored, and resends them until it has.
type Client struct {
	common  *common.Common
	router  *homes.Router
	pending *PendingTurns
	conns   *peer.Conns
	viewer  Viewer
	group   *group.Group

	openCall  homes.Call[prog.OpenRequest, prog.OpenReply]
	beginCall homes.Call[BeginMessage, prog.BeginReply]
	endCall   homes.Call[prog.EndRequest, prog.EndReply]
	closeCall homes.Call[prog.CloseRequest, prog.CloseReply]
}

// NewClient returns a client; home serves the programs whose home this
// instance is.
func NewClient(c *common.Common, router *homes.Router, home *Home, pending *PendingTurns) *Client {
	return &Client{
		common:  c.Part("progs"),
		router:  router,
		pending: pending,
		conns:   home.conns,
		viewer:  home.viewer,
		group:   group.NewGroup(context.Background()),
		openCall: homes.Call[prog.OpenRequest, prog.OpenReply]{
			Method: Open,
			Local:  home.open,
			Resend: func(q *prog.OpenRequest) { q.Resent = true },
		},
		beginCall: homes.Call[BeginMessage, prog.BeginReply]{Method: Begin, Local: home.begin},
		endCall:   homes.Call[prog.EndRequest, prog.EndReply]{Method: End, Local: home.end},
		closeCall: homes.Call[prog.CloseRequest, prog.CloseReply]{Method: Close, Local: home.closeProgram},
	}
}

// Shutdown stops resending; what is not stored by then remains only in the
// homes' memory.
func (c *Client) Shutdown() { c.group.Close() }

// Open opens a program at its home, or at its parent's home. An opening that is
// not stored yet is resent after the return.
func (c *Client) Open(ctx context.Context, q *prog.OpenRequest) (*prog.OpenReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	program := q.Program
	if q.Parent != "" {
		program = q.Parent
	}
	reply, err := c.openCall.Send(ctx, c.router, shardOf(program), q)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if reply.Refusal == nil && !reply.Kept {
		c.group.Go(func(ctx context.Context) { c.retryOpen(ctx, *q, program) })
	}
	return reply, nil
}

// Begin waits until the call's turn starts or is refused.
func (c *Client) Begin(ctx context.Context, q *prog.BeginRequest) (*prog.BeginReply, error) {
	for {
		message := newBeginMessage(*q, c.common.Clock.Now())
		reply, err := c.beginCall.Send(ctx, c.router, shardOf(q.Program), &message)
		if err != nil {
			c.group.Go(func(ctx context.Context) { c.cancelBegin(ctx, q) })
			return nil, errors.Trace(err)
		}
		if reply.Wait != nil && ctx.Err() == nil {
			continue
		}
		if reply.Start != nil {
			c.pending.Add(prog.RelayedTurn{Begin: *q, Turn: reply.Start.Turn, Previous: reply.Start.Previous})
		}
		return reply, nil
	}
}

// End reports the outcome of a turn. A report that the home does not store
// within its commit timeout is resent after the return.
func (c *Client) End(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error) {
	reply, err := c.reportEnd(ctx, q)
	if err == nil && isFinal(reply) {
		c.finishTurn(q)
		return reply, nil
	}
	c.backUp(ctx, q)
	c.group.Go(func(ctx context.Context) { c.retryEnd(ctx, q) })
	return reply, errors.Trace(err)
}

// finishTurn drops a turn and notifies the homes that wait for its end: an
// earlier home may have accepted the report after the later one had read the
// program. It notifies twice, since the first message may arrive before the
// home has recorded the turn.
func (c *Client) finishTurn(q *prog.EndRequest) {
	for _, address := range c.pending.Remove(q.Attempt) {
		c.group.Go(func(ctx context.Context) {
			for range 2 {
				c.notifyEnd(ctx, address, q)
				if !group.Sleep(ctx, resendInterval) {
					return
				}
			}
		})
	}
}

func (c *Client) notifyEnd(ctx context.Context, address string, q *prog.EndRequest) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := c.conns.To(address)
	if err == nil {
		_, err = End.Call(ctx, conn, q)
	}
	if err != nil {
		c.common.Log.Debug("cannot notify home of turn end", "program", q.Program, "error", err)
	}
}

// cancelBegin ends a turn whose start reply may have been lost: the home would
// otherwise wait for its report until the call's deadline. It reports twice,
// since the first report may arrive before the home has observed that the
// requester left.
func (c *Client) cancelBegin(ctx context.Context, q *prog.BeginRequest) {
	end := &prog.EndRequest{
		Program: q.Program,
		Team:    q.Team,
		CallID:  q.CallID,
		Attempt: q.Attempt,
		Relay:   q.Relay,
		Kind:    q.Kind,
		Digest:  q.Digest,
		Outcome: prog.OutcomeCancelled,
	}
	for range 2 {
		if !group.Sleep(ctx, resendInterval) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		_, err := c.endCall.Send(callCtx, c.router, shardOf(q.Program), end)
		cancel()
		if err != nil {
			c.common.Log.Debug("cannot cancel turn", "program", q.Program, "error", err)
		}
	}
}

// Close ends a program at its home.
func (c *Client) Close(ctx context.Context, q *prog.CloseRequest) (*prog.CloseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := c.closeCall.Send(ctx, c.router, shardOf(q.Program), q)
	return reply, errors.Trace(err)
}

// reportEnd sends the report until a home accepts it or refuses it for good.
func (c *Client) reportEnd(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error) {
	for {
		reply, err := c.endCall.Send(ctx, c.router, shardOf(q.Program), q)
		if err != nil || reply.Refusal == nil || !reply.Refusal.Retryable {
			return reply, err
		}
		if !group.Sleep(ctx, resendInterval/4) {
			return reply, nil
		}
	}
}

func (c *Client) retryEnd(ctx context.Context, q *prog.EndRequest) {
	defer c.finishTurn(q)
	backedUp := false
	for group.Sleep(ctx, resendInterval) {
		reply, err := c.reportEnd(ctx, q)
		if err != nil {
			continue
		}
		if reply.Superseded {
			c.common.Log.Warn("turn superseded by another call", "program", q.Program, "turn", q.Turn)
		}
		if isFinal(reply) {
			return
		}
		// The home may have moved here since.
		backedUp = backedUp || c.backUp(ctx, q)
	}
}

func (c *Client) retryOpen(ctx context.Context, q prog.OpenRequest, program string) {
	q.Resent = true
	for group.Sleep(ctx, resendInterval) {
		reply, err := c.openCall.Send(ctx, c.router, shardOf(program), &q)
		if err == nil && (reply.Kept || reply.Refusal != nil && !reply.Refusal.Retryable) {
			return
		}
	}
}

func isFinal(reply *prog.EndReply) bool {
	refused := reply.Refusal != nil && !reply.Refusal.Retryable
	return reply.Kept || reply.Superseded || refused
}

func shardOf(program string) uint8 { return uint8(prog.ShardOf(program)) }
