package orders_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/stand"
	"github.com/buckthorntide/buckthorntide/store"
)

var bothChecks = []struct {
	name   string
	checks bool
}{
	{name: "engine checks fences", checks: true},
	{name: "engine ignores fences", checks: false},
}

func TestMissingModelsAreLoadedOnce(t *testing.T) {
	for _, c := range bothChecks {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, store.NewFake())
			text := textOf([]string{"m", "n"}, w.start("whole", c.checks, "m", "n"), w.start("lacks", c.checks, "n"),
				w.start("empty", c.checks))
			text.Services = append(text.Services, conf.Service{
				Name: "plain", Kind: conf.KindPlain, Models: []string{"m"}, Upstreams: []conf.Upstream{w.start("plain", c.checks)},
			})
			h := w.newHome("a", text)
			w.steps(120, h)
			assert.DeepEqual(t, w.models("whole"), []string{"m", "n"})
			assert.DeepEqual(t, w.models("lacks"), []string{"n", "m"})
			assert.DeepEqual(t, w.models("empty"), []string{"m", "n"})
			assert.Equal(t, w.loads(), int64(3), "nothing is loaded twice, nothing at a plain service")
			w.assertSpacing()
			h.do(func(now time.Time) {
				states := h.runner.States(now)
				assert.Check(t, len(states) == 3 && states[0].Fence == 2 && states[0].Error == "", "%+v", states)
			})
		})
	}
}

func TestWhoIsNotHomeGivesNoOrder(t *testing.T) {
	cases := []struct {
		name   string
		change func(h *home)
	}{
		{name: "authority is shared", change: func(h *home) { h.setHome(false) }},
		{name: "authority has lapsed", change: func(h *home) { h.clock.advance(25 * time.Hour) }},
		{name: "handed over", change: func(h *home) {
			var o fleet.Handover
			o.Shards.Set(fleet.ShardOf("chat"))
			h.do(func(now time.Time) { h.runner.HandOver(o, now) })
		}},
		{name: "no loads allowed", change: func(h *home) {
			text := textOf([]string{"m"}, conf.Upstream{Name: "e", Address: h.engines["e"].Address()})
			text.WeightStore.LoadsPerMinute = 0
			h.do(func(now time.Time) { h.runner.SetText(text, now) })
		}},
		{name: "lost between commit and order", change: func(h *home) { h.afterCommit = func() { h.setHome(false) } }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := store.NewFake()
			w := newWorld(t, fake)
			h := w.newHome("a", textOf([]string{"m"}, w.start("e", false)))
			c.change(h)
			w.steps(60, h)
			assert.Equal(t, w.loads(), int64(0))
			assert.Equal(t, len(fake.Calls(store.OpGet)) == 0, h.afterCommit == nil, "the table is asked only if an order may follow")
		})
	}
}

// TestPausedRunnerWakesLate pauses a home of an old text at one point of its
// order while another home brings the engine into line with the new text. Only
// an order that was held up after the sender's last look at the clock reaches
// an engine that ignores fences; nothing on this side can stop that one.
func TestPausedRunnerWakesLate(t *testing.T) {
	cases := []struct {
		name  string
		pause func(h *home, hook func())
		// late says that the pause comes after the last look at the clock.
		late bool
	}{
		{name: "before the commit", pause: func(h *home, hook func()) { h.beforeCommit = hook }},
		{name: "after the commit", pause: func(h *home, hook func()) { h.afterCommit = hook }},
		{name: "after the last look", pause: func(h *home, hook func()) { h.beforeOrder = hook }, late: true},
	}
	for _, c := range cases {
		for _, f := range bothChecks {
			t.Run(c.name+", "+f.name, func(t *testing.T) {
				w := newWorld(t, store.NewFake())
				e := w.start("e", f.checks)
				older := w.newHome("older", textOf([]string{"old"}, e))
				newer := w.newHome("newer", textOf([]string{"new"}, e))
				point := newHold()
				c.pause(older, func() { point.wait(t.Context()) })
				older.stepUntil(point.reached)
				w.steps(60, newer)
				assert.DeepEqual(t, w.models("e"), []string{"new"})
				close(point.wake)
				older.runner.Settle()
				stats := w.engines["e"].Stats()
				switch {
				case !c.late:
					assert.Equal(t, stats.StaleOrders+stats.FencedOrders, int64(0), "the old order isn't sent")
					assert.DeepEqual(t, w.models("e"), []string{"new"})
				case f.checks:
					assert.Equal(t, stats.FencedOrders, int64(1))
					assert.Equal(t, stats.StaleOrders, int64(0))
					assert.DeepEqual(t, w.models("e"), []string{"new"})
				default:
					assert.Equal(t, stats.StaleOrders, int64(1), "this one can't be avoided")
				}
			})
		}
	}
}

