package front

import (
	"fmt"
	"io"
	"net/http"
	"sort"

	"github.com/rcrowley/go-metrics"
)

// newMetricsHandler serves the metrics as text at /metrics, the state of the instance
// as JSON at /dump, and where a request would go now as JSON at /explain.
func (f *Front) newMetricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		writeMetrics(w, f.common.Metrics)
	})
	mux.HandleFunc("GET /dump", f.serveDump)
	mux.HandleFunc("GET "+ExplainPath, f.serveExplain)
	return mux
}

func writeMetrics(w io.Writer, registry metrics.Registry) {
	lines := make(map[string]string)
	registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			lines[name] = fmt.Sprintf("%d", m.Count())
		case metrics.Gauge:
			lines[name] = fmt.Sprintf("%d", m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			q := s.Percentiles([]float64{0.5, 0.9, 0.99})
			lines[name] = fmt.Sprintf("count=%d p50=%.1f p90=%.1f p99=%.1f max=%d", s.Count(), q[0], q[1], q[2], s.Max())
		}
	})
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "%s %s\n", name, lines[name])
	}
}
