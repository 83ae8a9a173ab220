package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
)

// minSilence is how long an attempt must have received nothing before the timeout
// of another attempt may cancel it: the gap after which events of a stream are
// late.
const minSilence = 300 * time.Millisecond

type (
	// attempts are those in flight at each upstream. Once one of them finds the
	// upstream's machine unresponsive, the others are cancelled instead of waiting
	// until their callers give up.
	attempts struct {
		mu         sync.Mutex
		byUpstream map[string]map[*attempt]struct{}
	}

	// attempt is one request in flight at an upstream.
	attempt struct {
		registry  *attempts
		upstream  string
		startedAt time.Duration
		// receivedAt is when the upstream last sent anything, on the clock of
		// common.Uptime.
		receivedAt atomic.Int64
		// cancel ends the attempt; it is nil if the attempt must not be cancelled.
		cancel context.CancelFunc
		// stop ends the attempt at any time.
		stop context.CancelFunc
		// unresponsive is set if the attempt was cancelled because the upstream
		// sent nothing.
		unresponsive atomic.Bool
	}
)

func newAttempts() *attempts { return &attempts{byUpstream: make(map[string]map[*attempt]struct{})} }

// begin registers an attempt; end must be called.
func (s *attempts) begin(upstream string, cancel context.CancelFunc) *attempt {
	a := &attempt{registry: s, upstream: upstream, startedAt: common.Uptime(), cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byUpstream[upstream] == nil {
		s.byUpstream[upstream] = make(map[*attempt]struct{})
	}
	s.byUpstream[upstream][a] = struct{}{}
	return a
}

func (a *attempt) end() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	delete(a.registry.byUpstream[a.upstream], a)
	if len(a.registry.byUpstream[a.upstream]) == 0 {
		delete(a.registry.byUpstream, a.upstream)
	}
}

// noteReceived records that the upstream sent something.
func (a *attempt) noteReceived() { a.receivedAt.Store(int64(common.Uptime())) }

func (a *attempt) lastReceived() time.Duration { return time.Duration(a.receivedAt.Load()) }

// cancelUnresponsive is called on an attempt that received nothing since its
// start, or since its last data, until it timed out. It cancels the other attempts
// at the upstream that have received nothing for at least as long, unless one of
// them has received data since. It returns how many it cancelled.
func (a *attempt) cancelUnresponsive() int {
	since := max(a.startedAt, a.lastReceived())
	limit := min(since, common.Uptime()-minSilence)
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	var unresponsive []*attempt
	for other := range a.registry.byUpstream[a.upstream] {
		switch {
		case other.lastReceived() > since:
			return 0
		case other != a && other.cancel != nil && max(other.startedAt, other.lastReceived()) <= limit:
			unresponsive = append(unresponsive, other)
		}
	}
	for _, other := range unresponsive {
		other.unresponsive.Store(true)
		other.cancel()
	}
	return len(unresponsive)
}
