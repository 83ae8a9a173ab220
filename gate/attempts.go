package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
)

// leastSilence is how long an attempt must have heard nothing to be given up for
// another one's silence: the pause after which events of a stream are late.
const minSilence = 300 * time.Millisecond

type (
	// lines are the attempts under way at each upstream. What one of them learns
	// of a silent machine ends the others, which would wait for their callers to
	// leave.
	attempts struct {
		mu sync.Mutex
		byUpstream map[string]map[*attempt]struct{}
	}

	// line is one attempt.
	attempt struct {
		registry    *attempts
		upstream string
		startedAt    time.Duration
		// heard is when the upstream last sent anything, on the clock of
		// common.Uptime.
		receivedAt atomic.Int64
		// cancel ends the attempt, nil where it must run to its end.
		cancel context.CancelFunc
		// lost is set where the upstream's silence ended the attempt.
		unresponsive atomic.Bool
	}
)

func newAttempts() *attempts { return &attempts{byUpstream: make(map[string]map[*attempt]struct{})} }

// begin notes an attempt; end must be called.
func (l *attempts) begin(upstream string, cancel context.CancelFunc) *attempt {
	n := &attempt{registry: l, upstream: upstream, startedAt: common.Uptime(), cancel: cancel}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byUpstream[upstream] == nil {
		l.byUpstream[upstream] = make(map[*attempt]struct{})
	}
	l.byUpstream[upstream][n] = struct{}{}
	return n
}

func (n *attempt) end() {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	delete(n.registry.byUpstream[n.upstream], n)
	if len(n.registry.byUpstream[n.upstream]) == 0 {
		delete(n.registry.byUpstream, n.upstream)
	}
}

// hear notes that the upstream sent something.
func (n *attempt) noteReceived() { n.receivedAt.Store(int64(common.Uptime())) }

func (n *attempt) lastReceived() time.Duration { return time.Duration(n.receivedAt.Load()) }

// silent notes that the upstream's machine did not answer the attempt from its
// beginning, or since it was last heard. Others that have heard nothing for
// longer end too, unless one of them has heard something since. It returns how
// many end.
func (n *attempt) cancelUnresponsive() int {
	since := max(n.startedAt, n.lastReceived())
	limit := min(since, common.Uptime()-minSilence)
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	var mute []*attempt
	for other := range n.registry.byUpstream[n.upstream] {
		switch {
		case other.lastReceived() > since:
			return 0
		case other != n && other.cancel != nil && max(other.startedAt, other.lastReceived()) <= limit:
			mute = append(mute, other)
		}
	}
	for _, other := range mute {
		other.unresponsive.Store(true)
		other.cancel()
	}
	return len(mute)
}
