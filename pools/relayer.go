package pools

import (
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/route"
)

type (
	// Relayer tracks the running attempts of this instance, so that a service's
	// new home can list them. It is safe for concurrent use.
	Relayer struct {
		self string

		mu      sync.Mutex
		running map[attemptKey]*runningAttempt
		warmths map[warmthKey]route.Warmth
	}

	// runningAttempt is an attempt with the peer addresses of the homes that
	// have listed it: each of them waits for the attempt's outcome.
	runningAttempt struct {
		route.Inflight
		service string
		homes   []string
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

// NewRelayer returns an empty Relayer for the instance self.
func NewRelayer(self string) *Relayer {
	return &Relayer{
		self:    self,
		running: make(map[attemptKey]*runningAttempt),
		warmths: make(map[warmthKey]route.Warmth),
	}
}

// Add records the start of an attempt.
func (r *Relayer) Add(service string, call route.Call, a route.Assign) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[attemptKey{call.ID, a.Attempt}] = &runningAttempt{
		Inflight: route.Inflight{Call: call, Upstream: a.Upstream, Attempt: a.Attempt, Warmth: a.Warmth},
		service:  service,
	}
	r.warmths[warmthKey{service, a.Upstream}] = a.Warmth
}

// Remove removes an attempt that has ended and returns the peer addresses of the
// homes that have listed it.
func (r *Relayer) Remove(call string, attempt int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := attemptKey{call, attempt}
	f, ok := r.running[key]
	if !ok {
		return nil
	}
	delete(r.running, key)
	return f.homes
}

// Len returns the number of running attempts.
func (r *Relayer) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// List returns the running attempts and the warmths of one service, and records
// the requesting home for each attempt.
func (r *Relayer) List(q *RelayedRequest, now time.Time) *RelayedReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &RelayedReply{State: route.RelayState{Relay: r.self}}
	for _, f := range r.running {
		if f.service != q.Service {
			continue
		}
		f.homes = append(f.homes, q.HomeAddress)
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
