package limit

import (
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
)

const (
	// minRecoveryTime is how long new authority counts as recovering at least. A
	// team that uses most of its rate regains a lost burst only slowly.
	minRecoveryTime = time.Minute
	// maxJitterWait is how long a request may wait for tokens even without
	// recovery. It absorbs reordered messages and differences between clocks.
	maxJitterWait = 100 * time.Millisecond
	// maxRetryAfter is the upper bound of RetryAfter.
	maxRetryAfter = time.Hour
	// maxWaiters bounds the waiting requests of one team.
	maxWaiters = 4096
	// bucketsPerSweep is how many buckets a tick checks for being full.
	bucketsPerSweep = 64
)

type (
	// Buckets are the buckets of the teams whose home is this instance.
	Buckets = SharedBuckets[Majority]

	// SharedBuckets are buckets whose refill follows from a Share. They are not
	// safe for concurrent use: their owner guards them. Only buckets that are not
	// full take memory.
	SharedBuckets[S Share] struct {
		share  S
		shards [fleet.ShardCount]*shardState
		recent *recentTakes
		// active holds all buckets, waiting those with waiters.
		active       []*bucket
		waiting      []*bucket
		sweepCursor  int
		movedReplies []TakeReply
	}
)

// NewBuckets returns buckets without any authority.
func NewBuckets() *Buckets { return NewSharedBuckets(Majority{}) }

// NewSharedBuckets returns buckets with a Share, without any authority.
func NewSharedBuckets[S Share](share S) *SharedBuckets[S] {
	return &SharedBuckets[S]{share: share, recent: newRecentTakes()}
}

// SetAuthority applies a fleet.AuthorityChange.
func (b *SharedBuckets[S]) SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time) {
	st := b.stateAt(s, now)
	a = a.At(now)
	st.setShare(b.share.Of(a.Slots))
	st.authority = a
	if a.Handover != 0 {
		st.lastHandover = a.Handover
	}
	b.applyPending(st)
}

// Take requests tokens. The reply is final unless its verdict is Waiting; then a
// later Tick returns the final reply. The time is read right before the call.
func (b *SharedBuckets[S]) Take(r TakeRequest, now time.Time) TakeReply {
	key := takeKey{id: r.ID, team: r.Team}
	if b.recent.has(key) {
		return TakeReply{ID: r.ID, Verdict: Granted}
	}
	if !(r.Tokens > 0) {
		r.Tokens = 1
	}
	bucket := b.bucketFor(b.stateAt(r.Shard, now), r.Team, r.Grant)
	if i := bucket.findWaiter(r.ID); i >= 0 {
		return TakeReply{ID: r.ID, Verdict: Waiting, Until: bucket.waiters[i].deadline}
	}
	if len(bucket.waiters) == 0 && bucket.take(r.Tokens) {
		b.recent.add(key, now)
		return TakeReply{ID: r.ID, Verdict: Granted}
	}
	return b.waitOrRefuse(bucket, r, now)
}

// Cancel drops a waiting request whose requester has given up.
func (b *SharedBuckets[S]) Cancel(s fleet.Shard, team string, id uint64) {
	st := b.shards[s]
	if st == nil || st.teams[team] == nil {
		return
	}
	bucket := st.teams[team]
	if i := bucket.findWaiter(id); i >= 0 {
		bucket.waitingTokens -= bucket.waiters[i].tokens
		bucket.waiters = slices.Delete(bucket.waiters, i, i+1)
	}
}

