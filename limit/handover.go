package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
)

// Export gives up a shard for a planned handover and returns its levels. The
// next Tick answers the shard's waiting requests with Moved.
func (b *SharedBuckets[S]) Export(s fleet.Shard, handover uint64, now time.Time) Levels {
	st := b.stateAt(s, now)
	l := Levels{Handover: handover, Shard: s}
	if st.share == fullShare {
		l.ShareTime = st.shareTime - st.caps[len(st.caps)-1].at
		l.Teams = st.exportLevels()
	}
	for _, team := range st.teamNames() {
		bucket := st.teams[team]
		b.moveWaiters(bucket)
		b.drop(bucket)
	}
	st.setShare(0)
	st.authority = fleet.Authority{}
	st.pending = nil
	return l
}

// Import applies the levels of a planned handover, at most once. They stay
// pending until this home has the full share and the fleet reports that the
// slots for it were transferred directly from the previous home.
//
// Exported tokens belong to no bucket until they are imported. This home may
// have added tokens meanwhile, and these and the imported ones together must
// not exceed one burst, so the tokens it added are deducted. Their number is
// known only for unbroken authority, so a break ends the handover.
func (b *SharedBuckets[S]) Import(l Levels, now time.Time) {
	st := b.stateAt(l.Shard, now)
	if l.Handover == 0 || l.Handover == st.closedHandover {
		return
	}
	st.pending = &l
	b.applyPending(st)
}

// applyPending applies the pending levels if their slots have been delegated to
// this home.
func (b *SharedBuckets[S]) applyPending(st *shardState) {
	l := st.pending
	if l == nil || l.Handover == st.closedHandover || st.share != fullShare || st.authority.Handover != l.Handover {
		return
	}
	if b.share.Of(st.authority.HandedSlots) != fullShare || st.caps[0].share != 0 {
		return
	}
	st.pending = nil
	st.closedHandover = l.Handover
	own := st.shareTime - st.caps[0].at
	listed := make(map[string]bool, len(l.Teams))
	for _, t := range l.Teams {
		listed[t.Team] = true
		g := t.Grant
		if teamBucket := st.teams[t.Team]; teamBucket != nil {
			g = teamBucket.grant
		}
		b.bucketFor(st, t.Team, g).credit(t.Level, own)
	}
	for team, teamBucket := range st.teams {
		if !listed[team] {
			teamBucket.refresh()
			teamBucket.credit(min(teamBucket.grant.Burst, teamBucket.grant.refill(l.ShareTime)), own)
		}
	}
	st.carryOver(l.ShareTime)
}

// carryOver makes untouched buckets refill as if the full share had also lasted
// for the share time at the previous home. Tokens that were added here before
// the share was full are left out.
func (st *shardState) carryOver(shareTime int64) {
	st.seq++
	for _, teamBucket := range st.teams {
		teamBucket.refreshedSeq = st.seq
	}
	last := st.caps[len(st.caps)-1]
	st.caps = append(st.caps[:0], levelCap{at: last.at - shareTime, seq: st.seq})
}

// credit adds imported tokens to a refreshed bucket; own is the share time that
// this home has accumulated so far.
func (b *bucket) credit(tokens float64, own int64) {
	capacity := max(b.grant.Burst-b.grant.refill(own), 0)
	b.level = min(b.level+min(max(tokens, 0), capacity), b.grant.Burst)
}

// teamNames returns the teams with a bucket, sorted.
func (st *shardState) teamNames() []string {
	return slices.Sorted(maps.Keys(st.teams))
}

// exportLevels returns the levels of all buckets that take memory.
func (st *shardState) exportLevels() []TeamLevel {
	levels := make([]TeamLevel, 0, len(st.teams))
	for _, team := range st.teamNames() {
		b := st.teams[team]
		b.refresh()
		levels = append(levels, TeamLevel{Team: b.team, Grant: b.grant, Level: b.level})
	}
	return levels
}

// moveWaiters queues the verdict Moved for a bucket's waiters.
func (b *SharedBuckets[S]) moveWaiters(bucket *bucket) {
	for _, w := range bucket.waiters {
		b.movedReplies = append(b.movedReplies, TakeReply{ID: w.id, Verdict: Moved})
	}
	bucket.waiters = nil
	bucket.waitingTokens = 0
}
