package orders_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/ctrl"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/orders"
	"github.com/buckthorntide/buckthorntide/stand"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	loadsPerMinute = 6
	loadInterval   = time.Minute / loadsPerMinute
)

type (
	// clock is the time of all homes of a fixture; only advance changes it.
	clock struct {
		mu  sync.Mutex
		now time.Time
	}

	// fixture is a table and simulated engines that listen on sockets.
	fixture struct {
		t       *testing.T
		clock   *clock
		table   store.Table
		engines map[string]*stand.Engine

		mu sync.Mutex
		// orderTimes are the times at which orders were sent to an engine.
		orderTimes []time.Time
	}

	// home is one runner with hooks that may block or fail a step.
	home struct {
		*fixture
		runner *orders.Runner
		thread *ctrl.Thread

		beforeCommit func()
		afterCommit  func()
		// beforeOrder runs after the runner's last check of the lease.
		beforeOrder func()
		// afterOrder replaces the outcome of an order that was sent.
		afterOrder func() error
		// afterProbe changes the reply of a probe.
		afterProbe func(s *engine.Serving)
	}
)

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newFixture(t *testing.T, table store.Table) *fixture {
	return &fixture{
		t:       t,
		clock:   &clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		table:   table,
		engines: make(map[string]*stand.Engine),
	}
}

// start starts an engine and returns its entry in the text.
func (w *fixture) start(name string, checksFence bool, models ...string) conf.Upstream {
	e := stand.NewEngine(stand.EngineConfig{Name: name, ChecksFence: checksFence, Models: models}, "127.0.0.1:0")
	assert.NilError(w.t, e.Start())
	w.t.Cleanup(e.Close)
	w.engines[name] = e
	return conf.Upstream{Name: name, Address: e.Address(), ChecksFence: checksFence}
}

// models returns the models that an engine serves.
func (w *fixture) models(name string) []string {
	target := engine.Target{Address: w.engines[name].Address()}
	serving, err := engine.NewClient(http.DefaultClient).Serving(w.t.Context(), target)
	assert.NilError(w.t, err)
	return serving.Models
}

func (w *fixture) loads() int64 {
	var loads int64
	for _, e := range w.engines {
		loads += e.Stats().Loads
	}
	return loads
}

func (w *fixture) assertSpacing() {
	w.t.Helper()
	for i := 1; i < len(w.orderTimes); i++ {
		gap := w.orderTimes[i].Sub(w.orderTimes[i-1])
		assert.Assert(w.t, gap >= loadInterval, "order %d was sent %v after the previous one", i, gap)
	}
}

// newHome starts a home with exclusive authority over every shard.
func (w *fixture) newHome(name string, text *conf.Text) *home {
	c := common.NewCommon(hclog.NewNullLogger(), conf.Settings{})
	c.Clock = w.clock
	h := &home{fixture: w, thread: ctrl.NewThread(c, time.Hour)}
	h.runner = orders.NewRunner(c, name, h.thread, h, h)
	h.thread.Start()
	w.t.Cleanup(func() {
		h.runner.Close()
		h.thread.Close()
	})
	h.do(func(now time.Time) { h.runner.SetText(text, now) })
	h.setHome(true)
	return h
}

func (h *home) do(f func(now time.Time)) {
	assert.NilError(h.t, h.thread.Do(h.t.Context(), f))
}

func (h *home) setHome(exclusive bool) {
	h.do(func(now time.Time) {
		for s := range fleet.ShardCount {
			a := fleet.Authority{Slots: 9, Exclusive: exclusive, Until: now.Add(24 * time.Hour)}
			h.runner.SetAuthority(fleet.Shard(s), a, now)
		}
	})
}

// step advances the clock by a second, ticks every home and waits for them.
func (w *fixture) step(homes ...*home) {
	w.clock.advance(time.Second)
	for _, h := range homes {
		h.do(h.runner.Tick)
	}
	for _, h := range homes {
		h.runner.Wait()
	}
}

// stepUntil steps until the home pauses at the point that closes reached.
func (h *home) stepUntil(reached chan struct{}) {
	for {
		h.clock.advance(time.Second)
		h.do(h.runner.Tick)
		for idle := false; !idle; {
			select {
			case <-reached:
				return
			default:
				h.do(func(time.Time) { idle = h.runner.Idle() })
			}
		}
	}
}

func (w *fixture) steps(n int, homes ...*home) {
	for range n {
		w.step(homes...)
	}
}

func (h *home) Get(ctx context.Context, key string) (store.Row, error) { return h.table.Get(ctx, key) }

func (h *home) Range(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	return h.table.Range(ctx, prefix, after, limit)
}

func (h *home) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	run(h.beforeCommit)
	version, err := h.table.Commit(ctx, txn)
	run(h.afterCommit)
	return version, err
}

func (h *home) Serving(ctx context.Context, t engine.Target) (engine.Serving, error) {
	serving, err := engine.NewClient(http.DefaultClient).Serving(ctx, t)
	if h.afterProbe != nil {
		h.afterProbe(&serving)
	}
	return serving, err
}

func (h *home) Order(ctx context.Context, t engine.Target, order engine.Order) error {
	run(h.beforeOrder)
	h.mu.Lock()
	h.orderTimes = append(h.orderTimes, h.clock.Now())
	h.mu.Unlock()
	err := engine.NewClient(http.DefaultClient).Order(ctx, t, order)
	if h.afterOrder != nil {
		return h.afterOrder()
	}
	return err
}

// pausePoint blocks the first caller of wait.
type pausePoint struct {
	reached chan struct{}
	resume  chan struct{}
}

func newPausePoint() *pausePoint {
	return &pausePoint{reached: make(chan struct{}), resume: make(chan struct{})}
}

// wait blocks the first caller until resume is closed or the test ends.
func (p *pausePoint) wait(ctx context.Context) {
	select {
	case <-p.reached:
		return
	default:
	}
	close(p.reached)
	select {
	case <-p.resume:
	case <-ctx.Done():
	}
}

func run(hook func()) {
	if hook != nil {
		hook()
	}
}

// textOf returns a text with one model service.
func textOf(models []string, upstreams ...conf.Upstream) *conf.Text {
	return &conf.Text{
		Services:    []conf.Service{{Name: "chat", Kind: conf.KindModel, Models: models, Upstreams: upstreams}},
		WeightStore: conf.WeightStore{LoadsPerMinute: loadsPerMinute},
	}
}
