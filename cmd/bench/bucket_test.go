package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestOverGranted(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name  string
		spans []span
		want  int64
	}{
		{name: "no call"},
		{name: "the burst at once", spans: []span{{at(0), at(1)}, {at(0), at(1)}}},
		{name: "one beyond the burst", spans: []span{{at(0), at(1)}, {at(0), at(1)}, {at(0), at(1)}}, want: 1},
		{name: "the rate gives one more", spans: []span{{at(0), at(1)}, {at(0), at(1)}, {at(0), at(1000)}}},
		{
			name:  "beyond the burst later on",
			spans: []span{{at(0), at(1)}, {at(9000), at(9001)}, {at(9000), at(9001)}, {at(9000), at(9001)}},
			want:  1,
		},
		{name: "a long call may have been granted any time", spans: []span{{at(0), at(1)}, {at(0), at(1)}, {at(0), at(5000)}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, overGranted(c.spans, 1, 2), c.want)
		})
	}
}

// TestBucketGrantsAreNeverOver grants what the reference bucket allows and
// finds no excess; one call more in the same moment is found.
func TestBucketGrantsAreNeverOver(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, 0)
		rate := float64(rapid.IntRange(1, 20).Draw(rt, "rate"))
		burst := float64(rapid.IntRange(1, 20).Draw(rt, "burst"))
		b := newBucket(rate, burst, now)
		var spans []span
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "gap")) * time.Millisecond)
			if !b.take(now) {
				b.giveBack(now)
				continue
			}
			spans = append(spans, span{sent: now, done: now})
		}
		assert.Equal(rt, overGranted(spans, rate, burst), int64(0))
		for range int(burst) + 1 {
			spans = append(spans, span{sent: now, done: now})
		}
		assert.Assert(rt, overGranted(spans, rate, burst) > 0)
	})
}
