package turns_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/turns"
)

const rowBytes = 1 << 10

// peers are the other instances, which may have a turn cached.
type peers struct {
	held  *turns.Turn
	calls atomic.Int32
}

func (m *peers) Find(context.Context, string) *turns.Turn {
	m.calls.Add(1)
	return m.held
}

func newKeeper(t *testing.T, store rows.Store, peers turns.Peers) *turns.Keeper {
	t.Helper()
	k := turns.NewKeeper(hclog.NewNullLogger(), store, peers, turns.Config{RowBytes: rowBytes, CacheBytes: 1 << 20, StoreLost: func() bool { return true }})
	t.Cleanup(k.Close)
	return k
}

func turn(id string, ancestors ...string) *turns.Turn {
	return &turns.Turn{
		ID:        id,
		Team:      "team",
		Ancestors: ancestors,
		Input:     bytes.Repeat([]byte(id), 3*rowBytes),
		Output:    []byte("out of " + id + "\n"),
		Retention: time.Minute,
	}
}

func TestChainWithAnEmptyCache(t *testing.T) {
	store := rows.NewMemory()
	first := newKeeper(t, store, &peers{})
	for _, x := range []*turns.Turn{turn("a"), turn("b", "a"), turn("c", "a", "b"), turn("d", "a")} {
		assert.NilError(t, first.Keep(t.Context(), x))
	}
	tests := []struct {
		name string
		team string
		id   string
		want []string
		err  error
	}{
		{name: "two ancestors", team: "team", id: "c", want: []string{"a", "b", "c"}},
		{name: "another branch", team: "team", id: "d", want: []string{"a", "d"}},
		{name: "another team's", team: "other", id: "c", err: turns.ErrNoTurn},
		{name: "never existed", team: "team", id: "e", err: turns.ErrNoTurn},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			chain, err := newKeeper(t, store, &peers{}).Chain(t.Context(), tt.team, tt.id)
			if tt.err != nil {
				assert.Assert(t, errors.Is(err, tt.err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(chain), len(tt.want))
			for i, x := range chain {
				assert.DeepEqual(t, x, turn(tt.want[i], x.Ancestors...))
			}
		})
	}
}

// A turn that the store lacks was never completed, so ErrNoTurn needs no calls to
// peers.
func TestMissingTurnIsToldByTheStoreAlone(t *testing.T) {
	others := &peers{}
	k := newKeeper(t, rows.NewMemory(), others)
	_, err := k.Chain(t.Context(), "team", "e")
	assert.Assert(t, errors.Is(err, turns.ErrNoTurn), "%v", err)
	assert.Equal(t, others.calls.Load(), int32(0))
}

func TestTurnsWhileTheStoreIsDown(t *testing.T) {
	tests := []struct {
		name string
		held *turns.Turn
		err  error
	}{
		{name: "a peer has it cached", held: turn("a")},
		{name: "no peer has it cached", err: turns.ErrUncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := rows.NewMemory()
			store.SetFault(rows.ErrNotDone, false)
			chain, err := newKeeper(t, store, &peers{held: tt.held}).Chain(t.Context(), "team", "a")
			if tt.err != nil {
				assert.Assert(t, errors.Is(err, tt.err), "%v", err)
				assert.Assert(t, !errors.Is(err, turns.ErrNoTurn), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, chain, []*turns.Turn{tt.held})
		})
	}
}

// Keep must report a turn that the store did not take, since its answer may only be
// completed once the turn survives all instances.
func TestTurnIsNotKeptWhileTheStoreIsAway(t *testing.T) {
	store := rows.NewMemory()
	store.SetFault(rows.ErrNotDone, false)
	k := newKeeper(t, store, &peers{})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := k.Keep(ctx, turn("a"))
	assert.Assert(t, errors.Is(err, turns.ErrNotKept), "%v", err)
}

func TestTurnIsKeptOnceTheStoreIsReachable(t *testing.T) {
	store := rows.NewMemory()
	store.SetFault(rows.ErrUnknown, true)
	time.AfterFunc(50*time.Millisecond, func() { store.SetFault(nil, false) })
	k := newKeeper(t, store, &peers{})
	assert.NilError(t, k.Keep(t.Context(), turn("a")))
}

// slow is a store whose reads outlast the first timeout.
type slow struct{ rows.Store }

func (s slow) Range(ctx context.Context, q rows.Query) (rows.Page, error) {
	select {
	case <-time.After(250 * time.Millisecond):
		return s.Store.Range(ctx, q)
	case <-ctx.Done():
		return rows.Page{}, rows.ErrUnknown
	}
}

// In a burst reads take longer. A turn must then be read once more, instead of
// being asked for at hundreds of instances, which would slow all of them down.
func TestSlowReadsAreNotAskedOfAllInstances(t *testing.T) {
	memory := rows.NewMemory()
	p := &peers{}
	writer := newKeeper(t, memory, p)
	assert.NilError(t, writer.Keep(t.Context(), turn("a")))
	k := turns.NewKeeper(hclog.NewNullLogger(), slow{memory}, p, turns.Config{
		RowBytes: rowBytes, CacheBytes: 1 << 20, StoreLost: func() bool { return false },
	})
	t.Cleanup(k.Close)
	chain, err := k.Chain(t.Context(), "team", "a")
	assert.NilError(t, err)
	assert.Equal(t, len(chain), 1)
	assert.Equal(t, p.calls.Load(), int32(0))
}
