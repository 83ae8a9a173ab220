package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const playLimit = 2 * time.Hour

// TestFigures compares the pool with the naive version on the same seed and
// load. Run it with -v for the table.
func TestFigures(t *testing.T) {
	cases := []struct {
		name     string
		setup    modelSetup
		p99Ratio float64
	}{
		{name: "load 0.7", setup: modelSetup{load: 0.7}},
		{name: "load 0.9", setup: modelSetup{load: 0.9}},
		{name: "long pauses", setup: modelSetup{load: 0.9, pause: 15}},
		{name: "one team at five times its rate", setup: modelSetup{load: 0.7, noisy: 5}},
		{name: "cold fleet", setup: modelSetup{load: 0.7, cold: true}},
		{name: "domain out and back", setup: modelSetup{load: 0.5, outFrom: 100 * time.Second, outTo: 200 * time.Second}},
		{name: "one engine turns cold", setup: modelSetup{load: 0.7, coldAt: 60 * time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.setup.seed, c.setup.engines, c.setup.programs = 7, 10, 4000
			ours, naive := newModel(c.setup, false), newModel(c.setup, true)
			ours.play(playLimit)
			naive.play(playLimit)
			logFigures(t, "ours", ours, c.setup)
			logFigures(t, "naive", naive, c.setup)
			assert.Equal(t, ours.unfinished, 0)
		})
	}
}

func logFigures(t *testing.T, name string, m *model, s modelSetup) {
	t.Helper()
	all := m.all()
	t.Logf("%-6s p50 %.2f p95 %.2f p99 %.2f s; over ideal %.2f %.2f %.2f; wasted %.2f%%; worst team %.2f (with noisy %.2f); cold overloads %d; refused %d unfinished %d late %d",
		name, percentile(all, 0.5), percentile(all, 0.95), percentile(all, 0.99),
		percentile(all, 0.5)/percentile(m.ideals, 0.5),
		percentile(all, 0.95)/percentile(m.ideals, 0.95),
		percentile(all, 0.99)/percentile(m.ideals, 0.99),
		100*m.wastedRatio(), m.worstRatio(s.noisy > 1), m.worstRatio(false), m.coldOverloads, m.refused, m.unfinished, m.lateWork)
}
