package share

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// borrowWait bounds one round of borrowing; a call takes a few milliseconds.
	borrowWait = 40 * time.Millisecond
	// holdOff is the time after a round without any token until the next.
	holdOff = 60 * time.Millisecond
)

type (
	// Lenders are the other instances.
	Lenders interface {
		// Lend asks the holders of the quota for tokens. It returns the sum.
		Lend(ctx context.Context, q Quota, want float64) float64
	}

	// Limiter admits requests by the buckets and borrows when they run low. It
	// is safe for concurrent use.
	Limiter struct {
		buckets *Buckets
		lenders Lenders
		group   *group.Group
		mu      sync.Mutex
		rounds  map[string]*round
	}

	// round is one borrowing under way, which all requests of the quota share.
	round struct{ done chan struct{} }
)

// NewLimiter returns a limiter over the buckets; Close must be called.
func NewLimiter(buckets *Buckets, lenders Lenders) *Limiter {
	return &Limiter{
		buckets: buckets,
		lenders: lenders,
		group:   group.NewGroup(context.Background()),
		rounds:  make(map[string]*round),
	}
}

// Close ends borrowing and waits for it.
func (l *Limiter) Close() { l.group.Close() }

// Admit reports whether the quota admits one more request. It may wait for one
// round of borrowing.
func (l *Limiter) Admit(ctx context.Context, q Quota) bool {
	now := common.Uptime()
	if l.buckets.Take(q, now) {
		if want := l.buckets.Want(q, now, false); want > 0 {
			l.borrow(q, want)
		}
		return true
	}
	want := l.buckets.Want(q, now, true)
	if want == 0 {
		return false
	}
	select {
	case <-l.borrow(q, want).done:
	case <-ctx.Done():
		return false
	}
	return l.buckets.Take(q, common.Uptime())
}

// AdmitOwn is Admit without borrowing.
func (l *Limiter) AdmitOwn(q Quota) bool { return l.buckets.Take(q, common.Uptime()) }

// Return gives back the token of a request that didn't run.
func (l *Limiter) Return(q Quota) { l.buckets.Return(q, common.Uptime()) }

// borrow joins the quota's round or starts one.
func (l *Limiter) borrow(q Quota, want float64) *round {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.rounds[q.Name]; ok {
		return r
	}
	r := &round{done: make(chan struct{})}
	l.rounds[q.Name] = r
	l.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, borrowWait)
		defer cancel()
		tokens := l.lenders.Lend(ctx, q, want)
		l.buckets.Borrowed(q, tokens, common.Uptime(), holdOff)
		l.mu.Lock()
		delete(l.rounds, q.Name)
		l.mu.Unlock()
		close(r.done)
	})
	return r
}
