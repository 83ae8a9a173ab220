package budget_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/rows"
)

// fleet is a set of instances, with their ledgers by holder.
type fleet struct {
	mu      sync.Mutex
	store   *rows.Memory
	ledgers map[string]*budget.Ledger
	started int
	opened  []*budget.Ledger
	home    *budget.Ledger
	// away is what instances assume about the store, which was last away until awayAt.
	away   atomic.Bool
	awayAt atomic.Int64
	// bookTime is 0 if no outage preceded.
	bookTime time.Duration
	// forget is 0 if all instances have run for long.
	forget time.Duration
	// recordInterval is the time between attempts to record, if it is set.
	recordInterval time.Duration
	// homeSince is when the home became that, heavyReadAt up to when all instances have
	// read the heavy programs; they always have if it is 0.
	homeSince   time.Duration
	heavyReadAt time.Duration
	// homes are the processes that have been home, losses those of them that ended
	// although they may have granted what the store lacks.
	homes  map[string]bool
	losses [][]string
	// beforeRelease is called before a holder is asked for tokens.
	beforeRelease func()
}

// seat is a process' view of the fleet.
type seat struct {
	*fleet
	holder string
}

// counter counts the transactions of one ledger.
type counter struct {
	rows.Store
	commits   int
	conflicts int
}

func (c *counter) Commit(ctx context.Context, txn rows.Txn) (int64, error) {
	version, err := c.Store.Commit(ctx, txn)
	c.commits++
	if errors.Is(err, rows.ErrConflict) {
		c.conflicts++
	}
	return version, err
}

// slowStore delays commits.
type slowStore struct {
	rows.Store
	delay time.Duration
}

func (s *slowStore) Commit(ctx context.Context, txn rows.Txn) (int64, error) {
	select {
	case <-time.After(s.delay):
		return s.Store.Commit(ctx, txn)
	case <-ctx.Done():
		return 0, rows.ErrUnknown
	}
}

var errGone = errors.New("holder has ended")

// newFleet returns a fleet with one process, which is the home of all programs.
func newFleet(bookTime, forget time.Duration) *fleet {
	f := emptyFleet(bookTime, forget)
	f.setHome(f.start())
	f.home.LoadHeavyPrograms(nil)
	return f
}

func emptyFleet(bookTime, forget time.Duration) *fleet {
	return &fleet{
		store: rows.NewMemory(), ledgers: make(map[string]*budget.Ledger), homes: make(map[string]bool),
		bookTime: bookTime, forget: forget,
	}
}

// start adds a process and returns its ledger.
func (f *fleet) start() *budget.Ledger {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	holder := fmt.Sprintf("front-%d#%d", f.started, f.started)
	l := budget.NewLedger(hclog.NewNullLogger(), f.store, seat{f, holder}, holder, f.ledgerConfig())
	f.ledgers[holder] = l
	f.opened = append(f.opened, l)
	return l
}

func (f *fleet) ledgerConfig() budget.Config {
	started := common.Uptime()
	return budget.Config{
		StoreDown: f.away.Load,
		StoreReached: func() time.Duration {
			if f.away.Load() {
				return 0
			}
			return common.Uptime() - max(started, time.Duration(f.awayAt.Load()))
		},
		HeavyReadAt: func() time.Duration {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.heavyReadAt == 0 {
				return math.MaxInt64
			}
			return f.heavyReadAt
		},
		IdleTTL: f.forget, RecordDelay: f.bookTime, StoreTimeout: budget.StoreTimeout, RecordInterval: cmp.Or(f.recordInterval, budget.RecordInterval),
	}
}

// failStore makes the store unreachable and notifies every running process.
func (f *fleet) failStore() {
	f.store.SetFault(rows.ErrNotDone, false)
	f.away.Store(true)
}

func (f *fleet) restoreStore() {
	f.store.SetFault(nil, false)
	f.awayAt.Store(int64(common.Uptime()))
	f.away.Store(false)
}

// close ends the ledgers of all processes.
func (f *fleet) close() {
	for _, l := range f.opened {
		l.Close()
	}
}

// RequestProvisional requests a provisional allocation from the home of all programs.
func (f *fleet) RequestProvisional(_ context.Context, holder, program string, total, maxTokens int) (int, error) {
	home := f.currentHome()
	if home == nil {
		return 0, errGone
	}
	return home.GrantProvisional(context.Background(), holder, program, total, maxTokens, time.Second), nil
}

