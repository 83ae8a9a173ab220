package budget_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/budget"
)

// entry is an instance that takes turns, as its broker sees the others.
type entry struct {
	fleet  *fleet
	ledger *budget.Ledger
	// fault is the homeFault that befalls messages to the home.
	fault atomic.Int64
	// delayed are requests that arrive after the asker gave them up.
	delayed []*budget.ReserveRequest
	// settled counts the messages that end reservations.
	settled atomic.Int64
}

type homeFault int

// slowHomeTime exceeds the time that an asker waits for a home.
const slowHomeTime = 60 * time.Millisecond

const (
	homeAnswers homeFault = iota
	// homeUnreachable: the message is not delivered.
	homeUnreachable
	// replyLost: the home makes the reservation, and its reply is lost.
	replyLost
	// homeSlow: the home makes the reservation, its reply comes too late, and further
	// messages take as long.
	homeSlow
	// homeReorders: as homeSlow, but an earlier message takes longer than a later one.
	homeReorders
	// homeFrozen: the home gets the message after it was given up.
	homeFrozen
)

func (e *entry) IsHome(string) bool { return e.fleet.currentHome() == e.ledger }

func (e *entry) ReserveAtHome(ctx context.Context, q *budget.ReserveRequest, _ time.Duration) (*budget.ReserveReply, string, error) {
	home := e.fleet.currentHome()
	if home == nil {
		return nil, "", errGone
	}
	switch homeFault(e.fault.Load()) {
	case homeUnreachable:
		return nil, home.Holder(), errGone
	case replyLost, homeSlow, homeReorders:
		home.ReserveFor(ctx, q)
		return nil, home.Holder(), errGone
	case homeFrozen:
		e.delayed = append(e.delayed, q)
		return nil, home.Holder(), errGone
	default:
		return home.ReserveFor(ctx, q), home.Holder(), nil
	}
}

func (e *entry) SettleAt(_ context.Context, holder string, q *budget.SettleRequest) error {
	e.fleet.mu.Lock()
	l, ok := e.fleet.ledgers[holder]
	e.fleet.mu.Unlock()
	if !ok {
		return nil
	}
	if homeFault(e.fault.Load()) == homeUnreachable {
		return errGone
	}
	switch homeFault(e.fault.Load()) {
	case homeSlow:
		time.Sleep(slowHomeTime)
	case homeReorders:
		time.Sleep(slowHomeTime * time.Duration(max(1, 4-e.settled.Add(1))))
	default:
	}
	l.SettleFor(q)
	return nil
}

func (f *fleet) newBroker() (*budget.Broker, *entry) {
	e := &entry{fleet: f, ledger: f.start()}
	return budget.NewBroker(hclog.NewNullLogger(), e.ledger, e), e
}

// The turns of a program come to ever other instances of a large fleet. Its home's
// allocations serve them all, so that they need few transactions, none of which
// meets another's row.
func TestTurnsAtManyInstancesNeedFewTransactions(t *testing.T) {
	const (
		instances = 90
		programs  = 20
		turns     = 8
		maxTokens = 100
		total     = 2 * turns * maxTokens
	)
	f := newFleet(0, time.Hour)
	defer f.close()
	brokers := make([]*budget.Broker, instances)
	for i := range brokers {
		brokers[i], _ = f.newBroker()
		defer brokers[i].Close()
	}
	before := f.store.Calls()
	for p := range programs {
		for turn := range turns {
			broker := brokers[(p*turns+turn*7)%instances]
			r, err := broker.Reserve(t.Context(), fmt.Sprint("p", p), total, maxTokens)
			assert.NilError(t, err)
			r.Settle(maxTokens)
		}
	}
	perTurn := float64(f.store.Calls()-before) / (programs * turns)
	t.Logf("%.2f transactions a turn", perTurn)
	assert.Assert(t, perTurn <= 0.6, "%.2f transactions a turn", perTurn)
}

