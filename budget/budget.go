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

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// ErrSpent says that the budget doesn't hold one more turn.
	ErrSpent = errors.ConstError("budget is spent")
	// ErrUnavailable says that it can't be told whether the budget holds the turn.
	ErrUnavailable = errors.ConstError("budget can't be read")

	// errNoHome says that the program's home can't tell of advances.
	errNoHome = errors.ConstError("the program's home can't tell of advances")

	// Table holds one row for each program.
	Table = "budgets"
	// SpenderTable names the programs that have taken much of their budget.
	SpenderTable = "spenders"

	// spenderMark is the value of a spender's row; the store takes no empty one.
	spenderMark = "1"
	// parts spreads programs over parts of the table, each of which takes some
	// hundred transactions a second.
	parts = 8
	// maxTries bounds the transactions for one turn; each fails only if another
	// instance changed the row in the meantime.
	maxTries = 6
	// storeWait is how long a transaction is awaited before the turn is helped
	// otherwise; it takes some 10 ms.
	storeWait = 150 * time.Millisecond
	// lastWait is how long the store is awaited where nothing else helps.
	lastWait = 500 * time.Millisecond
	// BookTime is the time after an outage, and after a process' start, within
	// which homes and holders have written advances to the store; they try each
	// few hundred milliseconds.
	BookTime = 1500 * time.Millisecond
	// avoidStore is how long the store is left aside after it did not answer.
	avoidStore = 300 * time.Millisecond
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
		// Advance asks the program's home for tokens while the store is away. It
		// returns 0 where the home can't give any.
		Advance(ctx context.Context, holder, program string, total, most int) (int, error)
		// Unbooked asks the program's home for advances, by holder, that the store
		// may not know of.
		Unbooked(ctx context.Context, program string) (map[string]int, error)
		// NoteSpender tells the program's home that much of the budget is taken.
		NoteSpender(ctx context.Context, program string)
	}

	// Config has a ledger's times.
	Config struct {
		// Forget is how long a program without turns is remembered.
		Forget time.Duration
		// BookTime is how long advances may be missing from the store.
		BookTime time.Duration
	}

	// Ledger is the instance's part of the budgets. It is safe for concurrent
	// use.
	Ledger struct {
		log      hclog.Logger
		store    rows.Store
		asker    Asker
		holder   string
		config   Config
		mu       sync.Mutex
		accounts map[string]*account
		sweepAt  int
		sequence int64
		// avoidUntil is when the store is asked again.
		avoidUntil time.Duration
		// awayAt is when the store was last found away.
		awayAt time.Duration
		home   *home
		group  *group.Group
	}

	// account is what this instance may hand out for a program.
	account struct {
		// turn serializes the transactions of the program.
		turn      sync.Mutex
		allowance int
		spent     int
		reserved  int
		usedAt    time.Duration
		// advanced is what the program's home advanced in all, booked what of that
		// is in the row.
		advanced int
		booked   int
		total    int
	}

	// extension is one attempt to take a further slice.
	extension struct {
		program string
		most    int
		// doubt says that advances may not be in the row yet; unbooked are those
		// that the program's home knows, homeErr says that it can't tell.
		doubt    bool
		unbooked map[string]int
		homeErr  error
		// asked is set once the other holders were asked; freed is what they gave
		// up, lost says that one of them wasn't reached.
		asked bool
		freed map[string]int
		lost  bool
	}

	// record is a program's row.
	record struct {
		Total int `json:"total"`
		// Slices are the tokens that each holder may hand out or has handed out.
		Slices map[string]int `json:"slices"`
		// Advances are tokens beside the slices that a home gave each holder.
		Advances map[string]int `json:"advances,omitempty"`
		// Spender says that the program is in the table of spenders.
		Spender bool `json:"spender,omitempty"`
		// Writer makes the value differ from every other.
		Writer string `json:"writer"`
	}
)

