package limit

import "time"

const (
	// memorySpan is how long a granted request is remembered at least, unless
	// there are too many.
	memorySpan = 10 * time.Second
	// memoryEntries is the most requests that one half of a memory holds.
	memoryEntries = 1 << 14
)

type (
	// takeKey names a request.
	takeKey struct {
		id   uint64
		team string
	}

	// memory remembers the requests that were granted lately. It keeps two
	// halves and drops the older one when the younger one is old or full.
	memory struct {
		young map[takeKey]struct{}
		old   map[takeKey]struct{}
		since time.Time
	}
)

func newMemory() *memory {
	return &memory{young: make(map[takeKey]struct{})}
}

func (m *memory) has(k takeKey) bool {
	if _, ok := m.young[k]; ok {
		return true
	}
	_, ok := m.old[k]
	return ok
}

func (m *memory) add(k takeKey, now time.Time) {
	if now.Sub(m.since) >= memorySpan || len(m.young) >= memoryEntries {
		m.old = m.young
		m.young = make(map[takeKey]struct{})
		m.since = now
	}
	m.young[k] = struct{}{}
}
