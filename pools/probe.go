package pools

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
)

const (
	// probeInterval is the time between two load reports of one engine.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one request to an upstream.
	probeTimeout = 2 * time.Second
)

// Prober probes the upstreams of plain services.
type Prober interface {
	// Reachable reports whether the address accepts connections.
	Reachable(ctx context.Context, address string) bool
}

// Engines sends a home's requests to model engines.
type Engines interface {
	Load(ctx context.Context, t engine.Target) (engine.Load, error)
	CacheEvents(ctx context.Context, t engine.Target, after int64) (engine.CacheEvents, error)
	ListCache(ctx context.Context, t engine.Target) (engine.CacheList, error)
	ReleaseCache(ctx context.Context, t engine.Target, program string) error
	CancelRequest(ctx context.Context, t engine.Target, requestID string) error
}

// probe starts a probe of each upstream of the service that has none in flight.
// Engines report their load and their cache events.
func (h *Home) probe(s *service, now time.Time) {
	if now.Before(s.nextProbe) {
		return
	}
	s.nextProbe = now.Add(probeInterval)
	for _, u := range s.config.Upstreams {
		if s.probing[u.Name] {
			continue
		}
		s.probing[u.Name] = true
		if s.config.Kind != conf.KindModel {
			h.group.Go(func(ctx context.Context) { h.probePlain(ctx, s, u) })
			continue
		}
		after := s.index.Sequence(u.Name)
		h.group.Go(func(ctx context.Context) { h.probeEngine(ctx, s, u, after) })
	}
}

// probePlain checks only that a plain service's upstream accepts connections.
func (h *Home) probePlain(ctx context.Context, s *service, u conf.Upstream) {
	defer h.probeEnded(ctx, s, u)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if h.prober.Reachable(probeCtx, u.Address) || ctx.Err() != nil {
		return
	}
	_ = h.thread.Post(ctx, func(now time.Time) { h.apply(s, s.policy.ObserveUnreachable(u.Name, now)) })
}

func (h *Home) probeEnded(ctx context.Context, s *service, u conf.Upstream) {
	_ = h.thread.Post(context.WithoutCancel(ctx), func(time.Time) { delete(s.probing, u.Name) })
}

func (h *Home) probeEngine(ctx context.Context, s *service, u conf.Upstream, after int64) {
	defer h.probeEnded(ctx, s, u)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	target := engine.Target{Address: u.Address, Credential: s.config.Credential}
	load, err := h.engines.Load(probeCtx, target)
	if err != nil {
		h.observeFailure(ctx, s, u, err)
		return
	}
	_ = h.thread.Post(ctx, func(now time.Time) { h.apply(s, s.policy.ObserveLoad(u.Name, load, now)) })
	events, err := h.engines.CacheEvents(probeCtx, target, after)
	if err != nil {
		return
	}
	gap := false
	err = h.thread.Do(ctx, func(now time.Time) { gap = s.index.Apply(u.Name, events, now) })
	if err == nil && gap {
		h.reloadCache(probeCtx, s, u, target)
	}
}

// observeFailure reports an engine as unreachable only if the connection failed:
// a slow load report doesn't mean that the engine is down.
func (h *Home) observeFailure(ctx context.Context, s *service, u conf.Upstream, err error) {
	if !errors.Is(err, engine.ErrUnreachable) && !errors.Is(err, engine.ErrBroken) {
		return
	}
	_ = h.thread.Post(ctx, func(now time.Time) { h.apply(s, s.policy.ObserveUnreachable(u.Name, now)) })
}

func (h *Home) reloadCache(ctx context.Context, s *service, u conf.Upstream, target engine.Target) {
	list, err := h.engines.ListCache(ctx, target)
	if err != nil {
		return
	}
	_ = h.thread.Post(ctx, func(now time.Time) { s.index.Replace(u.Name, list, now) })
}
