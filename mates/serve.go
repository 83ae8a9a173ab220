package mates

import (
	"context"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/share"
	"github.com/buckthorntide/buckthorntide/turns"
)

// Handlers answer the calls of the other instances.
func Handlers(ledger *budget.Ledger, buckets *share.Buckets, keeper *turns.Keeper) []peer.Handler {
	return []peer.Handler{
		budget.Release.Handle(func(_ context.Context, q *budget.ReleaseRequest) (*budget.ReleaseReply, error) {
			return &budget.ReleaseReply{Holder: ledger.Holder(), Freed: ledger.Release(q.Program)}, nil
		}),
		share.Lend.Handle(func(_ context.Context, q *share.LendRequest) (*share.LendReply, error) {
			return &share.LendReply{Tokens: buckets.Lend(q.Quota, q.Want, common.Uptime())}, nil
		}),
		turns.Find.Handle(func(_ context.Context, q *turns.FindRequest) (*turns.FindReply, error) {
			return &turns.FindReply{Turns: keeper.Held(q.IDs)}, nil
		}),
		turns.Hold.Handle(func(_ context.Context, q *turns.HoldRequest) (*turns.HoldReply, error) {
			keeper.Hold(&q.Turn)
			return &turns.HoldReply{}, nil
		}),
	}
}
