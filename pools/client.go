package pools

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/route"
)

// reportTimeout bounds a report to a service's home; one that is lost is found
// by the home when the attempt's deadline has passed.
const reportTimeout = 10 * time.Second

const (
	// leaveTimeout bounds how long a home that gives no answer is told what
	// became of a call: it may be paused and go on.
	leaveTimeout = time.Minute
	// leaveInterval is the time between two tries.
	leaveInterval = time.Second
	// leftMark is added to the ID of a call that is sent to a further home.
	leftMark = "~"
)

// Client asks the services' homes for upstreams.
type Client struct {
	common  *common.Common
	router  *homes.Router
	relayer *Relayer
	home    *Home
	group   *group.Group

	submitCall homes.Call[SubmitMessage, SubmitReply]
	doneCall   homes.Call[DoneMessage, DoneReply]
}

// NewClient returns a client; home answers where this instance is the home.
func NewClient(c *common.Common, router *homes.Router, home *Home, relayer *Relayer) *Client {
	client := &Client{
		common:   c.Part("pools"),
		router:   router,
		relayer:  relayer,
		home:     home,
		group:    group.NewGroup(context.Background()),
		doneCall: homes.Call[DoneMessage, DoneReply]{Method: Done, Local: home.done},
	}
	client.submitCall = homes.Call[SubmitMessage, SubmitReply]{
		Method: Submit,
		Local:  home.submit,
		Resend: func(q *SubmitMessage) { q.TimeLeft = q.Call.Deadline.Sub(c.Clock.Now()) },
		Left:   client.leave,
	}
	return client
}

// Close stops reporting and waits.
func (c *Client) Close() { c.group.Close() }

// Submit waits for an assignment or a refusal of the call. The decision names
// the call: its ID changes when a home gave no answer, so that what that home
// decides later can't be taken for a decision of the next one.
func (c *Client) Submit(ctx context.Context, service string, call route.Call) (route.Decision, error) {
	q := &SubmitMessage{Service: service, Call: call, TimeLeft: call.Deadline.Sub(c.common.Clock.Now())}
	reply, err := c.submitCall.Ask(ctx, c.router, shardOf(service), q)
	if err != nil {
		return route.Decision{}, errors.Trace(err)
	}
	decision := route.Decision{Call: q.Call.ID, Relay: call.Relay}
	if reply.Refuse != nil {
		decision.Kind = route.KindRefuse
		decision.Refuse = reply.Refuse.refuse()
		return decision, nil
	}
	decision.Kind = route.KindAssign
	decision.Assign = reply.Assign
	c.relayer.Add(service, q.Call, *reply.Assign)
	return decision, nil
}

// Done reports an attempt's end. A report of a whole answer does not hold up
// the caller.
func (c *Client) Done(ctx context.Context, service string, report route.Report) {
	for _, address := range c.relayer.Remove(report.Call, report.Attempt) {
		c.tellEnd(address, service, report)
	}
	if report.Outcome == route.OutcomeCompleted {
		c.group.Go(func(ctx context.Context) { c.report(ctx, service, report) })
		return
	}
	c.report(ctx, service, report)
}

// leave takes a call back from a home that gave no answer and gives it a new
// ID: that home may assign the call later, when nobody waits for it any more.
func (c *Client) leave(place homes.Place, q *SubmitMessage) {
	message := &CancelMessage{Service: q.Service, Call: q.Call.ID}
	q.Call.ID += leftMark
	c.insist(func(ctx context.Context) error {
		if place.Self {
			_, err := c.home.cancel(ctx, message)
			return err
		}
		conn, err := c.home.conns.To(place.Address)
		if err != nil {
			return err
		}
		_, err = Cancel.Call(ctx, conn, message)
		return err
	})
}

// tellEnd reports an attempt's end to a home that was told that it runs: the
// report may have gone to an earlier home.
func (c *Client) tellEnd(address, service string, report route.Report) {
	c.insist(func(ctx context.Context) error {
		conn, err := c.home.conns.To(address)
		if err != nil {
			return err
		}
		_, err = Done.Call(ctx, conn, &DoneMessage{Service: service, Report: report})
		return err
	})
}

// insist sends a message to one home until it has answered.
func (c *Client) insist(send func(context.Context) error) {
	c.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		for {
			err := try(ctx, send)
			if err == nil || errors.Is(err, peer.ErrNotHome) || !group.Sleep(ctx, leaveInterval) {
				return
			}
		}
	})
}

func try(ctx context.Context, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return send(ctx)
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
