package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/keys"
)

// majority waits until most instances have applied a text or a change of a key.
type majority struct {
	mu   sync.Mutex
	acks *keys.Acks
	done chan struct{}
}

func newMajority(revision int64, instances int) *majority {
	return &majority{acks: keys.NewAcks(revision, instances), done: make(chan struct{})}
}

// observe records the revision that an instance reported.
func (m *majority) observe(instance string, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.acks.Done()
	m.acks.Observe(instance, revision)
	if !before && m.acks.Done() {
		close(m.done)
	}
}

// wait reports whether a majority acknowledged the revision within the timeout.
func (m *majority) wait(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-m.done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
