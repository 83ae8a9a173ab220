package watch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
	"github.com/buckthorntide/buckthorntide/watch"
)

var errBad = errors.New("bad entry")

type (
	// decoder decodes rows whose values are the JSON of the decoded types.
	decoder struct{}

	// peer is another instance, with the updates that it reports.
	peer struct {
		mu      sync.Mutex
		updates watch.Updates
		ok      bool
	}

	// withheld is a store that blocks reads of a table until release is closed.
	withheld struct {
		rows.Store
		table   string
		release chan struct{}
	}

	// late is a store that delays reads.
	late struct {
		rows.Store
		delay time.Duration
	}

	deployment struct {
		t       *testing.T
		store   *rows.Memory
		peer    *peer
		watcher *watch.Watcher
	}
)

func (decoder) Tables() (operator, upstreams string) { return "orders", "upstreams" }

func (decoder) Config(row rows.Row) (*site.Config, bool, error) {
	if row.Key != "config" {
		return nil, false, nil
	}
	config := new(site.Config)
	return config, true, json.Unmarshal(row.Value, config)
}

func (decoder) DomainOut(id rows.ID) (string, bool) { return strings.CutPrefix(id.Key, "out/") }

func (decoder) Upstream(row rows.Row, _ time.Duration) (*site.Upstream, error) {
	if row.Key == "panics" {
		panic("unexpected row")
	}
	u := new(site.Upstream)
	if err := json.Unmarshal(row.Value, u); err != nil {
		return nil, errBad
	}
	u.ID = row.Key
	return u, nil
}

func (p *peer) Updates(context.Context, watch.Positions) (watch.Updates, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.updates, p.ok
}

func (p *peer) Instances() int { return 2 }

func (p *peer) report(updates watch.Updates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates, p.ok = updates, true
}

func (s withheld) Range(ctx context.Context, q rows.Query) (rows.Page, error) {
	if q.Table == s.table {
		select {
		case <-s.release:
		case <-ctx.Done():
			return rows.Page{}, ctx.Err()
		}
	}
	return s.Store.Range(ctx, q)
}

func (s withheld) Parts(ctx context.Context, table string) (rows.Parts, error) {
	if table == s.table {
		select {
		case <-s.release:
		case <-ctx.Done():
			return rows.Parts{}, ctx.Err()
		}
	}
	return s.Store.Parts(ctx, table)
}

func (s late) Parts(ctx context.Context, table string) (rows.Parts, error) {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return rows.Parts{}, ctx.Err()
	}
	return s.Store.Parts(ctx, table)
}

func (s late) Range(ctx context.Context, q rows.Query) (rows.Page, error) {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return rows.Page{}, ctx.Err()
	}
	return s.Store.Range(ctx, q)
}

func newDeployment(t *testing.T, prepare func(d *deployment)) *deployment {
	t.Helper()
	d := &deployment{t: t, store: rows.NewMemory(), peer: &peer{}}
	if prepare != nil {
		prepare(d)
	}
	d.watcher = watch.NewWatcher(hclog.NewNullLogger(), d.store, decoder{}, d.peer, watch.Events{Works: func() {}, Lost: func() {}})
	d.watcher.Start()
	t.Cleanup(d.watcher.Close)
	return d
}

func (d *deployment) put(table, key string, value any) {
	d.t.Helper()
	encoded, err := json.Marshal(value)
	assert.NilError(d.t, err)
	_, err = d.store.Commit(d.t.Context(), rows.Txn{Writes: []rows.Write{{ID: rows.ID{Table: table, Key: key}, Value: encoded}}})
	assert.NilError(d.t, err)
}

func (d *deployment) remove(table, key string) {
	d.t.Helper()
	_, err := d.store.Commit(d.t.Context(), rows.Txn{Removes: []rows.ID{{Table: table, Key: key}}})
	assert.NilError(d.t, err)
}

// within waits until the condition holds and fails the test after the limit.
func (d *deployment) within(limit time.Duration, what string, holds func(v *site.View) bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if holds(d.watcher.View()) {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(5*time.Millisecond))
}

// started waits until every table was read. The view shows what was read of some before
// that, and an outage would then hit the start.
func (d *deployment) started() {
	d.t.Helper()
	d.within(time.Second, "all tables", func(*site.View) bool { return d.age() < time.Hour })
}

func (d *deployment) age() time.Duration {
	age, ok := d.watcher.Age(common.Uptime())
	if !ok {
		return time.Hour
	}
	return age
}

