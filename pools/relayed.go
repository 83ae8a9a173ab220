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

		mu      sync.Mutex
		running map[attemptKey]*relayed
		warmths map[warmthKey]route.Warmth
	}

	// relayed is an attempt and the peer addresses of the homes that were told
	// of it: each of them waits for the attempt's end.
	relayed struct {
		route.Inflight
		service string
		askers  []string
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
		self:    self,
		running: make(map[attemptKey]*relayed),
		warmths: make(map[warmthKey]route.Warmth),
	}
}

// Add notes an attempt that begins.
func (r *Relayer) Add(service string, call route.Call, a route.Assign) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[attemptKey{call.ID, a.Attempt}] = &relayed{
		Inflight: route.Inflight{Call: call, Upstream: a.Upstream, Attempt: a.Attempt, Warmth: a.Warmth},
		service:  service,
	}
	r.warmths[warmthKey{service, a.Upstream}] = a.Warmth
}

// Remove forgets an attempt that has ended. It returns the peer addresses of
// the homes that were told that it runs.
func (r *Relayer) Remove(call string, attempt int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := attemptKey{call, attempt}
	f, ok := r.running[key]
	if !ok {
		return nil
	}
	delete(r.running, key)
	return f.askers
}

// Len returns the number of attempts.
func (r *Relayer) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// List returns the attempts and warmths of one service and notes who asked.
func (r *Relayer) List(q *RelayedRequest, now time.Time) *RelayedReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &RelayedReply{State: route.RelayState{Relay: r.self}}
	for _, f := range r.running {
		if f.service != q.Service {
			continue
		}
		f.askers = append(f.askers, q.Asker)
		reply.State.Calls = append(reply.State.Calls, f.Inflight)
		reply.TimeLeft = append(reply.TimeLeft, f.Call.Deadline.Sub(now))
	}
	for key, w := range r.warmths {
		if key.service == q.Service {
			reply.State.Warmths = append(reply.State.Warmths, w)
		}
	}
	return reply
}