// kill ends a process, whose state is lost.
func (f *fleet) kill(l *budget.Ledger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ledgers, l.Holder())
	if f.homes[l.Holder()] && (f.away.Load() || f.awayAt.Load() > 0) {
		f.losses = append(f.losses, []string{l.Holder()})
	}
}

func (s seat) HomeSince(string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.homeSince, s.home != nil && s.home.Holder() == s.holder
}

func (s seat) WasHome(program string, _ time.Duration) bool {
	_, ok := s.HomeSince(program)
	return ok
}

func (s seat) EarlierHomes(context.Context, string) ([]string, time.Duration) { return nil, 0 }

func (s seat) PossibleHomes(string) []string { return []string{"front-0#0"} }

func (s seat) EndAt(context.Context, string, string) (map[string]int, error) { return nil, errGone }

func (s seat) Answers(_ context.Context, process string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.ledgers[process]
	return ok
}

// Standing returns no witnesses, so that nobody knows what a process granted that is gone.
func (s seat) Standing(_ context.Context, process string) (budget.Standing, error) {
	return budget.Standing{Process: process, Epoch: 1}, nil
}

func (s seat) ProcessOf(instance string) string { return instance + "#1" }

func (s seat) Engage(context.Context, string, *budget.EngageRequest) (*budget.EngageReply, error) {
	return &budget.EngageReply{Engaged: true}, nil
}

func (s seat) Permit(_ context.Context, instance string, _ *budget.PermitRequest) (*budget.PermitReply, error) {
	return &budget.PermitReply{Witness: instance + "#1", Permitted: true}, nil
}

func (s seat) Revoke(context.Context, string, *budget.RevokeRequest) (*budget.RevokeReply, error) {
	return nil, errGone
}

func (s seat) Losses(string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.losses) == 0 {
		return nil
	}
	return s.losses[0]
}

func (f *fleet) Release(_ context.Context, holder, program string) (int, error) {
	f.mu.Lock()
	l, ok := f.ledgers[holder]
	f.mu.Unlock()
	if !ok {
		return 0, errGone
	}
	if f.beforeRelease != nil {
		f.beforeRelease()
	}
	return l.Release(program)
}

func (f *fleet) EndProvisionals(_ context.Context, program string) (budget.Ended, error) {
	home := f.currentHome()
	if home == nil {
		return budget.Ended{}, errGone
	}
	return home.EndProvisionals(context.Background(), program)
}

// currentHome returns the home of all programs. Transactions that outlive their
// request call it too.
func (f *fleet) currentHome() *budget.Ledger {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.home
}

func (f *fleet) setHome(l *budget.Ledger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.home, f.homeSince = l, common.Uptime()
	if l != nil {
		f.homes[l.Holder()] = true
		l.Registered(context.Background(), 1, []string{"witness"})
	}
}

func TestBudgetHoldsOverInstancesAndRestarts(t *testing.T) {
	const (
		total     = 800
		maxTokens = 100
	)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(0, time.Minute)
		defer f.close()
		ledgers := []*budget.Ledger{f.start(), f.start(), f.start()}
		handed, open := 0, 0
		type turn struct{ at *budget.Ledger }
		var inFlight []turn
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(ledgers)-1).Draw(t, "at")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				if ledgers[i].Reserve(t.Context(), "program", total, maxTokens, 0) == nil {
					inFlight = append(inFlight, turn{at: ledgers[i]})
					open++
				}
			case 2:
				if len(inFlight) > 0 {
					tokens := rapid.IntRange(0, maxTokens).Draw(t, "tokens")
					inFlight[0].at.Settle("program", maxTokens, tokens)
					inFlight = inFlight[1:]
					handed += tokens
				}
			default:
				f.kill(ledgers[i])
				var left []turn
				for _, u := range inFlight {
					if u.at == ledgers[i] {
						handed += maxTokens
					} else {
						left = append(left, u)
					}
				}
				inFlight = left
				ledgers[i] = f.start()
			}
		}
		if got := handed + maxTokens*len(inFlight); got > total+maxTokens {
			t.Fatalf("%d tokens handed out or in flight of %d", got, total)
		}
	})
}

