package limit

import "time"

type (
	// waiter is a request that waits for tokens.
	waiter struct {
		id       uint64
		tokens   float64
		deadline time.Time
	}

	// bucket is one team's token bucket. Its level is only as recent as its last
	// refresh.
	bucket struct {
		team  string
		state *shardState
		grant Grant
		level float64
		// refreshedAt and refreshedSeq are the shard's share time and sequence
		// number at the last refresh.
		refreshedAt  int64
		refreshedSeq uint64
		// waiters are in order of arrival.
		waiters []waiter
		// waitingTokens is the sum of the tokens that the waiters ask for.
		waitingTokens float64
		// activeIndex is the index in SharedBuckets.active; queued reports whether
		// the bucket is in SharedBuckets.waiting.
		activeIndex int
		queued      bool
	}
)

// refresh brings the level up to date with the shard's share time and caps.
func (b *bucket) refresh() {
	b.level = b.state.level(b.grant, b.level, b.refreshedAt, b.refreshedSeq)
	b.refreshedAt = b.state.shareTime
	b.refreshedSeq = b.state.seq
}

// setGrant applies another grant. The level never rises by it.
func (b *bucket) setGrant(g Grant) {
	b.refresh()
	b.grant = g
	b.level = min(b.level, g.cap(b.state.share))
}

// matchesUntouched reports whether the bucket has as many tokens as one that was
// never taken from, so that it can be dropped.
func (b *bucket) matchesUntouched() bool {
	if len(b.waiters) > 0 {
		return false
	}
	level := b.level + b.grant.refill(b.state.shareTime-b.refreshedAt)
	return level >= b.state.untouchedLevel(b.grant)
}

// take removes tokens if the level suffices.
func (b *bucket) take(tokens float64) bool {
	if b.level < tokens-levelTolerance {
		return false
	}
	b.level -= tokens
	return true
}

// timeUntil returns the time until tokens are available after all waiters have
// been served, at most maxRetryAfter.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	missing := b.waitingTokens + tokens - b.level
	if missing <= 0 {
		return 0
	}
	rate := b.grant.RatePerSecond * clockDriftFactor
	if share := b.state.share; share > 0 {
		rate *= float64(share) / fullShare
	}
	seconds := missing / rate
	if rate <= 0 || seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}

func (b *bucket) findWaiter(id uint64) int {
	for i, w := range b.waiters {
		if w.id == id {
			return i
		}
	}
	return -1
}
