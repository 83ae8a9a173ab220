package limit

import "time"

const (
	// memorySpan is how long a granted request is remembered at least, unless
	// there are too many.
	recentTTL = 10 * time.Second
	// memoryEntries is the most requests that one half of a memory holds.
	maxRecentEntries = 1 << 14
)

type (
	// takeKey names a request.
	takeKey struct {
		id   uint64
		team string
	}

	// memory remembers the requests that were granted lately. It keeps two
	// halves and drops the older one when the younger one is old or full.
	recentTakes struct {
		current   map[takeKey]struct{}
		previous  map[takeKey]struct{}
		rotatedAt time.Time
	}
)

func newRecentTakes() *recentTakes {
	return &recentTakes{current: make(map[takeKey]struct{})}
}

func (m *recentTakes) has(k takeKey) bool {
	if _, ok := m.current[k]; ok {
		return true
	}
	_, ok := m.previous[k]
	return ok
}

func (m *recentTakes) add(k takeKey, now time.Time) {
	if now.Sub(m.rotatedAt) >= recentTTL || len(m.current) >= maxRecentEntries {
		m.previous = m.current
		m.current = make(map[takeKey]struct{})
		m.rotatedAt = now
	}
	m.current[k] = struct{}{}
}