func TestChangesAreFollowed(t *testing.T) {
	d := newDeployment(t, nil)
	d.put("orders", "config", site.Config{Version: 3})
	d.within(time.Second, "config 3", func(v *site.View) bool { return v.Version == 3 })
	d.put("orders", "config", site.Config{Version: 7})
	d.within(time.Second, "config 7", func(v *site.View) bool { return v.Version == 7 })
	d.put("orders", "config", site.Config{Version: 5})
	d.put("orders", "out/a", true)
	d.within(time.Second, "domain out", func(v *site.View) bool { return v.DomainExcluded("a") })
	assert.Equal(t, d.watcher.View().Version, int64(7))
	d.remove("orders", "out/a")
	d.within(time.Second, "domain in", func(v *site.View) bool { return !v.DomainExcluded("a") })

	d.put("upstreams", "i-1", site.Upstream{Service: "s"})
	d.put("upstreams", "i-2", "not an upstream")
	d.put("upstreams", "panics", "an entry that the decoder does not expect")
	d.within(2*time.Second, "one upstream", func(v *site.View) bool { return len(v.Pool("s")) == 1 })
	d.put("upstreams", "i-1", site.Upstream{Service: "s", SoftwareVersion: "v2"})
	d.within(2*time.Second, "version of the upstream", func(v *site.View) bool {
		return len(v.Pool("s")) == 1 && v.Pool("s")[0].SoftwareVersion == "v2"
	})
	d.remove("upstreams", "i-1")
	d.within(2*time.Second, "no upstream", func(v *site.View) bool { return len(v.Pool("s")) == 0 })
}

func TestTableIsReadAgainAfterCompaction(t *testing.T) {
	d := newDeployment(t, func(d *deployment) {
		d.put("orders", "config", site.Config{Version: 1})
		d.put("orders", "out/a", true)
	})
	d.within(time.Second, "domain out", func(v *site.View) bool { return v.DomainExcluded("a") })
	d.started()
	d.store.SetFault(rows.ErrNotDone, false)
	d.within(3*time.Second, "feed lost", func(*site.View) bool { return d.age() > 1200*time.Millisecond })
	d.store.SetFault(nil, false)
	d.remove("orders", "out/a")
	d.store.Compact()
	d.within(time.Second, "domain in", func(v *site.View) bool { return !v.DomainExcluded("a") })
}

// An instance that has not read every required table would refuse all requests for
// lack of an upstream, or assume that it is the only instance.
func TestNothingIsKnownBeforeAllTablesAre(t *testing.T) {
	for _, table := range []string{"orders", "upstreams", "instances"} {
		t.Run(table, func(t *testing.T) {
			d := &deployment{t: t, store: rows.NewMemory(), peer: &peer{}}
			d.put("orders", "config", site.Config{Version: 3})
			d.put("upstreams", "i-1", site.Upstream{Service: "s"})
			held := withheld{Store: d.store, table: table, release: make(chan struct{})}
			d.watcher = watch.NewWatcher(hclog.NewNullLogger(), held, decoder{}, d.peer, watch.Events{Works: func() {}, Lost: func() {}})
			d.watcher.Require("instances")
			d.watcher.Start()
			t.Cleanup(d.watcher.Close)
			d.watcher.Follow("instances", 0, func([]rows.Row) {}, func([]rows.Row) {})
			d.within(time.Second, "the other tables", func(v *site.View) bool { return v.Version == 3 || len(v.Pool("s")) == 1 })
			assert.Equal(t, d.age(), time.Hour)
			close(held.release)
			d.within(time.Second, "all tables", func(*site.View) bool { return d.age() < time.Hour })
			assert.Equal(t, len(d.watcher.View().Pool("s")), 1)
		})
	}
}

// While many instances start, each reply of the store takes 200 ms. Tables of many
// parts must still be read completely.
func TestTableOfManyPartsIsReadFromASlowStore(t *testing.T) {
	const parts = 32
	store := rows.NewMemory()
	for i := range parts {
		_, err := store.Commit(t.Context(), rows.Txn{Writes: []rows.Write{
			{ID: rows.ID{Table: "spenders", Part: fmt.Sprintf("p%d", i), Key: "k"}, Value: []byte("1")},
		}})
		assert.NilError(t, err)
	}
	slow := late{Store: store, delay: 200 * time.Millisecond}
	watcher := watch.NewWatcher(hclog.NewNullLogger(), slow, decoder{}, &peer{}, watch.Events{Works: func() {}, Lost: func() {}})
	whole := make(chan int, 1)
	watcher.Start()
	t.Cleanup(watcher.Close)
	watcher.Follow("spenders", 0, func(found []rows.Row) { whole <- len(found) }, func([]rows.Row) {})
	select {
	case found := <-whole:
		assert.Equal(t, found, parts)
	case <-time.After(3 * time.Second):
		t.Fatal("the table was not read")
	}
}

