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

var fenceModes = []struct {
	name   string
	checks bool
}{
	{name: "engine checks fences", checks: true},
	{name: "engine ignores fences", checks: false},
}

func TestMissingModelsAreLoadedOnce(t *testing.T) {
	for _, c := range fenceModes {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, store.NewFake())
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
			assert.Equal(t, w.loads(), int64(3), "each missing model is loaded once, none at a plain service")
			w.assertSpacing()
			h.do(func(now time.Time) {
				states := h.runner.States(now)
				assert.Check(t, len(states) == 3 && states[0].Fence == 2 && states[0].Error == "", "%+v", states)
			})
		})
	}
}

func TestNoOrderWithoutAuthorityOrLoadRate(t *testing.T) {
	cases := []struct {
		name   string
		change func(h *home)
	}{
		{name: "authority is shared", change: func(h *home) { h.setHome(false) }},
		{name: "authority has expired", change: func(h *home) { h.clock.advance(25 * time.Hour) }},
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
			w := newFixture(t, fake)
			h := w.newHome("a", textOf([]string{"m"}, w.start("e", false)))
			c.change(h)
			w.steps(60, h)
			assert.Equal(t, w.loads(), int64(0))
			assert.Equal(t, len(fake.Calls(store.OpGet)) == 0, h.afterCommit == nil, "the table is read only if an order may follow")
		})
	}
}

// TestRunnerResumesAfterPause guards against outdated orders: a home with an old
// text pauses during an order while another home loads the model of the new
// text. Only an order that is delayed after the last check of its lease reaches
// an engine that ignores fences; the sender can't prevent that one.
func TestRunnerResumesAfterPause(t *testing.T) {
	cases := []struct {
		name  string
		pause func(h *home, hook func())
		// afterLeaseCheck is set if the pause follows the last check of the lease.
		afterLeaseCheck bool
	}{
		{name: "before the commit", pause: func(h *home, hook func()) { h.beforeCommit = hook }},
		{name: "after the commit", pause: func(h *home, hook func()) { h.afterCommit = hook }},
		{name: "after the last check of the lease", pause: func(h *home, hook func()) { h.beforeOrder = hook }, afterLeaseCheck: true},
	}
	for _, c := range cases {
		for _, f := range fenceModes {
			t.Run(c.name+", "+f.name, func(t *testing.T) {
				w := newFixture(t, store.NewFake())
				e := w.start("e", f.checks)
				older := w.newHome("older", textOf([]string{"old"}, e))
				newer := w.newHome("newer", textOf([]string{"new"}, e))
				point := newPausePoint()
				c.pause(older, func() { point.wait(t.Context()) })
				older.stepUntil(point.reached)
				w.steps(60, newer)
				assert.DeepEqual(t, w.models("e"), []string{"new"})
				close(point.resume)
				older.runner.Wait()
				stats := w.engines["e"].Stats()
				switch {
				case !c.afterLeaseCheck:
					assert.Equal(t, stats.StaleOrders+stats.FencedOrders, int64(0), "the outdated order isn't sent")
					assert.DeepEqual(t, w.models("e"), []string{"new"})
				case f.checks:
					assert.Equal(t, stats.FencedOrders, int64(1))
					assert.Equal(t, stats.StaleOrders, int64(0))
					assert.DeepEqual(t, w.models("e"), []string{"new"})
				default:
					assert.Equal(t, stats.StaleOrders, int64(1), "the sender can't prevent this order")
				}
			})
		}
	}
}

