// Package budget limits the number of tokens that a program may generate, over
// all instances and restarts.
//
// A program's row in the store counts every allocation before it is handed out, and
// counts it as spent until its holder returns unused tokens. While the store is down,
// only the program's home grants anything, up to maxProvisional, and only to programs
// that are certainly light and have lost no home: it holds no allocation of them and has
// read the table of heavy programs since they were assigned to it and since earlier homes
// recorded what they granted. A row lists its program
// there with the write that leaves room for fewer than two such maxima, whatever the home
// says, and keeps room for one until provisional allocations have ended. A home
// ends them, and grants, only once each earlier home that is still listed knows of it and
// has recorded what it granted; so at any time one process at most has grants that no row
// has.
//
// A home grants a program something only with the permission of a quorum of its witnesses,
// which its row on the roster names. A witness gives it if it finds the store down too, and
// remembers it until the home has recorded all grants. Of a home that doesn't answer, others
// ask the witnesses to revoke the permission, which each does unless it has given it. Once so
// many have that every quorum lacks one, the home has granted the program nothing that its
// row lacks, and will grant it nothing before it has read that the program is heavy. If a
// process ends of which that can't be told, it leaves a loss on the roster, and each row of
// which that can't be told either counts the maximum as spent. So the sum stays within the
// budget and one turn, which covers what holders that are lost may not have spent.
package budget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// ErrSpent means that the budget has too few tokens left for another turn.
	ErrSpent = errors.ConstError("budget is spent")
	// ErrUnavailable means that the remaining budget can't be determined now.
	ErrUnavailable = errors.ConstError("budget can't be read")

	// errStoreSlow means that a transaction has not ended yet.
	errStoreSlow = errors.ConstError("the store is slow")
	// ErrInTransit means that a holder has no tokens to release, but may get some, or
	// return some to the row, by a transaction in flight.
	ErrInTransit = errors.ConstError("tokens are in transit")

	// errStaleRow makes update read the row again.
	errStaleRow = errors.ConstError("the row may have changed")

	// Table holds one row for each program.
	Table = "budgets"
	// HeavyTable lists the heavy programs: those that were granted much of their
	// budget and get no further provisional allocations.
	HeavyTable = "spenders"

	// heavyMark is the value of a heavy program's row; the store rejects empty
	// values.
	heavyMark = "1"
	// parts is the number of table parts that programs are hashed to. A part runs
	// its transactions one after the other, a few hundred a second, and fifty
	// times fewer while the store is slow.
	parts = 32
	// maxTries bounds the transactions for one allocation, each of which fails only
	// if another instance changed the row meanwhile, and the allocations for one
	// turn.
	maxTries = 6
	// StoreTimeout is how long a turn waits for a transaction before it requests a
	// provisional allocation; a transaction takes about 10 ms.
	StoreTimeout = 150 * time.Millisecond
	// slowStoreTimeout bounds a transaction at a store that is only slow; requests
	// have a few seconds.
	slowStoreTimeout = 1500 * time.Millisecond
	// storeDownTimeout is how long a turn waits for a store that is down if it gets
	// no provisional allocation.
	storeDownTimeout = 600 * time.Millisecond
	// RecordInterval is the time between attempts to record provisional allocations in
	// the store.
	RecordInterval = 400 * time.Millisecond
	// RecordDelay is the time after an outage within which homes and holders have
	// recorded provisional allocations in the store; they retry every few hundred
	// milliseconds.
	RecordDelay = 1500 * time.Millisecond
	// storeBackoff is how long the store is not asked first after it did not
	// answer.
	storeBackoff = 300 * time.Millisecond
	// allocationTurns is how many turns of maximum size an allocation covers. A
	// larger one saves transactions, a smaller one loses less with its holder.
	allocationTurns = 2
	// minSweepAccounts is the number of accounts from which idle ones are dropped.
	minSweepAccounts = 2048
)