// The first call after an outage must not be held by the store. Otherwise the view
// stays too old to accept keys for as long as the store holds a call without
// changes.
func TestFreshAtOnceAfterAnOutage(t *testing.T) {
	d := newDeployment(t, func(d *deployment) { d.put("orders", "config", site.Config{Version: 1}) })
	d.within(time.Second, "config", func(v *site.View) bool { return v.Version == 1 })
	d.started()
	d.store.SetFault(rows.ErrNotDone, false)
	d.within(4*time.Second, "old", func(*site.View) bool { return d.age() > 2*time.Second })
	d.store.SetFault(nil, false)
	d.within(500*time.Millisecond, "fresh", func(*site.View) bool { return d.age() < 500*time.Millisecond })
}

func TestMissingUpstreamsAreKeptAfterAnOutage(t *testing.T) {
	d := newDeployment(t, func(d *deployment) { d.put("upstreams", "i-1", site.Upstream{Service: "s"}) })
	d.within(time.Second, "upstream", func(v *site.View) bool { return len(v.Pool("s")) == 1 })
	d.started()
	d.store.SetFault(rows.ErrNotDone, false)
	d.within(4*time.Second, "old", func(*site.View) bool { return d.age() > 1500*time.Millisecond })
	d.returnWithout("upstreams", "i-1")
	time.Sleep(time.Second)
	assert.Equal(t, len(d.watcher.View().Pool("s")), 1)
	d.within(4*time.Second, "gone", func(v *site.View) bool { return len(v.Pool("s")) == 0 })
}

// returnWithout ends the outage and deletes a row.
func (d *deployment) returnWithout(table, key string) {
	d.store.SetFault(nil, false)
	d.remove(table, key)
}

func TestPeersProvideUpdatesWhileTheStoreIsDown(t *testing.T) {
	config, err := json.Marshal(site.Config{Version: 9})
	assert.NilError(t, err)
	d := newDeployment(t, func(d *deployment) { d.store.SetFault(rows.ErrNotDone, false) })
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, d.age(), time.Hour)
	d.peer.report(watch.Updates{
		Age: 100 * time.Millisecond, Known: true,
		Rows:      []rows.Row{{ID: rows.ID{Table: "orders", Key: "config"}, Value: config, Version: 4}},
		Positions: watch.Positions{"orders": 4, "upstreams": 4},
	})
	d.within(time.Second, "config", func(v *site.View) bool { return v.Version == 9 })
	assert.Assert(t, d.age() >= 100*time.Millisecond && d.age() < time.Second)
	reported := d.watcher.UpdatesSince(watch.Positions{})
	assert.Equal(t, len(reported.Rows), 1)
}

// An instance may only assume that the store is down for all if it reaches peers,
// none of which reaches the store.
func TestStoreIsAwayForAll(t *testing.T) {
	d := newDeployment(t, func(d *deployment) { d.put("orders", "config", site.Config{Version: 1}) })
	d.within(time.Second, "config", func(v *site.View) bool { return v.Version == 1 })
	d.started()
	d.store.SetFault(rows.ErrNotDone, false)
	d.within(4*time.Second, "old", func(*site.View) bool { return d.age() > 2500*time.Millisecond })
	assert.Assert(t, !d.watcher.StoreDown())
	d.peer.report(watch.Updates{Age: 3 * time.Second, Known: true})
	d.within(time.Second, "away", func(*site.View) bool { return d.watcher.StoreDown() })
	d.store.SetFault(nil, false)
	d.within(time.Second, "back", func(*site.View) bool { return !d.watcher.StoreDown() })
}

// forgetful is a store without a history of changes.
type forgetful struct{ *rows.Memory }

func (forgetful) Feed(context.Context, string, int64, time.Duration) (rows.Page, error) {
	return rows.Page{}, rows.ErrHistoryGone
}

// A store that has dropped its history says so at each call. Reads of the whole
// table must keep to the pace of retries, and still show each change.
func TestStoreWithoutAHistoryIsNotReadWithoutAPause(t *testing.T) {
	const span = 2 * time.Second
	d := &deployment{t: t, store: rows.NewMemory(), peer: &peer{}}
	d.put("orders", "config", site.Config{Version: 1})
	d.watcher = watch.NewWatcher(hclog.NewNullLogger(), forgetful{d.store}, decoder{}, d.peer, watch.Events{Works: func() {}, Lost: func() {}})
	d.watcher.Start()
	t.Cleanup(d.watcher.Close)
	d.within(time.Second, "config 1", func(v *site.View) bool { return v.Version == 1 })
	before := d.store.Calls()
	time.Sleep(span)
	reads := d.store.Calls() - before
	assert.Assert(t, reads < 2*int(span/(40*time.Millisecond)), "%d reads in %s", reads, span)
	d.put("orders", "config", site.Config{Version: 2})
	d.within(time.Second, "config 2", func(v *site.View) bool { return v.Version == 2 })
	assert.Assert(t, d.age() < time.Second)
}
