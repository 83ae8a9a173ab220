package bypass_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/bypass"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

var id = rows.ID{Table: "t", Part: "p", Key: "k"}

// viaPeer makes the calls that would go via a peer.
type viaPeer struct{ store rows.Store }

func (v viaPeer) CommitViaPeer(ctx context.Context, txn rows.Txn) (int64, error) {
	return v.store.Commit(ctx, txn)
}

func (v viaPeer) RangeViaPeer(ctx context.Context, q rows.Query) (rows.Page, error) {
	return v.store.Range(ctx, q)
}

// unresponsive is a path that loses every reply. If applied is set, the calls take
// effect.
type unresponsive struct {
	rows.Store
	applied bool
}

func (s unresponsive) Commit(ctx context.Context, txn rows.Txn) (int64, error) {
	if s.applied {
		if _, err := s.Store.Commit(ctx, txn); err != nil {
			return 0, err
		}
	}
	<-ctx.Done()
	return 0, rows.ErrUnknown
}

// refusing is a path on which the store refuses each call.
type refusing struct{ rows.Store }

func (refusing) Commit(context.Context, rows.Txn) (int64, error) { return 0, rows.ErrNotDone }

func TestCommitWithFallback(t *testing.T) {
	txn := rows.Txn{
		Expect: []rows.Expectation{{ID: id}},
		Writes: []rows.Write{{ID: id, Value: []byte("ours")}},
	}
	tests := []struct {
		name   string
		direct func(store rows.Store) rows.Store
		other  func(store rows.Store) rows.Store
		before bool
		err    error
	}{
		{name: "direct path works"},
		{name: "direct path refuses", direct: func(s rows.Store) rows.Store { return refusing{s} }},
		{name: "direct path is unresponsive", direct: func(s rows.Store) rows.Store { return unresponsive{Store: s} }},
		{name: "reply lost on the direct path", direct: func(s rows.Store) rows.Store { return unresponsive{Store: s, applied: true} }},
		{name: "conflict with an earlier writer", before: true, err: rows.ErrConflict},
		{
			name:   "both paths refuse",
			direct: func(s rows.Store) rows.Store { return refusing{s} },
			other:  func(s rows.Store) rows.Store { return refusing{s} },
			err:    rows.ErrNotDone,
		},
		{
			name:   "direct path refuses, peer is unresponsive",
			direct: func(s rows.Store) rows.Store { return refusing{s} },
			other:  func(s rows.Store) rows.Store { return unresponsive{Store: s} },
			err:    rows.ErrUnknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			memory := rows.NewMemory()
			if tt.before {
				_, err := memory.Commit(t.Context(), rows.Txn{Writes: []rows.Write{{ID: id, Value: []byte("other")}}})
				assert.NilError(t, err)
			}
			var direct, other rows.Store = memory, memory
			if tt.direct != nil {
				direct = tt.direct(memory)
			}
			if tt.other != nil {
				other = tt.other(memory)
			}
			store := bypass.NewStore(direct, viaPeer{other}, func() bool { return false })
			defer store.Close()
			start := time.Now()
			_, err := store.Commit(t.Context(), txn)
			if tt.err != nil {
				assert.Assert(t, errors.Is(err, tt.err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < time.Second)
		})
	}
}

// slow delays its replies and counts the transactions that it receives.
type slow struct {
	rows.Store
	delay    time.Duration
	received atomic.Int64
}

func (s *slow) Commit(context.Context, rows.Txn) (int64, error) {
	s.received.Add(1)
	time.Sleep(s.delay)
	return 1, nil
}

// commitAll commits transactions concurrently and returns the longest duration of
// one of them.
func commitAll(t *testing.T, store *bypass.Store, calls int) time.Duration {
	t.Helper()
	var longest atomic.Int64
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			start := time.Now()
			_, err := store.Commit(t.Context(), rows.Txn{})
			assert.Check(t, err)
			for duration := int64(time.Since(start)); ; {
				old := longest.Load()
				if duration <= old || longest.CompareAndSwap(old, duration) {
					return
				}
			}
		})
	}
	wg.Wait()
	return time.Duration(longest.Load())
}

// A store that is slow for all instances, as when its parts are overloaded, must not
// receive each transaction twice: the hedges would keep it overloaded.
func TestSlowStoreGetsFewHedges(t *testing.T) {
	const calls = 200
	store := &slow{delay: 300 * time.Millisecond}
	d := bypass.NewStore(store, viaPeer{store}, func() bool { return false })
	defer d.Close()
	commitAll(t, d, calls)
	assert.Assert(t, store.received.Load() <= calls*11/10, "%d transactions for %d", store.received.Load(), calls)
}

