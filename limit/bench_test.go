package limit

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/buckthorntide/buckthorntide/fleet"
)

var benchTeams = []int{1_000, 10_000, 43_000}

// loadedBuckets returns buckets with full authority over all shards; one in
// activeOneIn teams has taken tokens.
func loadedBuckets(teams, activeOneIn int) (*Buckets, []TakeRequest) {
	b := NewBuckets()
	for s := range fleet.ShardCount {
		b.SetAuthority(fleet.Shard(s), authority(16, 0, 1e6), at(0))
	}
	requests := make([]TakeRequest, 0, teams)
	for i := range teams {
		name := fmt.Sprintf("team-%05d", i)
		requests = append(requests, TakeRequest{Team: name, Shard: fleet.ShardOf(name), Grant: testGrant, Tokens: 1})
	}
	for i := 0; i < teams; i += activeOneIn {
		b.Take(requests[i], at(100))
	}
	return b, requests
}

func BenchmarkTake(b *testing.B) {
	for _, n := range benchTeams {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			buckets, requests := loadedBuckets(n, 10)
			now, i := at(100), uint64(0)
			for b.Loop() {
				i++
				r := requests[i%uint64(n)]
				r.ID = i
				now = now.Add(10_000)
				buckets.Take(r, now)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range benchTeams {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			buckets, _ := loadedBuckets(n, 10)
			now := at(100)
			for b.Loop() {
				buckets.Tick(now)
			}
		})
	}
}

// BenchmarkMemory reports a home's heap bytes per team, with all teams active
// and with one in a hundred.
func BenchmarkMemory(b *testing.B) {
	for _, activeOneIn := range []int{1, 100} {
		for _, n := range benchTeams {
			b.Run(fmt.Sprintf("%d/active 1 in %d", n, activeOneIn), func(b *testing.B) {
				for b.Loop() {
					var before, after runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&before)
					buckets, _ := loadedBuckets(n, activeOneIn)
					buckets.recent = newRecentTakes()
					runtime.GC()
					runtime.ReadMemStats(&after)
					b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(n), "B/team")
					runtime.KeepAlive(buckets)
				}
			})
		}
	}
}
