package budget

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// heavyPercent is the percentage of a budget beyond which the program's home is
	// asked to end provisional allocations, which makes the program heavy.
	heavyPercent = 50
	// provisionalDivisor limits what a home may grant provisionally to a quarter of
	// the budget and half a turn. Instances with different rosters may use two
	// homes, which together then grant no more than what a program that isn't heavy
	// has left of the budget and one turn.
	provisionalDivisor = 4
	// provisionalTurns is how many turns of maximum size one provisional allocation
	// covers.
	provisionalTurns = 2
	// recordTimeout bounds one such attempt.
	recordTimeout = time.Second
	// moveDelays is how many record delays after a program was assigned to this instance
	// others may still make it heavy without telling this one: its former home vouches
	// for one, and the transaction that follows may take another.
	moveDelays = 2
	// endAtWait is how long a process may take to end provisional allocations before its
	// witnesses are asked too.
	endAtWait = 10 * time.Millisecond
	// provisionalTTL is how long recorded provisional allocations are kept in
	// memory.
	provisionalTTL = 3 * time.Minute
)

type (
	// home is this instance's state as the home of programs, for the time while
	// the store is down.
	home struct {
		mu sync.Mutex
		// ready is set once the table of heavy programs was read completely.
		ready         bool
		heavyPrograms map[string]bool
		provisionals  map[string]*provisional
		// recordedAt is when the last of them was recorded, at first when this started.
		recordedAt time.Duration
	}

	// provisional is what a program was granted while the store was down.
	provisional struct {
		total int
		sum   int
		at    time.Duration
		// holders are the sums by holder.
		holders map[string]int
		// recorded is set if the program's row has them all.
		recorded bool
	}
)

func newHome() *home {
	return &home{heavyPrograms: make(map[string]bool), provisionals: make(map[string]*provisional)}
}

// Ready reports whether the table of heavy programs was read completely, so that this
// instance can be the home of programs.
func (l *Ledger) Ready() bool {
	l.home.mu.Lock()
	defer l.home.mu.Unlock()
	return l.home.ready
}

// LoadHeavyPrograms applies a complete read of the table of heavy programs.
func (l *Ledger) LoadHeavyPrograms(found []rows.Row) {
	l.UpdateHeavyPrograms(found)
	l.home.mu.Lock()
	defer l.home.mu.Unlock()
	l.home.ready = true
}

// UpdateHeavyPrograms applies changes of the table of heavy programs.
func (l *Ledger) UpdateHeavyPrograms(found []rows.Row) {
	l.home.mu.Lock()
	defer l.home.mu.Unlock()
	for _, r := range found {
		if r.Deleted {
			delete(l.home.heavyPrograms, r.Key)
		} else {
			l.home.heavyPrograms[r.Key] = true
		}
	}
}

// maxProvisional returns the maximum that a home grants a program provisionally.
func maxProvisional(total, maxTokens int) int { return (total + 2*maxTokens) / provisionalDivisor }

// GrantProvisional grants the holder a provisional allocation for a program whose home is
// this instance. It grants none unless the store is down for all instances and the
// program is certainly light: this instance holds no allocation of it and doesn't know it
// as heavy, and has read of all programs that became heavy before they were assigned to
// it, or by what earlier homes recorded. Nor does it while an earlier home may have grants that aren't recorded, if a home of
// the program was lost, so that the maximum is lost once at most, or once it stops, since it
// may not record it any more, or without the permission of its witnesses.
func (l *Ledger) GrantProvisional(ctx context.Context, holder, program string, total, maxTokens int, now time.Duration) int {
	if l.draining.Load() || l.allocated(program) || !l.config.StoreDown() {
		return 0
	}
	since, ok := l.peers.HomeSince(program)
	readAt := l.config.HeavyReadAt()
	if !ok || readAt < since+moveDelays*l.config.RecordDelay {
		l.log.Debug("no provisional allocation: the program may have become heavy at its home before",
			"program", program, "home", ok, "homeForMs", (l.config.Now() - since).Milliseconds(), "heavyProgramsAgeMs", (l.config.Now() - readAt).Milliseconds())
		return 0
	}
	earlier, recordedAt := l.peers.EarlierHomes(ctx, program)
	if len(earlier) > 0 || readAt < recordedAt {
		l.log.Debug("no provisional allocation: an earlier home may have grants that aren't recorded, or that have made the program heavy",
			"program", program, "earlier", earlier, "recordedForMs", (l.config.Now() - recordedAt).Milliseconds(),
			"heavyProgramsAgeMs", (l.config.Now() - readAt).Milliseconds())
		return 0
	}
	if lost := l.peers.Losses(program); len(lost) > 0 {
		l.log.Debug("no provisional allocation: a home of the program was lost", "program", program, "lost", lost)
		return 0
	}
	engagedBy := readAt - moveDelays*l.config.RecordDelay
	l.askPermission(ctx, program, engagedBy)
	permitted := false
	tokens := l.permission.use(program, engagedBy, func() int {
		permitted = true
		return l.home.grant(holder, program, total, maxTokens, now)
	})
	l.count("budget.permitted", "budget.notPermitted", permitted)
	if !permitted {
		l.log.Debug("no provisional allocation: too few witnesses permit it", "program", program)
	}
	if tokens > 0 && l.allocated(program) {
		// The first allocation has arrived meanwhile, and may have been recorded with
		// what was granted before.
		l.home.takeBack(holder, program, tokens)
		return 0
	}
	return tokens
}

