package mates

import (
	"context"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/peer"
)

// Advance requests a provisional allocation from the program's home. There is
// none while the home is unreachable, since two homes could allocate more than
// the budget.
func (m *Mates) Advance(ctx context.Context, holder, program string, total, most int) (int, error) {
	q := &budget.AdvanceRequest{Holder: holder, Program: program, Total: total, Most: most}
	reply, err := callHome(ctx, m, program, budget.Advance, q, m.serveAdvance)
	if err != nil {
		return 0, err
	}
	return reply.Tokens, nil
}

// EndAdvances makes the program's home refuse provisional allocations from now
// on, and returns those so far.
func (m *Mates) EndAdvances(ctx context.Context, program string) (budget.Ended, error) {
	q := &budget.EndAdvancesRequest{Program: program}
	ended, err := callHome(ctx, m, program, budget.EndAdvances, q, m.serveEndAdvances)
	if err != nil {
		return budget.Ended{}, err
	}
	return *ended, nil
}

// Home returns the holder name of the process that the program is assigned to.
func (m *Mates) Home(program string) string { return HolderName(m.roster.First(program)) }

// callHome sends the request to the program's home, or calls local if this
// instance is the home.
func callHome[Q, R any](
	ctx context.Context, m *Mates, program string, method peer.Method[Q, R], q *Q,
	local func(ctx context.Context, q *Q) (*R, error),
) (*R, error) {
	home := m.roster.First(program)
	if home.Name == m.roster.Self().Name {
		return local(ctx, q)
	}
	return call(ctx, m, method, home, q, callTimeout)
}

func (m *Mates) serveAdvance(_ context.Context, q *budget.AdvanceRequest) (*budget.AdvanceReply, error) {
	return &budget.AdvanceReply{Tokens: m.ledger.Advance(q.Holder, q.Program, q.Total, q.Most, common.Uptime())}, nil
}

func (m *Mates) serveEndAdvances(_ context.Context, q *budget.EndAdvancesRequest) (*budget.Ended, error) {
	ended, err := m.ledger.EndAdvances(q.Program)
	if err != nil {
		return nil, err
	}
	return &ended, nil
}
