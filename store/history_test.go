package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	historyCallers = 6
	historySteps   = 30
	historyKeys    = 3
)

type (
	// access is a get, or a commit that writes value where it finds expected.
	access struct {
		key      string
		commit   bool
		expected string
		value    string
	}

	result struct {
		value    string
		conflict bool
		unknown  bool
	}

	history struct {
		mu         sync.Mutex
		began      time.Time
		operations []porcupine.Operation
	}

	commitFunc func(ctx context.Context, txn store.Txn) error
)

// registerModel is one row's value under conditional commits. One of unknown
// outcome may have taken effect or not.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partition,
		Init:      func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return stepRegister(state.(string), input.(access), output.(result))
		},
	}
	return model.ToModel()
}

func stepRegister(state string, a access, r result) []any {
	if !a.commit {
		if r.value == state {
			return []any{state}
		}
		return nil
	}
	holds := state == a.expected
	switch {
	case r.unknown && holds:
		return []any{state, a.value}
	case r.unknown || r.conflict && !holds:
		return []any{state}
	case !r.conflict && holds:
		return []any{a.value}
	}
	return nil
}

func partition(operations []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, o := range operations {
		key := o.Input.(access).key
		byKey[key] = append(byKey[key], o)
	}
	parts := make([][]porcupine.Operation, 0, len(byKey))
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

func (h *history) record(caller int, a access, run func() result) result {
	called := time.Since(h.began)
	r := run()
	returned := time.Since(h.began)
	if r.unknown {
		returned = time.Hour
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: caller, Input: a, Call: int64(called), Output: r, Return: int64(returned),
	})
	return r
}

// caller reads rows and writes them under the condition of what it read.
func (h *history) caller(ctx context.Context, id int, table store.Table, commit commitFunc) {
	random := rand.New(rand.NewPCG(uint64(id), 7))
	for i := range historySteps {
		key := fmt.Sprint("k", random.IntN(historyKeys))
		var row store.Row
		h.record(id, access{key: key}, func() result {
			row, _ = table.Get(ctx, key)
			return result{value: string(row.Value)}
		})
		a := access{key: key, commit: true, expected: string(row.Value), value: fmt.Sprintf("%d-%d", id, i)}
		h.record(id, a, func() result {
			err := commit(ctx, put(store.NewRequestID(), key, a.value, row.Version))
			return result{conflict: errors.Is(err, store.ErrConflict), unknown: errors.Is(err, store.ErrUnknown)}
		})
	}
}

func TestCommitsWithLostAnswersAreLinearizable(t *testing.T) {
	cases := []struct {
		name   string
		commit func(t *testing.T, table store.Table) commitFunc
	}{
		{name: "client", commit: func(_ *testing.T, table store.Table) commitFunc {
			return func(ctx context.Context, txn store.Txn) error {
				_, err := table.Commit(ctx, txn)
				return err
			}
		}},
		{name: "committer", commit: func(t *testing.T, table store.Table) commitFunc {
			committer := newMarkedCommitter(t, table, "marker/")
			return func(ctx context.Context, txn store.Txn) error {
				_, err := committer.Commit(ctx, txn)
				return err
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			platform, client := startPlatform(t, testTimeout)
			platform.SetFaults(stand.PlatformFaults{LoseProbability: 0.3})
			h := &history{began: time.Now()}
			g := group.NewGroup(context.Background())
			for id := range historyCallers {
				commit := c.commit(t, client)
				g.Go(func(ctx context.Context) { h.caller(ctx, id, client, commit) })
			}
			g.Wait()
			assert.Assert(t, platform.Stats().AnswersLost > 0)
			assert.Equal(t, len(h.operations), 2*historyCallers*historySteps)
			assert.Equal(t, porcupine.CheckOperationsTimeout(registerModel(), h.operations, time.Minute), porcupine.Ok)
		})
	}
}
