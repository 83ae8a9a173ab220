package watch

import (
	"sync"
	"time"
)

// maxReach bounds the time that an instance reports; nobody needs to know of earlier
// outages.
const maxReach = time.Hour

// reach tracks since when the store has been reachable without interruption, as far as
// this instance and those that it asked know.
type reach struct {
	mu sync.Mutex
	// since is the start of that time; reached is set while it lasts.
	since   time.Duration
	reached bool
	// told is set once the time before this process' start is known, lost once this
	// process has missed the store itself.
	told bool
	lost bool
}

// works records that a call that started at the given time was answered.
func (r *reach) works(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reached {
		return
	}
	if !r.told || r.lost {
		r.since = at
	}
	r.reached = true
}

func (r *reach) fails() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached, r.lost = false, true
}

// tell records that the store was reachable from the given time until this process
// reached it.
func (r *reach) tell(since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		return
	}
	if !r.told && !r.reached || since < r.since {
		r.since = since
	}
	r.told = true
}

// asks reports whether other instances may still know more.
func (r *reach) asks() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.told && !r.lost
}

// until returns how long the store had been reachable at the given time, or 0 if it
// isn't.
func (r *reach) until(at time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reached {
		return 0
	}
	return min(max(0, at-r.since), maxReach)
}
