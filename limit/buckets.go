package limit

import (
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
)

// Buckets are the buckets of the teams whose home is this instance. It is not
// safe for concurrent use: its owner guards it.
type Buckets struct{}

// NewBuckets returns buckets without any authority.
func NewBuckets() *Buckets { return &Buckets{} }

// SetAuthority follows a fleet.AuthorityChange.
func (b *Buckets) SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time) {}

// Take asks for tokens. The reply is final unless it says Waiting; then a later
// Tick gives the final reply.
func (b *Buckets) Take(r TakeRequest, now time.Time) TakeReply {
	return TakeReply{ID: r.ID, Verdict: Granted}
}

// Cancel drops a waiting request whose asker is gone.
func (b *Buckets) Cancel(s fleet.Shard, team string, id uint64) {}

// Tick decides the waiting requests that are due and returns their replies.
func (b *Buckets) Tick(now time.Time) []TakeReply { return nil }

// SetGrant follows a change of a team's grant in the text. Call it for each
// team whose grant changed; it keeps the team from gaining a burst by it.
func (b *Buckets) SetGrant(s fleet.Shard, team string, old, grant Grant, now time.Time) {}

// Export gives up a shard for a planned handover and returns its levels.
// Waiting requests of the shard stay until a Tick refuses them.
func (b *Buckets) Export(s fleet.Shard, handover uint64, now time.Time) Levels {
	return Levels{Handover: handover, Shard: s}
}

// Import takes the levels of a planned handover. They count only for seats
// that the fleet says came straight from the previous home.
func (b *Buckets) Import(l Levels, now time.Time) {}