// NewLedger returns a ledger whose slices stand under the holder's name, which
// must be new with each process. Close must be called.
func NewLedger(log hclog.Logger, store rows.Store, asker Asker, holder string, config Config) *Ledger {
	l := &Ledger{
		log:      log,
		store:    store,
		asker:    asker,
		holder:   holder,
		config:   config,
		accounts: make(map[string]*account),
		sweepAt:  idleAccounts,
		home:     newHome(),
		group:    group.NewGroup(context.Background()),
		// The store may have been away just before the start.
		awayAt: common.Uptime(),
	}
	l.group.Go(l.bookAdvances)
	return l
}

// Close ends the bookings and waits for them.
func (l *Ledger) Close() { l.group.Close() }

// Holder returns the name that this process' slices stand under.
func (l *Ledger) Holder() string { return l.holder }

// Reserve sets the most tokens of a turn aside. The caller must Settle them.
// ErrSpent and ErrUnavailable mean that nothing was set aside.
func (l *Ledger) Reserve(ctx context.Context, program string, total, most int, now time.Duration) error {
	a := l.account(program, total, now)
	if l.take(a, most) {
		return nil
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	if l.take(a, most) {
		return nil
	}
	if err := l.obtain(ctx, a, program, total, most); err != nil {
		return err
	}
	if !l.take(a, most) {
		// A Release in between took back what was just granted.
		return ErrUnavailable
	}
	return nil
}

// obtain gets tokens from the store, from the program's home while the store is
// away, or from a store that is only slow.
func (l *Ledger) obtain(ctx context.Context, a *account, program string, total, most int) error {
	if !l.avoids() {
		err := l.extendFor(ctx, storeWait, a, program, total, most)
		if !errors.Is(err, ErrUnavailable) || errors.Is(err, errNoHome) {
			return err
		}
		l.avoid()
	}
	tokens, err := l.asker.Advance(ctx, l.holder, program, total, most)
	if err == nil && tokens > 0 {
		l.noteAdvance(a, tokens)
		l.log.Info("A program got an advance on its budget.", "program", program, "tokens", tokens)
	}
	if l.left(a) >= most {
		return nil
	}
	return l.extendFor(ctx, lastWait, a, program, total, most)
}

func (l *Ledger) extendFor(ctx context.Context, wait time.Duration, a *account, program string, total, most int) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return l.extend(ctx, a, program, total, most)
}

// avoids tells whether the store is left aside for now.
func (l *Ledger) avoids() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return common.Uptime() < l.avoidUntil
}

// doubts tells whether there may be advances that the store doesn't know of.
func (l *Ledger) doubts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return common.Uptime() < l.awayAt+l.config.BookTime
}

func (l *Ledger) avoid() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awayAt = common.Uptime()
	l.avoidUntil = l.awayAt + avoidStore
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

