package limit

import (
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
)

type (
	// cut is a moment at which no level exceeded a share of its burst.
	cut struct {
		share  int
		filled int64
		order  uint64
	}

	// shardState is what the buckets of one shard have in common. Its buckets
	// are brought up to date only when they are touched: the level of a bucket
	// follows from when it was touched last, from filled, and from the cuts
	// since.
	shardState struct {
		authority fleet.Authority
		share     int
		// at is the moment that filled is counted to.
		at time.Time
		// filled sums the share over time, in seat nanoseconds.
		filled int64
		// cuts rise in share and in time. A later cut to the same share or less
		// makes an earlier one redundant, so there are at most 17.
		cuts  []cut
		order uint64
		teams map[string]*bucket
		// pending are the levels of a handover whose seats are not here yet.
		pending *Levels
		// handover is the newest one that authority came by; spent is one whose
		// levels must not be taken any more.
		handover uint64
		spent    uint64
	}
)

func newShardState() *shardState {
	return &shardState{cuts: []cut{{}}, teams: make(map[string]*bucket)}
}

// advance counts filled up to a moment and ends authority that lapsed before.
func (st *shardState) advance(now time.Time) {
	if !now.After(st.at) {
		return
	}
	if st.share > 0 {
		end := now
		if st.authority.Until.Before(now) {
			end = st.authority.Until
		}
		if end.After(st.at) {
			st.filled += int64(st.share) * int64(end.Sub(st.at))
		}
		if !now.Before(st.authority.Until) {
			st.setShare(0)
		}
	}
	st.at = now
}

// setShare changes the share and remembers the lower one of the two.
func (st *shardState) setShare(share int) {
	if share == st.share {
		return
	}
	if share == 0 {
		st.spent = st.handover
	}
	st.order++
	c := cut{share: min(share, st.share), filled: st.filled, order: st.order}
	for len(st.cuts) > 0 && st.cuts[len(st.cuts)-1].share >= c.share {
		st.cuts = st.cuts[:len(st.cuts)-1]
	}
	st.cuts = append(st.cuts, c)
	st.share = share
}

// level returns what a bucket holds that had the level when filled was at.
func (st *shardState) level(g Grant, level float64, at int64, order uint64) float64 {
	return min(level+g.minted(st.filled-at), st.bound(g, order))
}

// bound returns the most that a bucket can hold after the cuts since an order.
func (st *shardState) bound(g Grant, order uint64) float64 {
	most := g.cap(st.share)
	for _, c := range st.cuts {
		if c.order > order {
			most = min(most, g.cap(c.share)+g.minted(st.filled-c.filled))
		}
	}
	return most
}

// untouched returns what a bucket holds that was never taken from.
func (st *shardState) untouched(g Grant) float64 {
	most := g.cap(st.share)
	for _, c := range st.cuts {
		most = min(most, g.cap(c.share)+g.minted(st.filled-c.filled))
	}
	return most
}

// recovering says that a team within its grant may lack tokens here.
func (st *shardState) recovering(g Grant, now time.Time) bool {
	if st.share < fullShare || now.Sub(st.authority.Since) < recoverySpan {
		return true
	}
	return st.untouched(g) < g.Burst-levelSlack
}