// TestSlowOrderArrivesWithinItsLease holds an order up after the sender's last
// look at the clock, but not beyond its lease. Nobody else orders the engine
// before, so that one which ignores fences doesn't see an old number either.
func TestSlowOrderArrivesWithinItsLease(t *testing.T) {
	for _, f := range bothChecks {
		t.Run(f.name, func(t *testing.T) {
			w := newWorld(t, store.NewFake())
			e := w.start("e", f.checks)
			older := w.newHome("older", textOf([]string{"old"}, e))
			text := textOf([]string{"new"}, e)
			text.WeightStore.LoadsPerMinute = 600
			newer := w.newHome("newer", text)
			point := newHold()
			older.beforeOrder = func() { point.wait(t.Context()) }
			older.stepUntil(point.reached)
			older.setHome(false)
			w.steps(int(engine.DefaultOrderLimits().Lease/time.Second)-1, newer)
			assert.Equal(t, w.loads(), int64(0), "the older order is waited for")
			close(point.wake)
			older.runner.Settle()
			w.steps(30, newer)
			assert.DeepEqual(t, w.models("e"), []string{"old", "new"})
			stats := w.engines["e"].Stats()
			assert.Equal(t, stats.StaleOrders+stats.FencedOrders, int64(0))
		})
	}
}

// TestRateHoldsOverHomes moves two services between two homes, which both
// believe to be home at times, with lost answers of the table and engines.
func TestRateHoldsOverHomes(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			fake := store.NewFake()
			w := newWorld(t, fake)
			text := textOf([]string{"m"}, w.start("a", true), w.start("b", false), w.start("c", true))
			text.Services = append(text.Services, conf.Service{
				Name: "code", Kind: conf.KindModel, Models: []string{"n", "o"},
				Upstreams: []conf.Upstream{w.start("d", false), w.start("e", true)},
			})
			homes := []*home{w.newHome("x", text), w.newHome("y", text)}
			for range 400 {
				if random.IntN(20) == 0 {
					homes[random.IntN(2)].setHome(random.IntN(2) == 0)
				}
				fake.SetFault([]store.Fault{store.FaultNone, store.FaultNone, store.FaultLost}[random.IntN(3)])
				w.step(homes...)
			}
			fake.SetFault(store.FaultNone)
			homes[0].setHome(true)
			w.steps(200, homes...)
			w.assertSpacing()
			for _, s := range text.Services {
				for _, u := range s.Upstreams {
					models := w.models(u.Name)
					slices.Sort(models)
					assert.DeepEqual(t, models, s.Models)
					assert.Equal(t, w.engines[u.Name].Stats().StaleOrders, int64(0))
				}
			}
		})
	}
}

// TestNewHomeGoesOnWithTheBudget lets a new home take over right after a load:
// it waits as long as the former would have.
func TestNewHomeGoesOnWithTheBudget(t *testing.T) {
	w := newWorld(t, store.NewFake())
	text := textOf([]string{"m"}, w.start("a", true), w.start("b", true), w.start("c", true), w.start("d", true))
	for i := 0; w.loads() < 4; i++ {
		assert.Assert(t, i < 10, "only %d loads", w.loads())
		h := w.newHome(fmt.Sprint("home", i), text)
		before := w.loads()
		for s := 0; w.loads() == before && s < 60; s++ {
			w.step(h)
		}
		h.setHome(false)
	}
	w.assertSpacing()
	for i := 1; i < len(w.orders); i++ {
		gap := w.orders[i].Sub(w.orders[i-1])
		assert.Assert(t, gap < spacing+engine.DefaultOrderLimits().Lease, "the lease of a load that has ended isn't waited out, but it took %v", gap)
	}
}

// TestHomeThatDiedWithALoadOnItsWay kills a home between the commit and the
// order, and lets the next one wait out the lease before its own wait.
func TestHomeThatDiedWithALoadOnItsWay(t *testing.T) {
	w := newWorld(t, store.NewFake())
	text := textOf([]string{"m"}, w.start("a", true), w.start("b", true))
	dead := w.newHome("dead", text)
	var diedAt time.Time
	dead.afterCommit = func() {
		diedAt = w.clock.Now()
		dead.setHome(false)
	}
	for diedAt.IsZero() {
		w.step(dead)
	}
	next := w.newHome("next", text)
	w.steps(60, next)
	assert.Equal(t, w.loads(), int64(2))
	limits := engine.DefaultOrderLimits()
	assert.Assert(t, w.orders[0].Sub(diedAt) >= limits.Lease+limits.Margin+spacing, "%v", w.orders[0].Sub(diedAt))
}

// TestSlowLoadIsLeftAlone lets engines accept a load and not show it yet.
func TestSlowLoadIsLeftAlone(t *testing.T) {
	w := newWorld(t, store.NewFake())
	h := w.newHome("a", textOf([]string{"m"}, w.start("a", true), w.start("b", true)))
	loading := true
	h.afterLook = func(s *engine.Serving) {
		if loading {
			s.Models = nil
		}
	}
	w.steps(200, h)
	assert.Equal(t, w.loads(), int64(1), "neither it nor another engine of the service is ordered")
	loading = false
	w.steps(20, h)
	assert.Equal(t, w.loads(), int64(2))
}

