package limit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	longFreeze = iota
	shortFreeze
	crash
	drain
	outage
	partition
)

// faultInjector repeatedly injects a random fault of the given kinds.
type faultInjector struct {
	w     *simulation
	kinds []int
}

func (f faultInjector) loop(interval time.Duration) {
	f.w.after(time.Duration(f.w.rng.Int64N(int64(interval))), func() {
		f.inject()
		f.loop(interval)
	})
}

func (f faultInjector) inject() {
	w := f.w
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch f.kinds[w.rng.IntN(len(f.kinds))] {
	case longFreeze:
		n.pausedUntil = w.now + f.randomDuration(30*time.Second)
	case crash:
		n.alive = false
		w.after(f.randomDuration(20*time.Second), n.restart)
	case drain:
		if n.alive && !n.leaving {
			n.leaving = true
			n.fleet.Drain(n.clock())
			w.after(f.randomDuration(20*time.Second), n.restart)
		}
	case outage:
		w.down = true
		w.after(f.randomDuration(20*time.Second), func() { w.down = false })
	case partition:
		f.partitionNode(n)
	case shortFreeze:
		// Shorter than a delegation TTL.
		n.pausedUntil = w.now + f.randomDuration(3*time.Second)
	}
}

// partitionNode blocks the messages of an instance to some others.
func (f faultInjector) partitionNode(n *node) {
	w := f.w
	for _, o := range w.nodes {
		if w.chance(0.5) {
			pair := [2]int{n.index, o.index}
			w.blocked[pair] = true
			w.after(f.randomDuration(20*time.Second), func() { delete(w.blocked, pair) })
		}
	}
}

func (f faultInjector) randomDuration(maxDuration time.Duration) time.Duration {
	return time.Duration(f.w.rng.Int64N(int64(maxDuration)))
}

// restart starts a new process, whether or not the old one has ended.
func (n *node) restart() { n.start() }

// TestOverGrantAdversarial checks that no team gets more than its rate and
// burst, and that no slot has two holders, while instances and messages fail at
// random.
func TestOverGrantAdversarial(t *testing.T) {
	tests := []struct {
		name     string
		kinds    []int
		interval time.Duration
		// reliable excludes faults of messages and commits.
		reliable bool
	}{
		{"all", []int{longFreeze, shortFreeze, crash, drain, outage, partition}, 6 * time.Second, false},
		{"freezes", []int{longFreeze, shortFreeze}, 8 * time.Second, true},
		{"crashes", []int{crash}, 10 * time.Second, true},
		{"drains", []int{drain}, 8 * time.Second, false},
		{"outages and partitions", []int{outage, partition}, 8 * time.Second, false},
	}
	for _, test := range tests {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				t.Parallel()
				f := faultInjector{w: newSimulation(seed, 4, 10*time.Second), kinds: test.kinds}
				if !test.reliable {
					f.w.faults = faults{loss: 0.05, duplicate: 0.1, delay: 0.05, lostReply: 0.1, lateCommit: 0.1}
				}
				f.check(t, test.interval)
			})
		}
	}
}

func (f faultInjector) check(t *testing.T, interval time.Duration) {
	t.Helper()
	const length = 3 * time.Minute
	w := f.w
	loads := make([]*teamLoad, 0, 12)
	for i := range 12 {
		l := newTeamLoad(w, i, float64(1+i), float64(1+i)*float64(1+i%3*15), 3, 1+i%5)
		l.noisy = true
		l.start(0, length)
		loads = append(loads, l)
	}
	w.after(30*time.Second, func() { f.loop(interval) })
	for w.now < length {
		w.run(w.now + 50*time.Millisecond)
		w.check()
	}
	granted := 0
	for _, l := range loads {
		granted += len(w.grants[l.team])
		over := w.overGranted(l.team, l.grant)
		assert.Check(t, over < 1e-6, "%s got %f tokens more than its grant", l.team, over)
	}
	assert.Equal(t, len(w.errs), 0, "%v", w.errs[:min(3, len(w.errs))])
	assert.Assert(t, granted > 500, "too few requests granted to prove anything")
	t.Logf("granted %d, %d writes", granted, w.writes)
}
