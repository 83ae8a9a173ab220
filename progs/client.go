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
	// resendInterval is the time between two reports of a turn or an opening
	// that is not kept yet.
	resendInterval = time.Second
	// askTimeout bounds an opening or an end of a program.
	askTimeout = 10 * time.Second
)

// Client asks the programs' homes. It keeps what a home has not yet kept and
// sends it again until it is.
type Client struct {
	common  *common.Common
	router  *homes.Router
	carrier *Carrier
	conns   *peer.Conns
	viewer  Viewer
	group   *group.Group

	openCall  homes.Call[prog.OpenRequest, prog.OpenReply]
	beginCall homes.Call[BeginMessage, prog.BeginReply]
	endCall   homes.Call[prog.EndRequest, prog.EndReply]
	closeCall homes.Call[prog.CloseRequest, prog.CloseReply]
}

// NewClient returns a client; home answers where this instance is the home.
func NewClient(c *common.Common, router *homes.Router, home *Home, carrier *Carrier) *Client {
	return &Client{
		common:  c.Part("progs"),
		router:  router,
		carrier: carrier,
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

// Shutdown stops sending again; what is not kept by then is only in the homes'
// memory.
func (c *Client) Shutdown() { c.group.Close() }

// Open opens a program.
func (c *Client) Open(ctx context.Context, q *prog.OpenRequest) (*prog.OpenReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	program := q.Program
	if q.Parent != "" {
		program = q.Parent
	}
	reply, err := c.openCall.Ask(ctx, c.router, shardOf(program), q)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if reply.Refusal == nil && !reply.Kept {
		c.group.Go(func(ctx context.Context) { c.reopen(ctx, *q, program) })
	}
	return reply, nil
}

// Begin waits until the call's turn has come.
func (c *Client) Begin(ctx context.Context, q *prog.BeginRequest) (*prog.BeginReply, error) {
	for {
		message := newBeginMessage(*q, c.common.Clock.Now())
		reply, err := c.beginCall.Ask(ctx, c.router, shardOf(q.Program), &message)
		if err != nil {
			c.group.Go(func(ctx context.Context) { c.leave(ctx, q) })
			return nil, errors.Trace(err)
		}
		if reply.Wait != nil && ctx.Err() == nil {
			continue
		}
		if reply.Start != nil {
			c.carrier.Add(prog.Running{Begin: *q, Turn: reply.Start.Turn, Previous: reply.Start.Previous})
		}
		return reply, nil
	}
}

// End reports how a turn ended. A report that is not kept within the home's
// bound is sent again after the return.
func (c *Client) End(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error) {
	reply, err := c.endOnce(ctx, q)
	if err == nil && isSettled(reply) {
		c.settled(q)
		return reply, nil
	}
	c.backUp(ctx, q)
	c.group.Go(func(ctx context.Context) { c.endLater(ctx, q) })
	return reply, errors.Trace(err)
}

// settled forgets a turn and tells the homes that wait for its end: an earlier
// home may have taken the report after the later one had read the program. It
// is said twice, since the first may come before the home notes the turn.
func (c *Client) settled(q *prog.EndRequest) {
	for _, address := range c.carrier.Remove(q.Attempt) {
		c.group.Go(func(ctx context.Context) {
			for range 2 {
				c.tellEnd(ctx, address, q)
				if !group.Sleep(ctx, resendInterval) {
					return
				}
			}
		})
	}
}

func (c *Client) tellEnd(ctx context.Context, address string, q *prog.EndRequest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := c.conns.To(address)
	if err == nil {
		_, err = End.Call(ctx, conn, q)
	}
	if err != nil {
		c.common.Log.Debug("A home was not told of a turn's end.", "program", q.Program, "error", err)
	}
}

// leave ends a turn whose start may have been lost on its way here: the home
// would else wait for its report until the call's deadline. It is said twice,
// since the first may come before the home has noticed that the asker left.
func (c *Client) leave(ctx context.Context, q *prog.BeginRequest) {
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
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := c.endCall.Ask(callCtx, c.router, shardOf(q.Program), end)
		cancel()
		if err != nil {
			c.common.Log.Debug("A turn was not left.", "program", q.Program, "error", err)
		}
	}
}

// Close ends a program.
func (c *Client) Close(ctx context.Context, q *prog.CloseRequest) (*prog.CloseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := c.closeCall.Ask(ctx, c.router, shardOf(q.Program), q)
	return reply, errors.Trace(err)
}

// endOnce asks until a home has an answer other than to come again.
func (c *Client) endOnce(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error) {
	for {
		reply, err := c.endCall.Ask(ctx, c.router, shardOf(q.Program), q)
		if err != nil || reply.Refusal == nil || !reply.Refusal.Retryable {
			return reply, err
		}
		if !group.Sleep(ctx, resendInterval/4) {
			return reply, nil
		}
	}
}

func (c *Client) endLater(ctx context.Context, q *prog.EndRequest) {
	defer c.settled(q)
	backedUp := false
	for group.Sleep(ctx, resendInterval) {
		reply, err := c.endOnce(ctx, q)
		if err != nil {
			continue
		}
		if reply.Superseded {
			c.common.Log.Warn("A turn was taken by another call.", "program", q.Program, "turn", q.Turn)
		}
		if isSettled(reply) {
			return
		}
		// The home may have moved here since.
		backedUp = backedUp || c.backUp(ctx, q)
	}
}

func (c *Client) reopen(ctx context.Context, q prog.OpenRequest, program string) {
	q.Resent = true
	for group.Sleep(ctx, resendInterval) {
		reply, err := c.openCall.Ask(ctx, c.router, shardOf(program), &q)
		if err == nil && (reply.Kept || reply.Refusal != nil && !reply.Refusal.Retryable) {
			return
		}
	}
}

func isSettled(reply *prog.EndReply) bool {
	refused := reply.Refusal != nil && !reply.Refusal.Retryable
	return reply.Kept || reply.Superseded || refused
}

func shardOf(program string) uint8 { return uint8(prog.ShardOf(program)) }
