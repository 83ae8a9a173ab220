package pools

import (
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/route"
)

type (
	// Relayer remembers the attempts that this instance has running, so that a
	// service's new home can learn of them. It is safe for concurrent use.
	Relayer struct {
		self string

		mu       sync.Mutex
		running  map[attemptKey]route.Inflight
		warmths  map[warmthKey]route.Warmth
		services map[attemptKey]string
	}

	attemptKey struct {
		call    string
		attempt int
	}

	warmthKey struct {
		service  string
		upstream string
	}
)

// NewRelayer returns a relayer of no attempts for the instance self.
func NewRelayer(self string) *Relayer {
	return &Relayer{
		self:     self,
		running:  make(map[attemptKey]route.Inflight),
		warmths:  make(map[warmthKey]route.Warmth),
		services: make(map[attemptKey]string),
	}
}

// Add notes an attempt that begins.
func (r *Relayer) Add(service string, call route.Call, a route.Assign) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := attemptKey{call.ID, a.Attempt}
	r.running[key] = route.Inflight{Call: call, Upstream: a.Upstream, Attempt: a.Attempt, Warmth: a.Warmth}
	r.services[key] = service
	r.warmths[warmthKey{service, a.Upstream}] = a.Warmth
}

// Remove forgets an attempt that has ended.
func (r *Relayer) Remove(call string, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, attemptKey{call, attempt})
	delete(r.services, attemptKey{call, attempt})
}

// Len returns the number of attempts.
func (r *Relayer) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// List returns the attempts and warmths of one service.
func (r *Relayer) List(service string, now time.Time) *RelayedReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &RelayedReply{State: route.RelayState{Relay: r.self}}
	for key, f := range r.running {
		if r.services[key] == service {
			reply.State.Calls = append(reply.State.Calls, f)
			reply.TimeLeft = append(reply.TimeLeft, f.Call.Deadline.Sub(now))
		}
	}
	for key, w := range r.warmths {
		if key.service == service {
			reply.State.Warmths = append(reply.State.Warmths, w)
		}
	}
	return reply
}
