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

// reportTimeout bounds one report to a service's home. If a report is lost, the
// home counts the attempt as running until its deadline has passed.
const reportTimeout = 10 * time.Second

const (
	// notifyTimeout bounds the retries of a message to a home that doesn't
	// reply: its process may be paused and continue later.
	notifyTimeout = time.Minute
	// notifyRetryInterval is the time between two of these retries.
	notifyRetryInterval = time.Second
	// resubmitSuffix is appended to the ID of a call that is submitted to
	// another home.
	resubmitSuffix = "~"
)

// Client requests upstreams from the services' homes.
type Client struct {
	common  *common.Common
	router  *homes.Router
	relayer *Relayer
	home    *Home
	group   *group.Group

	submitCall homes.Call[SubmitMessage, SubmitReply]
	doneCall   homes.Call[DoneMessage, DoneReply]
}

// NewClient returns a client; home serves the requests for the services whose
// home this instance is.
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
		Method:    Submit,
		Local:     home.submit,
		Resend:    func(q *SubmitMessage) { q.TimeLeft = q.Call.Deadline.Sub(c.Clock.Now()) },
		OnNoReply: client.withdraw,
	}
	return client
}

// Close cancels pending reports and waits until they have ended.
func (c *Client) Close() { c.group.Close() }

// Submit waits for an assignment or a refusal of the call. The decision contains
// the call's ID, which changes when a home doesn't reply: a later decision of
// that home then can't be mistaken for one of the next home.
func (c *Client) Submit(ctx context.Context, service string, call route.Call) (route.Decision, error) {
	q := &SubmitMessage{Service: service, Call: call, TimeLeft: call.Deadline.Sub(c.common.Clock.Now())}
	reply, err := c.submitCall.Send(ctx, c.router, shardOf(service), q)
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

// Done reports the outcome of an attempt. If the attempt completed, Done doesn't
// wait for the acknowledgement, so that the caller isn't delayed.
func (c *Client) Done(ctx context.Context, service string, report route.Report) {
	for _, address := range c.relayer.Remove(report.Call, report.Attempt) {
		c.notifyEnd(address, service, report)
	}
	if report.Outcome == route.OutcomeCompleted {
		c.group.Go(func(ctx context.Context) { c.report(ctx, service, report) })
		return
	}
	c.report(ctx, service, report)
}

// withdraw cancels a call at a home that didn't reply and gives the call a new
// ID, since that home may still assign the old one when nobody waits for it.
func (c *Client) withdraw(place homes.Place, q *SubmitMessage) {
	message := &CancelMessage{Service: q.Service, Call: q.Call.ID}
	q.Call.ID += resubmitSuffix
	c.notifyHome(func(ctx context.Context) error {
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

// notifyEnd reports an attempt's outcome to a home that has listed the attempt
// as running: the regular report may have gone to an earlier home.
func (c *Client) notifyEnd(address, service string, report route.Report) {
	c.notifyHome(func(ctx context.Context) error {
		conn, err := c.home.conns.To(address)
		if err != nil {
			return err
		}
		_, err = Done.Call(ctx, conn, &DoneMessage{Service: service, Report: report})
		return err
	})
}

// notifyHome sends a message to one home, with retries until it replies.
func (c *Client) notifyHome(send func(context.Context) error) {
	c.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
		defer cancel()
		for {
			err := sendOnce(ctx, send)
			if err == nil || errors.Is(err, peer.ErrNotHome) || !group.Sleep(ctx, notifyRetryInterval) {
				return
			}
		}
	})
}

func sendOnce(ctx context.Context, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return send(ctx)
}

func (c *Client) report(ctx context.Context, service string, report route.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := c.doneCall.Send(ctx, c.router, shardOf(service), &DoneMessage{Service: service, Report: report})
	if err != nil {
		c.common.Log.Warn("cannot report outcome of attempt; the home counts it until its deadline", "service", service, "error", err)
	}
}

func shardOf(service string) uint8 { return uint8(fleet.ShardOf(service)) }