type (
	// Peers calls other instances.
	Peers interface {
		// Release asks the holder of an allocation to return unused tokens. It
		// returns their number, or an error if the holder is unreachable.
		Release(ctx context.Context, holder, program string) (int, error)
		// RequestProvisional asks the program's home for a provisional allocation while the
		// store is down. It returns 0 if the home can't grant any.
		RequestProvisional(ctx context.Context, holder, program string, total, maxTokens int) (int, error)
		// EndProvisionals asks the program's home to grant no further provisional
		// allocations, and returns those so far, which may not be in the store yet.
		EndProvisionals(ctx context.Context, program string) (Ended, error)
		// HomeSince returns since when this instance has been the program's home, if it
		// is and all instances can know.
		HomeSince(program string) (since time.Duration, ok bool)
		// WasHome reports whether this instance is the program's home or was until the
		// given time ago.
		WasHome(program string, within time.Duration) bool
		// EarlierHomes returns the listed processes that may have been the program's home
		// before this one, but for those that know that this one is and have recorded what
		// they granted, and up to when these did.
		EarlierHomes(ctx context.Context, program string) (open []string, recordedAt time.Duration)
		// PossibleHomes returns the listed processes that may be or have been the program's
		// home.
		PossibleHomes(program string) []string
		// EndAt asks the process to grant the program nothing more, and returns what it
		// granted. An error means that it did not answer.
		EndAt(ctx context.Context, process, program string) (map[string]int, error)
		// Answers reports whether the process answers.
		Answers(ctx context.Context, process string) bool
		// Standing reads the current row of a listed process that seems to be gone, or returns
		// that of a lost one. It fails for a process that may only be slow.
		Standing(ctx context.Context, process string) (Standing, error)
		// ProcessOf returns the listed process of an instance; empty if there is none.
		ProcessOf(instance string) string
		// Engage, Permit and Revoke call an instance as a witness.
		Engage(ctx context.Context, instance string, q *EngageRequest) (*EngageReply, error)
		Permit(ctx context.Context, instance string, q *PermitRequest) (*PermitReply, error)
		Revoke(ctx context.Context, instance string, q *RevokeRequest) (*RevokeReply, error)
		// Losses returns the lost processes that may have been the program's home. One of
		// them at most has provisional allocations that the row lacks.
		Losses(program string) []string
	}

	// Config holds the settings of a ledger.
	Config struct {
		// StoreDown reports whether the store seems to be down for all instances. An
		// instance that is partitioned from its peers can't know.
		StoreDown func() bool
		// StoreReached returns how long the store has been reachable without
		// interruption, this process' predecessors and peers included; 0 if it isn't or
		// if that isn't known.
		StoreReached func() time.Duration
		// HeavyReadAt returns up to when the table of heavy programs and the list of
		// instances have been read.
		HeavyReadAt func() time.Duration
		// IdleTTL is the time after which an idle program's account may be dropped.
		IdleTTL time.Duration
		// RecordDelay is how long provisional allocations may be missing from the store
		// after an outage, and how long other instances may use a program's former home.
		RecordDelay time.Duration
		// StoreTimeout is how long a turn waits for a transaction before it requests a
		// provisional allocation.
		StoreTimeout time.Duration
		// RecordInterval is the time between attempts to record them.
		RecordInterval time.Duration
		// Now is the clock of HeavyReadAt; nil means common.Uptime.
		Now func() time.Duration
		// Metrics counts revocations; nil means the default registry.
		Metrics metrics.Registry
	}

	// Ledger manages this instance's allocations of all budgets. It is safe for
	// concurrent use.
	Ledger struct {
		log      hclog.Logger
		store    rows.Store
		peers    Peers
		holder   string
		config   Config
		mu       sync.Mutex
		accounts map[string]*account
		sweepAt  int
		sequence int64
		// backoffUntil is when the store is asked first again.
		backoffUntil time.Duration
		// draining is set once a planned stop has begun.
		draining   atomic.Bool
		home       *home
		permission permission
		witness    *witness
		desk       *desk
		group      *group.Group
	}

	// account is this instance's allocation of one program's budget.
	account struct {
		// refillLock holds an element while a transaction of the program is in
		// flight.
		refillLock chan struct{}
		// row is the program's row as last read, guarded by refillLock.
		row       rows.Row
		allowance int
		spent     int
		reserved  int
		// returning are tokens that are on their way back to the row.
		returning int
		usedAt    time.Duration
		// allocated is set once the program's row has an allocation of this holder.
		allocated bool
		// provisional is the sum of the provisional allocations from the program's
		// home, recorded the part of it that is in the row.
		provisional int
		recorded    int
		total       int
	}
)

