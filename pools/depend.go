package pools

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/route"
)

const (
	// usableInterval is the time between two queries for a service whose home
	// is another instance.
	usableInterval = time.Second
	// usableTimeout bounds one such query.
	usableTimeout = 500 * time.Millisecond
	// usabilityMaxAge is how long a reply remains valid.
	usabilityMaxAge = 3 * time.Second
)

// remoteService is a service whose home is another instance and on which a
// service of this home depends.
type remoteService struct {
	usable    bool
	lastReply time.Time
	nextQuery time.Time
	querying  bool
}

// updateAdmission lets each service accept new programs only while the services
// that it depends on are usable. A service without a recent reply counts as
// usable.
func (h *Home) updateAdmission(now time.Time) {
	statuses := make([]route.Status, 0, len(h.services)+len(h.remoteServices))
	for name, s := range h.services {
		statuses = append(statuses, route.Status{Service: name, Usable: s.policy.Usable(now)})
	}
	for name, r := range h.remoteServices {
		if _, here := h.services[name]; !here && now.Sub(r.lastReply) < usabilityMaxAge {
			statuses = append(statuses, route.Status{Service: name, Usable: r.usable})
		}
	}
	for _, a := range route.Usable(h.text.Services, statuses) {
		if s, ok := h.services[a.Service]; ok {
			s.policy.SetAdmission(a.NewPrograms)
		}
	}
}

// queryDependencies asks the homes of all direct and indirect dependencies of
// the local services whether they are usable.
func (h *Home) queryDependencies(now time.Time) {
	seen := make(map[string]struct{})
	for _, s := range h.services {
		h.visitDependencies(s.config.DependsOn, seen, now)
	}
	for name := range h.remoteServices {
		if _, needed := seen[name]; !needed {
			delete(h.remoteServices, name)
		}
	}
}

func (h *Home) visitDependencies(names []string, seen map[string]struct{}, now time.Time) {
	for _, name := range names {
		if _, visited := seen[name]; visited {
			continue
		}
		seen[name] = struct{}{}
		if config, ok := h.text.Service(name); ok {
			h.visitDependencies(config.DependsOn, seen, now)
		}
		if _, here := h.services[name]; !here {
			h.queryRemoteService(name, now)
		}
	}
}

func (h *Home) queryRemoteService(name string, now time.Time) {
	r := h.remoteServices[name]
	if r == nil {
		r = &remoteService{}
		h.remoteServices[name] = r
	}
	if r.querying || now.Before(r.nextQuery) {
		return
	}
	r.querying = true
	r.nextQuery = now.Add(usableInterval)
	h.group.Go(func(ctx context.Context) {
		queryCtx, cancel := context.WithTimeout(ctx, usableTimeout)
		defer cancel()
		call := homes.Call[UsableRequest, UsableReply]{Method: Usable, Local: h.usable}
		reply, err := call.Send(queryCtx, h.router, shardOf(name), &UsableRequest{Service: name})
		_ = h.thread.Post(context.WithoutCancel(ctx), func(now time.Time) {
			r.querying = false
			if err == nil {
				r.usable, r.lastReply = reply.Usable, now
			}
		})
	})
}

func (h *Home) usable(ctx context.Context, q *UsableRequest) (*UsableReply, error) {
	reply := &UsableReply{}
	err := h.withService(ctx, q.Service, func(s *service, now time.Time) { reply.Usable = s.policy.Usable(now) })
	if err != nil {
		return nil, err
	}
	return reply, nil
}
