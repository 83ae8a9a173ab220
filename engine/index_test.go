package engine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/engine"
)

var start = time.Unix(1000, 0)

// modelIndex is the reference model: one engine's cache as an unbounded map.
type modelIndex map[string]int

// TestIndexMatchesModel applies delayed events with gaps and complete lists to
// an index. Once everything is delivered, the index equals the engine's cache.
func TestIndexMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := engine.NewCacheIndex(1000)
		model := modelIndex{}
		var page engine.CacheEvents
		sequence := int64(0)
		now := start
		x.Replace("e", engine.CacheList{}, now)
		list := func() engine.CacheList {
			l := engine.CacheList{Sequence: sequence}
			for program, tokens := range model {
				l.Entries = append(l.Entries, engine.CacheEntry{Program: program, Tokens: tokens})
			}
			return l
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			program := fmt.Sprintf("p%d", rapid.IntRange(0, 5).Draw(t, "program"))
			now = now.Add(10 * time.Second)
			sequence++
			event := engine.CacheEvent{Sequence: sequence, Kind: engine.EventStored, Program: program}
			if rapid.Bool().Draw(t, "stored") {
				event.Tokens = rapid.IntRange(1, 500).Draw(t, "tokens")
				model[program] = event.Tokens
			} else {
				event.Kind = engine.EventEvicted
				delete(model, program)
			}
			if rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
				page.Events = append(page.Events, event)
			}
			if rapid.Bool().Draw(t, "deliver") {
				if x.Apply("e", page, now) {
					x.Replace("e", list(), now)
				}
				page = engine.CacheEvents{}
			}
		}
		if x.Apply("e", page, now) || x.Sequence("e") != sequence {
			x.Replace("e", list(), now)
		}
		held := 0
		for i := range 6 {
			program := fmt.Sprintf("p%d", i)
			assert.Equal(t, x.Tokens("e", program), model[program], program)
			held += model[program]
		}
		assert.Equal(t, x.HeldTokens("e"), int64(held))
	})
}

func TestIndexIsBounded(t *testing.T) {
	x := engine.NewCacheIndex(10)
	for i := range 100 {
		x.Observe(fmt.Sprintf("e%d", i%5), fmt.Sprintf("p%d", i), 10, start)
		x.Observe("e0", "kept", 10, start)
	}
	assert.Equal(t, x.Len(), 10)
	assert.Equal(t, x.Tokens("e0", "kept"), 10)
	held := int64(0)
	for i := range 5 {
		held += x.HeldTokens(fmt.Sprintf("e%d", i))
	}
	assert.Equal(t, held, int64(100))
}

func TestIndexKeepsRecentlyUsed(t *testing.T) {
	x := engine.NewCacheIndex(10)
	x.Replace("e", engine.CacheList{Sequence: 1}, start)
	x.Observe("e", "p", 500, start)
	evicted := engine.CacheEvent{Sequence: 2, Kind: engine.EventEvicted, Program: "p"}
	x.Apply("e", engine.CacheEvents{Events: []engine.CacheEvent{evicted}}, start.Add(time.Second))
	assert.Equal(t, x.Tokens("e", "p"), 500, "an eviction right after a use is ignored")
	evicted.Sequence = 3
	x.Apply("e", engine.CacheEvents{Events: []engine.CacheEvent{evicted}}, start.Add(time.Minute))
	assert.Equal(t, x.Tokens("e", "p"), 0)
	x.Observe("e", "p", 500, start)
	x.Drop("e")
	assert.Equal(t, x.Len(), 0, "a restart empties the cache")
}

func TestIndexKeepsLongestHolders(t *testing.T) {
	x := engine.NewCacheIndex(10)
	for i := range 5 {
		x.Observe(fmt.Sprintf("e%d", i), "p", 100*(i+1), start)
	}
	holders := x.Holders("p", nil)
	assert.Equal(t, len(holders), engine.MaxHolders)
	assert.Equal(t, x.Tokens("e4", "p"), 500)
	assert.Equal(t, x.Tokens("e0", "p"), 0)
}

// BenchmarkIndexEntry reports the heap memory per program.
func BenchmarkIndexEntry(b *testing.B) {
	for _, n := range []int{6_000, 18_000, 72_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				x := engine.NewCacheIndex(n)
				for i := range n {
					x.Observe("e"+fmt.Sprint(i%50), fmt.Sprintf("program-%012d", i), 1000, start)
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/program")
				runtime.KeepAlive(x)
			}
		})
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
