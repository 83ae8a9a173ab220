package proxy

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/memory"
)

// Sample sizes of the latency histograms.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

type (
	// record collects the values of a request's log line.
	record struct {
		conn drain.Info
		// draining is how long the instance had been draining when the request was
		// accepted, or 0.
		draining time.Duration
		// configAge is the age of the view of routes and keys.
		configAge time.Duration
		status    int
		reason    string
		// attempts counts the requests sent to upstreams, runs those that ran or
		// may have run.
		attempts int
		runs     int
		// trail lists the upstreams that were tried, each with its outcome.
		trail string
		// quotaTime, turnsTime and budgetTime are how long the request waited for
		// its team's quota, the turns before it and its program's budget.
		quotaTime  time.Duration
		turnsTime  time.Duration
		budgetTime time.Duration
		// resumeTime is how long the request waited for the version of the stream that
		// it takes up, version that version, and versionSource how it was found.
		resumeTime    time.Duration
		version       string
		versionSource string
		// admitted is the time until the request was first sent to an upstream.
		admitted  time.Duration
		firstByte time.Duration
		// events counts the events sent to the caller.
		events int
		// kept is "yes" once the turn is stored, or the error.
		kept string
		// quotaLevel is the state of the instance's share of the team's quota when
		// it refused the request.
		quotaLevel string
		// aborted closes the connection without a complete answer.
		aborted bool
	}

	meter struct {
		requests metrics.Counter
		refused  metrics.Counter
		failed   metrics.Counter
		total    metrics.Histogram
		first    metrics.Histogram
		// memoryRefused counts reservations that were refused, memoryYielded requests that
		// were evicted for others.
		memoryRefused metrics.Counter
		memoryYielded metrics.Counter
	}
)

func newMeter(registry metrics.Registry, account *memory.Account) *meter {
	registry.GetOrRegister("memory.used", func() metrics.Gauge {
		return metrics.NewFunctionalGauge(func() int64 { return int64(account.Used()) })
	})
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }
	return &meter{
		requests: metrics.GetOrRegisterCounter("gate.requests", registry),
		refused:  metrics.GetOrRegisterCounter("gate.refused", registry),
		failed:   metrics.GetOrRegisterCounter("gate.failed", registry),
		total:    metrics.GetOrRegisterHistogram("gate.totalMs", registry, sample()),
		first:    metrics.GetOrRegisterHistogram("gate.firstByteMs", registry, sample()),

		memoryRefused: metrics.GetOrRegisterCounter("memory.refused", registry),
		memoryYielded: metrics.GetOrRegisterCounter("memory.yielded", registry),
	}
}

// report writes the request's log line. If the answer must not look complete, it
// panics with http.ErrAbortHandler to close the connection.
func (x *exchange) report() {
	elapsed := time.Since(x.start)
	x.proxy.meter.count(x.record, elapsed)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	r := x.record
	x.proxy.Log.Info("request ended", "request", x.call.ID, "route", route, "team", x.teamName(),
		"program", x.call.Program, "line", x.call.Line, "previous", x.call.PreviousTurn, "resumes", x.call.Resumes,
		"status", r.status, "reason", r.reason, "attempts", r.attempts, "trail", r.trail,
		"version", r.version, "versionSource", r.versionSource, "events", r.events, "kept", r.kept, "quota", r.quotaLevel,
		"quotaMs", r.quotaTime.Milliseconds(), "resumeMs", r.resumeTime.Milliseconds(),
		"turnsMs", r.turnsTime.Milliseconds(), "budgetMs", r.budgetTime.Milliseconds(),
		"admitMs", r.admitted.Milliseconds(), "firstMs", r.firstByte.Milliseconds(), "totalMs", elapsed.Milliseconds(),
		"patienceMs", x.call.Timeout.Milliseconds(), "config", x.view.Version, "configAgeMs", r.configAge.Milliseconds(),
		"cut", r.aborted, "connRequests", r.conn.Requests, "connWaitMs", r.conn.Waited.Milliseconds(),
		"drainingMs", r.draining.Milliseconds())
	if r.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (m *meter) count(r record, elapsed time.Duration) {
	m.requests.Inc(1)
	m.total.Update(elapsed.Milliseconds())
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