// NewLedger returns a ledger whose allocations are recorded under the holder's
// name, which must be unique to the process. Close must be called.
func NewLedger(log hclog.Logger, store rows.Store, peers Peers, holder string, config Config) *Ledger {
	l := &Ledger{
		log:      log,
		store:    store,
		peers:    peers,
		holder:   holder,
		config:   config,
		accounts: make(map[string]*account),
		sweepAt:  minSweepAccounts,
		home:     newHome(),
		witness:  newWitness(),
		desk:     newDesk(),
		group:    group.NewGroup(context.Background()),
	}
	if l.config.Now == nil {
		l.config.Now = common.Uptime
	}
	l.home.recordedAt = l.config.Now()
	l.group.Go(l.recordProvisionals)
	return l
}

// Close stops the writes of provisional allocations and waits for transactions in
// flight.
func (l *Ledger) Close() { l.group.Close() }

// Holder returns the name under which this process' allocations are recorded.
func (l *Ledger) Holder() string { return l.holder }

// Reserve reserves the maximum tokens of a turn. The caller must Settle them.
// ErrSpent and ErrUnavailable mean that nothing was reserved.
func (l *Ledger) Reserve(ctx context.Context, program string, total, maxTokens int, now time.Duration) error {
	a := l.account(program, total, now)
	for range maxTries {
		if l.take(a, maxTokens) {
			return nil
		}
		if err := l.refill(ctx, a, program, total, maxTokens); err != nil {
			return err
		}
	}
	return errors.Annotate(ErrUnavailable, "other turns took what was granted")
}

// refill gets tokens for one more turn, which other turns of the program may take
// first. Only one refill of a program uses the store at a time.
func (l *Ledger) refill(ctx context.Context, a *account, program string, total, maxTokens int) error {
	if l.inBackoff() && l.requestProvisional(ctx, a, program, total, maxTokens) {
		return nil
	}
	waiting, cancel := context.WithTimeout(ctx, l.maxStoreWait())
	defer cancel()
	slow := time.NewTimer(l.config.StoreTimeout)
	defer slow.Stop()
	for locked := false; !locked; {
		select {
		case a.refillLock <- struct{}{}:
			locked = true
		case <-slow.C:
			l.backOff()
			if l.requestProvisional(ctx, a, program, total, maxTokens) {
				return nil
			}
		case <-waiting.Done():
			return errors.Annotate(ErrUnavailable, "another turn of the program waits for the store")
		}
	}
	if l.available(a) >= maxTokens {
		<-a.refillLock
		return nil
	}
	return l.obtain(ctx, a, program, total, maxTokens)
}

// obtain gets tokens from the store, or from the program's home while the store is
// down. The transaction outlives the request that started it, since its tokens
// serve the next turn; it holds the account's refillLock until it ends.
func (l *Ledger) obtain(ctx context.Context, a *account, program string, total, maxTokens int) error {
	extended := make(chan error, 1)
	started := l.group.Go(func(ctx context.Context) {
		defer func() { <-a.refillLock }()
		ctx, cancel := context.WithTimeout(ctx, slowStoreTimeout)
		defer cancel()
		extended <- l.extend(ctx, a, program, total, maxTokens)
	})
	if !started {
		<-a.refillLock
		return context.Canceled
	}
	start := common.Uptime()
	for {
		err := await(ctx, extended, l.config.StoreTimeout)
		if !errors.Is(err, errStoreSlow) || ctx.Err() != nil {
			return err
		}
		l.backOff()
		if l.requestProvisional(ctx, a, program, total, maxTokens) {
			return nil
		}
		if common.Uptime() > start+l.maxStoreWait() {
			return err
		}
	}
}

