package limit

import (
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
)

const (
	// recoverySpan is how long fresh authority counts as recovering at least. A
	// team that uses most of its rate makes up for a lost burst only slowly.
	minRecoveryTime = time.Minute
	// jitterWait is how long a request may wait for tokens at any time. It makes
	// up for messages that overtake each other and for clocks that differ.
	maxJitterWait = 100 * time.Millisecond
	// longestRetry is the longest RetryAfter.
	maxRetryAfter = time.Hour
	// mostWaiters is the most requests of one team that wait.
	maxWaiters = 4096
	// sweepBuckets is how many buckets a tick checks for having filled up.
	bucketsPerSweep = 64
)

type (
	// Buckets are the buckets of the teams whose home is this instance.
	Buckets = SharedBuckets[Majority]

	// SharedBuckets are buckets under a rule for what seats are worth. They are
	// not safe for concurrent use: their owner guards them. Only buckets that
	// are not full take memory.
	SharedBuckets[S Share] struct {
		share  S
		shards [fleet.ShardCount]*shardState
		recent *recentTakes
		// active are all buckets, waiting those with waiters.
		active       []*bucket
		waiting      []*bucket
		sweepCursor  int
		movedReplies []TakeReply
	}
)

// NewBuckets returns buckets without any authority.
func NewBuckets() *Buckets { return NewSharedBuckets(Majority{}) }

// NewSharedBuckets returns buckets under a rule, without any authority.
func NewSharedBuckets[S Share](share S) *SharedBuckets[S] {
	return &SharedBuckets[S]{share: share, recent: newRecentTakes()}
}

// SetAuthority follows a fleet.AuthorityChange.
func (b *SharedBuckets[S]) SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time) {
	st := b.stateAt(s, now)
	a = a.At(now)
	st.setShare(b.share.Of(a.Seats))
	st.authority = a
	if a.Handover != 0 {
		st.lastHandover = a.Handover
	}
	b.applyPending(st)
}

// Take asks for tokens. The reply is final unless it says Waiting; then a later
// Tick gives the final reply. The time is read right before the call.
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

// Cancel drops a waiting request whose asker is gone.
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

// SetGrant follows a change of a team's grant in the text. Call it for each
// team whose grant changed; it keeps the team from gaining a burst by it.
func (b *SharedBuckets[S]) SetGrant(s fleet.Shard, team string, old, grant Grant, now time.Time) {
	st := b.stateAt(s, now)
	if st.teams[team] == nil && st.untouchedLevel(grant) <= st.untouchedLevel(old) {
		return
	}
	b.bucketFor(st, team, old).setGrant(grant)
}

// Len returns the number of buckets that take memory.
func (b *SharedBuckets[S]) Len() int { return len(b.active) }

// waitOrRefuse queues a request if it may be served in time.
func (b *SharedBuckets[S]) waitOrRefuse(bucket *bucket, r TakeRequest, now time.Time) TakeReply {
	wait := bucket.timeUntil(r.Tokens)
	recovering := bucket.state.recovering(r.Grant, now)
	longest := min(r.MaxWait, maxJitterWait)
	if recovering {
		longest = r.MaxWait
	}
	fits := r.Tokens <= r.Grant.Burst && len(bucket.waiters) < maxWaiters
	if !fits || wait > longest {
		return TakeReply{ID: r.ID, Verdict: Refused, RetryAfter: wait, Recovering: recovering}
	}
	until := now.Add(r.MaxWait)
	bucket.waitingTokens += r.Tokens
	bucket.waiters = append(bucket.waiters, waiter{id: r.ID, tokens: r.Tokens, deadline: until})
	if !bucket.queued {
		bucket.queued = true
		b.waiting = append(b.waiting, bucket)
	}
	return TakeReply{ID: r.ID, Verdict: Waiting, Until: until}
}

// serve grants a bucket's waiters in turn and refuses those whose time is over.
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

// sweep drops a few buckets that have filled up.
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

// drop forgets a bucket.
func (b *SharedBuckets[S]) drop(bucket *bucket) {
	last := len(b.active) - 1
	b.active[bucket.activeIndex] = b.active[last]
	b.active[bucket.activeIndex].activeIndex = bucket.activeIndex
	b.active[last] = nil
	b.active = b.active[:last]
	delete(bucket.state.teams, bucket.team)
}

// bucket returns the team's bucket, up to date and under the grant.
func (b *SharedBuckets[S]) bucketFor(st *shardState, team string, g Grant) *bucket {
	have := st.teams[team]
	if have == nil {
		have = &bucket{team: team, state: st, grant: g, level: st.untouchedLevel(g)}
		have.refreshedAt = st.shareTime
		have.refreshedSeq = st.seq
		have.activeIndex = len(b.active)
		b.active = append(b.active, have)
		st.teams[team] = have
		return have
	}
	if have.grant != g {
		have.setGrant(g)
		return have
	}
	have.refresh()
	return have
}

// state returns a shard's state as it is at a moment.
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