func TestReserve(t *testing.T) {
	const total, maxTokens = 800, 100
	tests := []struct {
		name string
		turn func(t *testing.T, f *fleet) error
		want error
	}{
		{
			name: "all turns of a program at one instance",
			turn: func(t *testing.T, f *fleet) error {
				l := f.start()
				for range total / maxTokens {
					if err := l.Reserve(t.Context(), "p", total, maxTokens, 0); err != nil {
						return err
					}
					l.Settle("p", maxTokens, maxTokens)
				}
				return nil
			},
		},
		{
			name: "one turn too many",
			turn: func(t *testing.T, f *fleet) error {
				l := f.start()
				for range total / maxTokens {
					assert.NilError(t, l.Reserve(t.Context(), "p", total, maxTokens, 0))
					l.Settle("p", maxTokens, maxTokens)
				}
				return l.Reserve(t.Context(), "p", total, maxTokens, 0)
			},
			want: budget.ErrSpent,
		},
		{
			name: "other instances return unused tokens",
			turn: func(t *testing.T, f *fleet) error {
				for range 5 {
					l := f.start()
					assert.NilError(t, l.Reserve(t.Context(), "p", total, maxTokens, 0))
					l.Settle("p", maxTokens, maxTokens)
				}
				for range 3 {
					l := f.start()
					if err := l.Reserve(t.Context(), "p", total, maxTokens, 0); err != nil {
						return err
					}
					l.Settle("p", maxTokens, maxTokens)
				}
				return nil
			},
		},
		{
			name: "a spent program continues after all instances were killed",
			turn: func(t *testing.T, f *fleet) error {
				l := f.start()
				for l.Reserve(t.Context(), "p", total, maxTokens, 0) == nil {
					l.Settle("p", maxTokens, maxTokens)
				}
				f.kill(l)
				l = f.start()
				// One turn is allowed for tokens that the dead holder may not have spent.
				for range 2 {
					if err := l.Reserve(t.Context(), "p", total, maxTokens, 0); err != nil {
						return err
					}
					l.Settle("p", maxTokens, maxTokens)
				}
				return nil
			},
			want: budget.ErrSpent,
		},
		{
			name: "a program goes on after all instances were killed twice",
			turn: func(t *testing.T, f *fleet) error {
				for range 3 {
					l := f.start()
					if err := l.Reserve(t.Context(), "p", total, maxTokens, 0); err != nil {
						return err
					}
					l.Settle("p", maxTokens, maxTokens/2)
					f.kill(l)
				}
				l := f.start()
				return l.Reserve(t.Context(), "p", total, maxTokens, 0)
			},
		},
		{
			name: "a program starts while the store is down",
			turn: func(t *testing.T, f *fleet) error {
				f.failStore()
				l := f.start()
				for range 4 {
					if err := l.Reserve(t.Context(), "p", total, maxTokens, 0); err != nil {
						return err
					}
					l.Settle("p", maxTokens, maxTokens/2)
				}
				return nil
			},
		},
		{
			name: "a spent program continues while the store is down",
			turn: func(t *testing.T, f *fleet) error {
				l := f.start()
				for l.Reserve(t.Context(), "p", total, maxTokens, 0) == nil {
					l.Settle("p", maxTokens, maxTokens)
				}
				f.kill(l)
				f.setHome(f.start())
				f.home.LoadHeavyPrograms(heavyPrograms(t, f.store))
				f.failStore()
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				return f.start().Reserve(ctx, "p", total, maxTokens, 0)
			},
			want: budget.ErrUnavailable,
		},
		{
			name: "a home that has just started grants nothing",
			turn: func(t *testing.T, f *fleet) error {
				f.setHome(f.start())
				f.failStore()
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				return f.start().Reserve(ctx, "p", total, maxTokens, 0)
			},
			want: budget.ErrUnavailable,
		},
		{
			name: "a home that reaches the store advances nothing",
			turn: func(t *testing.T, f *fleet) error {
				cutOff := &slowStore{Store: f.store, delay: time.Hour}
				l := budget.NewLedger(hclog.NewNullLogger(), cutOff, seat{f, "front-9#9"}, "front-9#9", f.ledgerConfig())
				defer l.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				return l.Reserve(ctx, "p", total, maxTokens, 0)
			},
			want: budget.ErrUnavailable,
		},
		{
			name: "a home that is cut off by itself advances nothing",
			turn: func(t *testing.T, f *fleet) error {
				f.failStore()
				f.away.Store(false)
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				return f.home.Reserve(ctx, "p", total, maxTokens, 0)
			},
			want: budget.ErrUnavailable,
		},
		{
			name: "store and home unreachable",
			turn: func(t *testing.T, f *fleet) error {
				f.setHome(nil)
				f.failStore()
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				return f.start().Reserve(ctx, "p", total, maxTokens, 0)
			},
			want: budget.ErrUnavailable,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(0, 0)
			defer f.close()
			err := tt.turn(t, f)
			if tt.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
		})
	}
}

