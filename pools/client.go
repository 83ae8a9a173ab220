package pools

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/route"
)

// reportTimeout bounds a report to a service's home; one that is lost is found
// by the home when the attempt's deadline has passed.
const reportTimeout = 10 * time.Second

// Client asks the services' homes for upstreams.
type Client struct {
	common  *common.Common
	router  *homes.Router
	relayer *Relayer
	group   *group.Group

	submitCall homes.Call[SubmitMessage, SubmitReply]
	doneCall   homes.Call[DoneMessage, DoneReply]
	cancelCall homes.Call[CancelMessage, CancelReply]
}

// NewClient returns a client; home answers where this instance is the home.
func NewClient(c *common.Common, router *homes.Router, home *Home, relayer *Relayer) *Client {
	return &Client{
		common:     c.Part("pools"),
		router:     router,
		relayer:    relayer,
		group:      group.NewGroup(context.Background()),
		submitCall: homes.Call[SubmitMessage, SubmitReply]{Method: Submit, Local: home.submit},
		doneCall:   homes.Call[DoneMessage, DoneReply]{Method: Done, Local: home.done},
		cancelCall: homes.Call[CancelMessage, CancelReply]{Method: Cancel, Local: home.cancel},
	}
}

// Close stops reporting and waits.
func (c *Client) Close() { c.group.Close() }

// Submit waits for an assignment or a refusal of the call.
func (c *Client) Submit(ctx context.Context, service string, call route.Call) (route.Decision, error) {
	q := &SubmitMessage{Service: service, Call: call, TimeLeft: call.Deadline.Sub(c.common.Clock.Now())}
	reply, err := c.submitCall.Ask(ctx, c.router, shardOf(service), q)
	if err != nil {
		return route.Decision{}, errors.Trace(err)
	}
	decision := route.Decision{Call: call.ID, Relay: call.Relay}
	if reply.Refuse != nil {
		decision.Kind = route.KindRefuse
		decision.Refuse = reply.Refuse.refuse()
		return decision, nil
	}
	decision.Kind = route.KindAssign
	decision.Assign = reply.Assign
	c.relayer.Add(service, call, *reply.Assign)
	return decision, nil
}

// Done reports an attempt's end. A report of a whole answer does not hold up
// the caller.
func (c *Client) Done(ctx context.Context, service string, report route.Report) {
	c.relayer.Remove(report.Call, report.Attempt)
	if report.Outcome == route.OutcomeCompleted {
		c.group.Go(func(ctx context.Context) { c.report(ctx, service, report) })
		return
	}
	c.report(ctx, service, report)
}

// Cancel takes back a call that waits.
func (c *Client) Cancel(service, call string) {
	c.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		_, err := c.cancelCall.Ask(ctx, c.router, shardOf(service), &CancelMessage{Service: service, Call: call})
		if err != nil {
			c.common.Log.Debug("A call was not taken back.", "service", service, "error", err)
		}
	})
}

func (c *Client) report(ctx context.Context, service string, report route.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := c.doneCall.Ask(ctx, c.router, shardOf(service), &DoneMessage{Service: service, Report: report})
	if err != nil {
		c.common.Log.Warn("A report was lost.", "service", service, "error", err)
	}
}

func shardOf(service string) uint8 { return uint8(fleet.ShardOf(service)) }
