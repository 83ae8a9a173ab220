package turns

import (
	"container/list"
	"sync"
	"time"
)

// cache holds turns by ID, the least recently used dropped first. It is safe
// for concurrent use.
type cache struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	entries  map[string]*list.Element
	order    *list.List
}

type cached struct {
	turn *Turn
	// until is when the turn can no longer be continued.
	until time.Duration
}

func newCache(maxBytes int) *cache {
	return &cache{maxBytes: maxBytes, entries: make(map[string]*list.Element), order: list.New()}
}

func (c *cache) get(id string) (*Turn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[id]
	if !ok {
		return nil, false
	}
	c.order.MoveToFront(e)
	return e.Value.(cached).turn, true
}

func (c *cache) put(t *Turn, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[t.ID]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.entries[t.ID] = c.order.PushFront(cached{turn: t, until: until})
	c.bytes += t.Size()
	for c.bytes > c.maxBytes && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
}

// expire drops what can no longer be continued.
func (c *cache) expire(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.order.Back(); e != nil; {
		before := e.Prev()
		if e.Value.(cached).until < now {
			c.drop(e)
		}
		e = before
	}
}

func (c *cache) drop(e *list.Element) {
	t := e.Value.(cached).turn
	c.order.Remove(e)
	delete(c.entries, t.ID)
	c.bytes -= t.Size()
}
