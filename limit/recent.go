package limit

import "time"

const (
	// recentTTL is how long a granted request is kept at least, unless there are
	// too many.
	recentTTL = 10 * time.Second
	// maxRecentEntries bounds the requests in each of the two maps.
	maxRecentEntries = 1 << 14
)

type (
	// takeKey identifies a request.
	takeKey struct {
		id   uint64
		team string
	}

	// recentTakes holds the recently granted requests, so that one that is sent
	// again is not charged twice. When the current map is old or full it replaces
	// the previous one.
	recentTakes struct {
		current   map[takeKey]struct{}
		previous  map[takeKey]struct{}
		rotatedAt time.Time
	}
)

func newRecentTakes() *recentTakes {
	return &recentTakes{current: make(map[takeKey]struct{})}
}

func (rt *recentTakes) has(k takeKey) bool {
	if _, ok := rt.current[k]; ok {
		return true
	}
	_, ok := rt.previous[k]
	return ok
}

func (rt *recentTakes) add(k takeKey, now time.Time) {
	if now.Sub(rt.rotatedAt) >= recentTTL || len(rt.current) >= maxRecentEntries {
		rt.previous = rt.current
		rt.current = make(map[takeKey]struct{})
		rt.rotatedAt = now
	}
	rt.current[k] = struct{}{}
}
