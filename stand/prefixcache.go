package stand

import (
	"container/list"
	"slices"
	"strings"
)

const (
	// EventStored says that a prefix was stored or grew.
	EventStored EventKind = "stored"
	// EventEvicted says that a prefix is held no more: it made room for another
	// or was removed on request.
	EventEvicted EventKind = "evicted"
)

type (
	// EventKind is the kind of a CacheEvent.
	EventKind string

	// CacheEvent is one change of an engine's cache.
	CacheEvent struct {
		// Sequence numbers the events; gaps are events that got lost.
		Sequence int64     `json:"sequence"`
		Kind     EventKind `json:"kind"`
		Program  string    `json:"program"`
		Tokens   int       `json:"tokens"`
	}

	// CacheEntry is one prefix that an engine holds.
	CacheEntry struct {
		Program string `json:"program"`
		Tokens  int    `json:"tokens"`
		// Pinned says that a running call uses it.
		Pinned bool `json:"pinned"`
	}

	// CacheList is the answer to the listing of the cache.
	CacheList struct {
		// Sequence is the last event that the list reflects.
		Sequence int64        `json:"sequence"`
		Entries  []CacheEntry `json:"entries"`
	}

	// CacheEvents is the answer to the listing of events.
	CacheEvents struct {
		Events []CacheEvent `json:"events"`
	}

	// CacheBlob is an exported prefix.
	CacheBlob struct {
		Program string `json:"program"`
		Tokens  int    `json:"tokens"`
		Prefix  Prefix `json:"prefix"`
	}

	cached struct {
		program string
		prefix  Prefix
		users   int
	}

	// prefixCache holds one prefix a program in bounded memory; the least
	// recently used one that no call uses makes room.
	prefixCache struct {
		limit     int
		used      int
		evictions int64
		recent    *list.List
		entries   map[string]*list.Element
		notify    func(kind EventKind, program string, tokens int)
	}
)

func newPrefixCache(limit int, notify func(EventKind, string, int)) *prefixCache {
	return &prefixCache{
		limit:   limit,
		recent:  list.New(),
		entries: make(map[string]*list.Element),
		notify:  notify,
	}
}

func (c *prefixCache) get(program string) *cached {
	element := c.entries[program]
	if element == nil {
		return nil
	}
	return element.Value.(*cached)
}

func (c *prefixCache) shared(program string, prefix Prefix) int {
	entry := c.get(program)
	if entry == nil {
		return 0
	}
	return entry.prefix.shared(prefix)
}

// store keeps the prefix in place of the program's former one.
func (c *prefixCache) store(program string, prefix Prefix) {
	element := c.entries[program]
	if element == nil {
		element = c.recent.PushFront(&cached{program: program})
		c.entries[program] = element
	}
	entry := element.Value.(*cached)
	c.used += prefix.tokens() - entry.prefix.tokens()
	entry.prefix = prefix
	c.recent.MoveToFront(element)
	c.notify(EventStored, program, prefix.tokens())
	c.evict(element)
}

// use pins the program's prefix until release.
func (c *prefixCache) use(program string) {
	if entry := c.get(program); entry != nil {
		entry.users++
	}
}

func (c *prefixCache) release(program string) {
	if entry := c.get(program); entry != nil && entry.users > 0 {
		entry.users--
	}
}

func (c *prefixCache) evict(keep *list.Element) {
	for element := c.recent.Back(); element != nil && c.used > c.limit; {
		previous := element.Prev()
		if element != keep && element.Value.(*cached).users == 0 {
			c.evictions++
			c.drop(element)
		}
		element = previous
	}
}

func (c *prefixCache) remove(program string) bool {
	element := c.entries[program]
	if element == nil {
		return false
	}
	c.drop(element)
	return true
}

func (c *prefixCache) drop(element *list.Element) {
	entry := element.Value.(*cached)
	tokens := entry.prefix.tokens()
	c.used -= tokens
	c.recent.Remove(element)
	delete(c.entries, entry.program)
	c.notify(EventEvicted, entry.program, tokens)
}

func (c *prefixCache) list() []CacheEntry {
	entries := make([]CacheEntry, 0, len(c.entries))
	for element := c.recent.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*cached)
		entries = append(entries, CacheEntry{
			Program: entry.program,
			Tokens:  entry.prefix.tokens(),
			Pinned:  entry.users > 0,
		})
	}
	slices.SortFunc(entries, func(a, b CacheEntry) int { return strings.Compare(a.Program, b.Program) })
	return entries
}
