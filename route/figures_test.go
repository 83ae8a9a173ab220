package route_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const maxVirtualTime = 2 * time.Hour

var (
	figurePrograms = flag.Int("programs", 1200, "programs of each run of TestFigures")
	figureSeed     = flag.Uint64("seed", 7, "seed of TestFigures")
)

// figureTargets are the limits that the pool's results must meet; zero means
// none.
type figureTargets struct {
	overIdealP99, overNaiveP99, wasted, worstTeam float64
	coldOverloads                                 int
}

// TestFigures compares the pool with the naive controller on the same seed and
// load. Run it with -v for the table.
func TestFigures(t *testing.T) {
	out := modelSetup{load: 0.5, outFrom: 30 * time.Second, outTo: 60 * time.Second}
	cases := []struct {
		name    string
		setup   modelSetup
		targets figureTargets
	}{
		{name: "load 0.15", setup: modelSetup{load: 0.15}, targets: figureTargets{overIdealP99: 1.25, wasted: 0.02}},
		{name: "load 0.7", setup: modelSetup{load: 0.7}, targets: figureTargets{overIdealP99: 1.25, overNaiveP99: 0.5, wasted: 0.02}},
		{name: "load 0.9", setup: modelSetup{load: 0.9}, targets: figureTargets{overNaiveP99: 0.5, wasted: 0.02}},
		{name: "load 0.9, pauses of 15 s", setup: modelSetup{load: 0.9, pause: 15}},
		{name: "one team at 5 times", setup: modelSetup{load: 0.7, noisy: 5}, targets: figureTargets{worstTeam: 1.2}},
		{name: "cold fleet", setup: modelSetup{load: 0.7, cold: true}},
		{name: "domain out and back", setup: out, targets: figureTargets{wasted: 0.1}},
		{name: "one engine turns cold", setup: modelSetup{load: 0.7, coldAt: 30 * time.Second}, targets: figureTargets{coldOverloads: modelSlots}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.setup.seed, c.setup.engines, c.setup.programs = *figureSeed, 10, *figurePrograms
			ours, naive := newModel(c.setup, false), newModel(c.setup, true)
			ours.runEvents(maxVirtualTime)
			naive.runEvents(maxVirtualTime)
			logFigures(t, "ours", ours, c.setup)
			logFigures(t, "naive", naive, c.setup)
			checkFigures(t, ours, naive, c.setup, c.targets)
		})
	}
}

func checkFigures(t *testing.T, ours, naive *model, s modelSetup, targets figureTargets) {
	t.Helper()
	assert.Equal(t, ours.unfinished, 0)
	assert.Equal(t, ours.refused, 0)
	assert.Equal(t, ours.lateWork, 0)
	assert.Assert(t, ours.coldOverloads <= targets.coldOverloads)
	p99 := percentile(ours.all(), 0.99)
	if targets.overNaiveP99 > 0 {
		assert.Assert(t, p99 <= targets.overNaiveP99*percentile(naive.all(), 0.99))
	}
	if targets.overIdealP99 > 0 {
		assert.Assert(t, p99 <= targets.overIdealP99*percentile(ours.ideals, 0.99))
	}
	if targets.wasted > 0 {
		assert.Assert(t, ours.wastedRatio() <= targets.wasted)
	}
	if targets.worstTeam > 0 {
		assert.Assert(t, ours.worstRatio(s.noisy > 1) <= targets.worstTeam)
	}
}

func logFigures(t *testing.T, name string, m *model, s modelSetup) {
	t.Helper()
	all := m.all()
	t.Logf("%-5s p50 %.2f p95 %.2f p99 %.2f s; over ideal %.2f %.2f %.2f; wasted %.2f%%; worst team %.2f, with the noisy one %.2f; cold overloads %d",
		name, percentile(all, 0.5), percentile(all, 0.95), percentile(all, 0.99),
		percentile(all, 0.5)/percentile(m.ideals, 0.5),
		percentile(all, 0.95)/percentile(m.ideals, 0.95),
		percentile(all, 0.99)/percentile(m.ideals, 0.99),
		100*m.wastedRatio(), m.worstRatio(s.noisy > 1), m.worstRatio(false), m.coldOverloads)
}