// maxStoreWait returns how long to wait for the store if there is no provisional
// allocation.
func (l *Ledger) maxStoreWait() time.Duration {
	if l.config.StoreDown() {
		return storeDownTimeout
	}
	return slowStoreTimeout
}

// await returns the outcome of a transaction, or errStoreSlow if it takes longer.
func await(ctx context.Context, extended <-chan error, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	slow := errors.WithType(errStoreSlow, ErrUnavailable)
	select {
	case err := <-extended:
		return err
	case <-timer.C:
		return slow
	case <-ctx.Done():
		return slow
	}
}

// requestProvisional asks the program's home for a provisional allocation and
// reports whether there are enough tokens for the turn now.
func (l *Ledger) requestProvisional(ctx context.Context, a *account, program string, total, maxTokens int) bool {
	tokens, err := l.peers.RequestProvisional(ctx, l.holder, program, total, maxTokens)
	if err == nil && tokens > 0 {
		l.addProvisional(a, tokens)
		l.log.Info("received provisional budget allocation", "program", program, "tokens", tokens)
	}
	return l.available(a) >= maxTokens
}

// inBackoff reports whether the program's home is asked before the store.
func (l *Ledger) inBackoff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return common.Uptime() < l.backoffUntil
}

func (l *Ledger) backOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backoffUntil = common.Uptime() + storeBackoff
}

// Settle ends a reservation and counts the tokens that the turn handed out.
func (l *Ledger) Settle(program string, maxTokens, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[program]
	if !ok {
		return
	}
	a.reserved -= maxTokens
	a.spent += tokens
}

// Release gives up the tokens that no turn in flight needs and returns their
// number. It fails with ErrInTransit if there are none while a transaction of the
// program is in flight.
func (l *Ledger) Release(program string) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[program]
	if !ok {
		return 0, nil
	}
	freed := max(0, a.free())
	if freed == 0 && len(a.refillLock) > 0 {
		return 0, ErrInTransit
	}
	a.allowance -= freed
	return freed, nil
}

// free returns the tokens that no turn in flight needs.
func (a *account) free() int { return a.allowance - a.spent - a.reserved }

func (l *Ledger) account(program string, total int, now time.Duration) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[program]
	if !ok {
		a = &account{total: total, refillLock: make(chan struct{}, 1)}
		l.accounts[program] = a
	}
	a.usedAt = now
	if len(l.accounts) >= l.sweepAt {
		l.sweep(now)
	}
	return a
}

func (l *Ledger) sweep(now time.Duration) {
	for program, a := range l.accounts {
		if a.reserved == 0 && a.returning == 0 && a.provisional == a.recorded && now-a.usedAt > l.config.IdleTTL {
			if a.allocated {
				l.home.markHeavy(program)
			}
			delete(l.accounts, program)
		}
	}
	l.sweepAt = max(minSweepAccounts, 2*len(l.accounts))
}

func (l *Ledger) take(a *account, maxTokens int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.free() < maxTokens {
		return false
	}
	a.reserved += maxTokens
	return true
}

func (l *Ledger) available(a *account) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.free()
}

// addAllocation adds an allocation, and marks the provisional ones up to the sum
// as recorded in the row.
func (l *Ledger) addAllocation(a *account, tokens, recorded int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.allowance += tokens
	a.allocated = a.allocated || tokens > 0
	a.recorded = max(a.recorded, recorded)
}

// allocated reports whether this instance holds a recorded allocation of the
// program.
func (l *Ledger) allocated(program string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[program]
	return ok && a.allocated
}

func (l *Ledger) addProvisional(a *account, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.allowance += tokens
	a.provisional += tokens
}

func (l *Ledger) nextSequence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.sequence
}
