package watch_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
	"github.com/buckthorntide/buckthorntide/watch"
)

// An instance that starts in calm takes over since when others have reached the store.
// Guards against one that can't tell calm from the end of an outage, or takes an outage
// for calm.
func TestReachedIsLearntFromPeers(t *testing.T) {
	const long = time.Minute
	tests := []struct {
		name    string
		first   bool
		updates *watch.Updates
		want    time.Duration
	}{
		{name: "another instance has reached it for long", updates: &watch.Updates{Known: true, Reached: long}, want: long},
		{name: "another instance has lost it", updates: &watch.Updates{Known: true, Age: time.Second}},
		{name: "another instance's view is old", updates: &watch.Updates{Known: true, Age: 5 * time.Second, Reached: long}},
		{name: "nobody answers"},
		{name: "the deployment starts for the first time", first: true, want: long},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &deployment{t: t, store: rows.NewMemory(), peer: &peer{}}
			d.put("orders", "config", site.Config{Version: 1})
			if tt.updates != nil {
				d.peer.report(*tt.updates)
			}
			d.watcher = watch.NewWatcher(hclog.NewNullLogger(), d.store, decoder{}, d.peer, watch.Events{Works: func() {}, Lost: func() {}})
			if tt.first {
				d.watcher.FirstStart()
			}
			d.watcher.Start()
			t.Cleanup(d.watcher.Close)
			d.started()
			if tt.want > 0 {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if d.watcher.Reached() >= tt.want {
						return poll.Success()
					}
					return poll.Continue("reached for %v", d.watcher.Reached())
				}, poll.WithTimeout(time.Second), poll.WithDelay(5*time.Millisecond))
			} else {
				time.Sleep(200 * time.Millisecond)
				assert.Assert(t, d.watcher.Reached() < long, "%v", d.watcher.Reached())
			}
			d.store.SetFault(rows.ErrNotDone, false)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if d.watcher.Reached() == 0 {
					return poll.Success()
				}
				return poll.Continue("reached for %v", d.watcher.Reached())
			}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
			d.store.SetFault(nil, false)
			d.within(2*time.Second, "reached again", func(*site.View) bool { return d.watcher.Reached() > 0 })
			assert.Assert(t, d.watcher.Reached() < 3*time.Second, "%v", d.watcher.Reached())
		})
	}
}
