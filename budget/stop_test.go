package budget_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/budget"
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
