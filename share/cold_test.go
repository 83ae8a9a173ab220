package share_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/share"
)

// member is an instance that starts at some time and observes every start with a
// lag.
type member struct {
	starts  time.Duration
	lag     time.Duration
	buckets *share.Buckets
	known   int
}

// Cold upstreams are easily overloaded. While instances start and observe one
// another with a lag, they must together send no more than 1.5 times the rate and
// five requests in a second, which is the platform's limit.
func TestColdAllowanceHoldsWhileInstancesStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 16).Draw(t, "instances")
		rate := rapid.Float64Range(1, 60).Draw(t, "rate")
		q := share.Quota{Name: "cold/i-1", Rate: rate, Burst: max(1, rate*0.5)}
		members := make([]*member, n)
		for i := range members {
			m := &member{
				starts: time.Duration(rapid.IntRange(0, 4000).Draw(t, "starts")) * time.Millisecond,
				lag:    time.Duration(rapid.IntRange(0, 700).Draw(t, "lag")) * time.Millisecond,
			}
			m.buckets = share.NewBuckets(func(string) (place, members int) { return min(i, m.known-1), m.known }, m.starts)
			members[i] = m
		}
		var admitted []time.Duration
		for now := time.Duration(0); now < 6*time.Second; now += step {
			for _, m := range members {
				if now < m.starts+m.lag {
					continue
				}
				m.known = 0
				for _, other := range members {
					if now >= other.starts+m.lag {
						m.known++
					}
				}
				if rapid.IntRange(0, 3).Draw(t, "sends") == 0 && m.buckets.Take(q, false, now) {
					admitted = append(admitted, now)
				}
			}
		}
		if got, limit := mostIn(admitted, time.Second), rate*1.5+5; float64(got) > limit {
			t.Fatalf("%d admitted in a second, the limit is %.1f", got, limit)
		}
	})
}