// grant adds a provisional allocation and returns its tokens.
func (h *home) grant(holder, program string, total, maxTokens int, now time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ready || h.heavyPrograms[program] {
		return 0
	}
	a, ok := h.provisionals[program]
	if !ok {
		a = &provisional{total: total, at: now, holders: make(map[string]int)}
		h.provisionals[program] = a
	}
	tokens := min(provisionalTurns*maxTokens, maxProvisional(a.total, maxTokens)-a.sum)
	if tokens <= 0 {
		return 0
	}
	a.sum += tokens
	a.holders[holder] += tokens
	a.recorded = false
	return tokens
}

// takeBack removes tokens of a provisional allocation that nobody got.
func (h *home) takeBack(holder, program string, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.provisionals[program]; ok {
		a.sum -= tokens
		a.holders[holder] -= tokens
	}
}

// granted returns what the program was granted by this instance, by holder.
func (h *home) granted(program string) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.provisionals[program]; ok {
		return maps.Clone(a.holders)
	}
	return nil
}

// EndProvisionals marks the program as heavy, so that it gets no further provisional
// allocations, and returns those so far, and the homes that may have granted others. It
// fails if this instance isn't the program's home, or just after an outage: other homes
// and holders record what they granted and received soon after it. It also fails if an
// earlier home that is listed doesn't answer and may have grants that the row lacks.
func (l *Ledger) EndProvisionals(ctx context.Context, program string) (Ended, error) {
	if !l.peers.WasHome(program, l.config.RecordDelay) {
		return Ended{}, errors.Annotate(ErrUnavailable, "another instance is the program's home")
	}
	if err := l.storeWasDown(); err != nil {
		return Ended{}, err
	}
	if !l.Ready() {
		return Ended{}, errors.Annotate(ErrUnavailable, "the table of heavy programs isn't read yet")
	}
	earlier, _ := l.peers.EarlierHomes(ctx, program)
	return l.endAtAll(ctx, append(earlier, l.holder), program)
}

// storeWasDown returns an error if the store may have been down just now.
func (l *Ledger) storeWasDown() error {
	if reached := l.config.StoreReached(); reached < l.config.RecordDelay {
		return errors.Annotatef(ErrUnavailable, "the store may have been down %s ago", reached)
	}
	return nil
}

// endWithoutHome ends the program's provisional allocations at all processes that may be or
// have been its home, while the home doesn't answer.
func (l *Ledger) endWithoutHome(ctx context.Context, program string) (Ended, error) {
	if err := l.storeWasDown(); err != nil {
		return Ended{}, err
	}
	return l.endAtAll(ctx, l.peers.PossibleHomes(program), program)
}

// endAtAll makes the processes refuse the program provisional allocations, and returns those
// so far.
func (l *Ledger) endAtAll(ctx context.Context, processes []string, program string) (Ended, error) {
	var mu sync.Mutex
	ended := Ended{Holders: make(map[string]int), Losses: l.peers.Losses(program)}
	asked, ctx := errgroup.WithContext(ctx)
	for _, process := range processes {
		asked.Go(func() error {
			holders, err := l.endAt(ctx, process, program)
			mu.Lock()
			defer mu.Unlock()
			for holder, tokens := range holders {
				ended.Holders[holder] += tokens
			}
			return err
		})
	}
	if err := asked.Wait(); err != nil {
		return Ended{}, err
	}
	return ended, nil
}

// endAt makes the process refuse the program provisional allocations, and returns those so
// far. If it doesn't answer at once, its witnesses may know that there are none.
func (l *Ledger) endAt(ctx context.Context, process, program string) (map[string]int, error) {
	if process == l.holder {
		return l.EndAt(program), nil
	}
	type reply struct {
		holders map[string]int
		err     error
	}
	replies := make(chan reply, 1)
	if !l.group.Go(func(ctx context.Context) {
		holders, err := l.peers.EndAt(ctx, process, program)
		replies <- reply{holders, err}
	}) {
		return nil, context.Canceled
	}
	slow := time.NewTimer(endAtWait)
	defer slow.Stop()
	var failed error
	select {
	case r := <-replies:
		if r.err == nil {
			return r.holders, nil
		}
		failed = r.err
	case <-slow.C:
	}
	if l.grantedNothing(ctx, process, program) {
		return nil, nil
	}
	if failed == nil {
		r := <-replies
		if r.err == nil {
			return r.holders, nil
		}
		failed = r.err
	}
	return nil, errors.Annotatef(ErrUnavailable, "%s may have grants that aren't recorded (%v)", process, failed)
}

