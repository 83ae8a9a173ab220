package watch_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
	"github.com/buckthorntide/buckthorntide/watch"
)

// runningPeer is another instance with a watcher of its own.
type runningPeer struct {
	mu      sync.Mutex
	watcher *watch.Watcher
}

func (p *runningPeer) Updates(_ context.Context, known watch.Positions) (watch.Updates, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watcher == nil {
		return watch.Updates{}, false
	}
	return p.watcher.UpdatesSince(known), true
}

func (p *runningPeer) Instances() int { return 2 }

// names is the state of a table of the project's own.
type names struct {
	mu    sync.Mutex
	known map[string]bool
}

func (n *names) replace(found []rows.Row) {
	n.mu.Lock()
	clear(n.known)
	n.mu.Unlock()
	n.change(found)
}

func (n *names) change(found []rows.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range found {
		n.known[r.Key] = !r.Deleted
	}
}

func (n *names) has(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known[name]
}

// An instance is cut off from the store while a row is removed, and the one that it asks
// meanwhile has started after the removal. Guards against a removal that the asker then
// never learns: the asker's position passes it, and the store's own change is dropped.
func TestRemovalIsLearntFromAPeerThatStartedAfterIt(t *testing.T) {
	const table = "instances"
	encoded, err := json.Marshal(site.Upstream{Service: "s"})
	assert.NilError(t, err)
	tests := []struct {
		name string
		row  rows.Write
		// left reports whether the row has no effect any more.
		left func(w *watch.Watcher, n *names) bool
	}{
		{
			name: "an upstream's entry",
			row:  rows.Write{ID: rows.ID{Table: "upstreams", Key: "i-1"}, Value: encoded},
			left: func(w *watch.Watcher, _ *names) bool { return len(w.View().Pool("s")) == 0 },
		},
		{
			name: "a failure domain that is out",
			row:  rows.Write{ID: rows.ID{Table: "orders", Key: "out/a"}, Value: []byte("true")},
			left: func(w *watch.Watcher, _ *names) bool { return !w.View().DomainExcluded("a") },
		},
		{
			name: "an instance",
			row:  rows.Write{ID: rows.ID{Table: table, Key: "i-1"}, Value: []byte("1")},
			left: func(_ *watch.Watcher, n *names) bool { return !n.has("i-1") },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &deployment{t: t, store: rows.NewMemory()}
			d.put("orders", "config", site.Config{Version: 1})
			_, err := d.store.Commit(t.Context(), rows.Txn{Writes: []rows.Write{tt.row}})
			assert.NilError(t, err)
			store, other := &silent{Store: d.store}, &runningPeer{}
			start := func(store rows.Store, p watch.Peers) (*watch.Watcher, *names) {
				n := &names{known: make(map[string]bool)}
				w := watch.NewWatcher(hclog.NewNullLogger(), store, decoder{}, p, watch.Events{Works: func() {}, Lost: func() {}})
				w.Require(table)
				w.Start()
				w.Follow(table, 0, n.replace, n.change)
				t.Cleanup(w.Close)
				return w, n
			}
			cut, found := start(store, other)
			d.watcher = cut
			d.within(2*time.Second, "row", func(*site.View) bool { return d.age() < time.Hour && !tt.left(cut, found) })

			store.set.Store(true)
			_, err = d.store.Commit(t.Context(), rows.Txn{Removes: []rows.ID{tt.row.ID}})
			assert.NilError(t, err)
			d.put("orders", "config", site.Config{Version: 2})
			started, _ := start(d.store, &peer{})
			other.mu.Lock()
			other.watcher = started
			other.mu.Unlock()
			d.within(5*time.Second, "told", func(v *site.View) bool { return v.Version == 2 })
			store.set.Store(false)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if tt.left(cut, found) {
					return poll.Success()
				}
				return poll.Continue("the removed row is still in effect")
			}, poll.WithTimeout(3*time.Second), poll.WithDelay(10*time.Millisecond))
		})
	}
}
