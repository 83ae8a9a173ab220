package budget_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/rows"
)

// overtakenStore loses the reply to the next commit that takes effect, after another
// instance has written too.
type overtakenStore struct {
	rows.Store
	overtake func()
}

func (s *overtakenStore) Commit(ctx context.Context, txn rows.Txn) (int64, error) {
	version, err := s.Store.Commit(ctx, txn)
	if err != nil || s.overtake == nil {
		return version, err
	}
	overtake := s.overtake
	s.overtake = nil
	overtake()
	return 0, rows.ErrUnknown
}

// A transaction returns another holder's unused tokens, its reply is lost, and a third
// instance writes the row before the transaction is sent again. Guards against a second
// return of the same tokens, which would let the program exceed its budget.
func TestTokensAreReturnedOnce(t *testing.T) {
	const total, maxTokens, used = 1200, 100, 4
	f := newFleet(0, time.Hour)
	defer f.close()
	handed := 0
	holder, third := f.start(), f.start()
	for range total / maxTokens {
		assert.NilError(t, holder.Reserve(t.Context(), "p", total, maxTokens, 0))
	}
	for i := range total / maxTokens {
		tokens := 0
		if i < used {
			tokens = maxTokens
		}
		holder.Settle("p", maxTokens, tokens)
		handed += tokens
	}
	lossy := &overtakenStore{Store: f.store}
	l := budget.NewLedger(hclog.NewNullLogger(), lossy, seat{f, "front-9#9"}, "front-9#9", f.ledgerConfig())
	defer l.Close()
	f.ledgers[l.Holder()] = l
	lossy.overtake = func() { handed += spend(t, third, total, maxTokens) }
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		err := l.Reserve(t.Context(), "p", total, maxTokens, 0)
		if errors.Is(err, budget.ErrSpent) {
			return poll.Success()
		}
		if err == nil {
			l.Settle("p", maxTokens, maxTokens)
			handed += maxTokens
		}
		return poll.Continue("%d tokens handed out, %v", handed, err)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
	assert.Assert(t, handed <= total+maxTokens, "%d tokens handed out of %d", handed, total)
}

// An instance returns its tokens, and no reply comes in time. Guards against tokens that
// it hands out although the row has them.
func TestTokensOfALostReturnAreNotHandedOut(t *testing.T) {
	const total, maxTokens = 1200, 100
	f := newFleet(0, time.Hour)
	defer f.close()
	holder, other := f.start(), f.start()
	for range total / maxTokens {
		assert.NilError(t, holder.Reserve(t.Context(), "p", total, maxTokens, 0))
	}
	for range total / maxTokens {
		holder.Settle("p", maxTokens, 0)
	}
	f.store.SetFault(rows.ErrUnknown, true)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	holder.ReturnUnused(ctx)
	f.store.SetFault(nil, false)
	handed := spend(t, holder, total, maxTokens) + spend(t, other, total, maxTokens)
	assert.Assert(t, handed <= total+maxTokens, "%d tokens handed out of %d", handed, total)
}

// lateStore commits at once and replies later.
type lateStore struct {
	rows.Store
	delay time.Duration
}

func (s *lateStore) Commit(ctx context.Context, txn rows.Txn) (int64, error) {
	version, err := s.Store.Commit(ctx, txn)
	time.Sleep(s.delay)
	return version, err
}

// The row has an allocation whose holder hasn't heard of it yet. Guards against a 402 for
// a program that has spent nothing: the holder has no tokens to release yet.
func TestAllocationOnItsWayIsNoSpentBudget(t *testing.T) {
	const maxTokens = 100
	f := newFleet(0, time.Hour)
	defer f.close()
	late := &lateStore{Store: f.store, delay: 100 * time.Millisecond}
	holder := budget.NewLedger(hclog.NewNullLogger(), late, seat{f, "front-9#9"}, "front-9#9", f.ledgerConfig())
	defer holder.Close()
	f.ledgers[holder.Holder()] = holder
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, holder.Reserve(ctx, "p", maxTokens, maxTokens, 0), budget.ErrUnavailable)
	other := f.start()
	reserveUnlessSpent(t, other, maxTokens, maxTokens)
}

// reserveUnlessSpent reserves a turn, and tries again while the budget can't be read.
func reserveUnlessSpent(t *testing.T, l *budget.Ledger, total, maxTokens int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		err := l.Reserve(t.Context(), "p", total, maxTokens, 0)
		switch {
		case err == nil:
			return poll.Success()
		case errors.Is(err, budget.ErrUnavailable):
			return poll.Continue("%v", err)
		default:
			return poll.Error(err)
		}
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(5*time.Second))
}
