// Package budget holds programs to the number of tokens that they may
// generate, over all instances and restarts.
//
// A row of the store says how many tokens each instance may hand out for a
// program. An instance takes a slice before a turn starts and serves later
// turns from what is left of it. A slice counts as spent until its holder
// gives the rest back, so the sum never exceeds the budget, whoever dies.
package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// ErrSpent says that the budget doesn't hold one more turn.
	ErrSpent = errors.ConstError("budget is spent")
	// ErrUnavailable says that it can't be told whether the budget holds the turn.
	ErrUnavailable = errors.ConstError("budget can't be read")

	// Table holds one row for each program.
	Table = "budgets"

	// parts spreads programs over parts of the table, each of which takes some
	// hundred transactions a second.
	parts = 16
	// maxTries bounds the transactions for one turn; each fails only if another
	// instance changed the row in the meantime.
	maxTries = 6
	// sliceTurns is how many turns at their most a slice holds. A larger one
	// saves transactions, a smaller one loses less with its holder.
	sliceTurns = 2
	// idleAccounts is how many programs are remembered before old ones go.
	idleAccounts = 2048
)

type (
	// Asker calls other instances.
	Asker interface {
		// Release asks the process that holds the slice. It returns the number of
		// tokens given up, or an error if the holder wasn't reached.
		Release(ctx context.Context, holder, program string) (int, error)
	}

	// Ledger is the instance's part of the budgets. It is safe for concurrent
	// use.
	Ledger struct {
		log    hclog.Logger
		store  rows.Store
		asker  Asker
		holder string
		// forget is how long a program without turns is remembered.
		forget   time.Duration
		mu       sync.Mutex
		accounts map[string]*account
		sweepAt  int
		sequence int64
	}

	// account is what this instance may hand out for a program.
	account struct {
		// turn serializes the transactions of the program.
		turn      sync.Mutex
		allowance int
		spent     int
		reserved  int
		usedAt    time.Duration
	}

	// record is a program's row.
	record struct {
		Total int `json:"total"`
		// Slices are the tokens that each holder may hand out or has handed out.
		Slices map[string]int `json:"slices"`
		// Writer makes the value differ from every other.
		Writer string `json:"writer"`
	}
)

// NewLedger returns a ledger whose slices stand under the holder's name, which
// must be new with each process.
func NewLedger(log hclog.Logger, store rows.Store, asker Asker, holder string, forget time.Duration) *Ledger {
	return &Ledger{
		log:      log,
		store:    store,
		asker:    asker,
		holder:   holder,
		forget:   forget,
		accounts: make(map[string]*account),
		sweepAt:  idleAccounts,
	}
}

// Holder returns the name that this process' slices stand under.
func (l *Ledger) Holder() string { return l.holder }

// Reserve sets the most tokens of a turn aside. The caller must Settle them.
// ErrSpent and ErrUnavailable mean that nothing was set aside.
func (l *Ledger) Reserve(ctx context.Context, program string, total, most int, now time.Duration) error {
	a := l.account(program, now)
	if l.take(a, most) {
		return nil
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	if l.take(a, most) {
		return nil
	}
	if err := l.extend(ctx, a, program, total, most); err != nil {
		return err
	}
	if !l.take(a, most) {
		// A Release in between took back what was just granted.
		return ErrUnavailable
	}
	return nil
}

// Settle ends a reservation; the turn handed out the tokens.
func (l *Ledger) Settle(program string, most, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[program]
	if !ok {
		return
	}
	a.reserved -= most
	a.spent += tokens
}

// Release gives up what no turn under way needs and returns the amount.
func (l *Ledger) Release(program string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[program]
	if !ok {
		return 0
	}
	freed := max(0, a.allowance-a.spent-a.reserved)
	a.allowance -= freed
	return freed
}

func (l *Ledger) account(program string, now time.Duration) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[program]
	if !ok {
		a = &account{}
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
		if a.reserved == 0 && now-a.usedAt > l.forget {
			delete(l.accounts, program)
		}
	}
	l.sweepAt = max(idleAccounts, 2*len(l.accounts))
}

