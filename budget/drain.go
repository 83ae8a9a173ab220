package budget

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

// returnWorkers is how many programs' tokens are returned at a time; each takes a
// transaction.
const returnWorkers = 2

// unused is an account with tokens that no turn in flight needs.
type unused struct {
	program string
	account *account
	usedAt  time.Duration
}

// Drain ends the ledger's work for others before a planned stop: it refuses new
// reservations and provisional grants, records what the store lacks, and returns
// unused tokens as turns end, until no turn is left or the context ends.
func (l *Ledger) Drain(ctx context.Context) {
	l.draining.Store(true)
	for {
		l.recordAll(ctx)
		l.ReturnUnused(ctx)
		if l.drained() || !group.Sleep(ctx, drainInterval) {
			return
		}
	}
}

// Draining reports whether the ledger makes no more reservations for others.
func (l *Ledger) Draining() bool { return l.draining.Load() }

// drained reports whether no reservation is open, and nothing is left to record or to
// return.
func (l *Ledger) drained() bool {
	if !l.Recorded() || len(l.unused()) > 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if a.reserved > 0 || a.returning > 0 {
			return false
		}
	}
	return true
}

// ReturnUnused returns the tokens that no turn in flight needs to the programs'
// budgets, those of the programs that were used last first.
func (l *Ledger) ReturnUnused(ctx context.Context) {
	found := make(chan unused)
	workers := group.NewGroup(ctx)
	for range returnWorkers {
		workers.Go(func(ctx context.Context) {
			for u := range found {
				l.returnUnused(ctx, u)
			}
		})
	}
	for _, u := range l.unused() {
		if ctx.Err() != nil {
			break
		}
		found <- u
	}
	close(found)
	workers.Wait()
	workers.Close()
}

// unused returns the accounts with unused tokens, but for those that the sweep may
// drop.
func (l *Ledger) unused() []unused {
	l.mu.Lock()
	defer l.mu.Unlock()
	var latest time.Duration
	var found []unused
	for program, a := range l.accounts {
		latest = max(latest, a.usedAt)
		if a.free() > 0 {
			found = append(found, unused{program: program, account: a, usedAt: a.usedAt})
		}
	}
	found = slices.DeleteFunc(found, func(u unused) bool { return latest-u.usedAt > l.config.IdleTTL })
	slices.SortFunc(found, func(a, b unused) int { return cmp.Compare(b.usedAt, a.usedAt) })
	return found
}

func (l *Ledger) returnUnused(ctx context.Context, u unused) {
	select {
	case u.account.refillLock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-u.account.refillLock }()
	tokens, provisional := l.beginReturn(u.account)
	if tokens == 0 {
		return
	}
	_, err := l.update(ctx, u.program, u.account.total, &u.account.row, func(r *record, _ int64) error {
		l.addGranted(u.program, r)
		r.addProvisional(l.holder, provisional)
		r.returnTokens(l.holder, tokens)
		r.setSequence(l.holder, l.nextSequence())
		return nil
	})
	if err != nil {
		l.log.Info("cannot return unused budget", "program", u.program, "tokens", tokens, "error", err)
	}
	l.endReturn(u.account, tokens, err)
}

// beginReturn takes the account's unused tokens, and returns their number and the sum
// of its provisional allocations.
func (l *Ledger) beginReturn(a *account) (tokens, provisional int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens = max(0, a.free())
	a.allowance -= tokens
	a.returning = tokens
	return tokens, a.provisional
}

// endReturn puts the tokens back if they have certainly not been returned.
func (l *Ledger) endReturn(a *account, tokens int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.returning = 0
	if err != nil && !errors.Is(err, rows.ErrUnknown) {
		a.allowance += tokens
	}
}
