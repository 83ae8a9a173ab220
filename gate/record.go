package gate

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Sample sizes of the latency histograms.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

type (
	// record collects what the log line of a request tells.
	record struct {
		// age is that of the knowledge of routes and keys.
		configAge    time.Duration
		status int
		reason string
		// attempts counts the upstreams that were asked, runs those that have run
		// the request, or may have.
		attempts int
		runs     int
		// trail names the upstreams that were asked, with what each one told.
		trail string
		firstByte time.Duration
		// events were passed on.
		events int
		kept   string
		// quota is how the instance's part of the team's quota stood at a refusal.
		quotaLevel string
		// cut ends the connection without a complete answer.
		aborted bool
	}

	meter struct {
		requests metrics.Counter
		refused  metrics.Counter
		failed   metrics.Counter
		total    metrics.Histogram
		first    metrics.Histogram
	}
)

func newMeter(registry metrics.Registry) *meter {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }
	return &meter{
		requests: metrics.GetOrRegisterCounter("gate.requests", registry),
		refused:  metrics.GetOrRegisterCounter("gate.refused", registry),
		failed:   metrics.GetOrRegisterCounter("gate.failed", registry),
		total:    metrics.GetOrRegisterHistogram("gate.totalMs", registry, sample()),
		first:    metrics.GetOrRegisterHistogram("gate.firstByteMs", registry, sample()),
	}
}

// report writes the request's log line and cuts the connection where the
// answer must not look complete.
func (x *exchange) report() {
	taken := time.Since(x.start)
	x.gate.meter.count(x.record, taken)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.gate.Log.Info("Request ended.", "request", x.call.ID, "route", route, "team", x.teamName(),
		"program", x.call.Program, "line", x.call.Line, "previous", x.call.PreviousTurn,
		"status", x.record.status, "reason", x.record.reason, "attempts", x.record.attempts, "trail", x.record.trail,
		"events", x.record.events, "kept", x.record.kept, "quota", x.record.quotaLevel, "firstMs", x.record.firstByte.Milliseconds(),
		"totalMs", taken.Milliseconds(), "patienceMs", x.call.Patience.Milliseconds(),
		"config", x.view.Version, "configAgeMs", x.record.configAge.Milliseconds(), "cut", x.record.aborted)
	if x.record.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (m *meter) count(r record, taken time.Duration) {
	m.requests.Inc(1)
	m.total.Update(taken.Milliseconds())
	if r.firstByte > 0 {
		m.first.Update(r.firstByte.Milliseconds())
	}
	switch {
	case r.aborted, r.status >= http.StatusInternalServerError && r.runs > 0:
		m.failed.Inc(1)
	case r.status >= http.StatusBadRequest && r.runs == 0:
		m.refused.Inc(1)
	}
}
