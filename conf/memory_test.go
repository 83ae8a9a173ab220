package conf

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkLedgerMemory reports the memory of an accepted text in force, per team:
// go test ./conf -run '^$' -bench LedgerMemory -benchtime 1x.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, teams := range []int{1_000, 10_000, 43_000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				l := NewReplica(1)
				text := teamsText(teams)
				_, err := l.Learn(Head{Revision: 1, Digest: Digest(1, text), Text: text}, FromStore)
				assert.NilError(b, err)
				b.ReportMetric(float64(heapInUse()-before)/float64(teams), "B/team")
				runtime.KeepAlive(l)
			}
		})
	}
}

func teamsText(teams int) string {
	var text strings.Builder
	text.WriteString(`{"services": [], "teams": [`)
	for i := range teams {
		if i > 0 {
			text.WriteString(",\n")
		}
		_, _ = fmt.Fprintf(&text, `{"name": "team-%05d", "ratePerSecond": 2, "burst": 10, "budget": {"calls": 200}}`, i)
	}
	text.WriteString("]}")
	return text.String()
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
