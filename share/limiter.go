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
	// holdOff is the time after a round without any token until the next; it
	// grows with each such round.
	holdOff = 30 * time.Millisecond
	// pollPause is the time between two looks at the bucket while others have
	// nothing to lend.
	pollPause = 15 * time.Millisecond
)

type (
	// Lenders are the other instances.
	Lenders interface {
		// Lend asks holders of the quota for tokens, by Collect. It returns the
		// sum, and how long no program opens at any of those that were asked.
		Lend(ctx context.Context, q Quota, want float64) (tokens float64, tight time.Duration)
	}

	// Limiter admits requests by the buckets and borrows when they run low. It
	// is safe for concurrent use.
	Limiter struct {
		buckets *Buckets
		lenders Lenders
		group   *group.Group
		mu      sync.Mutex
		queues  map[string]*queue
	}

	// round is one borrowing under way, which all requests of the quota share.
	round struct{ done chan struct{} }

	// queue is the state of one quota's borrowing.
	queue struct {
		round *round
		// waiting requests have found no token yet.
		waiting int
	}
)

// NewLimiter returns a limiter over the buckets; Close must be called.
func NewLimiter(buckets *Buckets, lenders Lenders) *Limiter {
	return &Limiter{
		buckets: buckets,
		lenders: lenders,
		group:   group.NewGroup(context.Background()),
		queues:  make(map[string]*queue),
	}
}

// Close ends borrowing and waits for it.
func (l *Limiter) Close() { l.group.Close() }

// Admit reports whether the quota admits one more request. It waits up to the
// patience for tokens, its own share's and borrowed ones. A request that opens
// a program leaves part of the share to programs under way, whose earlier work
// is lost if they are refused.
func (l *Limiter) Admit(ctx context.Context, q Quota, opens bool, patience time.Duration) bool {
	until := common.Uptime() + patience
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
			l.buckets.Tighten(q, now, tightTime)
		}
		waited = true
		l.await(ctx, q, opens, min(pollPause, until-now))
	}
}

// await waits for a round of borrowing, or for the time where borrowing is of
// no use now.
func (l *Limiter) await(ctx context.Context, q Quota, opens bool, pause time.Duration) {
	r := l.borrow(q, 1, opens)
	if r == nil {
		group.Sleep(ctx, pause)
		return
	}
	defer l.leave(q)
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// AdmitLocal is Admit without borrowing from other instances.
func (l *Limiter) AdmitLocal(q Quota) bool { return l.buckets.Take(q, false, common.Uptime()) }

// Level tells how the instance's part of the quota stands.
func (l *Limiter) Level(q Quota) Level { return l.buckets.Level(q, common.Uptime()) }

// Return gives back the token of a request that didn't run.
func (l *Limiter) Return(q Quota) { l.buckets.Return(q, common.Uptime()) }

// borrow joins the quota's round or starts one, for the number of waiting
// requests, the last of which may open a program. It returns nil where
// borrowing is of no use now.
func (l *Limiter) borrow(q Quota, waiting int, opens bool) *round {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.queues[q.Name]
	if !ok {
		w = &queue{}
		l.queues[q.Name] = w
	}
	if w.round == nil {
		want := l.buckets.Want(q, common.Uptime(), w.waiting+waiting, opens)
		if want == 0 {
			return nil
		}
		w.round = &round{done: make(chan struct{})}
		l.start(q, w.round, want)
	}
	w.waiting += waiting
	return w.round
}

func (l *Limiter) leave(q Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queues[q.Name].waiting--
}

func (l *Limiter) start(q Quota, r *round, want float64) {
	l.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, borrowWait)
		defer cancel()
		tokens, tight := l.lenders.Lend(ctx, q, want)
		l.buckets.Tighten(q, common.Uptime(), tight)
		l.buckets.Borrowed(q, tokens, common.Uptime(), holdOff)
		l.mu.Lock()
		l.queues[q.Name].round = nil
		l.mu.Unlock()
		close(r.done)
	})
}