// TestDelayedOrderWithinLease delays an order after the last check of its lease,
// but not beyond the lease. The next home must not send an order to the engine
// before the lease expires, so that even an engine that ignores fences gets no
// outdated order.
func TestDelayedOrderWithinLease(t *testing.T) {
	for _, f := range fenceModes {
		t.Run(f.name, func(t *testing.T) {
			w := newFixture(t, store.NewFake())
			e := w.start("e", f.checks)
			older := w.newHome("older", textOf([]string{"old"}, e))
			text := textOf([]string{"new"}, e)
			text.WeightStore.LoadsPerMinute = 600
			newer := w.newHome("newer", text)
			point := newPausePoint()
			older.beforeOrder = func() { point.wait(t.Context()) }
			older.stepUntil(point.reached)
			older.setHome(false)
			w.steps(int(engine.DefaultOrderLimits().Lease/time.Second)-1, newer)
			assert.Equal(t, w.loads(), int64(0), "no order before the lease of the older one expires")
			close(point.resume)
			older.runner.Wait()
			w.steps(30, newer)
			assert.DeepEqual(t, w.models("e"), []string{"old", "new"})
			stats := w.engines["e"].Stats()
			assert.Equal(t, stats.StaleOrders+stats.FencedOrders, int64(0))
		})
	}
}