// Homes die, freeze and lose replies while turns are reserved there. The tokens
// handed out must stay within the budget and one turn, whichever ledger gave them,
// and a message that arrives late must not hold tokens for ever.
func TestBudgetHoldsWhileHomesFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxTokens := rapid.IntRange(10, 100).Draw(t, "maxTokens")
		total := maxTokens * rapid.IntRange(1, 12).Draw(t, "turns")
		f := newFleet(0, time.Hour)
		defer f.close()
		brokers := make([]*budget.Broker, 4)
		entries := make([]*entry, len(brokers))
		for i := range brokers {
			brokers[i], entries[i] = f.newBroker()
			defer brokers[i].Close()
		}
		handed := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			at := rapid.IntRange(0, len(brokers)-1).Draw(t, "at")
			e := entries[at]
			fault := rapid.SampledFrom([]homeFault{homeAnswers, homeAnswers, homeUnreachable, replyLost, homeFrozen}).Draw(t, "fault")
			e.fault.Store(int64(fault))
			r, err := brokers[at].Reserve(context.Background(), "p", total, maxTokens)
			if err == nil {
				tokens := rapid.IntRange(0, maxTokens).Draw(t, "tokens")
				handed += tokens
				r.Settle(tokens)
			} else {
				assert.Assert(t, errors.Is(err, budget.ErrSpent) || errors.Is(err, budget.ErrUnavailable), "%v", err)
			}
			if home := f.currentHome(); home != nil {
				for _, q := range e.delayed {
					home.ReserveFor(context.Background(), q)
				}
			}
			e.delayed = nil
			if rapid.IntRange(0, 9).Draw(t, "homeDies") == 0 {
				f.kill(f.currentHome())
				next := f.start()
				next.LoadHeavyPrograms(nil)
				f.setHome(next)
			}
		}
		assert.Assert(t, handed <= total+maxTokens, "%d of %d handed out", handed, total)
	})
}

// The end of a reservation may overtake the reservation itself. Its tokens must not
// stay reserved.
func TestCancelledReservationHoldsNothing(t *testing.T) {
	const maxTokens = 100
	f := newFleet(0, time.Hour)
	defer f.close()
	home := f.currentHome()
	q := &budget.ReserveRequest{ID: "a", Program: "p", Total: maxTokens, MaxTokens: maxTokens, Wait: time.Second}
	home.SettleFor(&budget.SettleRequest{ID: "a"})
	assert.Equal(t, home.ReserveFor(t.Context(), q).Outcome, budget.Unavailable)
	q.ID = "b"
	assert.Equal(t, home.ReserveFor(t.Context(), q).Outcome, budget.Reserved)
	q.ID = "c"
	assert.Equal(t, home.ReserveFor(t.Context(), q).Outcome, budget.Spent)
	home.SettleFor(&budget.SettleRequest{ID: "b"})
	assert.Equal(t, home.ReserveFor(t.Context(), q).Outcome, budget.Reserved)
}

// An instance ends in the middle of a turn that it reserved at the program's home. Guards
// against a budget that counts as spent by one that can't end the reservation any more.
func TestAskerThatIsGoneCostsNoTurn(t *testing.T) {
	const maxTokens, total = 100, 400
	f := newFleet(0, time.Hour)
	defer f.close()
	asker, lost := f.newBroker()
	defer asker.Close()
	other, _ := f.newBroker()
	defer other.Close()
	take := func(b *budget.Broker) error {
		r, err := b.Reserve(t.Context(), "p", total, maxTokens)
		if err == nil {
			r.Settle(maxTokens)
		}
		return err
	}
	for range total/maxTokens - 1 {
		assert.NilError(t, take(other))
	}
	_, err := asker.Reserve(t.Context(), "p", total, maxTokens)
	assert.NilError(t, err)
	assert.ErrorIs(t, take(other), budget.ErrSpent)
	f.kill(lost.ledger)
	// One turn beyond the budget, and no more.
	assert.NilError(t, take(other))
	assert.ErrorIs(t, take(other), budget.ErrSpent)
}

// A home that waits for a slow store says so in time, and the turn is reserved there
// once the transaction has ended.
func TestTurnWaitsForItsHomesSlowStore(t *testing.T) {
	f := newFleet(0, time.Hour)
	defer f.close()
	slow := &slowStore{Store: f.store, delay: 300 * time.Millisecond}
	home := budget.NewLedger(hclog.NewNullLogger(), slow, seat{f, "home#1"}, "home#1", f.ledgerConfig())
	defer home.Close()
	f.ledgers["home#1"] = home
	f.setHome(home)
	broker, e := f.newBroker()
	defer broker.Close()
	start := time.Now()
	r, err := broker.Reserve(t.Context(), "p", 1000, 100)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
	r.Settle(10)
	freed, err := e.ledger.Release("p")
	assert.NilError(t, err)
	assert.Equal(t, freed, 0, "the entry has tokens of its own")
}

