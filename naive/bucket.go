package naive

import (
	"math"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
)

// bucket is one instance's share of a team's grant. At least one call may come
// at once.
type bucket struct {
	ratePerSecond float64
	burst         float64
	level         float64
	at            time.Time
}

func newBucket(team conf.Team, instances int, now time.Time) *bucket {
	n := float64(instances)
	burst := math.Max(1, team.Burst/n)
	return &bucket{ratePerSecond: team.RatePerSecond / n, burst: burst, level: burst, at: now}
}

func (b *bucket) take(now time.Time) bool {
	b.level = math.Min(b.burst, b.level+b.ratePerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
