// Package share is a distributed rate limiter. A quota's rate and burst are
// divided among some instances, its holders, which lend unused tokens to one
// another. The instances together never admit more than the rate, even if some
// fail or are partitioned, without synchronized clocks or leases.
package share

import (
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// maxHolders bounds the instances that a lent quota is divided among, and so
	// the calls that a borrower makes.
	maxHolders = 4
	// maxLocalHolders is the same for quotas without a window, which aren't lent.
	maxLocalHolders = 12
	// minHolderBurst is the minimum burst of a holder's share, so that no share is
	// too small to admit a request.
	minHolderBurst = 2.0
	// initialFill is the filled fraction of a bucket when the instance starts. The
	// usage of the last window is unknown then, and a restarted instance may have
	// just used its share.
	initialFill = 0.3
	// demandWindow is the time over which a bucket's usage is averaged.
	demandWindow = 2 * time.Second
	// retainedUsage is the time's worth of its own usage that a lender keeps.
	retainedUsage = 150 * time.Millisecond
	// borrowAhead is the time's worth of its usage that a borrower requests.
	borrowAhead = 200 * time.Millisecond
	// borrowedTTL is how long borrowed tokens count on top of the bucket's own.
	// After that they only fill its remaining burst. It bounds how far all
	// instances together can exceed the burst.
	borrowedTTL = time.Second
	// idleBucketTTL is how long an unused bucket is kept.
	idleBucketTTL = time.Minute
	// throttledDuration is how long no program may open after a running one had to
	// wait for the quota: about the time between two requests of a program.
	throttledDuration = 300 * time.Millisecond
	// burstFraction is the fraction of a burst that can be used at once.
	burstFraction = 0.4
	// openingReserve is the fraction of the burst that a new program must leave
	// to running ones.
	openingReserve = 0.25
	// lowUsageFraction is the fraction of the window's limit below which a team is
	// assumed to stay within its quota.
	lowUsageFraction = 0.6
	// tokenTolerance is the rounding error allowed in a token that is the sum of
	// several loans.
	tokenTolerance = 1e-6
	// minAheadUsage is how many requests must be expected within borrowedTTL for
	// tokens to be borrowed in advance, and minAheadTokens the minimum number of
	// these. Tokens unused by then are lost at an instance without a share of its
	// own.
	minAheadUsage  = 2.0
	minAheadTokens = 1.0
)

type (
	// Quota is a rate limit over all instances.
	Quota struct {
		// Name is the same on every instance.
		Name string
		// Rate is in requests per second.
		Rate float64
		// Burst is in requests.
		Burst float64
		// Limit is the number of requests admitted in any Window; 0 means no limit.
		Limit  float64
		Window time.Duration
	}

	// Buckets are the instance's shares of all quotas. It is safe for concurrent
	// use; times are on the clock of common.Uptime.
	Buckets struct {
		// place returns the instance's rank in the rendezvous order of the name, and
		// the number of instances.
		place   func(name string) (place, members int)
		started time.Duration
		mu      sync.Mutex
		buckets map[string]*bucket
		sweepAt time.Duration
	}

	// Level is the state of an instance's share of a quota.
	Level struct {
		// Tokens are the instance's own, Borrowed those lent by other instances.
		Tokens   float64
		Borrowed float64
		// Given are the own tokens used or lent in the last window, of at most
		// Limit.
		Given float64
		Limit float64
		// Throttled is how long no program may open at this instance.
		Throttled time.Duration
	}

	bucket struct {
		tokens   float64
		filledAt time.Duration
		borrowed float64
		// borrowedUntil is when the borrowed tokens expire.
		borrowedUntil time.Duration
		// usage is in requests per second, as of usageAt.
		usage   float64
		usageAt time.Duration
		rate    float64
		burst   float64
		// given are the own tokens used or lent in the last window, of at most
		// limit.
		given window
		limit float64
		// throttledUntil is when programs may open again.
		throttledUntil time.Duration
		// exhausted is until when the holders have no token, for requests of
		// running programs and for those that open one.
		exhausted struct{ running, opening time.Duration }
	}
)

// NewQuota returns the quota that admits up to rate x window + burst requests
// in every window, and part of the burst at once. Its rate spreads the whole
// limit evenly over the window, so that a team that sends steadily gets all of it.
func NewQuota(name string, rate, burst float64, window time.Duration) Quota {
	limit := rate*window.Seconds() + burst
	return Quota{
		Name:   name,
		Rate:   limit / window.Seconds(),
		Burst:  max(1, burst*burstFraction),
		Limit:  limit,
		Window: window,
	}
}

