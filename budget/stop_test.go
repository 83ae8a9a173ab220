package budget_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

// A home doesn't answer for a moment while another instance ends a turn and stops.
// Guards against a planned stop that gives up the end of the reservation: the home
// counts the turn's most as spent.
func TestPlannedStopSettlesReservations(t *testing.T) {
	const total, maxTokens, used = 150, 100, 10
	f := newFleet(0, time.Hour)
	defer f.close()
	broker, e := f.newBroker()
	r, err := broker.Reserve(t.Context(), "p", total, maxTokens)
	assert.NilError(t, err)
	e.fault.Store(int64(homeUnreachable))
	r.Settle(used)
	time.Sleep(50 * time.Millisecond)
	e.fault.Store(int64(homeAnswers))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Equal(t, broker.Drain(ctx), 0)
	broker.Close()
	assert.NilError(t, f.home.Reserve(t.Context(), "p", total, maxTokens, time.Second))
}

// The store is back as a home and the holder of its provisional allocation stop as
// planned. Guards against a stop that does not record the allocation, so that other
// instances grant the whole budget once more.
func TestPlannedStopRecordsProvisionalAllocations(t *testing.T) {
	const total, maxTokens = 600, 100
	f := newFleet(budget.RecordDelay, time.Hour)
	defer f.close()
	holder := f.start()
	f.failStore()
	handed := 0
	for holder.Reserve(t.Context(), "p", total, maxTokens, time.Second) == nil {
		holder.Settle("p", maxTokens, maxTokens)
		handed += maxTokens
	}
	assert.Assert(t, handed > 0)
	f.restoreStore()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	for _, l := range []*budget.Ledger{f.home, holder} {
		l.Drain(ctx)
		l.Close()
		f.kill(l)
	}
	next := f.start()
	f.setHome(next)
	next.LoadHeavyPrograms(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		err := next.Reserve(t.Context(), "p", total, maxTokens, time.Second)
		if errors.Is(err, budget.ErrSpent) {
			return poll.Success()
		}
		if err == nil {
			next.Settle("p", maxTokens, maxTokens)
			handed += maxTokens
		}
		return poll.Continue("%d tokens handed out, %v", handed, err)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
	assert.Assert(t, handed <= total+maxTokens, "%d tokens handed out of %d", handed, total)
}

// A stopping instance returns its unused tokens to a slow store. Guards against a 402
// for a program whose tokens are on their way: its holder has none left, and the row
// doesn't have them yet.
func TestReturnInProgressIsNoSpentBudget(t *testing.T) {
	const total, maxTokens = 200, 100
	f := newFleet(0, time.Hour)
	defer f.close()
	slow := &slowStore{Store: f.store, delay: 100 * time.Millisecond}
	stopping := budget.NewLedger(hclog.NewNullLogger(), slow, seat{f, "front-9#9"}, "front-9#9", f.ledgerConfig())
	defer stopping.Close()
	f.ledgers[stopping.Holder()] = stopping
	for range total / maxTokens {
		assert.NilError(t, stopping.Reserve(t.Context(), "p", total, maxTokens, 0))
	}
	for range total / maxTokens {
		stopping.Settle("p", maxTokens, 0)
	}
	g := group.NewGroup(t.Context())
	defer g.Close()
	g.Go(stopping.Drain)
	time.Sleep(50 * time.Millisecond)
	other := f.start()
	reserveUnlessSpent(t, other, total, maxTokens)
	g.Wait()
	assert.NilError(t, other.Reserve(t.Context(), "p", total, maxTokens, 0))
}

// A holder's tokens reach the row between another instance's read of it and the holder's
// reply. Guards against a 402 for a program that has spent nothing: neither the row that
// was read nor the holder has the tokens.
func TestReturnAfterTheReadIsNoSpentBudget(t *testing.T) {
	const total, maxTokens = 200, 100
	f := newFleet(0, time.Hour)
	defer f.close()
	holder, other := f.start(), f.start()
	for range total / maxTokens {
		assert.NilError(t, holder.Reserve(t.Context(), "p", total, maxTokens, 0))
	}
	for range total / maxTokens {
		holder.Settle("p", maxTokens, 0)
	}
	f.beforeRelease = func() { holder.ReturnUnused(t.Context()) }
	assert.NilError(t, other.Reserve(t.Context(), "p", total, maxTokens, 0))
}

// Homes stop as planned or die while turns are in progress and the store loses replies.
// Guards against tokens that are returned twice, or returned and handed out: a program
// must get no more than its budget and one turn.
func TestBudgetHoldsWhileHomesStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxTokens := rapid.IntRange(10, 100).Draw(t, "maxTokens")
		total := maxTokens * rapid.IntRange(1, 12).Draw(t, "turns")
		f := newFleet(0, time.Hour)
		defer f.close()
		brokers := make([]*budget.Broker, 3)
		entries := make([]*entry, len(brokers))
		for i := range brokers {
			brokers[i], entries[i] = f.newBroker()
			defer brokers[i].Close()
		}
		handed := 0
		var open []*budget.Reservation
		settle := func(tokens int) {
			handed += tokens
			open[0].Settle(tokens)
			open = open[1:]
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "loses reply") == 0 {
				f.store.SetFault(rows.ErrUnknown, true)
				time.AfterFunc(2*time.Millisecond, func() { f.store.SetFault(nil, false) })
			}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				home, next := f.currentHome(), f.start()
				next.LoadHeavyPrograms(nil)
				f.setHome(next)
				if rapid.Bool().Draw(t, "planned") {
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
					home.Drain(ctx)
					cancel()
				}
				f.kill(home)
			case 1:
				// Turns still come to an instance that returns its tokens.
				l := rapid.SampledFrom([]*budget.Ledger{f.currentHome(), entries[0].ledger}).Draw(t, "returns")
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
				l.ReturnUnused(ctx)
				cancel()
			case 2, 3:
				if len(open) > 0 {
					settle(rapid.IntRange(0, maxTokens).Draw(t, "tokens"))
				}
			default:
				at := rapid.IntRange(0, len(brokers)-1).Draw(t, "at")
				e := entries[at]
				e.fault.Store(int64(rapid.SampledFrom([]homeFault{homeAnswers, homeAnswers, homeUnreachable, replyLost}).Draw(t, "fault")))
				r, err := brokers[at].Reserve(context.Background(), "p", total, maxTokens)
				if err == nil {
					open = append(open, r)
				} else {
					assert.Assert(t, errors.Is(err, budget.ErrSpent) || errors.Is(err, budget.ErrUnavailable), "%v", err)
				}
			}
		}
		for len(open) > 0 {
			settle(maxTokens)
		}
		assert.Assert(t, handed <= total+maxTokens, "%d of %d handed out", handed, total)
	})
}