// TestLoadRateAcrossHomes guards the fleet's load rate while the authority over
// two services changes at random between two homes, sometimes held by both, and
// replies of the table are lost.
func TestLoadRateAcrossHomes(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			fake := store.NewFake()
			w := newFixture(t, fake)
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

// TestNewHomeKeepsLoadBudget lets a new home take over right after each load: it
// must wait for the load rate as the previous home would have.
func TestNewHomeKeepsLoadBudget(t *testing.T) {
	w := newFixture(t, store.NewFake())
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
	for i := 1; i < len(w.orderTimes); i++ {
		gap := w.orderTimes[i].Sub(w.orderTimes[i-1])
		assert.Assert(t, gap < loadInterval+engine.DefaultOrderLimits().Lease, "no wait for the lease of a load that has ended, but it took %v", gap)
	}
}

// TestHomeCrashesBetweenCommitAndOrder stops a home between the commit and the
// order. The order may still be in flight, so the next home must wait until its
// lease expires, and then for the load rate.
func TestHomeCrashesBetweenCommitAndOrder(t *testing.T) {
	w := newFixture(t, store.NewFake())
	text := textOf([]string{"m"}, w.start("a", true), w.start("b", true))
	crashed := w.newHome("dead", text)
	var crashedAt time.Time
	crashed.afterCommit = func() {
		crashedAt = w.clock.Now()
		crashed.setHome(false)
	}
	for crashedAt.IsZero() {
		w.step(crashed)
	}
	next := w.newHome("next", text)
	w.steps(60, next)
	assert.Equal(t, w.loads(), int64(2))
	limits := engine.DefaultOrderLimits()
	assert.Assert(t, w.orderTimes[0].Sub(crashedAt) >= limits.Lease+limits.Margin+loadInterval, "%v", w.orderTimes[0].Sub(crashedAt))
}

// TestNoOrderDuringSlowLoad lets an engine accept a load while its probes don't
// show the model yet: no engine of the service may get another order.
func TestNoOrderDuringSlowLoad(t *testing.T) {
	w := newFixture(t, store.NewFake())
	h := w.newHome("a", textOf([]string{"m"}, w.start("a", true), w.start("b", true)))
	loading := true
	h.afterProbe = func(s *engine.Serving) {
		if loading {
			s.Models = nil
		}
	}
	w.steps(200, h)
	assert.Equal(t, w.loads(), int64(1), "no engine of the service gets another order")
	loading = false
	w.steps(20, h)
	assert.Equal(t, w.loads(), int64(2))
}

// TestOutdatedProbeIsIgnored delays the reply of a probe until an order has ended:
// the reply must not make the loaded model missing again.
func TestOutdatedProbeIsIgnored(t *testing.T) {
	w := newFixture(t, store.NewFake())
	h := w.newHome("a", textOf([]string{"m"}, w.start("e", true)))
	point := newPausePoint()
	var probes atomic.Int64
	h.afterProbe = func(*engine.Serving) {
		if probes.Add(1) == 2 {
			point.wait(t.Context())
		}
	}
	h.stepUntil(point.reached)
	for w.loads() == 0 {
		w.clock.advance(time.Second)
		h.do(h.runner.Tick)
		for ordering := true; ordering; {
			h.do(func(time.Time) { ordering = h.runner.Ordering() })
		}
	}
	close(point.resume)
	h.runner.Wait()
	h.do(func(now time.Time) {
		missing := h.runner.States(now)[0].Missing
		assert.Check(t, len(missing) == 0, "%v", missing)
	})
	w.steps(60, h)
	assert.Equal(t, w.loads(), int64(1))
}

func TestNoOrderWhileStoreIsDown(t *testing.T) {
	for _, c := range fenceModes {
		t.Run(c.name, func(t *testing.T) {
			p := stand.NewPlatform(stand.PlatformConfig{}, "127.0.0.1:0")
			assert.NilError(t, p.Start())
			t.Cleanup(p.Close)
			client := store.NewClient(p.Address(), 2*time.Second)
			t.Cleanup(client.Close)
			w := newFixture(t, client)
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

func TestLostReplies(t *testing.T) {
	commit := func(key string, fault store.Fault) func(*home, *store.Fake) {
		return func(_ *home, f *store.Fake) {
			f.Expect(store.FakeCall{Operation: store.OpCommit, Key: key, Fault: fault})
		}
	}
	cases := []struct {
		name   string
		inject func(h *home, f *store.Fake)
	}{
		{name: "fence written, reply lost", inject: commit("orders/e", store.FaultLost)},
		{name: "fence not written, reply lost", inject: commit("orders/e", store.FaultUnknown)},
		{name: "end of the load written, reply lost", inject: commit(engine.LoadsKey, store.FaultLost)},
		{name: "end of the load not written", inject: commit(engine.LoadsKey, store.FaultUnavailable)},
		{name: "engine's reply lost", inject: func(h *home, _ *store.Fake) {
			h.afterOrder = func() error { return engine.ErrBroken }
		}},
	}
	for _, c := range cases {
		for _, f := range fenceModes {
			t.Run(c.name+", "+f.name, func(t *testing.T) {
				fake := store.NewFake()
				w := newFixture(t, fake)
				h := w.newHome("a", textOf([]string{"m", "n"}, w.start("e", f.checks)))
				c.inject(h, fake)
				w.steps(120, h)
				assert.NilError(t, fake.Verify())
				assert.DeepEqual(t, w.models("e"), []string{"m", "n"})
				assert.Equal(t, w.loads(), int64(2), "each model is loaded once")
				assert.Equal(t, w.engines["e"].Stats().StaleOrders, int64(0))
				w.assertSpacing()
			})
		}
	}
}

func TestUnreachableEngineDelaysNoOther(t *testing.T) {
	fake := store.NewFake()
	w := newFixture(t, fake)
	unreachable := w.start("away", true)
	h := w.newHome("a", textOf([]string{"m"}, unreachable, w.start("here", true)))
	w.engines["away"].SetFaults(stand.EngineFaults{Down: true})
	w.steps(60, h)
	assert.DeepEqual(t, w.models("here"), []string{"m"})
	for _, c := range fake.Calls(store.OpCommit) {
		assert.Assert(t, c.Key != "orders/away", "no fencing number and no load is used for an unreachable engine")
	}
	w.engines["away"].SetFaults(stand.EngineFaults{})
	w.steps(60, h)
	assert.DeepEqual(t, w.models("away"), []string{"m"})
}

// TestTableFenceBehindEngine orders an engine that has accepted a higher fencing
// number than the table holds, as after the table was reset: the order must use
// a number above the engine's.
func TestTableFenceBehindEngine(t *testing.T) {
	w := newFixture(t, store.NewFake())
	e := w.start("e", true)
	order := engine.Order{Kind: engine.OrderSetRole, Target: "decode", Fence: 50}
	client := engine.NewClient(http.DefaultClient)
	assert.NilError(t, client.Order(t.Context(), engine.Target{Address: e.Address}, order))
	h := w.newHome("a", textOf([]string{"m"}, e))
	w.steps(30, h)
	assert.DeepEqual(t, w.models("e"), []string{"m"})
}
