package watch_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
	"github.com/buckthorntide/buckthorntide/watch"
)

type (
	// silent is a store whose calls get no answer while it is set, also those that
	// were sent before it is reset.
	silent struct {
		rows.Store
		set atomic.Bool
	}

	// losing is a store that loses its first answer about the rows of each table.
	losing struct {
		rows.Store
		mu       sync.Mutex
		answered map[string]bool
	}

	// lagging is a store whose reads of whole tables show the rows as they were
	// when the snapshot was taken, as during a compaction.
	lagging struct {
		rows.Store
		snapshot atomic.Pointer[rows.Page]
	}
)

func (s *silent) await(ctx context.Context) error {
	if !s.set.Load() {
		return nil
	}
	<-ctx.Done()
	return rows.ErrUnknown
}

func (s *silent) Range(ctx context.Context, q rows.Query) (rows.Page, error) {
	if err := s.await(ctx); err != nil {
		return rows.Page{}, err
	}
	return s.Store.Range(ctx, q)
}

func (s *silent) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
	if err := s.await(ctx); err != nil {
		return rows.Page{}, err
	}
	page, err := s.Store.Feed(ctx, table, after, wait)
	if silence := s.await(ctx); silence != nil {
		return rows.Page{}, silence
	}
	return page, err
}

func (l *losing) Range(ctx context.Context, q rows.Query) (rows.Page, error) {
	l.mu.Lock()
	lost := !l.answered[q.Table]
	l.answered[q.Table] = true
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
		return rows.Page{}, rows.ErrUnknown
	}
	return l.Store.Range(ctx, q)
}

func (l *lagging) Range(ctx context.Context, q rows.Query) (rows.Page, error) {
	if page := l.snapshot.Load(); page != nil && q.Table == "upstreams" {
		return *page, nil
	}
	return l.Store.Range(ctx, q)
}

func newWatcher(t *testing.T, store rows.Store, p *peer) *watch.Watcher {
	t.Helper()
	w := watch.NewWatcher(hclog.NewNullLogger(), store, decoder{}, p, watch.Events{Works: func() {}, Lost: func() {}})
	w.Start()
	t.Cleanup(w.Close)
	return w
}

// A store that is silent for seconds may answer for a fifth of a second in between.
// Every instance must notice: the keys that it knows are good for seconds more.
func TestShortReturnOfASilentStoreIsNoticed(t *testing.T) {
	const window = 200 * time.Millisecond
	d := &deployment{t: t, store: rows.NewMemory(), peer: &peer{}}
	d.put("orders", "config", site.Config{Version: 1})
	store := &silent{Store: d.store}
	d.watcher = newWatcher(t, store, d.peer)
	d.within(time.Second, "config", func(v *site.View) bool { return v.Version == 1 })
	d.started()
	for _, age := range []time.Duration{2000, 2250, 2500, 2750} {
		store.set.Store(true)
		d.within(5*time.Second, "old", func(*site.View) bool { return d.age() > age*time.Millisecond })
		store.set.Store(false)
		time.Sleep(window)
		store.set.Store(true)
		assert.Assert(t, d.age() <= 2*window, "%v", d.age())
	}
}

// An instance that starts while the store is silent learns everything that it needs
// from another one: routes, keys with their age, upstreams and the other instances.
func TestStartWhileTheStoreIsSilent(t *testing.T) {
	const age = 1500 * time.Millisecond
	encoded := func(value any) []byte {
		b, err := json.Marshal(value)
		assert.NilError(t, err)
		return b
	}
	store := &silent{Store: rows.NewMemory()}
	store.set.Store(true)
	p := &peer{}
	p.report(watch.Updates{
		Age: age, Known: true,
		Rows: []rows.Row{
			{ID: rows.ID{Table: "orders", Key: "config"}, Value: encoded(site.Config{Version: 9}), Version: 4},
			{ID: rows.ID{Table: "upstreams", Key: "i-1"}, Value: encoded(site.Upstream{Service: "s"}), Version: 5},
			{ID: rows.ID{Table: "instances", Key: "b"}, Value: []byte("b"), Version: 6},
		},
		Positions: watch.Positions{"orders": 7, "upstreams": 7, "instances": 7},
	})
	d := &deployment{t: t, peer: p}
	d.watcher = watch.NewWatcher(hclog.NewNullLogger(), store, decoder{}, p, watch.Events{Works: func() {}, Lost: func() {}})
	d.watcher.Require("instances")
	instances := make(chan string, 1)
	d.watcher.Follow("instances", 0, func([]rows.Row) {}, func(found []rows.Row) { instances <- found[0].Key })
	d.watcher.Start()
	t.Cleanup(d.watcher.Close)
	d.within(100*time.Millisecond, "config", func(v *site.View) bool { return v.Version == 9 && d.age() < time.Hour })
	assert.Equal(t, len(d.watcher.View().Pool("s")), 1)
	assert.Equal(t, <-instances, "b")
	assert.Assert(t, d.age() >= age, "the age of keys grows from hand to hand: %v", d.age())
}