// The store is away and returns in the moment in which all instances lose power, so
// that provisional allocations are forgotten. What the program gets before and after
// must stay within its budget and one turn.
func TestBudgetHoldsIfTheStoreReturnsAsAllFail(t *testing.T) {
	const maxTokens = 100
	tests := []struct {
		name   string
		before int
	}{
		{"no turn before the outage", 0},
		{"one turn before", 1},
		{"two turns before", 2},
		{"three turns before", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for turns := 1; turns <= 9; turns++ {
				total := turns * maxTokens
				handed := handOverOutage(t, total, maxTokens, tt.before)
				assert.Check(t, handed <= total+maxTokens, "%d of %d handed out", handed, total)
			}
		})
	}
}

// handOverOutage takes turns before and during an outage that ends as all instances
// fail, and then as many as there are. It returns the tokens handed out.
func handOverOutage(t *testing.T, total, maxTokens, before int) int {
	t.Helper()
	f := newFleet(0, time.Hour)
	defer f.close()
	handed := 0
	take := func(broker *budget.Broker) bool {
		r, err := broker.Reserve(t.Context(), "p", total, maxTokens)
		if err != nil {
			return false
		}
		handed += maxTokens
		r.Settle(maxTokens)
		return true
	}
	broker, _ := f.newBroker()
	defer broker.Close()
	for range before {
		take(broker)
	}
	f.failStore()
	for take(broker) {
	}
	for _, l := range f.opened {
		f.kill(l)
	}
	f.restoreStore()
	f.setHome(f.start())
	f.currentHome().LoadHeavyPrograms(nil)
	next, _ := f.newBroker()
	defer next.Close()
	for take(next) {
	}
	return handed
}

// The home can't be reached as a turn ends. The end must reach it later, or the
// program is told too soon that its budget is spent.
func TestReservationEndsWhenTheHomeIsBack(t *testing.T) {
	const maxTokens = 100
	f := newFleet(0, time.Hour)
	defer f.close()
	broker, e := f.newBroker()
	defer broker.Close()
	r, err := broker.Reserve(t.Context(), "p", maxTokens, maxTokens)
	assert.NilError(t, err)
	e.fault.Store(int64(homeUnreachable))
	r.Settle(0)
	time.Sleep(300 * time.Millisecond)
	e.fault.Store(int64(homeAnswers))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r, err = broker.Reserve(t.Context(), "p", maxTokens, maxTokens); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(50*time.Millisecond))
	r.Settle(0)
}

// A home makes the reservation of a program's only turn too late for the asker, which
// falls back to its own ledger. Guards against a 402 although nothing was spent: the home
// holds the tokens for the same turn until the cancellation reaches it.
func TestSlowHomeIsNoSpentBudget(t *testing.T) {
	const maxTokens = 100
	for _, turns := range []int{1, 2} {
		f := newFleet(0, time.Hour)
		broker, e := f.newBroker()
		for range turns {
			e.fault.Store(int64(homeSlow))
			r, err := broker.Reserve(t.Context(), "p", turns*maxTokens, maxTokens)
			assert.NilError(t, err)
			r.Settle(maxTokens)
		}
		_, err := broker.Reserve(t.Context(), "p", turns*maxTokens, maxTokens)
		assert.ErrorIs(t, err, budget.ErrSpent)
		broker.Close()
		f.close()
	}
}

// As before, but the end of an earlier turn's reservation reaches the home after the
// cancellation.
func TestEndInTransitIsNoSpentBudget(t *testing.T) {
	const (
		maxTokens = 100
		turns     = 2
	)
	f := newFleet(0, time.Hour)
	defer f.close()
	broker, e := f.newBroker()
	defer broker.Close()
	e.fault.Store(int64(homeReorders))
	for range turns {
		r, err := broker.Reserve(t.Context(), "p", turns*maxTokens, maxTokens)
		assert.NilError(t, err)
		r.Settle(maxTokens)
	}
	_, err := broker.Reserve(t.Context(), "p", turns*maxTokens, maxTokens)
	assert.ErrorIs(t, err, budget.ErrSpent)
}

// As before, but the cancellation doesn't reach the home either, so it isn't known
// whether the budget is spent.
func TestUnreachableHomeIsNoSpentBudget(t *testing.T) {
	const maxTokens = 100
	f := newFleet(0, time.Hour)
	defer f.close()
	broker, e := f.newBroker()
	defer broker.Close()
	assert.Equal(t, f.home.ReserveFor(t.Context(), &budget.ReserveRequest{
		ID: "late", Program: "p", Total: maxTokens, MaxTokens: maxTokens, Wait: time.Second,
	}).Outcome, budget.Reserved)
	e.fault.Store(int64(homeUnreachable))
	_, err := broker.Reserve(t.Context(), "p", maxTokens, maxTokens)
	assert.ErrorIs(t, err, budget.ErrUnavailable)
}
