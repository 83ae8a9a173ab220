package share

import "time"

// Prospects of a request without a token taken.
const (
	// HasToken: the instance's share has a token for the request.
	HasToken Prospect = iota
	// NeedsLoan: the request needs a token that a holder lends or earns in time.
	NeedsLoan
	// Exhausted: the holders are known to have no token for the request.
	Exhausted
)

// Prospect is whether a quota would admit a request.
type Prospect int

// Peek returns the level of the instance's share, and whether it would admit a
// request. It works on a copy, so that it takes nothing.
func (b *Buckets) Peek(q Quota, opens bool, now time.Duration) (Level, Prospect) {
	scratch := b.copyOf(q)
	level := scratch.Level(q, now)
	switch {
	case scratch.Take(q, opens, now):
		return level, HasToken
	case scratch.Exhausted(q, opens, now):
		return level, Exhausted
	default:
		return level, NeedsLoan
	}
}

// copyOf returns a copy of the buckets with that of the quota only.
func (b *Buckets) copyOf(q Quota) *Buckets {
	scratch := NewBuckets(b.place, b.started)
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, ok := b.buckets[q.Name]; ok {
		copied := *k
		scratch.buckets[q.Name] = &copied
	}
	return scratch
}
