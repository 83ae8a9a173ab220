package share

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
)

type (
	// Lenders are the other instances.
	Lenders interface {
		// Holders returns how many other instances hold a share of the quota.
		Holders(q Quota) int
		// Lend asks one of them, by its rank among them; ok is false without a reply.
		Lend(ctx context.Context, holder int, q Quota, a Ask) (loan Loan, ok bool)
	}

	// Limiter admits requests by the buckets and borrows tokens when they run low.
	// It is safe for concurrent use.
	Limiter struct {
		buckets *Buckets
		lenders Lenders
	}
)

// NewLimiter returns a limiter that uses the buckets.
func NewLimiter(buckets *Buckets, lenders Lenders) *Limiter {
	return &Limiter{buckets: buckets, lenders: lenders}
}

// Admit reports whether the quota admits one more request. It waits up to the
// timeout for a token that a holder promises, and returns at once if none does. A
// request that opens a program leaves part of the share to running programs, whose
// earlier work is lost if they are refused.
func (l *Limiter) Admit(ctx context.Context, q Quota, opens bool, timeout time.Duration) bool {
	now := common.Uptime()
	if l.buckets.Take(q, opens, now) {
		return true
	}
	if l.buckets.Exhausted(q, opens, now) {
		return false
	}
	loan := l.borrow(ctx, q, Ask{Want: l.buckets.Want(q, now), MaxWait: timeout, Opens: opens})
	now = common.Uptime()
	l.buckets.Throttle(q, now, loan.Throttled)
	if !l.buckets.Borrowed(q, loan.Tokens, now) {
		l.buckets.SetExhausted(q, opens, now, now+Backoff(loan, timeout))
		return false
	}
	return group.Sleep(ctx, loan.Wait)
}

// borrow asks the holders, of which this instance may be one, in random order.
func (l *Limiter) borrow(ctx context.Context, q Quota, a Ask) Loan {
	others := l.lenders.Holders(q)
	holders := others
	if l.buckets.Holds(q) {
		holders++
	}
	order := rand.Perm(holders)
	return Borrow(holders, a, func(i int, a Ask) (Loan, bool) {
		if order[i] == others {
			return l.buckets.Lend(q, a, common.Uptime()), true
		}
		return l.lenders.Lend(ctx, order[i], q, a)
	})
}

// AdmitLocal is Admit without borrowing from other instances.
func (l *Limiter) AdmitLocal(q Quota) bool { return l.buckets.Take(q, false, common.Uptime()) }

// Level returns the state of the instance's share of the quota.
func (l *Limiter) Level(q Quota) Level { return l.buckets.Level(q, common.Uptime()) }

// Peek returns the level of the quota's share, and whether Admit would find a token,
// and takes none.
func (l *Limiter) Peek(q Quota, opens bool) (Level, Prospect) {
	return l.buckets.Peek(q, opens, common.Uptime())
}

// Return puts back the token of a request that didn't run.
func (l *Limiter) Return(q Quota) { l.buckets.Return(q, common.Uptime()) }
