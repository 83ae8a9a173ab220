package peers

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/peer"
)

// RequestProvisional requests a provisional allocation from the program's home. There is
// none while the home is unreachable, since two homes could allocate more than
// the budget.
func (m *Client) RequestProvisional(ctx context.Context, holder, program string, total, most int) (int, error) {
	q := &budget.ProvisionalRequest{Holder: holder, Program: program, Total: total, MaxTokens: most}
	reply, err := callHome(ctx, m, program, budget.GrantProvisional, q, m.serveAdvance)
	if err != nil {
		return 0, err
	}
	return reply.Tokens, nil
}

// EndProvisionals makes the program's home refuse provisional allocations from now
// on, and returns those so far.
func (m *Client) EndProvisionals(ctx context.Context, program string) (budget.Ended, error) {
	q := &budget.EndProvisionalsRequest{Program: program}
	ended, err := callHome(ctx, m, program, budget.EndProvisionals, q, m.serveEndAdvances)
	if err != nil {
		return budget.Ended{}, err
	}
	return *ended, nil
}

// IsHome reports whether this instance is the program's home.
func (m *Client) IsHome(program string) bool {
	return m.roster.First(program).Name == m.roster.Self().Name
}

// ReserveAtHome makes the reservation at the program's home, and returns the home's
// holder name.
func (m *Client) ReserveAtHome(ctx context.Context, q *budget.ReserveRequest, timeout time.Duration) (*budget.ReserveReply, string, error) {
	home := m.roster.First(q.Program)
	reply, err := call(ctx, m, budget.Reserve, home, q, timeout)
	if errors.Is(err, errEjected) {
		// Nothing was sent.
		return nil, "", err
	}
	return reply, home.HolderName(), err
}

// SettleAt ends a reservation at the process with the holder name, or does nothing
// if that has ended. It asks an ejected home too, since the program can't use the
// reserved tokens until then.
func (m *Client) SettleAt(ctx context.Context, home string, q *budget.SettleRequest) error {
	e, err := m.holder(home)
	if err != nil {
		return nil
	}
	_, err = callNow(ctx, m, budget.Settle, e, q, settleTimeout)
	return err
}

// HomeSince returns since when this instance has been the program's home, if it is and
// the store lists this instance.
func (m *Client) HomeSince(program string) (time.Duration, bool) { return m.roster.FirstSince(program) }

// WasHome reports whether this instance is the program's home or was until the given
// time ago.
func (m *Client) WasHome(program string, within time.Duration) bool {
	return m.roster.Listed() && (m.IsHome(program) || common.Uptime()-m.roster.ChangedAt() < within)
}

// Losses returns the processes that were lost in the earliest outage after which a home
// of the program may have been lost.
func (m *Client) Losses(program string) []string { return m.roster.Losses(program) }

// callHome sends the request to the program's home, or calls local if this
// instance is the home.
func callHome[Q, R any](
	ctx context.Context, m *Client, program string, method peer.Method[Q, R], q *Q,
	local func(ctx context.Context, q *Q) (*R, error),
) (*R, error) {
	home := m.roster.First(program)
	if home.Name == m.roster.Self().Name {
		return local(ctx, q)
	}
	return call(ctx, m, method, home, q, callTimeout)
}

func (m *Client) serveAdvance(_ context.Context, q *budget.ProvisionalRequest) (*budget.ProvisionalReply, error) {
	return &budget.ProvisionalReply{Tokens: m.ledger.GrantProvisional(q.Holder, q.Program, q.Total, q.MaxTokens, common.Uptime())}, nil
}

func (m *Client) serveEndAdvances(_ context.Context, q *budget.EndProvisionalsRequest) (*budget.Ended, error) {
	ended, err := m.ledger.EndProvisionals(q.Program)
	if err != nil {
		return nil, err
	}
	return &ended, nil
}
