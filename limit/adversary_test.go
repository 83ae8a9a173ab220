package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// adversary brings a fault about at random, over and over.
type adversary struct{ w *world }

func (a adversary) loop(every time.Duration) {
	a.w.after(time.Duration(a.w.rng.Int64N(int64(every))), func() {
		a.strike()
		a.loop(every)
	})
}

func (a adversary) strike() {
	w := a.w
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(6) {
	case 0:
		n.paused = w.now + a.span(30*time.Second)
	case 1:
		n.alive = false
		w.after(a.span(20*time.Second), n.restart)
	case 2:
		if n.alive && !n.leaving {
			n.leaving = true
			n.fleet.Drain(n.clock())
			w.after(a.span(20*time.Second), n.restart)
		}
	case 3:
		w.down = true
		w.after(a.span(20*time.Second), func() { w.down = false })
	case 4:
		a.cut(n)
	case 5:
		// A freeze that is shorter than a delegation.
		n.paused = w.now + a.span(3*time.Second)
	}
}

// cut parts an instance from some others, in one direction.
func (a adversary) cut(n *node) {
	w := a.w
	for _, o := range w.nodes {
		if w.chance(0.5) {
			pair := [2]int{n.index, o.index}
			w.cut[pair] = true
			w.after(a.span(20*time.Second), func() { delete(w.cut, pair) })
		}
	}
}

func (a adversary) span(most time.Duration) time.Duration {
	return time.Duration(a.w.rng.Int64N(int64(most)))
}

// restart replaces the process, whether or not the old one ended.
func (n *node) restart() { n.start() }

func TestOverGrantAdversarial(t *testing.T) {
	for seed := range uint64(6) {
		w := newWorld(seed, 5, 10*time.Second)
		w.faults = faults{loss: 0.05, double: 0.1, slow: 0.05, lostAnswer: 0.1, lateEdge: 0.1}
		loads := make([]*load, 0, 12)
		for i := range 12 {
			l := newLoad(w, i, float64(1+i), float64(2+3*i), 3, 1+i%5)
			l.noisy = true
			l.start(0, 10*time.Minute)
			loads = append(loads, l)
		}
		w.after(30*time.Second, func() { adversary{w: w}.loop(6 * time.Second) })
		for w.now < 4*time.Minute {
			w.run(w.now + 50*time.Millisecond)
			w.check()
		}
		granted := 0
		for _, l := range loads {
			granted += len(w.grants[l.team])
			over := w.overGranted(l.team, l.grant)
			assert.Check(t, over < 1e-6, "seed %d: %s got %f more than its grant", seed, l.team, over)
		}
		assert.Equal(t, len(w.errs), 0, "seed %d: %v", seed, w.errs[:min(3, len(w.errs))])
		assert.Assert(t, granted > 500, "seed %d granted next to nothing", seed)
		t.Logf("seed %d: granted %d, %d writes", seed, granted, w.writes)
	}
}