// NewBuckets returns an instance's buckets. Place returns the instance's rank in
// the rendezvous order of the name, and the number of instances. Buckets fill from
// the start of the instance.
func NewBuckets(place func(name string) (place, members int), started time.Duration) *Buckets {
	return &Buckets{place: place, started: started, buckets: make(map[string]*bucket)}
}

// Holders returns the number of instances that the quota is divided among.
func (q Quota) Holders(members int) int {
	most := maxHolders
	if q.Limit <= 0 {
		most = maxLocalHolders
	}
	return max(1, min(members, most, int(q.Burst/minHolderBurst)))
}

// Holds reports whether the instance has a share of the quota.
func (b *Buckets) Holds(q Quota) bool {
	place, members := b.place(q.Name)
	return place < q.Holders(members)
}

// Take takes a token for one request and reports whether there was one. A request
// that opens a program also needs a reserve to be left for running programs, and
// is refused while the quota is throttled.
func (b *Buckets) Take(q Quota, opens bool, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(q, now)
	if opens && (now < k.throttledUntil || k.tokens+k.borrowed < 1-tokenTolerance+openingReserve*k.burst) {
		return false
	}
	if !k.take() {
		return false
	}
	k.countRequest(now)
	return true
}

// Return puts back the token of a request that didn't run.
func (b *Buckets) Return(q Quota, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(q, now)
	k.tokens++
	k.given.add(-1)
}

// Want returns how many tokens the instance should borrow for a request that has
// none, and for those that it expects soon.
func (b *Buckets) Want(q Quota, now time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(q, now)
	want := 1 - k.borrowed
	if usage := k.recentUsage(now); usage*borrowedTTL.Seconds() >= minAheadUsage {
		want += max(minAheadTokens, usage*borrowAhead.Seconds())
	}
	return want
}

// Borrowed adds the tokens of a loan and takes one for the request that it was made
// for. It returns false if they don't suffice.
func (b *Buckets) Borrowed(q Quota, tokens float64, now time.Duration) bool {
	if tokens <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(q, now)
	k.borrowed += tokens
	k.borrowedUntil = now + borrowedTTL
	if !k.take() {
		return false
	}
	k.countRequest(now)
	return true
}

// SetExhausted records until when the holders have no token for a request.
func (b *Buckets) SetExhausted(q Quota, opens bool, now, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*b.bucket(q, now).exhaustedUntil(opens) = until
}

// Exhausted reports whether the holders are known to have no token for a request.
func (b *Buckets) Exhausted(q Quota, opens bool, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *b.bucket(q, now).exhaustedUntil(opens) > now
}

func (k *bucket) exhaustedUntil(opens bool) *time.Duration {
	if opens {
		return &k.exhausted.opening
	}
	return &k.exhausted.running
}

// Throttle keeps programs from opening for the duration, because a running one
// waits for the quota at this or another instance. A holder at which the team
// stays well within its quota ignores it.
func (b *Buckets) Throttle(q Quota, now, throttled time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(q, now)
	if k.lowUsage() {
		return
	}
	k.throttledUntil = max(k.throttledUntil, now+throttled)
}

// Level returns the state of the instance's share of the quota.
func (b *Buckets) Level(q Quota, now time.Duration) Level {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(q, now)
	return Level{
		Tokens:    k.tokens,
		Borrowed:  k.borrowed,
		Given:     k.given.sum,
		Limit:     k.limit,
		Throttled: max(0, k.throttledUntil-now),
	}
}

// String formats the level for a log line.
func (l Level) String() string {
	return fmt.Sprintf("%.2f own and %.2f borrowed tokens, %.1f of %.1f given, no openings for %d ms",
		l.Tokens, l.Borrowed, l.Given, l.Limit, l.Throttled.Milliseconds())
}

// Throttled returns how long no program may open at this instance.
func (b *Buckets) Throttled(q Quota, now time.Duration) time.Duration {
	return b.Level(q, now).Throttled
}