func (l *Ledger) account(program string, total int, now time.Duration) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[program]
	if !ok {
		a = &account{total: total}
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
		if a.reserved == 0 && a.advanced == a.booked && now-a.usedAt > l.config.Forget {
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

// StoreLost notes that the store is away, so that advances may be given.
func (l *Ledger) StoreLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awayAt = common.Uptime()
}

// extend takes a further slice of the program's budget from the store.
func (l *Ledger) extend(ctx context.Context, a *account, program string, total, most int) error {
	e := &extension{
		program: program,
		most:    most,
		doubt:   l.doubts(),
		freed:   make(map[string]int),
	}
	current := rows.Row{ID: rowID(program)}
	for range maxTries {
		r, err := decode(current, total)
		if err != nil {
			l.log.Error("A program's budget can't be read.", "program", program, "error", err)
			return errors.WithType(err, ErrUnavailable)
		}
		l.settleDoubt(ctx, e, &r, a)
		need := most - l.left(a)
		if e.free(r) < need && !e.asked && current.Version != 0 {
			e.asked = true
			e.lost = l.reclaim(ctx, program, r, e.freed)
			continue
		}
		if e.free(r) < need {
			return l.refuse(e, r, need, current.Version)
		}
		known := r.Spender
		grant := max(need, min(e.free(r)/2, sliceTurns*most))
		r.Slices[l.holder] += grant
		conflict, err := l.write(ctx, current, &r)
		if err != nil {
			return err
		}
		if conflict == nil {
			if r.Spender && !known {
				l.asker.NoteSpender(ctx, program)
			}
			l.grant(a, grant, r.Advances[l.holder])
			return nil
		}
		current = conflict.Row(current.ID)
	}
	return errors.Annotate(ErrUnavailable, "row changes too often")
}

// settleDoubt completes the record by what it may not hold yet: tokens that
// other holders gave up, and advances from a time without the store.
func (l *Ledger) settleDoubt(ctx context.Context, e *extension, r *record, a *account) {
	for holder, n := range e.freed {
		r.Slices[holder] -= n
	}
	l.mu.Lock()
	r.advance(l.holder, a.advanced)
	l.mu.Unlock()
	if !e.doubt {
		return
	}
	if e.unbooked == nil {
		e.unbooked, e.homeErr = l.asker.Unbooked(ctx, e.program)
	}
	for holder, n := range e.unbooked {
		r.advance(holder, n)
	}
}

func (l *Ledger) refuse(e *extension, r record, need int, version int64) error {
	if e.doubt && e.homeErr != nil {
		return errors.WithType(errors.WithType(e.homeErr, errNoHome), ErrUnavailable)
	}
	l.log.Info("A turn was refused, the budget is spent.", "program", e.program, "total", r.Total,
		"granted", r.sum(), "needed", need, "rowVersion", version, "holderLost", e.lost)
	return ErrSpent
}

// write puts the record in place of the row. It returns the conflict if the row
// has changed.
func (l *Ledger) write(ctx context.Context, current rows.Row, r *record) (*rows.ConflictError, error) {
	r.Writer = l.nextWriter()
	txn := rows.Txn{Expect: []rows.Expectation{{ID: current.ID, Version: current.Version}}}
	if !r.Spender && r.sum() > spenderShare*r.Total/100 {
		r.Spender = true
		txn.Writes = append(txn.Writes, rows.Write{
			ID:    rows.ID{Table: SpenderTable, Part: current.Part, Key: current.Key},
			Value: []byte(spenderMark),
		})
	}
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	txn.Writes = append(txn.Writes, rows.Write{ID: current.ID, Value: value})
	_, err = rows.Settle(ctx, l.store, txn)
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

// grant notes a slice, and that the advances up to the sum are in the row.
func (l *Ledger) grant(a *account, tokens, booked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.allowance += tokens
	a.booked = max(a.booked, booked)
}

func (l *Ledger) noteAdvance(a *account, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.allowance += tokens
	a.advanced += tokens
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
	for _, n := range r.Advances {
		sum += n
	}
	return sum
}

// advance notes all that a holder was advanced so far. Holder and home may both
// note it, in any order.
func (r *record) advance(holder string, sum int) {
	if sum <= r.Advances[holder] {
		return
	}
	if r.Advances == nil {
		r.Advances = make(map[string]int)
	}
	r.Advances[holder] = sum
}

// free is what may still be granted of the record.
func (e *extension) free(r record) int {
	free := r.Total - r.sum()
	switch {
	case e.doubt && e.homeErr != nil:
		// An advance that nobody can tell of must still fit.
		free -= maxAdvance(r.Total, e.most)
	case e.lost:
		// A holder that has ended most likely spent less than its slice. One turn
		// beyond the budget is allowed for such doubt.
		free += e.most
	}
	return free
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
	return rows.ID{Table: Table, Part: partName(xxhash.Sum64String(program) % parts), Key: program}
}

// Parts returns the parts of the tables of budgets.
func Parts() []string {
	names := make([]string, 0, parts)
	for i := range uint64(parts) {
		names = append(names, partName(i))
	}
	return names
}

func partName(i uint64) string { return fmt.Sprintf("p%d", i) }
