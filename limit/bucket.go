package limit

import "time"

type (
	// waiter is a request that waits for tokens.
	waiter struct {
		id       uint64
		tokens   float64
		deadline time.Time
	}

	// bucket is one team's bucket, up to date at the moment it was touched.
	bucket struct {
		team  string
		state *shardState
		grant Grant
		level float64
		// filled and order are the shard's when the bucket was touched.
		refreshedAt  int64
		refreshedSeq uint64
		// waiters are in the order in which they came.
		waiters []waiter
		// waitingTokens is what the waiters ask for together.
		waitingTokens float64
		// active and queued are places in the lists of Buckets.
		activeIndex int
		queued      bool
	}
)

// touch brings the level up to date.
func (b *bucket) refresh() {
	b.level = b.state.level(b.grant, b.level, b.refreshedAt, b.refreshedSeq)
	b.refreshedAt = b.state.shareTime
	b.refreshedSeq = b.state.seq
}

// regrant applies another grant; the level never rises by it.
func (b *bucket) setGrant(g Grant) {
	b.refresh()
	b.grant = g
	b.level = min(b.level, g.cap(b.state.share))
}

// idle says that the bucket holds what an untouched one does.
func (b *bucket) matchesUntouched() bool {
	if len(b.waiters) > 0 {
		return false
	}
	own := b.level + b.grant.refill(b.state.shareTime-b.refreshedAt)
	return own >= b.state.untouchedLevel(b.grant)
}

// take charges tokens if the level allows it.
func (b *bucket) take(tokens float64) bool {
	if b.level < tokens-levelTolerance {
		return false
	}
	b.level -= tokens
	return true
}

// wait returns how long it takes until more tokens are there, behind all that
// wait.
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
