package turns

import (
	"container/list"
	"sync"
	"time"
)

// cache is an LRU cache of turns by ID, bounded by their size. It is safe for
// concurrent use.
type cache struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	entries  map[string]*list.Element
	order    *list.List
}

type entry struct {
	turn *Turn
	// expiresAt is when the turn's retention ends.
	expiresAt time.Duration
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
	return e.Value.(entry).turn, true
}

func (c *cache) put(t *Turn, expiresAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[t.ID]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.entries[t.ID] = c.order.PushFront(entry{turn: t, expiresAt: expiresAt})
	c.bytes += t.Size()
	for c.bytes > c.maxBytes && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
}

// expire drops turns whose retention has ended.
func (c *cache) expire(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.order.Back(); e != nil; {
		previous := e.Prev()
		if e.Value.(entry).expiresAt < now {
			c.drop(e)
		}
		e = previous
	}
}

func (c *cache) drop(e *list.Element) {
	t := e.Value.(entry).turn
	c.order.Remove(e)
	delete(c.entries, t.ID)
	c.bytes -= t.Size()
}