func (l *Ledger) take(a *account, most int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.allowance-a.spent-a.reserved < most {
		return false
	}
	a.reserved += most
	return true
}

// extend takes a further slice of the program's budget from the store.
func (l *Ledger) extend(ctx context.Context, a *account, program string, total, most int) error {
	current := rows.Row{ID: rowID(program)}
	asked, lost := false, false
	freed := make(map[string]int)
	for range maxTries {
		r, err := decode(current, total)
		if err != nil {
			l.log.Error("A program's budget can't be read.", "program", program, "error", err)
			return errors.WithType(err, ErrUnavailable)
		}
		for holder, n := range freed {
			r.Slices[holder] -= n
		}
		free := r.Total - r.sum()
		if lost {
			// A holder that has ended most likely spent less than its slice. One
			// turn beyond the budget is allowed for such doubt.
			free += most
		}
		need := most - l.left(a)
		if free < need && !asked && current.Version != 0 {
			asked = true
			lost = l.reclaim(ctx, program, r, freed)
			continue
		}
		if free < need {
			l.log.Info("A turn was refused, the budget is spent.", "program", program, "total", r.Total,
				"granted", r.sum(), "needed", need, "rowVersion", current.Version)
			return ErrSpent
		}
		grant := max(need, min(free/2, sliceTurns*most))
		conflict, err := l.write(ctx, current, r, grant)
		if err != nil {
			return err
		}
		if conflict == nil {
			l.grant(a, grant)
			return nil
		}
		current = conflict.Row(current.ID)
	}
	return errors.Annotate(ErrUnavailable, "row changes too often")
}

// write grants a slice to this holder. It returns the conflict if the row has
// changed.
func (l *Ledger) write(ctx context.Context, current rows.Row, r record, grant int) (*rows.ConflictError, error) {
	r.Slices[l.holder] += grant
	r.Writer = l.nextWriter()
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	_, err = rows.Settle(ctx, l.store, rows.Txn{
		Expect: []rows.Expectation{{ID: current.ID, Version: current.Version}},
		Writes: []rows.Write{{ID: current.ID, Value: value}},
	})
	var conflict *rows.ConflictError
	switch {
	case err == nil:
		return nil, nil
	case errors.As(err, &conflict):
		return conflict, nil
	default:
		// If the write took effect after all, the slice counts as spent.
		return nil, errors.WithType(err, ErrUnavailable)
	}
}

// reclaim asks the other holders for what they don't need, and tells whether
// one of them wasn't reached.
func (l *Ledger) reclaim(ctx context.Context, program string, r record, freed map[string]int) (lost bool) {
	for holder, n := range r.Slices {
		if holder == l.holder || n == 0 {
			continue
		}
		got, err := l.asker.Release(ctx, holder, program)
		if err != nil {
			l.log.Info("A holder of a budget wasn't reached, its slice counts as spent.",
				"program", program, "holder", holder, "slice", n, "error", err)
			lost = true
			continue
		}
		freed[holder] += min(got, n)
	}
	return lost
}

func (l *Ledger) left(a *account) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.allowance - a.spent - a.reserved
}

func (l *Ledger) grant(a *account, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.allowance += tokens
}

func (l *Ledger) nextWriter() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.holder + "/" + strconv.FormatInt(l.sequence, 10)
}

func (r record) sum() int {
	sum := 0
	for _, n := range r.Slices {
		sum += n
	}
	return sum
}

// decode reads a program's row. A row that doesn't exist yet begins with the
// budget that the program states.
func decode(row rows.Row, total int) (record, error) {
	r := record{Total: total}
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return record{}, errors.Trace(err)
		}
	}
	if r.Slices == nil {
		r.Slices = make(map[string]int)
	}
	return r, nil
}

func rowID(program string) rows.ID {
	part := fmt.Sprintf("p%d", xxhash.Sum64String(program)%parts)
	return rows.ID{Table: Table, Part: part, Key: program}
}
