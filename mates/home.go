package mates

import (
	"context"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/peer"
)

// Advance asks the program's home for tokens of its budget. Without the home
// there are none, since two homes could advance more than the budget.
func (m *Mates) Advance(ctx context.Context, holder, program string, total, most int) (int, error) {
	q := &budget.AdvanceRequest{Holder: holder, Program: program, Total: total, Most: most}
	reply, err := atHome(ctx, m, program, budget.Advance, q, m.serveAdvance)
	if err != nil {
		return 0, err
	}
	return reply.Tokens, nil
}

// Unbooked asks the program's home for its advances.
func (m *Mates) Unbooked(ctx context.Context, program string) (map[string]int, error) {
	q := &budget.UnbookedRequest{Program: program}
	reply, err := atHome(ctx, m, program, budget.Unbooked, q, m.serveUnbooked)
	if err != nil {
		return nil, err
	}
	return reply.Holders, nil
}

// NoteSpender tells the program's home that much of its budget is taken. A home
// that isn't reached learns it from the store.
func (m *Mates) NoteSpender(ctx context.Context, program string) {
	q := &budget.SpenderRequest{Program: program}
	if _, err := atHome(ctx, m, program, budget.Spender, q, m.serveSpender); err != nil {
		m.log.Debug("A program's home was not told of a spender.", "program", program, "error", err)
	}
}

// atHome has the request answered by the instance that the program falls to,
// which may be this one.
func atHome[Q, R any](
	ctx context.Context, m *Mates, program string, method peer.Method[Q, R], q *Q,
	own func(ctx context.Context, q *Q) (*R, error),
) (*R, error) {
	home := m.roster.First(program)
	if home.Name == m.roster.Self().Name {
		return own(ctx, q)
	}
	return call(ctx, m, method, home, q, callWait)
}

func (m *Mates) serveAdvance(_ context.Context, q *budget.AdvanceRequest) (*budget.AdvanceReply, error) {
	return &budget.AdvanceReply{Tokens: m.ledger.Advance(q.Holder, q.Program, q.Total, q.Most, common.Uptime())}, nil
}

func (m *Mates) serveUnbooked(_ context.Context, q *budget.UnbookedRequest) (*budget.UnbookedReply, error) {
	holders, err := m.ledger.Unbooked(q.Program)
	if err != nil {
		return nil, err
	}
	return &budget.UnbookedReply{Holders: holders}, nil
}

func (m *Mates) serveSpender(_ context.Context, q *budget.SpenderRequest) (*budget.SpenderReply, error) {
	m.ledger.NoteSpender(q.Program)
	return &budget.SpenderReply{}, nil
}
