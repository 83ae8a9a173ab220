// Package homes sends requests to the instance that decides for a shard and
// follows the shard when it moves.
package homes

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/peer"
)

const (
	// ErrNoHome says that no instance decided within the request's deadline.
	// An instance that was asked may have acted.
	ErrNoHome = errors.ConstError("no home answered")

	// firstRetryPause is the pause before a request is sent again.
	firstRetryPause = 5 * time.Millisecond
	// maxRetryPause is the longest such pause.
	maxRetryPause = 200 * time.Millisecond
	// moveCheckInterval is how often a waiting request looks whether its shard
	// has moved.
	moveCheckInterval = 100 * time.Millisecond
)

type (
	// Place is the instance that is the home of a shard at the moment.
	Place struct {
		Instance string
		// Address is where peers reach it, as IP:port.
		Address string
		// Self says that it is this instance.
		Self bool
	}

	// Locator finds the home of a shard by this instance's latest view.
	Locator interface {
		// Locate returns the shard's home, or false where no instance is fit.
		Locate(shard uint8) (Place, bool)
	}

	// Router sends requests to homes.
	Router struct {
		locator Locator
		conns   *peer.Conns
	}

	// Call is an idempotent request to a home: its remote method and this
	// instance's own handler for it.
	Call[Q, R any] struct {
		Method peer.Method[Q, R]
		Local  func(ctx context.Context, q *Q) (*R, error)
		// Resend changes the request before it is sent again; nil means that
		// it is sent as it is.
		Resend func(q *Q)
		// Left is told of a place that gave no answer and may act on the request
		// later; it may change the request. Nil means that nothing is done.
		Left func(place Place, q *Q)
	}
)

// NewRouter returns a router over the locator and the connections.
func NewRouter(locator Locator, conns *peer.Conns) *Router {
	return &Router{locator: locator, conns: conns}
}

// Locate returns the shard's home by this instance's latest view.
func (r *Router) Locate(shard uint8) (Place, bool) { return r.locator.Locate(shard) }

// Ask sends the request to the shard's home and sends it again, also to the
// next home, until one answers or the context ends. The request must be
// idempotent.
func (c Call[Q, R]) Ask(ctx context.Context, r *Router, shard uint8, q *Q) (*R, error) {
	pause := firstRetryPause
	for {
		place, ok := r.locator.Locate(shard)
		answer, err := c.try(ctx, r, shard, place, ok, q)
		if err == nil {
			return answer, nil
		}
		if ok && c.Left != nil && !errors.Is(err, peer.ErrNotHome) {
			c.Left(place, q)
		}
		if !isRetryable(err) {
			return nil, err
		}
		if !group.Sleep(ctx, pause) {
			return nil, errors.WithType(err, ErrNoHome)
		}
		pause = min(2*pause, maxRetryPause)
		if c.Resend != nil {
			c.Resend(q)
		}
	}
}

func (c Call[Q, R]) try(ctx context.Context, r *Router, shard uint8, place Place, known bool, q *Q) (*R, error) {
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
	moved := r.watch(ctx, shard, place, cancel)
	defer moved.Stop()
	return c.Method.Call(ctx, conn, q)
}

// watch cancels a waiting request when its shard has moved elsewhere.
func (r *Router) watch(ctx context.Context, shard uint8, place Place, cancel context.CancelFunc) *time.Timer {
	started := make(chan struct{})
	var timer *time.Timer
	timer = time.AfterFunc(moveCheckInterval, func() {
		<-started
		now, ok := r.locator.Locate(shard)
		if ok && now.Instance != place.Instance {
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
