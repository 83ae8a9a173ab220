package crash_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/crash"
	"github.com/buckthorntide/buckthorntide/poison"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
)

// fleet stands in for the deployment and the other instances of a tracker.
type fleet struct {
	mu   sync.Mutex
	view *site.View
	// peers are told of crashes.
	peers []*crash.Tracker
	// dialError is the error of connections to upstreams.
	dialError error
}

func (f *fleet) View() *site.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fleet) TellCrash(_ context.Context, r crash.Report) {
	for _, p := range f.peers {
		_ = p.Told(r, "a peer")
	}
}

func (f *fleet) IsHome(string) bool { return false }

func (f *fleet) dial(context.Context, string, string) (net.Conn, error) {
	if f.dialError != nil {
		return nil, f.dialError
	}
	near, far := net.Pipe()
	return near, far.Close()
}

func (f *fleet) set(upstreams ...*site.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = site.NewView(nil, upstreams, nil)
}

func newTracker(t *testing.T, f *fleet, store rows.Store, name string) *crash.Tracker {
	tracker := crash.NewTracker(crash.Config{
		Log: hclog.NewNullLogger(), Store: store, Views: f, Peers: f, Registry: metrics.NewRegistry(), Dial: f.dial, Process: name,
	})
	t.Cleanup(tracker.Close)
	return tracker
}

func upstream(id string, incarnation int64, state site.State) *site.Upstream {
	return &site.Upstream{ID: id, Service: "s", Address: "127.0.0.1:1", Incarnation: incarnation, State: state}
}

// Guards against taking connections that break, upstreams that leave or can't be reached for
// crashes, and against missing one whose upstream is back at once.
func TestWhatProvesACrash(t *testing.T) {
	tests := []struct {
		name      string
		dialError error
		state     site.State
		next      []*site.Upstream
		crashes   int
	}{
		{"refused", syscall.ECONNREFUSED, site.Ready, []*site.Upstream{upstream("u", 1, site.Ready)}, 1},
		{"refused, and the entry is gone", syscall.ECONNREFUSED, site.Ready, nil, 1},
		{"another incarnation", nil, site.Ready, []*site.Upstream{upstream("u", 2, site.Ready)}, 1},
		{"a connection that broke", nil, site.Ready, []*site.Upstream{upstream("u", 1, site.Ready)}, 0},
		{"an upstream that was about to leave", syscall.ECONNREFUSED, site.Draining, nil, 0},
		{"a machine that lost its power", syscall.ETIMEDOUT, site.Ready, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := &fleet{dialError: tt.dialError}
			f.set(tt.next...)
			tracker := newTracker(t, f, rows.NewMemory(), "p")
			tracker.Broke(upstream("u", 1, tt.state), poison.Request{Exact: 1, Path: 2})
			time.Sleep(300 * time.Millisecond)
			assert.Equal(t, tracker.Known(), tt.crashes)
		})
	}
}

// Guards against instances that learn of no crash while the store is away, and against a
// report that is lost by its return.
func TestCrashesSpreadWithoutTheStore(t *testing.T) {
	f := &fleet{dialError: syscall.ECONNREFUSED}
	f.set()
	store := rows.NewMemory()
	other := newTracker(t, f, store, "other")
	f.peers = []*crash.Tracker{other}
	tracker := newTracker(t, f, store, "p")
	store.SetFault(rows.ErrNotDone, false)
	bad := poison.Request{Exact: 1, Path: 2}
	for _, id := range []string{"a", "b", "c"} {
		tracker.Broke(upstream(id, 1, site.Ready), bad)
	}
	awaitHeld(t, other, bad)
	store.SetFault(nil, false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		started := newTracker(t, f, store, "started")
		page, err := store.Range(t.Context(), rows.Query{Table: crash.Table, Limit: 10})
		if err != nil {
			return poll.Error(err)
		}
		started.Apply(page.Rows)
		if started.HeldFor(bad) == 0 {
			return poll.Continue("%d rows", len(page.Rows))
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

func awaitHeld(t *testing.T, tracker *crash.Tracker, r poison.Request) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if tracker.HeldFor(r) == 0 {
			return poll.Continue("%d crashes", tracker.Known())
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// Guards against instances that go on to refuse a request that another one saw answered,
// and against rows of other writers.
func TestClearedRequestsAndOddRows(t *testing.T) {
	f := &fleet{dialError: syscall.ECONNREFUSED}
	f.set()
	store := rows.NewMemory()
	tracker, other := newTracker(t, f, store, "p"), newTracker(t, f, store, "other")
	good := poison.Request{Exact: 1, Path: 2}
	for _, id := range []string{"a", "b", "c"} {
		tracker.Broke(upstream(id, 1, site.Ready), good)
	}
	awaitHeld(t, tracker, good)
	for _, value := range []string{"", "{", `{"requests":["zz-1"]}`, `{"requests":["1"]}`, `[1]`} {
		other.Apply([]rows.Row{{ID: rows.ID{Table: crash.Table, Key: value}, Value: []byte(value)}})
	}
	assert.Equal(t, other.Known(), 0)
	apply := func() poll.Result {
		page, err := store.Range(t.Context(), rows.Query{Table: crash.Table, Limit: 10})
		if err != nil {
			return poll.Error(err)
		}
		other.Apply(page.Rows)
		return poll.Success()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		apply()
		if other.HeldFor(good) == 0 {
			return poll.Continue("%d crashes", other.Known())
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	tracker.Answered(upstream("d", 1, site.Ready), good)
	assert.Equal(t, tracker.HeldFor(good), time.Duration(0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		apply()
		if other.HeldFor(good) > 0 {
			return poll.Continue("still held")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}