// Tick decides the waiting requests that are due and returns their replies.
func (b *SharedBuckets[S]) Tick(now time.Time) []TakeReply {
	replies := b.movedReplies
	b.movedReplies = nil
	kept := b.waiting[:0]
	for _, bucket := range b.waiting {
		if bucket.queued {
			replies = b.serveWaiters(bucket, replies, now)
		}
		if len(bucket.waiters) > 0 {
			kept = append(kept, bucket)
			continue
		}
		bucket.queued = false
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
	b.sweep(now)
	return replies
}

// SetGrant applies a change of a team's grant in the configuration text. It must
// be called for each team whose grant changed, so that the change does not give
// the team another burst.
func (b *SharedBuckets[S]) SetGrant(s fleet.Shard, team string, old, grant Grant, now time.Time) {
	st := b.stateAt(s, now)
	if st.teams[team] == nil && st.untouchedLevel(grant) <= st.untouchedLevel(old) {
		return
	}
	b.bucketFor(st, team, old).setGrant(grant)
}

// Len returns the number of buckets that take memory.
func (b *SharedBuckets[S]) Len() int { return len(b.active) }

// waitOrRefuse queues a request if it can be served in time and refuses it
// otherwise.
func (b *SharedBuckets[S]) waitOrRefuse(bucket *bucket, r TakeRequest, now time.Time) TakeReply {
	wait := bucket.timeUntil(r.Tokens)
	recovering := bucket.state.recovering(r.Grant, now)
	maxWait := min(r.MaxWait, maxJitterWait)
	if recovering {
		maxWait = r.MaxWait
	}
	fits := r.Tokens <= r.Grant.Burst && len(bucket.waiters) < maxWaiters
	if !fits || wait > maxWait {
		return TakeReply{ID: r.ID, Verdict: Refused, RetryAfter: wait, Recovering: recovering}
	}
	deadline := now.Add(r.MaxWait)
	bucket.waitingTokens += r.Tokens
	bucket.waiters = append(bucket.waiters, waiter{id: r.ID, tokens: r.Tokens, deadline: deadline})
	if !bucket.queued {
		bucket.queued = true
		b.waiting = append(b.waiting, bucket)
	}
	return TakeReply{ID: r.ID, Verdict: Waiting, Until: deadline}
}

// serveWaiters grants a bucket's waiters in order and refuses those past their
// deadline.
func (b *SharedBuckets[S]) serveWaiters(bucket *bucket, replies []TakeReply, now time.Time) []TakeReply {
	bucket.state.advance(now)
	bucket.refresh()
	kept := bucket.waiters[:0]
	blocked := false
	bucket.waitingTokens = 0
	for _, w := range bucket.waiters {
		switch {
		case !now.Before(w.deadline):
			replies = append(replies, TakeReply{
				ID: w.id, Verdict: Refused, RetryAfter: bucket.timeUntil(w.tokens),
				Recovering: bucket.state.recovering(bucket.grant, now),
			})
		case !blocked && bucket.take(w.tokens):
			b.recent.add(takeKey{id: w.id, team: bucket.team}, now)
			replies = append(replies, TakeReply{ID: w.id, Verdict: Granted})
		default:
			blocked = true
			kept = append(kept, w)
			bucket.waitingTokens += w.tokens
		}
	}
	bucket.waiters = kept
	return replies
}

// sweep checks a few buckets and drops those that are full.
func (b *SharedBuckets[S]) sweep(now time.Time) {
	for range min(bucketsPerSweep, len(b.active)) {
		if b.sweepCursor >= len(b.active) {
			b.sweepCursor = 0
		}
		bucket := b.active[b.sweepCursor]
		bucket.state.advance(now)
		if bucket.matchesUntouched() && !bucket.queued {
			b.drop(bucket)
			continue
		}
		b.sweepCursor++
	}
}

// drop removes a bucket; another one takes its place in active.
func (b *SharedBuckets[S]) drop(bucket *bucket) {
	last := len(b.active) - 1
	b.active[bucket.activeIndex] = b.active[last]
	b.active[bucket.activeIndex].activeIndex = bucket.activeIndex
	b.active[last] = nil
	b.active = b.active[:last]
	delete(bucket.state.teams, bucket.team)
}

// bucketFor returns the team's bucket, refreshed and with the given grant.
func (b *SharedBuckets[S]) bucketFor(st *shardState, team string, g Grant) *bucket {
	teamBucket := st.teams[team]
	if teamBucket == nil {
		teamBucket = &bucket{team: team, state: st, grant: g, level: st.untouchedLevel(g)}
		teamBucket.refreshedAt = st.shareTime
		teamBucket.refreshedSeq = st.seq
		teamBucket.activeIndex = len(b.active)
		b.active = append(b.active, teamBucket)
		st.teams[team] = teamBucket
		return teamBucket
	}
	if teamBucket.grant != g {
		teamBucket.setGrant(g)
		return teamBucket
	}
	teamBucket.refresh()
	return teamBucket
}

// stateAt returns a shard's state, advanced to now.
func (b *SharedBuckets[S]) stateAt(s fleet.Shard, now time.Time) *shardState {
	st := b.shards[s]
	if st == nil {
		st = newShardState()
		st.updatedAt = now
		b.shards[s] = st
	}
	st.advance(now)
	return st
}