// When only the direct path is unresponsive, all calls must use the fallback path,
// also those in flight beyond the hedge budget when the partition begins.
func TestPartitionedInstanceFallsBackForAllCalls(t *testing.T) {
	const calls = 200
	other := &slow{delay: 5 * time.Millisecond}
	d := bypass.NewStore(unresponsive{Store: other}, viaPeer{other}, func() bool { return false })
	defer d.Close()
	longest := commitAll(t, d, calls)
	assert.Assert(t, longest < 400*time.Millisecond, "%v", longest)
	longest = commitAll(t, d, calls)
	assert.Assert(t, longest < 100*time.Millisecond, "%v", longest)
}

func TestReplyPreservesOutcome(t *testing.T) {
	tests := []struct {
		name string
		err  error
	}{
		{"answered", nil},
		{"conflict", &rows.ConflictError{Rows: []rows.Row{{ID: id, Version: 3}}}},
		{"refused", rows.ErrNotDone},
		{"unknown", rows.ErrUnknown},
		{"any other failure is unknown", errors.New("odd")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			page, err := bypass.NewReply(rows.Page{Version: 7}, tt.err).Result()
			switch {
			case tt.err == nil:
				assert.NilError(t, err)
				assert.Equal(t, page.Version, int64(7))
			case errors.Is(tt.err, rows.ErrConflict), errors.Is(tt.err, rows.ErrNotDone):
				assert.Assert(t, errors.Is(err, tt.err) || errors.Is(err, rows.ErrConflict))
			default:
				assert.Assert(t, errors.Is(err, rows.ErrUnknown))
			}
		})
	}
}

// momentary is a store that answers only calls that are sent while it is open.
type momentary struct {
	rows.Store
	open atomic.Bool
}

func (m *momentary) Commit(ctx context.Context, txn rows.Txn) (int64, error) {
	if !m.open.Load() {
		<-ctx.Done()
		return 0, rows.ErrUnknown
	}
	return m.Store.Commit(ctx, txn)
}

// A turn that waits for a silent store must be written when the store returns, even
// if only for a moment, and not when the call that hangs has timed out.
func TestCallIsSentAgainWhenTheStoreReturns(t *testing.T) {
	store := &momentary{Store: rows.NewMemory()}
	d := bypass.NewStore(store, viaPeer{store}, func() bool { return true })
	t.Cleanup(d.Close)
	d.SetLost()
	ended := make(chan error, 1)
	g := group.NewGroup(t.Context())
	t.Cleanup(g.Close)
	g.Go(func(ctx context.Context) {
		_, err := d.Commit(ctx, rows.Txn{Writes: []rows.Write{{ID: rows.ID{Table: "turns", Key: "k"}, Value: []byte("v")}}})
		ended <- err
	})
	time.Sleep(200 * time.Millisecond)
	store.open.Store(true)
	d.ResetBackoff()
	time.Sleep(100 * time.Millisecond)
	store.open.Store(false)
	select {
	case err := <-ended:
		assert.NilError(t, err)
	default:
		t.Fatal("the call still hangs")
	}
}

// full is a store that gets too many calls from all instances together.
type full struct {
	rows.Store
	calls atomic.Int64
}

func (f *full) Commit(context.Context, rows.Txn) (int64, error) {
	f.calls.Add(1)
	return 0, errors.WithType(rows.ErrBusy, rows.ErrNotDone)
}

// In a burst the fleet sends more transactions than the store takes. A refused one
// must not be sent again via other instances, unless the store turns just this
// instance away, feeds included.
func TestFullStoreGetsEachCallOnce(t *testing.T) {
	tests := []struct {
		name string
		lost bool
		want int64
	}{
		{"the feeds work", false, 0},
		{"turned away", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			direct, viaPeers := &full{}, &full{}
			d := bypass.NewStore(direct, viaPeer{viaPeers}, func() bool { return false })
			t.Cleanup(d.Close)
			if tt.lost {
				d.SetLost()
			}
			_, err := d.Commit(t.Context(), rows.Txn{Writes: []rows.Write{{ID: id, Value: []byte("v")}}})
			assert.ErrorIs(t, err, rows.ErrNotDone)
			assert.Equal(t, direct.calls.Load(), int64(1))
			assert.Equal(t, viaPeers.calls.Load(), tt.want)
		})
	}
}