// TestOldLookIsDropped holds the answer of a look up until an order is through.
func TestOldLookIsDropped(t *testing.T) {
	w := newWorld(t, store.NewFake())
	h := w.newHome("a", textOf([]string{"m"}, w.start("e", true)))
	point := newHold()
	var looks atomic.Int64
	h.afterLook = func(*engine.Serving) {
		if looks.Add(1) == 2 {
			point.wait(t.Context())
		}
	}
	h.stepUntil(point.reached)
	for w.loads() == 0 {
		w.clock.advance(time.Second)
		h.do(h.runner.Tick)
		for giving := true; giving; {
			h.do(func(time.Time) { giving = h.runner.Giving() })
		}
	}
	close(point.wake)
	h.runner.Settle()
	h.do(func(now time.Time) {
		missing := h.runner.States(now)[0].Missing
		assert.Check(t, len(missing) == 0, "%v", missing)
	})
	w.steps(60, h)
	assert.Equal(t, w.loads(), int64(1))
}

func TestNoOrderWhileTheStoreIsDown(t *testing.T) {
	for _, c := range bothChecks {
		t.Run(c.name, func(t *testing.T) {
			p := stand.NewPlatform(stand.PlatformConfig{}, "127.0.0.1:0")
			assert.NilError(t, p.Start())
			t.Cleanup(p.Close)
			client := store.NewClient(p.Address(), 2*time.Second)
			t.Cleanup(client.Close)
			w := newWorld(t, client)
			h := w.newHome("a", textOf([]string{"m", "n"}, w.start("e", c.checks)))
			for w.loads() == 0 {
				w.step(h)
			}
			p.SetFaults(stand.PlatformFaults{Down: stand.DownDrop})
			w.steps(12, h)
			assert.Equal(t, w.loads(), int64(1), "no order while the store is down")
			p.SetFaults(stand.PlatformFaults{LoseNext: 1})
			w.steps(60, h)
			assert.DeepEqual(t, w.models("e"), []string{"m", "n"})
			assert.Equal(t, w.loads(), int64(2))
			w.assertSpacing()
		})
	}
}

func TestLostAnswers(t *testing.T) {
	commit := func(key string, fault store.Fault) func(*home, *store.Fake) {
		return func(_ *home, f *store.Fake) {
			f.Expect(store.FakeCall{Operation: store.OpCommit, Key: key, Fault: fault})
		}
	}
	cases := []struct {
		name   string
		befall func(h *home, f *store.Fake)
	}{
		{name: "fence taken, answer lost", befall: commit("orders/e", store.FaultLost)},
		{name: "fence not taken, answer lost", befall: commit("orders/e", store.FaultUnknown)},
		{name: "end of the load written, answer lost", befall: commit(engine.LoadsKey, store.FaultLost)},
		{name: "end of the load not written", befall: commit(engine.LoadsKey, store.FaultUnavailable)},
		{name: "engine's answer lost", befall: func(h *home, _ *store.Fake) {
			h.afterOrder = func() error { return engine.ErrBroken }
		}},
	}
	for _, c := range cases {
		for _, f := range bothChecks {
			t.Run(c.name+", "+f.name, func(t *testing.T) {
				fake := store.NewFake()
				w := newWorld(t, fake)
				h := w.newHome("a", textOf([]string{"m", "n"}, w.start("e", f.checks)))
				c.befall(h, fake)
				w.steps(120, h)
				assert.NilError(t, fake.Verify())
				assert.DeepEqual(t, w.models("e"), []string{"m", "n"})
				assert.Equal(t, w.loads(), int64(2), "nothing is loaded twice")
				assert.Equal(t, w.engines["e"].Stats().StaleOrders, int64(0))
				w.assertSpacing()
			})
		}
	}
}

func TestUnreachableEngineHoldsNobodyUp(t *testing.T) {
	fake := store.NewFake()
	w := newWorld(t, fake)
	away := w.start("away", true)
	h := w.newHome("a", textOf([]string{"m"}, away, w.start("here", true)))
	w.engines["away"].SetFaults(stand.EngineFaults{Down: true})
	w.steps(60, h)
	assert.DeepEqual(t, w.models("here"), []string{"m"})
	for _, c := range fake.Calls(store.OpCommit) {
		assert.Assert(t, c.Key != "orders/away", "no number and no load is spent on an engine that doesn't answer")
	}
	w.engines["away"].SetFaults(stand.EngineFaults{})
	w.steps(60, h)
	assert.DeepEqual(t, w.models("away"), []string{"m"})
}

// TestTableSetBack orders an engine that has seen higher numbers than the table
// holds.
func TestTableSetBack(t *testing.T) {
	w := newWorld(t, store.NewFake())
	e := w.start("e", true)
	order := engine.Order{Kind: engine.OrderSetRole, Target: "decode", Fence: 50}
	client := engine.NewClient(http.DefaultClient)
	assert.NilError(t, client.Order(t.Context(), engine.Target{Address: e.Address}, order))
	h := w.newHome("a", textOf([]string{"m"}, e))
	w.steps(30, h)
	assert.DeepEqual(t, w.models("e"), []string{"m"})
}
