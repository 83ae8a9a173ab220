package limit

import (
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
)

type (
	// levelCap records that at a share time all levels were at most the burst
	// under a share. Later levels are at most that plus the refill since.
	levelCap struct {
		share int
		at    int64
		seq   uint64
	}

	// shardState is the state that the buckets of one shard share. Buckets are
	// updated lazily: a level follows from the level at the last refresh, the
	// share time since then, and the caps since then.
	shardState struct {
		authority fleet.Authority
		share     int
		// updatedAt is the time up to which shareTime is counted.
		updatedAt time.Time
		// shareTime is the integral of the share over time, in slot nanoseconds.
		shareTime int64
		// caps ascend in share and in time. A later cap with the same share or
		// less makes an earlier one redundant, so there are at most 17.
		caps []levelCap
		// seq is the sequence number of the newest cap.
		seq   uint64
		teams map[string]*bucket
		// pending are the levels of a handover whose slots have not been delegated
		// to this home yet.
		pending *Levels
		// lastHandover is the id of the last handover that transferred authority;
		// closedHandover is one whose levels must not be applied any more.
		lastHandover   uint64
		closedHandover uint64
	}
)

func newShardState() *shardState {
	return &shardState{caps: []levelCap{{}}, teams: make(map[string]*bucket)}
}

// advance counts the share time up to now and ends authority that has expired.
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

// setShare changes the share and caps all levels by the lower one of the old and
// the new share.
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

// level returns the present level of a bucket that had the given level at a
// share time and sequence number.
func (st *shardState) level(g Grant, level float64, at int64, seq uint64) float64 {
	return min(level+g.refill(st.shareTime-at), st.maxLevel(g, seq))
}

// maxLevel returns the maximum level of a bucket under the caps after seq.
func (st *shardState) maxLevel(g Grant, seq uint64) float64 {
	bound := g.cap(st.share)
	for _, c := range st.caps {
		if c.seq > seq {
			bound = min(bound, g.cap(c.share)+g.refill(st.shareTime-c.at))
		}
	}
	return bound
}

// untouchedLevel returns the level of a bucket that was never taken from.
func (st *shardState) untouchedLevel(g Grant) float64 {
	bound := g.cap(st.share)
	for _, c := range st.caps {
		bound = min(bound, g.cap(c.share)+g.refill(st.shareTime-c.at))
	}
	return bound
}

// recovering reports whether a team within its grant may lack tokens at this
// home.
func (st *shardState) recovering(g Grant, now time.Time) bool {
	if st.share < fullShare || now.Sub(st.authority.Since) < minRecoveryTime {
		return true
	}
	return st.untouchedLevel(g) < g.Burst-levelTolerance
}