// Turns of one program at one instance reuse the row from the last write, without
// conflicts.
func TestRowIsNotReadAgain(t *testing.T) {
	const total, maxTokens = 800, 100
	f := newFleet(0, time.Minute)
	defer f.close()
	counted := &counter{Store: f.store}
	l := budget.NewLedger(hclog.NewNullLogger(), counted, seat{f, "front-9#9"}, "front-9#9", f.ledgerConfig())
	defer l.Close()
	for range 2 * 4 {
		assert.NilError(t, l.Reserve(t.Context(), "p", total, maxTokens, 0))
		l.Settle("p", maxTokens, maxTokens)
	}
	assert.Assert(t, counted.commits <= total/maxTokens, "%d transactions", counted.commits)
	assert.Equal(t, counted.conflicts, 0)
}

// While a transaction takes 300 ms, turns wait for it instead of being refused, and
// an allocation that arrives after the caller left is not lost.
func TestTurnsWaitForASlowStore(t *testing.T) {
	const total, maxTokens = 800, 100
	f := newFleet(0, time.Minute)
	defer f.close()
	slow := &slowStore{Store: f.store, delay: 300 * time.Millisecond}
	l := budget.NewLedger(hclog.NewNullLogger(), slow, seat{f, "front-9#9"}, "front-9#9", f.ledgerConfig())
	defer l.Close()
	for range total / maxTokens {
		assert.NilError(t, l.Reserve(t.Context(), "p", total, maxTokens, 0))
		l.Settle("p", maxTokens, maxTokens)
	}
	// A caller that leaves meanwhile doesn't cost the program its allocation.
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.Assert(t, errors.Is(l.Reserve(ctx, "q", maxTokens, maxTokens, 0), budget.ErrUnavailable))
	assert.NilError(t, l.Reserve(t.Context(), "q", maxTokens, maxTokens, 0))
}

// A turn must not be refused because of a stale row: another instance may hold the
// tokens by now and return them.
func TestRowIsReadAgainBeforeARefusal(t *testing.T) {
	const total, maxTokens = 800, 100
	f := newFleet(0, time.Minute)
	defer f.close()
	first, other, third := f.start(), f.start(), f.start()
	use := func(l *budget.Ledger, turns, tokens int) {
		for range turns {
			assert.NilError(t, l.Reserve(t.Context(), "p", total, maxTokens, 0))
		}
		for range turns {
			l.Settle("p", maxTokens, tokens)
		}
	}
	use(other, 6, 0)
	use(first, 2, maxTokens)
	// The holders that the first one's row names have no tokens left.
	use(third, 6, 0)
	assert.NilError(t, first.Reserve(t.Context(), "p", total, maxTokens, 0))
}

// Sub-agents of one program reserve concurrently. Each must get its turn within the
// budget, even if others take the tokens that its refill was granted.
func TestConcurrentTurnsOfSubAgents(t *testing.T) {
	const total, maxTokens, agents = 3200, 100, 32
	f := newFleet(0, time.Minute)
	defer f.close()
	l := f.start()
	var wg sync.WaitGroup
	failed := make([]error, agents)
	for i := range agents {
		wg.Go(func() { failed[i] = l.Reserve(t.Context(), "p", total, maxTokens, 0) })
	}
	wg.Wait()
	for _, err := range failed {
		assert.NilError(t, err)
	}
}

// Provisional allocations must count against the budget at every instance once the
// store is reachable again.
func TestProvisionalAllocationsAreRecorded(t *testing.T) {
	const total, maxTokens = 800, 100
	f := newFleet(0, 0)
	defer f.close()
	f.failStore()
	l := f.start()
	handed := 0
	for l.Reserve(t.Context(), "p", total, maxTokens, 0) == nil {
		l.Settle("p", maxTokens, maxTokens)
		handed += maxTokens
	}
	assert.Equal(t, handed, total/4)
	f.restoreStore()
	waitForProvisional(t, f.store)
	other := f.start()
	for other.Reserve(t.Context(), "p", total, maxTokens, 0) == nil {
		other.Settle("p", maxTokens, maxTokens)
		handed += maxTokens
	}
	// The rest of a provisional allocation is less than a turn and counts as spent.
	assert.Assert(t, handed > total-2*maxTokens && handed <= total, "%d of %d", handed, total)
}

