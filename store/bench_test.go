package store_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/store"
)

const benchInterval = 10 * time.Millisecond

// BenchmarkCommitter commits through the stand-in platform over HTTP and
// reports platform writes a call and the latency of one.
func BenchmarkCommitter(b *testing.B) {
	for _, callers := range []int{16, 128, 1024} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			_, client := startPlatform(b, testTimeout)
			committer := store.NewCommitter(client, store.CommitterConfig{Interval: benchInterval, MarkerPrefix: "marker/"})
			defer committer.Close()
			var next atomic.Int64
			latencies := make([]*hdrhistogram.Histogram, callers)
			g := group.NewGroup(context.Background())
			b.ResetTimer()
			for c := range callers {
				latencies[c] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
				g.Go(func(ctx context.Context) {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						commitOne(ctx, committer, i, latencies[c])
					}
				})
			}
			g.Wait()
			b.StopTimer()
			total := latencies[0]
			for _, h := range latencies[1:] {
				total.Merge(h)
			}
			b.ReportMetric(committer.Stats().WritesPerCall(), "writes/call")
			b.ReportMetric(float64(total.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(total.ValueAtQuantile(99))/1000, "p99-ms")
		})
	}
}

func commitOne(ctx context.Context, committer *store.Committer, i int64, latency *hdrhistogram.Histogram) {
	began := time.Now()
	if _, err := committer.Commit(ctx, put("", fmt.Sprint("turn/", i), "digest", 0)); err != nil {
		panic(err)
	}
	_ = latency.RecordValue(time.Since(began).Microseconds())
}
