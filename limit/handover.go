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
	st := b.state(s, now)
	l := Levels{Handover: handover, Shard: s}
	if st.share == fullShare {
		l.Filled = st.filled - st.cuts[len(st.cuts)-1].filled
		l.Teams = st.export()
	}
	for _, team := range st.names() {
		bucket := st.teams[team]
		b.move(bucket)
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
	st := b.state(l.Shard, now)
	if l.Handover == 0 || l.Handover == st.spent {
		return
	}
	st.pending = &l
	b.settle(st)
}

// settle applies the pending levels if their seats are here.
func (b *SharedBuckets[S]) settle(st *shardState) {
	l := st.pending
	if l == nil || l.Handover == st.spent || st.share != fullShare || st.authority.Handover != l.Handover {
		return
	}
	if b.share.Of(st.authority.HandedSeats) != fullShare || st.cuts[0].share != 0 {
		return
	}
	st.pending = nil
	st.spent = l.Handover
	own := st.filled - st.cuts[0].filled
	listed := make(map[string]bool, len(l.Teams))
	for _, t := range l.Teams {
		listed[t.Team] = true
		g := t.Grant
		if have := st.teams[t.Team]; have != nil {
			g = have.grant
		}
		b.bucket(st, t.Team, g).receive(t.Level, own)
	}
	for team, have := range st.teams {
		if !listed[team] {
			have.touch()
			have.receive(min(have.grant.Burst, have.grant.minted(l.Filled)), own)
		}
	}
	st.carry(l.Filled)
}

// carry makes untouched buckets fill as if the authority had been here all the
// time, but for what was minted before the share was full.
func (st *shardState) carry(filled int64) {
	st.order++
	for _, have := range st.teams {
		have.order = st.order
	}
	last := st.cuts[len(st.cuts)-1]
	st.cuts = append(st.cuts[:0], cut{filled: last.filled - filled, order: st.order})
}

// receive adds tokens on their way to a bucket that is up to date; own is what
// this home's authority filled so far.
func (b *bucket) receive(tokens float64, own int64) {
	room := max(b.grant.Burst-b.grant.minted(own), 0)
	b.level = min(b.level+min(max(tokens, 0), room), b.grant.Burst)
}

// names are the teams with a bucket, in order.
func (st *shardState) names() []string {
	return slices.Sorted(maps.Keys(st.teams))
}

// export lists the levels of the buckets that are not full.
func (st *shardState) export() []TeamLevel {
	levels := make([]TeamLevel, 0, len(st.teams))
	for _, team := range st.names() {
		b := st.teams[team]
		b.touch()
		levels = append(levels, TeamLevel{Team: b.team, Grant: b.grant, Level: b.level})
	}
	return levels
}

// move answers a bucket's waiters.
func (b *SharedBuckets[S]) move(bucket *bucket) {
	for _, w := range bucket.waiters {
		b.moved = append(b.moved, TakeReply{ID: w.id, Verdict: Moved})
	}
	bucket.waiters = nil
	bucket.waitingTokens = 0
}
