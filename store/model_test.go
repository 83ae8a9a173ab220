package store_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/stand"
	"github.com/buckthorntide/buckthorntide/store"
)

// neverCounted is more writes than a row gets.
const neverCounted = 1000

// naiveTable runs one transaction after the other. Versions count the writes of
// a row, so that they don't depend on how transactions are gathered.
type naiveTable struct {
	values map[string]string
	writes map[string]int
}

// step is a transaction whose conditions name a row's number of writes.
type step struct {
	reads  []string
	counts []int
	writes []string
	value  string
}

func (n *naiveTable) apply(s step) bool {
	for i, key := range s.reads {
		if n.writes[key] != s.counts[i] {
			return false
		}
	}
	for _, key := range s.writes {
		n.values[key] = s.value
		n.writes[key]++
	}
	return true
}

// drawRound draws transactions that are submitted together. Most conditions
// hold before the round; all written rows have one.
func drawRound(rt *rapid.T, naive *naiveTable, round int) []step {
	steps := make([]step, rapid.IntRange(1, 8).Draw(rt, "steps"))
	for i := range steps {
		keys := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 1, 3, rapid.ID).Draw(rt, "keys")
		s := step{reads: keys, value: fmt.Sprint(round, "-", i)}
		s.writes = keys[:rapid.IntRange(1, len(keys)).Draw(rt, "writes")]
		for _, key := range keys {
			stale := rapid.IntRange(0, 7).Draw(rt, "stale") == 0
			count := naive.writes[key]
			if stale {
				count = (count + neverCounted) % (neverCounted + 1)
			}
			s.counts = append(s.counts, count)
		}
		steps[i] = s
	}
	return steps
}

// versions finds the version of each row by its number of writes.
type versions map[string][]int64

func (v versions) txn(prefix string, s step) store.Txn {
	txn := store.Txn{}
	for i, key := range s.reads {
		known := v[key]
		version := int64(-1)
		if s.counts[i] == 0 {
			version = 0
		} else if s.counts[i] <= len(known) {
			version = known[s.counts[i]-1]
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: prefix + key, Version: version})
	}
	for _, key := range s.writes {
		txn.Writes = append(txn.Writes, store.Write{Key: prefix + key, Value: []byte(s.value)})
	}
	return txn
}

// checkAgainstNaive submits rounds of transactions and compares each outcome,
// and at the end each row, with the naive table.
func checkAgainstNaive(rt *rapid.T, table store.Table, prefix string, before func()) {
	committer := store.NewCommitter(table, store.CommitterConfig{
		Backoff:      time.Microsecond,
		MaxWrites:    8,
		MarkerPrefix: prefix + "marker/",
	})
	defer committer.Close()
	naive := &naiveTable{values: make(map[string]string), writes: make(map[string]int)}
	seen := versions{}
	for round := range rapid.IntRange(1, 5).Draw(rt, "rounds") {
		steps := drawRound(rt, naive, round)
		txns := make([]store.Txn, 0, len(steps))
		for _, s := range steps {
			txns = append(txns, seen.txn(prefix, s))
		}
		before()
		for i, outcome := range submitAll(rt, committer, txns) {
			if naive.apply(steps[i]) {
				assert.NilError(rt, outcome.Err)
				for _, key := range steps[i].writes {
					seen[key] = append(seen[key], outcome.Version)
				}
				continue
			}
			assert.ErrorIs(rt, outcome.Err, store.ErrConflict)
		}
	}
	for key, value := range naive.values {
		row, err := table.Get(context.Background(), prefix+key)
		assert.NilError(rt, err)
		assert.Equal(rt, string(row.Value), value)
	}
}

func TestCommitterMatchesNaiveTable(t *testing.T) {
	faults := []store.Fault{store.FaultUnavailable, store.FaultLost, store.FaultUnknown, store.FaultNone}
	rapid.Check(t, func(rt *rapid.T) {
		fake := store.NewFake()
		checkAgainstNaive(rt, fake, "", func() {
			for _, fault := range rapid.SliceOfN(rapid.SampledFrom(faults), 0, 4).Draw(rt, "faults") {
				fake.Expect(store.FakeCall{Operation: store.OpCommit, Fault: fault})
			}
		})
	})
}

func TestCommitterOverClientMatchesNaiveTable(t *testing.T) {
	platform, client := startPlatform(t, testTimeout)
	check := 0
	rapid.Check(t, func(rt *rapid.T) {
		check++
		checkAgainstNaive(rt, client, fmt.Sprint(check, "/"), func() {
			lost := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1, 2, 4}).Draw(rt, "lost answers")
			platform.SetFaults(stand.PlatformFaults{LoseNext: lost})
		})
	})
}

func TestMemoryRangesLikeASortedSlice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := store.NewMemory()
		var keys []string
		for _, key := range rapid.SliceOf(rapid.StringMatching(`[ab]{1,3}`)).Draw(rt, "keys") {
			remove := slices.Contains(keys, key)
			keys = slices.DeleteFunc(keys, func(k string) bool { return k == key })
			if !remove {
				keys = append(keys, key)
			}
			table.Commit(store.Txn{Writes: []store.Write{{Key: key, Delete: remove}}})
		}
		prefix := rapid.StringMatching(`[ab]{0,2}`).Draw(rt, "prefix")
		after := rapid.StringMatching(`[ab]{0,3}`).Draw(rt, "after")
		limit := rapid.IntRange(0, 4).Draw(rt, "limit")
		slices.Sort(keys)
		want := []string{}
		for _, key := range keys {
			if len(want) < limit && key > after && len(key) >= len(prefix) && key[:len(prefix)] == prefix {
				want = append(want, key)
			}
		}
		rows := table.Range(prefix, after, limit)
		got := make([]string, 0, len(rows))
		for _, row := range rows {
			got = append(got, row.Key)
		}
		assert.DeepEqual(rt, got, want)
	})
}

func TestErrorsOfTheLayerDiffer(t *testing.T) {
	assert.Assert(t, errors.Is(&store.ConflictError{}, store.ErrConflict))
	assert.Assert(t, !errors.Is(&store.ConflictError{}, store.ErrUnknown))
}
