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

// Import takes the levels of a planned handover, once. They count only with
// the full share and only for seats that the fleet says came straight from the
// previous home; until then they are kept.
//
// The tokens on their way belong to no bucket. The next home may have minted
// meanwhile, and what it minted and what comes in must not exceed one burst
// together, so the part that it minted is taken off. What it minted is known
// only for its unbroken authority, so a break ends the handover.
func (b *SharedBuckets[S]) Import(l Levels, now time.Time) {
	st := b.stateAt(l.Shard, now)
	if l.Handover == 0 || l.Handover == st.closedHandover {
		return
	}
	st.pending = &l
	b.applyPending(st)
}

// settle applies the pending levels if their seats are here.
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
		if have := st.teams[t.Team]; have != nil {
			g = have.grant
		}
		b.bucketFor(st, t.Team, g).credit(t.Level, own)
	}
	for team, have := range st.teams {
		if !listed[team] {
			have.refresh()
			have.credit(min(have.grant.Burst, have.grant.refill(l.ShareTime)), own)
		}
	}
	st.carryOver(l.ShareTime)
}

// carry makes untouched buckets fill as if the authority had been here all the
// time, but for what was minted before the share was full.
func (st *shardState) carryOver(filled int64) {
	st.seq++
	for _, have := range st.teams {
		have.refreshedSeq = st.seq
	}
	last := st.caps[len(st.caps)-1]
	st.caps = append(st.caps[:0], levelCap{at: last.at - filled, seq: st.seq})
}

// receive adds tokens on their way to a bucket that is up to date; own is what
// this home's authority filled so far.
func (b *bucket) credit(tokens float64, own int64) {
	room := max(b.grant.Burst-b.grant.refill(own), 0)
	b.level = min(b.level+min(max(tokens, 0), room), b.grant.Burst)
}

// names are the teams with a bucket, in order.
func (st *shardState) teamNames() []string {
	return slices.Sorted(maps.Keys(st.teams))
}

// export lists the levels of the buckets that are not full.
func (st *shardState) exportLevels() []TeamLevel {
	levels := make([]TeamLevel, 0, len(st.teams))
	for _, team := range st.teamNames() {
		b := st.teams[team]
		b.refresh()
		levels = append(levels, TeamLevel{Team: b.team, Grant: b.grant, Level: b.level})
	}
	return levels
}

// move answers a bucket's waiters.
func (b *SharedBuckets[S]) moveWaiters(bucket *bucket) {
	for _, w := range bucket.waiters {
		b.movedReplies = append(b.movedReplies, TakeReply{ID: w.id, Verdict: Moved})
	}
	bucket.waiters = nil
	bucket.waitingTokens = 0
}
