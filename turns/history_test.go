package turns_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/turns"
)

// tree holds the turns whose answers were completed.
type tree struct {
	mu   sync.Mutex
	kept []*turns.Turn
}

func (h *tree) add(t *turns.Turn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kept = append(h.kept, t)
}

// any returns a turn to continue, or nil for a new conversation.
func (h *tree) any(random *rand.Rand) *turns.Turn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.kept) == 0 || random.IntN(4) == 0 {
		return nil
	}
	return h.kept[random.IntN(len(h.kept))]
}

// Instances store and continue turns concurrently, are replaced by ones with an
// empty cache, and lose replies of the store, which may have applied the write. A
// turn whose answer was completed must never be reported missing or be changed.
func TestEndedTurnsAreFoundByEveryInstance(t *testing.T) {
	const (
		instances = 5
		rounds    = 60
		timeout   = 60 * time.Millisecond
	)
	store, history := rows.NewMemory(), &tree{}
	faults := group.NewGroup(t.Context())
	faults.Go(func(ctx context.Context) {
		random := rand.New(rand.NewPCG(1, 1))
		for group.Sleep(ctx, time.Duration(random.IntN(20))*time.Millisecond) {
			switch random.IntN(4) {
			case 0:
				store.SetFault(rows.ErrUnknown, random.IntN(2) == 0)
			case 1:
				store.SetFault(rows.ErrNotDone, false)
			default:
				store.SetFault(nil, false)
			}
		}
	})
	work := group.NewGroup(t.Context())
	t.Cleanup(work.Close)
	for instance := range instances {
		work.Go(func(ctx context.Context) {
			random := rand.New(rand.NewPCG(2, uint64(instance)))
			k := newKeeper(t, store, &peers{})
			for n := range rounds {
				if random.IntN(10) == 0 {
					k = newKeeper(t, store, &peers{})
				}
				limited, cancel := context.WithTimeout(ctx, timeout)
				next := turn(fmt.Sprintf("i%d-%d", instance, n))
				if before := history.any(random); before != nil {
					chain, err := k.Chain(limited, before.Team, before.ID)
					if errors.Is(err, turns.ErrNoTurn) {
						t.Errorf("turn %s was completed and is reported missing", before.ID)
					}
					if err == nil {
						checkChain(t, chain, before)
						next.Ancestors = append(append([]string(nil), before.Ancestors...), before.ID)
					}
				}
				if err := k.Keep(limited, next); err == nil {
					history.add(next)
				}
				cancel()
			}
		})
	}
	work.Wait()
	faults.Close()
	store.SetFault(nil, false)
	last := newKeeper(t, store, &peers{})
	assert.Assert(t, len(history.kept) > instances, "%d turns were kept", len(history.kept))
	for _, kept := range history.kept {
		chain, err := last.Chain(t.Context(), kept.Team, kept.ID)
		assert.NilError(t, err, kept.ID)
		checkChain(t, chain, kept)
	}
}

// checkChain compares a chain with the expected last turn and its ancestors.
func checkChain(t *testing.T, chain []*turns.Turn, last *turns.Turn) {
	t.Helper()
	ids := make([]string, 0, len(chain))
	for _, x := range chain {
		ids = append(ids, x.ID)
		if want := turn(x.ID); string(x.Output) != string(want.Output) || string(x.Input) != string(want.Input) {
			t.Errorf("turn %s was found changed", x.ID)
		}
	}
	if want := append(append([]string(nil), last.Ancestors...), last.ID); fmt.Sprint(ids) != fmt.Sprint(want) {
		t.Errorf("the turns %v were found, not %v", ids, want)
	}
}
