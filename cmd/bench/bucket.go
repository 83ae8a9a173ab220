package main

import (
	"math"
	"time"
)

// bucket is an exact token bucket over all of a team's calls. It begins full.
// Calls under way count as granted. One that was rightly refused gives its token
// back; one that was wrongfully refused keeps it for its next attempt.
type bucket struct {
	ratePerSecond float64
	burst         float64
	level         float64
	at            time.Time
}

func newBucket(ratePerSecond, burst float64, now time.Time) *bucket {
	return &bucket{ratePerSecond: ratePerSecond, burst: burst, level: burst, at: now}
}

// take takes a token and says whether the call is within the grant.
func (b *bucket) take(now time.Time) bool {
	b.advance(now)
	within := b.level >= 1
	b.level--
	return within
}

// giveBack returns the token of a rightly refused call.
func (b *bucket) giveBack(now time.Time) {
	b.advance(now)
	b.level = math.Min(b.burst, b.level+1)
}

func (b *bucket) advance(now time.Time) {
	if now.Before(b.at) {
		return
	}
	b.level = math.Min(b.burst, b.level+b.ratePerSecond*now.Sub(b.at).Seconds())
	b.at = now
}