// grantedNothing reports whether the witnesses of the process know that it has granted
// nothing to the program that the store lacks, and won't.
func (l *Ledger) grantedNothing(ctx context.Context, process, program string) bool {
	s, err := l.peers.Standing(ctx, process)
	if err != nil {
		l.log.Debug("witnesses of a home are unknown", "home", process, "error", err)
		return false
	}
	unused, _ := l.revokeAt(ctx, s, program)
	return unused
}

// EndAt makes this instance refuse the program provisional allocations, and returns those so
// far.
func (l *Ledger) EndAt(program string) map[string]int {
	h := l.home
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heavyPrograms[program] = true
	if a, ok := h.provisionals[program]; ok {
		return maps.Clone(a.holders)
	}
	return nil
}

// markHeavy excludes the program from provisional allocations of this process.
func (h *home) markHeavy(program string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heavyPrograms[program] = true
}

// Recorded reports whether the store has all provisional allocations that this instance
// granted or received.
func (l *Ledger) Recorded() bool {
	return len(l.home.unrecorded(common.Uptime())) == 0 && len(l.unrecordedAccounts()) == 0
}

// RecordedFor returns for how long the store has had all that this instance granted as the
// home; ok is false if it lacks something of programs that match.
func (l *Ledger) RecordedFor(matches func(program string) bool) (age time.Duration, ok bool) {
	for program := range l.home.unrecorded(common.Uptime()) {
		if matches(program) {
			return 0, false
		}
	}
	l.home.mu.Lock()
	defer l.home.mu.Unlock()
	return l.config.Now() - l.home.recordedAt, true
}

// recordProvisionals writes provisional allocations to the programs' rows once the
// store is reachable.
func (l *Ledger) recordProvisionals(ctx context.Context) {
	for group.Sleep(ctx, l.config.RecordInterval) {
		l.recordAll(ctx)
		l.engageWitnesses(ctx)
	}
}

// recordAll writes the provisional allocations that this instance granted as home,
// and those that it received. It stops at the first that can't be written.
func (l *Ledger) recordAll(ctx context.Context) {
	for program, a := range l.home.unrecorded(common.Uptime()) {
		if !l.recordProvisional(ctx, program, a) {
			break
		}
		l.home.markRecorded(program, a.sum, l.config.Now())
	}
	for program, a := range l.unrecordedAccounts() {
		if !l.recordProvisional(ctx, program, a) {
			break
		}
		l.markRecorded(program, a.sum)
	}
}

func (l *Ledger) recordProvisional(ctx context.Context, program string, a provisional) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := l.update(ctx, program, a.total, &rows.Row{}, func(r *record, _ int64) error {
		l.addGranted(program, r)
		for holder, sum := range a.holders {
			r.addProvisional(holder, sum)
		}
		return nil
	})
	if err != nil {
		l.log.Debug("cannot record provisional allocation yet", "program", program, "error", err)
	}
	return err == nil
}

// unrecordedAccounts returns the provisional allocations that this instance
// received and that are not recorded yet.
func (l *Ledger) unrecordedAccounts() map[string]provisional {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[string]provisional)
	for program, a := range l.accounts {
		if a.provisional > a.recorded {
			found[program] = provisional{total: a.total, sum: a.provisional, holders: map[string]int{l.holder: a.provisional}}
		}
	}
	return found
}

func (l *Ledger) markRecorded(program string, sum int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[program]; ok {
		a.recorded = max(a.recorded, sum)
	}
}

// unrecorded returns copies of the provisional allocations that are not recorded
// yet, and drops old ones.
func (h *home) unrecorded(now time.Duration) map[string]provisional {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := make(map[string]provisional)
	for program, a := range h.provisionals {
		switch {
		case !a.recorded:
			c := *a
			c.holders = maps.Clone(a.holders)
			found[program] = c
		case now-a.at > provisionalTTL:
			delete(h.provisionals, program)
		}
	}
	return found
}

// markRecorded records that the row has the provisional allocations up to the sum.
func (h *home) markRecorded(program string, sum int, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordedAt = now
	if a, ok := h.provisionals[program]; ok {
		a.recorded = a.sum == sum
	}
}
