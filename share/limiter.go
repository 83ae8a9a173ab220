package share

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// borrowTimeout bounds one round of borrowing; a call takes a few milliseconds.
	borrowTimeout = 40 * time.Millisecond
	// minBorrowBackoff is the delay after a round that brought no tokens; it grows
	// with each such round.
	minBorrowBackoff = 30 * time.Millisecond
	// pollInterval is the time between checks of the bucket while other instances
	// have nothing to lend.
	pollInterval = 15 * time.Millisecond
)

type (
	// Lenders are the other holders of a quota.
	Lenders interface {
		// Lend asks them for tokens, by Collect. It returns the sum, and the longest
		// throttled duration among those that were asked.
		Lend(ctx context.Context, q Quota, want float64) (tokens float64, throttled time.Duration)
	}

	// Limiter admits requests by the buckets and borrows tokens when they run low.
	// It is safe for concurrent use.
	Limiter struct {
		buckets *Buckets
		lenders Lenders
		group   *group.Group
		mu      sync.Mutex
		states  map[string]*borrowState
	}

	// round is one round of borrowing in progress, which all waiting requests of
	// the quota share.
	round struct{ done chan struct{} }

	// borrowState is the state of one quota's borrowing.
	borrowState struct {
		round *round
		// waiting is the number of requests without a token.
		waiting int
	}
)

// NewLimiter returns a limiter that uses the buckets; Close must be called.
func NewLimiter(buckets *Buckets, lenders Lenders) *Limiter {
	return &Limiter{
		buckets: buckets,
		lenders: lenders,
		group:   group.NewGroup(context.Background()),
		states:  make(map[string]*borrowState),
	}
}

// Close cancels the rounds in progress and waits for their end.
func (l *Limiter) Close() { l.group.Close() }

// Admit reports whether the quota admits one more request. It waits up to the
// timeout for tokens of its own share or borrowed ones. A request that opens a
// program leaves part of the share to running programs, whose earlier work is
// lost if they are refused.
func (l *Limiter) Admit(ctx context.Context, q Quota, opens bool, timeout time.Duration) bool {
	until := common.Uptime() + timeout
	waited := false
	for {
		now := common.Uptime()
		if l.buckets.Take(q, opens, now) {
			l.borrow(q, 0, false)
			return true
		}
		if now >= until || ctx.Err() != nil {
			return false
		}
		if !opens && waited {
			l.buckets.Throttle(q, now, throttledDuration)
		}
		waited = true
		l.waitRound(ctx, q, opens, min(pollInterval, until-now))
	}
}

// waitRound waits for the end of a round of borrowing, or pauses if none can start
// now.
func (l *Limiter) waitRound(ctx context.Context, q Quota, opens bool, pause time.Duration) {
	r := l.borrow(q, 1, opens)
	if r == nil {
		group.Sleep(ctx, pause)
		return
	}
	defer l.stopWaiting(q)
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// AdmitLocal is Admit without borrowing from other instances.
func (l *Limiter) AdmitLocal(q Quota) bool { return l.buckets.Take(q, false, common.Uptime()) }

// Level returns the state of the instance's share of the quota.
func (l *Limiter) Level(q Quota) Level { return l.buckets.Level(q, common.Uptime()) }

// Return puts back the token of a request that didn't run.
func (l *Limiter) Return(q Quota) { l.buckets.Return(q, common.Uptime()) }

// borrow joins the quota's round or starts one for the given number of additional
// requests, the last of which may open a program. It returns nil if no tokens are
// needed or the backoff has not ended.
func (l *Limiter) borrow(q Quota, waiting int, opens bool) *round {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.states[q.Name]
	if !ok {
		s = &borrowState{}
		l.states[q.Name] = s
	}
	if s.round == nil {
		want := l.buckets.Want(q, common.Uptime(), s.waiting+waiting, opens)
		if want == 0 {
			return nil
		}
		r := &round{done: make(chan struct{})}
		if !l.startRound(q, r, want) {
			return nil
		}
		s.round = r
	}
	s.waiting += waiting
	return s.round
}

func (l *Limiter) stopWaiting(q Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[q.Name].waiting--
}

// startRound reports whether the round was started; a closed limiter starts none.
func (l *Limiter) startRound(q Quota, r *round, want float64) bool {
	return l.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		tokens, throttled := l.lenders.Lend(ctx, q, want)
		l.buckets.Throttle(q, common.Uptime(), throttled)
		l.buckets.Borrowed(q, tokens, common.Uptime(), minBorrowBackoff)
		l.mu.Lock()
		l.states[q.Name].round = nil
		l.mu.Unlock()
		close(r.done)
	})
}