// For a budget of one and a half turns, the maximum provisional allocation is too
// small for a turn, and the home can't end provisional allocations so soon after an
// outage. The unused tokens must be available again once the store is reachable.
func TestUnusedAdvanceIsGivenBack(t *testing.T) {
	const total, maxTokens = 150, 100
	f := newFleet(time.Minute, 0)
	defer f.close()
	one, two := f.start(), f.start()
	f.failStore()
	err := one.Reserve(t.Context(), "p", total, maxTokens, 0)
	assert.Assert(t, errors.Is(err, budget.ErrUnavailable), "%v", err)
	f.restoreStore()
	waitForProvisional(t, f.store)
	assert.NilError(t, two.Reserve(t.Context(), "p", total, maxTokens, 0))
	two.Settle("p", maxTokens, maxTokens)
	// The first instance can't hand out the tokens that it returned.
	assert.Assert(t, one.Reserve(t.Context(), "p", total, maxTokens, 0) != nil)
}

// Returned provisional tokens may be granted again. If a home was lost that may have
// granted as many as any home may, these stay spent.
func TestAdvanceThatIsGivenBack(t *testing.T) {
	const total, maxTokens = 800, 100
	tests := []struct {
		name string
		lost bool
		want int
	}{
		{name: "no home was lost", want: total},
		{name: "a home was lost", lost: true, want: total - 2*maxTokens},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := emptyFleet(0, 0)
			f.setHome(f.start())
			f.home.LoadHeavyPrograms(nil)
			defer f.close()
			one, two := f.start(), f.start()
			f.failStore()
			// A provisional allocation of two turns of which none is used.
			assert.NilError(t, one.Reserve(t.Context(), "p", total, maxTokens, 0))
			one.Settle("p", maxTokens, 0)
			if tt.lost {
				f.losses = [][]string{{"front-8#8", "front-7#7"}}
			}
			f.restoreStore()
			waitForProvisional(t, f.store)
			handed := 0
			for two.Reserve(t.Context(), "p", total, maxTokens, 0) == nil {
				two.Settle("p", maxTokens, maxTokens)
				handed += maxTokens
			}
			assert.Equal(t, handed, tt.want)
		})
	}
}

// All instances restart while the store is down, so provisional allocations are
// lost before they are recorded. The budget must still be exceeded by one turn at
// most.
func TestAdvancesThatNobodyRemembers(t *testing.T) {
	const maxTokens = 100
	for turns := 1; turns <= 9; turns++ {
		total := turns * maxTokens
		f := newFleet(0, time.Minute)
		handed := 0
		f.failStore()
		first := f.start()
		handed += spend(t, first, total, maxTokens)
		// Closed before the store is reachable, it records nothing.
		f.kill(first)
		first.Close()
		f.kill(f.home)
		f.home.Close()
		f.setHome(f.start())
		next := f.start()
		f.restoreStore()
		f.home.LoadHeavyPrograms(nil)
		handed += spend(t, next, total, maxTokens)
		assert.Assert(t, handed <= total+maxTokens, "%d of %d", handed, total)
		f.close()
	}
}

// Only one instance finds the store slow and gets provisional allocations, so the
// others trust the row. Tokens of dead holders must not be granted in addition to
// those allocations.
func TestAdvancesBesideLostSlices(t *testing.T) {
	const maxTokens = 100
	for turns := 1; turns <= 9; turns++ {
		total := turns * maxTokens
		f := newFleet(0, time.Minute)
		dead, slow, other := f.start(), f.start(), f.start()
		handed := 0
		assert.NilError(t, dead.Reserve(t.Context(), "p", total, maxTokens, 0))
		dead.Settle("p", maxTokens, maxTokens)
		handed += maxTokens
		f.kill(dead)
		f.failStore()
		handed += spend(t, slow, total, maxTokens)
		// Closed before the store is reachable, it records nothing.
		f.kill(slow)
		slow.Close()
		f.restoreStore()
		handed += spend(t, other, total, maxTokens)
		assert.Assert(t, handed <= total+maxTokens, "%d of %d", handed, total)
		f.close()
	}
}

