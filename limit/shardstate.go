package limit

import (
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
)

type (
	// cut is a moment at which no level exceeded a share of its burst.
	levelCap struct {
		share int
		at    int64
		seq   uint64
	}

	// shardState is what the buckets of one shard have in common. Its buckets
	// are brought up to date only when they are touched: the level of a bucket
	// follows from when it was touched last, from filled, and from the cuts
	// since.
	shardState struct {
		authority fleet.Authority
		share     int
		// at is the moment that filled is counted to.
		updatedAt time.Time
		// filled sums the share over time, in seat nanoseconds.
		shareTime int64
		// cuts rise in share and in time. A later cut to the same share or less
		// makes an earlier one redundant, so there are at most 17.
		caps  []levelCap
		seq   uint64
		teams map[string]*bucket
		// pending are the levels of a handover whose seats are not here yet.
		pending *Levels
		// handover is the newest one that authority came by; spent is one whose
		// levels must not be taken any more.
		lastHandover   uint64
		closedHandover uint64
	}
)

func newShardState() *shardState {
	return &shardState{caps: []levelCap{{}}, teams: make(map[string]*bucket)}
}

// advance counts filled up to a moment and ends authority that lapsed before.
func (st *shardState) advance(now time.Time) {
	if !now.After(st.updatedAt) {
		return
	}
	if st.share > 0 {
		end := now
		if st.authority.Until.Before(now) {
			end = st.authority.Until
		}
		if end.After(st.updatedAt) {
			st.shareTime += int64(st.share) * int64(end.Sub(st.updatedAt))
		}
		if !now.Before(st.authority.Until) {
			st.setShare(0)
		}
	}
	st.updatedAt = now
}

// setShare changes the share and remembers the lower one of the two.
func (st *shardState) setShare(share int) {
	if share == st.share {
		return
	}
	if share == 0 {
		st.closedHandover = st.lastHandover
	}
	st.seq++
	c := levelCap{share: min(share, st.share), at: st.shareTime, seq: st.seq}
	for len(st.caps) > 0 && st.caps[len(st.caps)-1].share >= c.share {
		st.caps = st.caps[:len(st.caps)-1]
	}
	st.caps = append(st.caps, c)
	st.share = share
}

// level returns what a bucket holds that had the level when filled was at.
func (st *shardState) level(g Grant, level float64, at int64, order uint64) float64 {
	return min(level+g.refill(st.shareTime-at), st.maxLevel(g, order))
}

// bound returns the most that a bucket can hold after the cuts since an order.
func (st *shardState) maxLevel(g Grant, order uint64) float64 {
	most := g.cap(st.share)
	for _, c := range st.caps {
		if c.seq > order {
			most = min(most, g.cap(c.share)+g.refill(st.shareTime-c.at))
		}
	}
	return most
}

// untouched returns what a bucket holds that was never taken from.
func (st *shardState) untouchedLevel(g Grant) float64 {
	most := g.cap(st.share)
	for _, c := range st.caps {
		most = min(most, g.cap(c.share)+g.refill(st.shareTime-c.at))
	}
	return most
}

// recovering says that a team within its grant may lack tokens here.
func (st *shardState) recovering(g Grant, now time.Time) bool {
	if st.share < fullShare || now.Sub(st.authority.Since) < minRecoveryTime {
		return true
	}
	return st.untouchedLevel(g) < g.Burst-levelTolerance
}
