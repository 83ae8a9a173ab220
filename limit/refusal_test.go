package limit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/limit"
)

const (
	callerTimeout  = 5 * time.Second
	warmupDuration = 70 * time.Second
	faultDelay     = 30 * time.Second
)

type (
	// referenceBucket is a single bucket on true time, without faults.
	referenceBucket struct {
		grant limit.Grant
		level float64
		last  time.Duration
	}

	// teamLoad sends a team's requests to the running instances.
	teamLoad struct {
		w           *simulation
		team        string
		grant       limit.Grant
		utilization float64
		batch       int
		// noisy also sends requests that the reference bucket refuses.
		noisy          bool
		reference      referenceBucket
		naiveBuckets   []referenceBucket
		within         int
		wronglyRefused int
		naivelyRefused int
		granted        int
		waits          []time.Duration
	}
)

func (e *referenceBucket) take(now time.Duration) bool {
	e.level = min(e.grant.Burst, e.level+e.grant.RatePerSecond*(now-e.last).Seconds())
	e.last = now
	if e.level < 1 {
		return false
	}
	e.level--
	return true
}

func newTeamLoad(w *simulation, i int, rate, burst, utilization float64, batch int) *teamLoad {
	l := &teamLoad{w: w, team: fmt.Sprintf("team%d", i), grant: limit.Grant{RatePerSecond: rate, Burst: burst}, utilization: utilization, batch: batch}
	l.reference = referenceBucket{grant: l.grant, level: burst}
	n := float64(len(w.nodes))
	part := limit.Grant{RatePerSecond: rate / n, Burst: burst / n}
	for range w.nodes {
		l.naiveBuckets = append(l.naiveBuckets, referenceBucket{grant: part, level: part.Burst})
	}
	return l
}

// start sends batches of requests with exponential gaps.
func (l *teamLoad) start(from, until time.Duration) {
	var next func()
	next = func() {
		if l.w.now >= until {
			return
		}
		for range l.batch {
			l.send()
		}
		gap := l.w.rng.ExpFloat64() * float64(l.batch) / (l.grant.RatePerSecond * l.utilization)
		l.w.after(time.Duration(gap*float64(time.Second)), next)
	}
	l.w.at(from, next)
}

// send sends one request to a running instance. A team that is not noisy uses at
// most its rate and burst.
func (l *teamLoad) send() {
	n := l.w.pickRunning()
	if n == nil {
		return
	}
	within := l.reference.take(l.w.now)
	if !within && !l.noisy {
		return
	}
	naive := n.index < len(l.naiveBuckets) && l.naiveBuckets[n.index].take(l.w.now)
	if within {
		l.within++
		if !naive {
			l.naivelyRefused++
		}
	}
	process := n.process
	n.request(l.team, l.grant, callerTimeout, func(granted bool, waited time.Duration) {
		if granted {
			l.granted++
			l.waits = append(l.waits, waited)
		}
		if within && !granted && n.process == process {
			l.wronglyRefused++
		}
	})
}

// runScenario runs teams of different rates through a fault and counts the
// wrongly refused requests, also for a naive limiter with rate/N per instance.
func runScenario(t *testing.T, seed uint64, utilization float64, length time.Duration, fault func(w *simulation)) (within, wrong, naive int) {
	t.Helper()
	w := newSimulation(seed, 12, 90*time.Second)
	loads := make([]*teamLoad, 0, 48)
	for i := range 48 {
		rate := math.Pow(2, float64(i%6)) // 1 to 32 a second
		l := newTeamLoad(w, i, rate, 2*rate+4, utilization, 1+i%4)
		if i%12 == 11 {
			l.noisy, l.utilization = true, 5
		}
		loads = append(loads, l)
	}
	for _, l := range loads {
		l.start(warmupDuration, warmupDuration+length-2*callerTimeout)
	}
	w.at(warmupDuration+faultDelay, func() { fault(w) })
	for w.now < warmupDuration+length {
		w.run(w.now + 100*time.Millisecond)
		w.check()
	}
	waited := 0.0
	granted := 0
	for _, l := range loads {
		if !l.noisy {
			within += l.within
			wrong += l.wronglyRefused
			naive += l.naivelyRefused
		}
		granted += l.granted
		for _, d := range l.waits {
			waited += d.Seconds()
		}
		assert.Assert(t, w.overGranted(l.team, l.grant) < 1e-6, "%s got more than its grant", l.team)
	}
	assert.Equal(t, len(w.errs), 0, "%v", w.errs[:min(3, len(w.errs))])
	t.Logf("utilization %.2f: %d within grant, wrongly refused: %d (%.5f), by rate/N: %d (%.4f); mean wait %.4fs; %d writes",
		utilization, within, wrong, float64(wrong)/float64(within), naive, float64(naive)/float64(within), waited/float64(granted), w.writes)
	return within, wrong, naive
}

// TestRefusals bounds the refusals of requests within the grant under faults.
func TestRefusals(t *testing.T) {
	crashNode := func(w *simulation) { w.nodes[w.rng.IntN(12)].alive = false }
	drain := func(w *simulation) {
		n := w.nodes[w.rng.IntN(12)]
		n.leaving = true
		n.fleet.Drain(n.clock())
	}
	down := func(w *simulation) {
		w.down = true
		w.after(60*time.Second, func() { w.down = false })
	}
	tests := []struct {
		name        string
		utilization float64
		length      time.Duration
		fault       func(w *simulation)
		// maxRefused is the largest allowed fraction of requests within the grant
		// that are refused.
		maxRefused float64
	}{
		{"steady", 0.9, 90 * time.Second, func(*simulation) {}, 0},
		{"instance crash", 0.7, 120 * time.Second, crashNode, 1e-4},
		{"store down", 0.9, 120 * time.Second, down, 0},
		{"planned handover", 0.9, 90 * time.Second, drain, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			within, wrong, naive := runScenario(t, 7, test.utilization, test.length, test.fault)
			assert.Check(t, float64(wrong) <= test.maxRefused*float64(within), "%d of %d", wrong, within)
			assert.Check(t, naive > wrong)
		})
	}
}