// A program may only get the tokens of dead holders after its home was asked. While
// the home is unreachable, the turn is refused with a retryable error.
func TestLostSlicesWaitForTheHome(t *testing.T) {
	const total, maxTokens = 400, 100
	f := newFleet(0, time.Minute)
	defer f.close()
	home := f.home
	f.setHome(nil)
	for range 2 {
		l := f.start()
		assert.NilError(t, l.Reserve(t.Context(), "p", total, maxTokens, 0))
		f.kill(l)
	}
	last := f.start()
	err := last.Reserve(t.Context(), "p", total, maxTokens, 0)
	assert.Assert(t, errors.Is(err, budget.ErrUnavailable), "%v", err)
	f.setHome(home)
	assert.NilError(t, last.Reserve(t.Context(), "p", total, maxTokens, 0))
}

// Random turns, outages and kills must never exceed the budget by more than one
// turn, for small and large budgets.
func TestBudgetHoldsOverOutages(t *testing.T) {
	const maxTokens = 100
	rapid.Check(t, func(t *rapid.T) {
		total := maxTokens * rapid.IntRange(1, 9).Draw(t, "turns")
		f := newFleet(budget.RecordDelay, time.Minute)
		defer f.close()
		ledgers := []*budget.Ledger{f.start(), f.start()}
		handed := 0
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			i := rapid.IntRange(0, len(ledgers)-1).Draw(t, "at")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				f.failStore()
			case 1:
				f.restoreStore()
			case 2:
				f.kill(ledgers[i])
				ledgers[i] = f.start()
			default:
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
				if ledgers[i].Reserve(ctx, "p", total, maxTokens, 0) == nil {
					ledgers[i].Settle("p", maxTokens, maxTokens)
					handed += maxTokens
				}
				cancel()
			}
		}
		if handed > total+maxTokens {
			t.Fatalf("%d tokens handed out of %d", handed, total)
		}
	})
}

// spend runs turns of maximum size until the ledger refuses one, and returns the
// tokens that they handed out.
func spend(t *testing.T, l *budget.Ledger, total, maxTokens int) int {
	t.Helper()
	handed := 0
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		err := l.Reserve(ctx, "p", total, maxTokens, 0)
		cancel()
		if err != nil {
			return handed
		}
		l.Settle("p", maxTokens, maxTokens)
		handed += maxTokens
	}
}

// waitForProvisional waits until a provisional allocation is recorded in the store.
func waitForProvisional(t *testing.T, store rows.Store) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		parts, err := store.Parts(t.Context(), budget.Table)
		if err != nil {
			return poll.Error(err)
		}
		for _, part := range parts.Names {
			page, err := store.Range(t.Context(), rows.Query{Table: budget.Table, Part: part})
			if err != nil {
				return poll.Error(err)
			}
			for _, r := range page.Rows {
				if bytes.Contains(r.Value, []byte(`"advances"`)) {
					return poll.Success()
				}
			}
		}
		return poll.Continue("no provisional allocation in the store")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

func heavyPrograms(t *testing.T, store rows.Store) []rows.Row {
	t.Helper()
	var found []rows.Row
	parts, err := store.Parts(t.Context(), budget.HeavyTable)
	assert.NilError(t, err)
	for _, part := range parts.Names {
		page, err := store.Range(t.Context(), rows.Query{Table: budget.HeavyTable, Part: part})
		assert.NilError(t, err)
		found = append(found, page.Rows...)
	}
	return found
}

// Instances with different rosters may ask two homes for the same program. Together
// these must not grant more than the budget and one turn.
func TestTwoHomesStayWithinTheBudget(t *testing.T) {
	const maxTokens = 100
	for turns := 1; turns <= 9; turns++ {
		total := turns * maxTokens
		f := newFleet(0, time.Minute)
		handed := 0
		// One allocation is reserved before the store fails.
		first := f.start()
		assert.NilError(t, first.Reserve(t.Context(), "p", total, maxTokens, 0))
		first.Settle("p", maxTokens, maxTokens)
		handed += maxTokens
		known := heavyPrograms(t, f.store)
		f.failStore()
		handed += spend(t, first, total, maxTokens)
		second := f.start()
		second.LoadHeavyPrograms(known)
		f.setHome(second)
		handed += spend(t, second, total, maxTokens)
		assert.Assert(t, handed <= total+maxTokens, "%d of %d", handed, total)
		f.close()
	}
}
