package pools

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/route"
)

const (
	// usableInterval is the time between two questions for a service that has
	// its home elsewhere.
	usableInterval = time.Second
	// usableTimeout bounds one such question.
	usableTimeout = 500 * time.Millisecond
	// usableAge is how long an answer is believed.
	usableAge = 3 * time.Second
)

// neighbour is a service with its home elsewhere that a service of this home
// depends on.
type neighbour struct {
	usable bool
	heard  time.Time
	next   time.Time
	asking bool
}

// admit follows the dependencies. A service of which nothing is known counts
// as usable.
func (h *Home) admit(now time.Time) {
	statuses := make([]route.Status, 0, len(h.services)+len(h.neighbours))
	for name, s := range h.services {
		statuses = append(statuses, route.Status{Service: name, Usable: s.policy.Usable(now)})
	}
	for name, n := range h.neighbours {
		if _, here := h.services[name]; !here && now.Sub(n.heard) < usableAge {
			statuses = append(statuses, route.Status{Service: name, Usable: n.usable})
		}
	}
	for _, a := range route.Usable(h.text.Services, statuses) {
		if s, ok := h.services[a.Service]; ok {
			s.policy.SetAdmission(a.NewPrograms)
		}
	}
}

// askNeighbours asks the homes of what the services here depend on, directly
// or not.
func (h *Home) askNeighbours(now time.Time) {
	seen := make(map[string]struct{})
	for _, s := range h.services {
		h.askDependencies(s.config.DependsOn, seen, now)
	}
	for name := range h.neighbours {
		if _, needed := seen[name]; !needed {
			delete(h.neighbours, name)
		}
	}
}

func (h *Home) askDependencies(names []string, seen map[string]struct{}, now time.Time) {
	for _, name := range names {
		if _, twice := seen[name]; twice {
			continue
		}
		seen[name] = struct{}{}
		if config, ok := h.text.Service(name); ok {
			h.askDependencies(config.DependsOn, seen, now)
		}
		if _, here := h.services[name]; !here {
			h.askNeighbour(name, now)
		}
	}
}

func (h *Home) askNeighbour(name string, now time.Time) {
	n := h.neighbours[name]
	if n == nil {
		n = &neighbour{}
		h.neighbours[name] = n
	}
	if n.asking || now.Before(n.next) {
		return
	}
	n.asking = true
	n.next = now.Add(usableInterval)
	h.group.Go(func(ctx context.Context) {
		askCtx, cancel := context.WithTimeout(ctx, usableTimeout)
		defer cancel()
		call := homes.Call[UsableRequest, UsableReply]{Method: Usable, Local: h.usable}
		reply, err := call.Ask(askCtx, h.router, shardOf(name), &UsableRequest{Service: name})
		_ = h.thread.Post(context.WithoutCancel(ctx), func(now time.Time) {
			n.asking = false
			if err == nil {
				n.usable, n.heard = reply.Usable, now
			}
		})
	})
}

func (h *Home) usable(ctx context.Context, q *UsableRequest) (*UsableReply, error) {
	reply := &UsableReply{}
	err := h.onService(ctx, q.Service, func(s *service, now time.Time) { reply.Usable = s.policy.Usable(now) })
	if err != nil {
		return nil, err
	}
	return reply, nil
}