// A read of a whole table may show an older state than the one known. An upstream
// that has left must not return by it, and a new one not vanish.
func TestOldReadIsNotApplied(t *testing.T) {
	d := &deployment{t: t, store: rows.NewMemory(), peer: &peer{}}
	d.put("orders", "config", site.Config{Version: 1})
	d.put("upstreams", "old", site.Upstream{Service: "s"})
	old, err := d.store.Range(t.Context(), rows.Query{Table: "upstreams"})
	assert.NilError(t, err)
	store := &lagging{Store: d.store}
	d.watcher = newWatcher(t, store, d.peer)
	d.within(time.Second, "old", func(v *site.View) bool { return len(v.Pool("s")) == 1 })
	d.remove("upstreams", "old")
	d.put("upstreams", "new", site.Upstream{Service: "s"})
	onlyNew := func(v *site.View) bool { return len(v.Pool("s")) == 1 && v.Pool("s")[0].ID == "new" }
	d.within(2*time.Second, "new", onlyNew)
	store.snapshot.Store(&old)
	// The watcher misses a change whose history is dropped, and reads the table.
	d.store.SetFault(rows.ErrUnknown, true)
	_, err = d.store.Commit(t.Context(), rows.Txn{Writes: []rows.Write{
		{ID: rows.ID{Table: "upstreams", Key: "unreadable"}, Value: []byte("-")},
	}})
	assert.ErrorIs(t, err, rows.ErrUnknown)
	d.store.Compact()
	d.store.SetFault(nil, false)
	time.Sleep(1500 * time.Millisecond)
	assert.Assert(t, onlyNew(d.watcher.View()), "%v", d.watcher.View().Pool("s"))
}

// A restarted instance may first read the store and then hear of another instance
// that lags behind. An upstream that has left must not return by that.
func TestLaggingPeerBringsNothingBack(t *testing.T) {
	value, err := json.Marshal(site.Upstream{Service: "s"})
	assert.NilError(t, err)
	d := &deployment{t: t, store: rows.NewMemory(), peer: &peer{}}
	d.put("upstreams", "gone", site.Upstream{Service: "s"})
	d.remove("upstreams", "gone")
	d.put("orders", "config", site.Config{Version: 1})
	d.watcher = newWatcher(t, d.store, d.peer)
	d.within(time.Second, "config", func(v *site.View) bool { return v.Version == 1 && d.age() < time.Hour })
	d.peer.report(watch.Updates{
		Age: 3 * time.Second, Known: true,
		Rows:      []rows.Row{{ID: rows.ID{Table: "upstreams", Key: "gone"}, Value: value, Version: 1}},
		Positions: watch.Positions{"orders": 1, "upstreams": 1},
	})
	d.store.SetFault(rows.ErrNotDone, false)
	d.within(5*time.Second, "peers asked", func(*site.View) bool { return d.age() > 2*time.Second })
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(d.watcher.View().Pool("s")), 0)
}

// An upstream that left while this instance missed the store's history is not told
// to instances that start later.
func TestGoneUpstreamIsNotToldToOthers(t *testing.T) {
	d := &deployment{t: t, store: rows.NewMemory(), peer: &peer{}}
	d.put("orders", "config", site.Config{Version: 1})
	d.put("upstreams", "gone", site.Upstream{Service: "s"})
	d.watcher = newWatcher(t, d.store, d.peer)
	d.within(time.Second, "upstream", func(v *site.View) bool { return len(v.Pool("s")) == 1 })
	d.started()
	d.store.SetFault(rows.ErrNotDone, false)
	d.within(5*time.Second, "old", func(*site.View) bool { return d.age() > 1500*time.Millisecond })
	d.store.SetFault(nil, false)
	d.remove("upstreams", "gone")
	d.put("upstreams", "new", site.Upstream{Service: "s"})
	d.store.Compact()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		known := make(map[string]bool)
		for _, r := range d.watcher.UpdatesSince(nil).Rows {
			known[r.Key] = !r.Deleted
		}
		if known["new"] && !known["gone"] {
			return poll.Success()
		}
		return poll.Continue("told: %v", known)
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(20*time.Millisecond))
}

// All instances start again while the store loses single answers. Each must know
// what it needs within a second, not when the whole read has timed out.
func TestStartWhileAnswersAreLost(t *testing.T) {
	d := &deployment{t: t, store: rows.NewMemory(), peer: &peer{}}
	d.put("orders", "config", site.Config{Version: 1})
	d.put("upstreams", "i-1", site.Upstream{Service: "s"})
	d.watcher = newWatcher(t, &losing{Store: d.store, answered: make(map[string]bool)}, d.peer)
	d.within(time.Second, "all tables", func(v *site.View) bool {
		return v.Version == 1 && len(v.Pool("s")) == 1 && d.age() < time.Hour
	})
}
