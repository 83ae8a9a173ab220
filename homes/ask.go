// Package homes sends requests to the home of a shard and retries them at the
// new home when the shard moves.
package homes

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/peer"
)

const (
	// ErrNoHome means that no home replied within the request's deadline. An
	// instance that received the request may have applied it.
	ErrNoHome = errors.ConstError("no home answered")

	// minRetryDelay is the backoff before the first retry.
	minRetryDelay = 5 * time.Millisecond
	// maxRetryDelay is the maximum backoff between retries.
	maxRetryDelay = 200 * time.Millisecond
	// moveCheckInterval is how often a waiting request checks whether its shard
	// has moved.
	moveCheckInterval = 100 * time.Millisecond
)

type (
	// Place is the instance that is currently the home of a shard.
	Place struct {
		Instance string
		// Address is its peer address, as IP:port.
		Address string
		// Self is true if it is this instance.
		Self bool
	}

	// Locator finds the home of a shard in this instance's latest view.
	Locator interface {
		// Locate returns the shard's home, or false if no instance is eligible.
		Locate(shard uint8) (Place, bool)
	}

	// Router locates homes and connects to them.
	Router struct {
		locator Locator
		conns   *peer.Conns
	}

	// Call is an idempotent request to a home: its remote method and the local
	// handler, which is used if this instance is the home.
	Call[Q, R any] struct {
		Method peer.Method[Q, R]
		Local  func(ctx context.Context, q *Q) (*R, error)
		// Resend changes the request before a retry; nil leaves it unchanged.
		Resend func(q *Q)
		// OnNoReply is called with a place that gave no reply and may apply the
		// request later; it may change the request. It may be nil.
		OnNoReply func(place Place, q *Q)
	}
)

// NewRouter returns a router over the locator and the connections.
func NewRouter(locator Locator, conns *peer.Conns) *Router {
	return &Router{locator: locator, conns: conns}
}

// Locate returns the shard's home in this instance's latest view.
func (r *Router) Locate(shard uint8) (Place, bool) { return r.locator.Locate(shard) }

// Send sends the request to the shard's current home, with retries until a home
// replies, an error is not retryable or the context ends. The request must be
// idempotent.
func (c Call[Q, R]) Send(ctx context.Context, r *Router, shard uint8, q *Q) (*R, error) {
	delay := minRetryDelay
	for {
		place, ok := r.locator.Locate(shard)
		reply, err := c.sendOnce(ctx, r, shard, place, ok, q)
		if err == nil {
			return reply, nil
		}
		if ok && c.OnNoReply != nil && !errors.Is(err, peer.ErrNotHome) {
			c.OnNoReply(place, q)
		}
		if !isRetryable(err) {
			return nil, err
		}
		if !group.Sleep(ctx, delay) {
			return nil, errors.WithType(err, ErrNoHome)
		}
		delay = min(2*delay, maxRetryDelay)
		if c.Resend != nil {
			c.Resend(q)
		}
	}
}

func (c Call[Q, R]) sendOnce(ctx context.Context, r *Router, shard uint8, place Place, known bool, q *Q) (*R, error) {
	if !known {
		return nil, ErrNoHome
	}
	if place.Self {
		return c.Local(ctx, q)
	}
	conn, err := r.conns.To(place.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := r.cancelWhenMoved(ctx, shard, place, cancel)
	defer timer.Stop()
	return c.Method.Call(ctx, conn, q)
}

// cancelWhenMoved cancels a waiting request when its shard has another home.
func (r *Router) cancelWhenMoved(ctx context.Context, shard uint8, place Place, cancel context.CancelFunc) *time.Timer {
	started := make(chan struct{})
	var timer *time.Timer
	timer = time.AfterFunc(moveCheckInterval, func() {
		<-started
		current, ok := r.locator.Locate(shard)
		if ok && current.Instance != place.Instance {
			cancel()
			return
		}
		if ctx.Err() == nil {
			timer.Reset(moveCheckInterval)
		}
	})
	close(started)
	return timer
}

func isRetryable(err error) bool {
	return errors.Is(err, peer.ErrUnreachable) ||
		errors.Is(err, peer.ErrTimeout) ||
		errors.Is(err, peer.ErrNotHome) ||
		errors.Is(err, ErrNoHome)
}
