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

// adversary brings one of some kinds of faults about at random, over and over.
type faultInjector struct {
	w     *simulation
	kinds []int
}

func (a faultInjector) loop(every time.Duration) {
	a.w.after(time.Duration(a.w.rng.Int64N(int64(every))), func() {
		a.inject()
		a.loop(every)
	})
}

func (a faultInjector) inject() {
	w := a.w
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch a.kinds[w.rng.IntN(len(a.kinds))] {
	case longFreeze:
		n.pausedUntil = w.now + a.randomDuration(30*time.Second)
	case crash:
		n.alive = false
		w.after(a.randomDuration(20*time.Second), n.restart)
	case drain:
		if n.alive && !n.leaving {
			n.leaving = true
			n.fleet.Drain(n.clock())
			w.after(a.randomDuration(20*time.Second), n.restart)
		}
	case outage:
		w.down = true
		w.after(a.randomDuration(20*time.Second), func() { w.down = false })
	case partition:
		a.partitionNode(n)
	case shortFreeze:
		// A freeze that is shorter than a delegation.
		n.pausedUntil = w.now + a.randomDuration(3*time.Second)
	}
}

// cut parts an instance from some others, in one direction.
func (a faultInjector) partitionNode(n *node) {
	w := a.w
	for _, o := range w.nodes {
		if w.chance(0.5) {
			pair := [2]int{n.index, o.index}
			w.blocked[pair] = true
			w.after(a.randomDuration(20*time.Second), func() { delete(w.blocked, pair) })
		}
	}
}

func (a faultInjector) randomDuration(most time.Duration) time.Duration {
	return time.Duration(a.w.rng.Int64N(int64(most)))
}

// restart replaces the process, whether or not the old one ended.
func (n *node) restart() { n.start() }

func TestOverGrantAdversarial(t *testing.T) {
	tests := []struct {
		name  string
		kinds []int
		every time.Duration
		// clean leaves messages and commits alone.
		clean bool
	}{
		{"all", []int{longFreeze, shortFreeze, crash, drain, outage, partition}, 6 * time.Second, false},
		{"freezes", []int{longFreeze, shortFreeze}, 8 * time.Second, true},
		{"crashes", []int{crash}, 10 * time.Second, true},
		{"drains", []int{drain}, 8 * time.Second, false},
		{"outages and partings", []int{outage, partition}, 8 * time.Second, false},
	}
	for _, test := range tests {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				t.Parallel()
				a := faultInjector{w: newSimulation(seed, 4, 10*time.Second), kinds: test.kinds}
				if !test.clean {
					a.w.faults = faults{loss: 0.05, duplicate: 0.1, delay: 0.05, lostReply: 0.1, lateCommit: 0.1}
				}
				a.check(t, test.every)
			})
		}
	}
}

func (a faultInjector) check(t *testing.T, every time.Duration) {
	t.Helper()
	const length = 3 * time.Minute
	w := a.w
	loads := make([]*teamLoad, 0, 12)
	for i := range 12 {
		l := newTeamLoad(w, i, float64(1+i), float64(1+i)*float64(1+i%3*15), 3, 1+i%5)
		l.noisy = true
		l.start(0, length)
		loads = append(loads, l)
	}
	w.after(30*time.Second, func() { a.loop(every) })
	for w.now < length {
		w.run(w.now + 50*time.Millisecond)
		w.check()
	}
	granted := 0
	for _, l := range loads {
		granted += len(w.grants[l.team])
		over := w.overGranted(l.team, l.grant)
		assert.Check(t, over < 1e-6, "%s got %f more than its grant", l.team, over)
	}
	assert.Equal(t, len(w.errs), 0, "%v", w.errs[:min(3, len(w.errs))])
	assert.Assert(t, granted > 500, "granted next to nothing")
	t.Logf("granted %d, %d writes", granted, w.writes)
}
