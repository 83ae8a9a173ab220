package stand

import (
	"net/http"
	"sync"
)

// activeCount counts running handlers, so that closing can wait for them.
type activeCount struct {
	mu     sync.Mutex
	idle   *sync.Cond
	active int
	closed bool
}

func newActiveCount() *activeCount {
	c := &activeCount{}
	c.idle = sync.NewCond(&c.mu)
	return c
}

func (c *activeCount) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.enter() {
			abort()
		}
		defer c.leave()
		next.ServeHTTP(w, r)
	})
}

func (c *activeCount) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.active++
	return true
}

func (c *activeCount) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.idle.Broadcast()
}

// close lets no more handlers in and waits for the running ones.
func (c *activeCount) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for c.active > 0 {
		c.idle.Wait()
	}
}
