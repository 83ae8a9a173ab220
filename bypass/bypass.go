// Package bypass provides a store client that falls back to calls via a peer while
// this instance's direct path to the store is slow or broken.
package bypass

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// hedgeDelay is how long a call waits for a reply before it is hedged on the
	// other path; a usual reply takes about 10 ms.
	hedgeDelay = 120 * time.Millisecond
	// callTimeout bounds a call with its hedge; the slowest store that still
	// counts as working replies in half of that.
	callTimeout = 1200 * time.Millisecond
	// directBackoff is how long calls start on the fallback path after the direct
	// path failed, unless a feed that continues shows that it works.
	directBackoff = 400 * time.Millisecond
	// maxHedges and hedgeRatio are the burst and the refill per completed call of
	// the hedge budget. More hedges would add to the load of a store that is slow
	// for all instances.
	maxHedges  = 8
	hedgeRatio = 0.05
	// maxCopies is how often a call may be sent: on both paths, and once more when
	// the direct one works again.
	maxCopies = 3
	// hedgeRetryInterval is the time between two checks whether a slow call may
	// use its second path: the budget has a token again, or other calls found the
	// direct path broken.
	hedgeRetryInterval = 20 * time.Millisecond
)

type (
	// Peers makes store calls via another instance.
	Peers interface {
		// The errors of both are those of rows.Store; ErrNotDone is also returned
		// if no peer could be called.
		CommitViaPeer(ctx context.Context, txn rows.Txn) (int64, error)
		RangeViaPeer(ctx context.Context, q rows.Query) (rows.Page, error)
	}

	// Store is a rows.Store with a direct path and a fallback path. Feeds only use
	// the direct one.
	Store struct {
		direct       rows.Store
		peers        Peers
		group        *group.Group
		backoffUntil atomic.Int64
		hedges       hedgeBudget
		// down reports whether the store seems to be down for all instances.
		down func() bool
		// lost is set while the direct path is known to be broken. returned is closed
		// and replaced when it works again.
		lost     atomic.Bool
		mu       sync.Mutex
		returned chan struct{}
	}

	// hedgeBudget is a token bucket that limits hedged calls.
	hedgeBudget struct {
		mu     sync.Mutex
		tokens float64
	}

	result struct {
		page rows.Page
		err  error
		// direct is set if it came on the direct path.
		direct bool
	}

	attempt func(ctx context.Context) result

	// path is one of the two paths that a call can take.
	path struct {
		attempt attempt
		direct  bool
	}
)

// NewStore returns a store that uses the direct one and falls back to the peers,
// unless the store is down for them too; Close must be called.
func NewStore(direct rows.Store, peers Peers, down func() bool) *Store {
	return &Store{
		direct:   direct,
		peers:    peers,
		group:    group.NewGroup(context.Background()),
		hedges:   hedgeBudget{tokens: maxHedges},
		down:     down,
		returned: make(chan struct{}),
	}
}

// Close waits for the calls in flight.
func (s *Store) Close() { s.group.Close() }

// ResetBackoff ends the backoff of the direct path, which is known to work. If it
// was lost, calls in flight are sent once more: earlier copies may never be
// answered, and the store may not stay.
func (s *Store) ResetBackoff() {
	s.backoffUntil.Store(0)
	if !s.lost.Swap(false) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.returned)
	s.returned = make(chan struct{})
}

// SetLost records that the direct path is broken.
func (s *Store) SetLost() { s.lost.Store(true) }

// Lost reports whether the direct path is broken.
func (s *Store) Lost() bool { return s.lost.Load() }

func (s *Store) nextReturn() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returned
}

// Commit applies a transaction. Several copies of it may be sent; its expectations
// ensure that only one takes effect.
func (s *Store) Commit(ctx context.Context, txn rows.Txn) (int64, error) {
	r := s.callWithFallback(ctx, func(ctx context.Context) result {
		version, err := s.direct.Commit(ctx, txn)
		return result{page: rows.Page{Version: version}, err: err}
	}, func(ctx context.Context) result {
		version, err := s.peers.CommitViaPeer(ctx, txn)
		return result{page: rows.Page{Version: version}, err: err}
	})
	var conflict *rows.ConflictError
	if errors.As(r.err, &conflict) && conflict.AppliedBy(txn) {
		return conflict.LatestVersion(), nil
	}
	return r.page.Version, r.err
}

