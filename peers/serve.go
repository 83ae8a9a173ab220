package peers

import (
	"context"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/bypass"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/crash"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/resume"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/share"
	"github.com/buckthorntide/buckthorntide/turns"
	"github.com/buckthorntide/buckthorntide/watch"
)

// Handlers returns the handlers of the peers' calls. The store must be the
// direct one, so that a store call goes via one peer at most.
func (m *Client) Handlers(
	buckets *share.Buckets, keeper *turns.Keeper, watcher *watch.Watcher, store rows.Store, crashes *crash.Tracker, streams *resume.Tracker,
) []peer.Handler {
	return []peer.Handler{
		budget.Release.Handle(func(_ context.Context, q *budget.ReleaseRequest) (*budget.ReleaseReply, error) {
			freed, err := m.ledger.Release(q.Program)
			if err != nil {
				return nil, err
			}
			return &budget.ReleaseReply{Holder: m.ledger.Holder(), Freed: freed}, nil
		}),
		budget.Reserve.Handle(func(ctx context.Context, q *budget.ReserveRequest) (*budget.ReserveReply, error) {
			if m.ledger.Draining() {
				return nil, errStopping
			}
			return m.ledger.ReserveFor(ctx, q), nil
		}),
		budget.Settle.Handle(func(_ context.Context, q *budget.SettleRequest) (*budget.SettleReply, error) {
			m.ledger.SettleFor(q)
			return &budget.SettleReply{}, nil
		}),
		budget.EndProvisionals.Handle(m.serveEndAdvances),
		budget.GrantProvisional.Handle(m.serveAdvance),
		budget.EndAt.Handle(func(_ context.Context, q *budget.EndAtRequest) (*budget.EndAtReply, error) {
			return &budget.EndAtReply{Process: m.ledger.Holder(), Holders: m.ledger.EndAt(q.Program)}, nil
		}),
		budget.Engage.Handle(func(_ context.Context, q *budget.EngageRequest) (*budget.EngageReply, error) {
			return m.ledger.Engage(q), nil
		}),
		budget.Permit.Handle(func(_ context.Context, q *budget.PermitRequest) (*budget.PermitReply, error) {
			return m.ledger.Permit(q), nil
		}),
		budget.Revoke.Handle(func(_ context.Context, q *budget.RevokeRequest) (*budget.RevokeReply, error) {
			return m.ledger.Revoke(q), nil
		}),
		budget.Handover.Handle(func(ctx context.Context, q *budget.HandoverRequest) (*budget.HandoverReply, error) {
			return m.serveHandover(ctx, q, store)
		}),
		share.Lend.Handle(func(_ context.Context, q *share.LendRequest) (*share.Loan, error) {
			loan := buckets.Lend(q.Quota, q.Ask, common.Uptime())
			return &loan, nil
		}),
		turns.Find.Handle(func(_ context.Context, q *turns.FindRequest) (*turns.FindReply, error) {
			return &turns.FindReply{Turn: keeper.Cached(q.ID)}, nil
		}),
		resume.AskOrigin.Handle(func(_ context.Context, q *resume.OriginRequest) (*resume.OriginReply, error) {
			origin, known := streams.Origin(q.Key)
			return &resume.OriginReply{Process: m.roster.Self().HolderName(), Known: known, Origin: origin}, nil
		}),
		FetchUpdates.Handle(func(_ context.Context, q *UpdatesRequest) (*UpdatesReply, error) {
			return &UpdatesReply{Updates: watcher.UpdatesSince(q.Known)}, nil
		}),
		crash.Tell.Handle(func(_ context.Context, q *crash.Report) (*crash.Ack, error) {
			return &crash.Ack{}, crashes.Told(*q, "a peer")
		}),
		bypass.Commit.Handle(func(ctx context.Context, q *bypass.CommitRequest) (*bypass.Reply, error) {
			version, err := store.Commit(ctx, q.Txn)
			return bypass.NewReply(rows.Page{Version: version}, err), nil
		}),
		bypass.Range.Handle(func(ctx context.Context, q *bypass.RangeRequest) (*bypass.Reply, error) {
			return bypass.NewReply(store.Range(ctx, q.Query)), nil
		}),
	}
}