// Lend takes tokens out for another instance, or for a request of this one that
// must wait. Without a whole token it promises the next one that it earns, if that
// is within the asker's timeout: all requests of the team then form one queue at
// each holder, and none of them asks twice. It lends no less than a token or what
// is wanted, since the fractions that several borrowers hold would add up to
// requests that none of them can send.
func (b *Buckets) Lend(q Quota, a Ask, now time.Duration) Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(q, now)
	if k.rate <= 0 {
		return Loan{Wait: maxBorrowBackoff}
	}
	spare := k.tokens - k.recentUsage(now)*retainedUsage.Seconds()
	if a.Opens {
		spare -= openingReserve * k.burst
	}
	throttled := max(0, k.throttledUntil-now)
	if !a.Opens || throttled == 0 {
		tokens := a.Want
		if spare < a.Want-tokenTolerance {
			tokens = math.Floor(spare + tokenTolerance)
		}
		if tokens > 0 {
			k.spend(tokens)
			return Loan{Tokens: tokens, Throttled: throttled}
		}
	}
	wait := time.Duration((min(1, a.Want) - spare) / k.rate * float64(time.Second))
	if a.Opens {
		wait = max(wait, throttled)
	}
	if wait > a.MaxWait {
		return Loan{Wait: wait, Spare: max(0, spare), Throttled: throttled}
	}
	tokens := min(1, a.Want)
	k.tokens -= tokens
	k.given.addAhead(tokens, wait, q.Window)
	if !a.Opens && !k.lowUsage() {
		k.throttledUntil = max(k.throttledUntil, now+wait+throttledDuration)
	}
	return Loan{Tokens: tokens, Wait: wait, Throttled: throttled}
}

// Wait returns the time in which all instances together earn one token.
func (q Quota) Wait() time.Duration {
	if q.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / q.Rate)
}

func (b *Buckets) bucket(q Quota, now time.Duration) *bucket {
	k, known := b.buckets[q.Name]
	if !known {
		b.sweep(now)
		k = &bucket{filledAt: b.started, usageAt: now}
		b.buckets[q.Name] = k
	}
	b.setShare(k, q)
	if !known {
		k.tokens = initialFill * k.burst
	}
	k.fill(q, now)
	return k
}

// setShare sets the instance's share of the quota.
func (b *Buckets) setShare(k *bucket, q Quota) {
	place, members := b.place(q.Name)
	holders := q.Holders(members)
	if place >= holders {
		k.rate, k.burst, k.limit = 0, 0, 0
		return
	}
	k.rate, k.burst, k.limit = q.Rate/float64(holders), max(1, q.Burst/float64(holders)), q.Limit/float64(holders)
}

func (b *Buckets) sweep(now time.Duration) {
	if now < b.sweepAt {
		return
	}
	b.sweepAt = now + idleBucketTTL
	for name, k := range b.buckets {
		if now-k.filledAt > idleBucketTTL {
			delete(b.buckets, name)
		}
	}
}

// fill adds the tokens earned until now, within the burst and the window's limit,
// and expires unused loans.
func (k *bucket) fill(q Quota, now time.Duration) {
	bounded := q.Limit > 0
	if bounded {
		k.given.advance(now, q.Window)
	}
	if now > k.filledAt {
		k.tokens += k.rate * (now - k.filledAt).Seconds()
		k.filledAt = now
	}
	k.tokens = min(k.tokens, k.burst)
	if now >= k.borrowedUntil {
		unused := min(k.borrowed, max(0, k.burst-k.tokens))
		k.tokens += unused
		// The lender has already counted them.
		k.given.add(-unused)
		k.borrowed = 0
	}
	if bounded {
		k.tokens = min(k.tokens, max(0, k.limit-k.given.sum))
	}
}

// countRequest adds a request to the average usage.
func (k *bucket) countRequest(now time.Duration) {
	k.usage = k.recentUsage(now) + 1/demandWindow.Seconds()
	k.usageAt = now
}

// recentUsage returns the average usage as of now, in requests per second.
func (k *bucket) recentUsage(now time.Duration) float64 {
	since := now - k.usageAt
	return k.usage * max(0, 1-since.Seconds()/demandWindow.Seconds())
}

func (k *bucket) take() bool {
	switch {
	case k.borrowed >= 1-tokenTolerance:
		k.borrowed = max(0, k.borrowed-1)
	case k.tokens+k.borrowed >= 1-tokenTolerance:
		k.spend(1 - k.borrowed)
		k.borrowed = 0
	default:
		return false
	}
	return true
}

// lowUsage reports whether the team seems to stay within its quota, so that a
// request without a token only met a short burst. It is false if the instance has
// no share of the quota and so can't know.
func (k *bucket) lowUsage() bool { return k.given.sum < lowUsageFraction*k.limit }

// spend takes tokens from the instance's own.
func (k *bucket) spend(tokens float64) {
	k.tokens -= tokens
	k.given.add(tokens)
}
