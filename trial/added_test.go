package trial

import (
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	// longestLatency is the most microseconds that the histograms take.
	longestLatency = 10_000_000
	// manyChunks is the length of a stream whose relaying is measured.
	manyChunks = 20_000
)

// fastEngine spends next to no time on a call.
var fastEngine = stand.EngineConfig{Slots: 64, PrefillTokensPerSecond: 1e9, DecodeTokensPerSecond: 1e9}

// BenchmarkAddedLatency measures one call at a time through an instance and
// straight at the engine: go test ./trial -run '^$' -bench AddedLatency.
func BenchmarkAddedLatency(b *testing.B) {
	c := newCluster(b, options{instances: 3, engines: 1, engine: fastEngine})
	key := c.issueKey("fes").Key
	straight := caller.NewClient(c.engines[0].Address(), "")
	through := c.client(0, key)
	defer straight.Close()
	defer through.Close()
	chat := caller.ChatRequest{Model: model, Messages: []caller.Message{{Role: "user", Content: "Hello"}}, MaxTokens: 2}
	for range 200 {
		timeCall(b, through, "", chat)
	}
	program, err := through.OpenProgram(b.Context(), "")
	assert.NilError(b, err)
	direct, alone, turn := newHistogram(), newHistogram(), newHistogram()
	for b.Loop() {
		assert.NilError(b, direct.RecordValue(timeCall(b, straight, "", chat)))
		assert.NilError(b, alone.RecordValue(timeCall(b, through, "", chat)))
		if direct.TotalCount() <= 200 {
			assert.NilError(b, turn.RecordValue(timeCall(b, through, program, chat)))
		}
		// The team's rate is not what is measured.
		time.Sleep(time.Millisecond)
	}
	for _, q := range []float64{50, 99} {
		name := map[float64]string{50: "p50", 99: "p99"}[q]
		base := float64(direct.ValueAtQuantile(q))
		b.ReportMetric(base, "direct-"+name+"-us")
		b.ReportMetric(float64(alone.ValueAtQuantile(q))-base, "added-"+name+"-us")
		b.ReportMetric(float64(turn.ValueAtQuantile(q))-base, "addedTurn-"+name+"-us")
	}
}

// BenchmarkRelay measures what an instance's processor spends on each chunk of
// a stream: go test ./trial -run '^$' -bench Relay -benchtime 20x.
func BenchmarkRelay(b *testing.B) {
	c := newCluster(b, options{instances: 1, engines: 1, engine: fastEngine})
	client := c.client(0, c.issueKey("fes").Key)
	defer client.Close()
	chat := caller.ChatRequest{
		Model:     model,
		Messages:  []caller.Message{{Role: "user", Content: strings.Repeat("Hello ", 8)}},
		MaxTokens: manyChunks,
	}
	before := c.processorSeconds(c.instances[0])
	chunks := 0
	for b.Loop() {
		reply, err := client.Complete(b.Context(), "", "", chat)
		assert.NilError(b, err)
		chunks += reply.Chunks
	}
	used := c.processorSeconds(c.instances[0]) - before
	b.ReportMetric(1e6*used/float64(chunks), "core-us/chunk")
	b.ReportMetric(float64(chunks)/used, "chunks/core-second")
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestLatency, 3) }

// timeCall returns the microseconds that a call took.
func timeCall(b *testing.B, client *caller.Client, program string, chat caller.ChatRequest) int64 {
	b.Helper()
	began := time.Now()
	_, err := client.Complete(b.Context(), program, "", chat)
	assert.NilError(b, err)
	return time.Since(began).Microseconds()
}
