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
	// probeTimeout bounds one question to an engine.
	probeTimeout = 2 * time.Second
)

// Plain looks at the upstreams of plain services.
type Plain interface {
	// Reachable tells whether the address takes connections.
	Reachable(ctx context.Context, address string) bool
}

// Engines is what a service's home asks of model engines.
type Engines interface {
	Load(ctx context.Context, t engine.Target) (engine.Load, error)
	CacheEvents(ctx context.Context, t engine.Target, after int64) (engine.CacheEvents, error)
	ListCache(ctx context.Context, t engine.Target) (engine.CacheList, error)
	ReleaseCache(ctx context.Context, t engine.Target, program string) error
	CancelRequest(ctx context.Context, t engine.Target, requestID string) error
}

// probe looks at every upstream of the service, unless an earlier look is still
// open: engines are asked for their load and their cache events.
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

// probePlain only looks whether a plain service's upstream takes connections.
func (h *Home) probePlain(ctx context.Context, s *service, u conf.Upstream) {
	defer h.probed(ctx, s, u)
	askCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if h.plain.Reachable(askCtx, u.Address) || ctx.Err() != nil {
		return
	}
	_ = h.thread.Post(ctx, func(now time.Time) { h.apply(s, s.policy.ObserveUnreachable(u.Name, now)) })
}

func (h *Home) probed(ctx context.Context, s *service, u conf.Upstream) {
	_ = h.thread.Post(context.WithoutCancel(ctx), func(time.Time) { delete(s.probing, u.Name) })
}

func (h *Home) probeEngine(ctx context.Context, s *service, u conf.Upstream, after int64) {
	defer h.probed(ctx, s, u)
	askCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	target := engine.Target{Address: u.Address, Credential: s.config.Credential}
	load, err := h.engines.Load(askCtx, target)
	if err != nil {
		h.observeFailure(ctx, s, u, err)
		return
	}
	_ = h.thread.Post(ctx, func(now time.Time) { h.apply(s, s.policy.ObserveLoad(u.Name, load, now)) })
	events, err := h.engines.CacheEvents(askCtx, target, after)
	if err != nil {
		return
	}
	gap := false
	err = h.thread.Do(ctx, func(now time.Time) { gap = s.index.Apply(u.Name, events, now) })
	if err == nil && gap {
		h.relist(askCtx, s, u, target)
	}
}

// observeFailure counts only engines that take no connection: a slow report
// says nothing of the engine.
func (h *Home) observeFailure(ctx context.Context, s *service, u conf.Upstream, err error) {
	if !errors.Is(err, engine.ErrUnreachable) && !errors.Is(err, engine.ErrBroken) {
		return
	}
	_ = h.thread.Post(ctx, func(now time.Time) { h.apply(s, s.policy.ObserveUnreachable(u.Name, now)) })
}

func (h *Home) relist(ctx context.Context, s *service, u conf.Upstream, target engine.Target) {
	list, err := h.engines.ListCache(ctx, target)
	if err != nil {
		return
	}
	_ = h.thread.Post(ctx, func(now time.Time) { s.index.Replace(u.Name, list, now) })
}