// Range reads rows on the direct path or, as a fallback, via a peer.
func (s *Store) Range(ctx context.Context, q rows.Query) (rows.Page, error) {
	r := s.callWithFallback(ctx, func(ctx context.Context) result {
		page, err := s.direct.Range(ctx, q)
		return result{page: page, err: err}
	}, func(ctx context.Context) result {
		page, err := s.peers.RangeViaPeer(ctx, q)
		return result{page: page, err: err}
	})
	return r.page, r.err
}

// Parts returns the parts of a table, on the direct path only.
func (s *Store) Parts(ctx context.Context, table string) (rows.Parts, error) {
	return s.direct.Parts(ctx, table)
}

// Feed returns the changes of a table, on the direct path only.
func (s *Store) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
	return s.direct.Feed(ctx, table, after, wait)
}

// callWithFallback makes the call on the direct path, or on the fallback path while
// the direct one is in backoff. It adds the other path if the first fails or, within
// the hedge budget, if it is slow. The first result that the store decided on is
// returned.
func (s *Store) callWithFallback(ctx context.Context, direct, fallback attempt) result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	results := make(chan result, maxCopies)
	inFlight, directInFlight := 0, false
	start := func(p path) {
		inFlight++
		directInFlight = directInFlight || p.direct
		started := s.group.Go(func(context.Context) {
			r := p.attempt(ctx)
			r.direct = p.direct
			if r.direct && !s.decided(r.err) && ctx.Err() == nil {
				s.backOff()
			}
			results <- r
		})
		if !started {
			results <- result{err: rows.ErrNotDone, direct: p.direct}
		}
	}
	first, second := path{attempt: direct, direct: true}, path{attempt: fallback}
	secondStarted := s.down()
	if s.backingOff() && !secondStarted {
		first, second = second, first
	}
	returned := s.nextReturn()
	start(first)
	startSecond := func() {
		if !secondStarted {
			secondStarted = true
			start(second)
		}
	}
	hedgeTimer := time.NewTimer(hedgeDelay)
	defer hedgeTimer.Stop()
	var failed result
	for {
		select {
		case r := <-results:
			inFlight--
			if s.decided(r.err) {
				s.hedges.refill()
				if !r.direct && directInFlight {
					s.backOff()
				}
				return r
			}
			directInFlight = directInFlight && !r.direct
			failed = lessCertain(failed, r)
			startSecond()
		case <-hedgeTimer.C:
			if s.backingOff() || s.hedges.take() {
				startSecond()
			} else {
				hedgeTimer.Reset(hedgeRetryInterval)
			}
		case <-returned:
			returned = nil
			start(path{attempt: direct, direct: true})
		}
		if inFlight == 0 {
			return failed
		}
	}
}

// backingOff reports whether the direct path is in backoff.
func (s *Store) backingOff() bool { return int64(common.Uptime()) < s.backoffUntil.Load() }

func (s *Store) backOff() { s.backoffUntil.Store(int64(common.Uptime() + directBackoff)) }

// take takes a token for a hedged call, if there is one.
func (h *hedgeBudget) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// refill adds the fraction of a token that a completed call earns.
func (h *hedgeBudget) refill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = min(maxHedges, h.tokens+hedgeRatio)
}

// decided reports whether the store itself decided on the call. One that serves
// this instance's feeds and yet refuses a call gets too many from all instances: the
// other path would add to them.
func (s *Store) decided(err error) bool {
	busy := errors.Is(err, rows.ErrBusy) && !s.lost.Load()
	return err == nil || errors.Is(err, rows.ErrConflict) || busy
}

// lessCertain prefers the failure after which the call may have taken effect.
func lessCertain(a, b result) result {
	if a.err != nil && errors.Is(a.err, rows.ErrUnknown) {
		return a
	}
	return b
}

// NewReply encodes the outcome of a store call.
func NewReply(page rows.Page, err error) *Reply {
	var conflict *rows.ConflictError
	switch {
	case err == nil:
		return &Reply{Page: page}
	case errors.As(err, &conflict):
		return &Reply{Outcome: Conflict, Page: rows.Page{Rows: conflict.Rows}}
	case errors.Is(err, rows.ErrNotDone):
		return &Reply{Outcome: NotDone}
	default:
		return &Reply{Outcome: Unknown}
	}
}

// Result decodes the outcome of a store call.
func (r *Reply) Result() (rows.Page, error) {
	switch r.Outcome {
	case Done:
		return r.Page, nil
	case Conflict:
		return rows.Page{}, &rows.ConflictError{Rows: r.Page.Rows}
	case NotDone:
		return rows.Page{}, rows.ErrNotDone
	case Unknown:
		return rows.Page{}, rows.ErrUnknown
	default:
		return rows.Page{}, rows.ErrUnknown
	}
}
