package memory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an account that exceeds its limit, leaks bytes, so that it refuses more and
// more, or evicts a request that an upstream may run.
func TestAccountHoldsInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 2 << 20
		a := NewAccount(limit)
		now := time.Duration(0)
		type model struct {
			*Holder
			phase   Phase
			evicted int
			waits   int
		}
		var open []*model
		check := func() {
			sum, leaving, awaited, collected, collectors := 0, 0, 0, 0, 0
			for _, m := range open {
				sum += m.bytes
				awaited += m.waits
				collected += m.collected
				if m.collected > 0 {
					collectors++
				}
				if m.Evicted() {
					leaving += m.bytes
				}
			}
			assert.Equal(t, a.used, sum)
			assert.Equal(t, a.leaving, leaving)
			assert.Equal(t, a.awaited, awaited)
			assert.Equal(t, a.collected, collected)
			assert.Equal(t, a.collectors, collectors)
			assert.Equal(t, len(a.holders), len(open))
			assert.Assert(t, a.used <= limit && a.used >= 0, "%d bytes", a.used)
		}
		one := func(t *rapid.T) *model {
			if len(open) == 0 {
				t.Skip("no holder")
			}
			return open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"open": func(t *rapid.T) {
				open = append(open, &model{Holder: a.Open(now)})
			},
			"enter": func(t *rapid.T) {
				m := one(t)
				m.phase = Phase(rapid.IntRange(int(Working), int(Streaming)).Draw(t, "phase"))
				m.Enter(m.phase, func() {
					m.evicted++
					assert.Assert(t, m.phase != Working && m.evicted == 1)
				}, now)
			},
			"progress": func(t *rapid.T) { one(t).Progress(now) },
			"reserve": func(t *rapid.T) {
				m := one(t)
				if m.waits > 0 {
					m.Withdraw(m.waits)
					m.waits = 0
				}
				bytes := rapid.SampledFrom([]int{1, 512, SmallBytes, 3 * SmallBytes, limit / 2, limit, limit + 1}).Draw(t, "bytes")
				had := m.bytes
				wait, err := m.Reserve(bytes, now)
				switch {
				case wait != nil:
					m.waits = bytes
					assert.Equal(t, m.bytes, had)
				case err != nil:
					assert.Equal(t, m.bytes, had)
				default:
					assert.Equal(t, m.bytes, had+bytes)
					assert.Assert(t, m.bytes <= SmallBytes || a.used <= limit-limit/smallDivisor)
				}
			},
			"withdraw": func(t *rapid.T) {
				m := one(t)
				m.Withdraw(m.waits)
				m.waits = 0
			},
			"release": func(t *rapid.T) {
				m := one(t)
				m.Release(rapid.IntRange(0, m.bytes).Draw(t, "bytes"))
			},
			"close": func(t *rapid.T) {
				m := one(t)
				m.Withdraw(m.waits)
				m.Close()
				m.Close()
				for i := range open {
					if open[i] == m {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
			},
			"time": func(t *rapid.T) {
				now += rapid.SampledFrom([]time.Duration{time.Millisecond, idleTime / 2, idleTime}).Draw(t, "passed")
			},
		})
		for _, m := range open {
			m.Withdraw(m.waits)
			m.Close()
		}
		open = nil
		check()
		// All of it can be reserved again.
		assert.Assert(t, reserves(a.Open(now), limit-limit/smallDivisor, now))
	})
}

func reserves(h *Holder, bytes int, now time.Duration) bool {
	wait, err := h.Reserve(bytes, now)
	return wait == nil && err == nil
}

func TestEvictions(t *testing.T) {
	const limit = 8 << 20
	tests := []struct {
		name string
		// holds is what the other holder has, in phase for the given time.
		holds  int
		phase  Phase
		idle   time.Duration
		asks   int
		evicts bool
		err    error
	}{
		{"idle body yields to a large one", 6 << 20, Reading, idleTime, 6 << 20, true, nil},
		{"active body does not yield to a large one", 6 << 20, Reading, idleTime - 1, 6 << 20, false, ErrRefused},
		{"active body yields to one of an equal share", 6 << 20, Reading, 0, 2 << 20, true, nil},
		{"large output yields to one of an equal share", 6 << 20, Streaming, 0, 2 << 20, true, nil},
		{"output that waits does not yield to a large one", 6 << 20, Streaming, time.Hour, 6 << 20, false, ErrRefused},
		{"request at an upstream never yields", 6 << 20, Working, time.Hour, 2 << 20, false, ErrRefused},
		{"small body uses what is set aside", 7 << 20, Reading, idleTime, SmallBytes, false, nil},
		{"request beyond the limit evicts nobody", 6 << 20, Reading, time.Hour, limit + 1, false, ErrRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewAccount(limit)
			other, asker := a.Open(0), a.Open(0)
			evicted := false
			assert.Assert(t, reserves(other, tt.holds, 0))
			other.Enter(tt.phase, func() { evicted = true }, 0)
			wait, err := asker.Reserve(tt.asks, tt.idle)
			assert.Equal(t, err, tt.err)
			assert.Equal(t, evicted, tt.evicts)
			assert.Equal(t, wait != nil, tt.evicts)
			if tt.evicts {
				asker.Withdraw(tt.asks)
				_, err := other.Reserve(1, tt.idle)
				assert.ErrorIs(t, err, ErrEvicted)
				other.Close()
				<-wait
				assert.Assert(t, reserves(asker, tt.asks, tt.idle))
			}
			asker.Close()
			other.Close()
			assert.Equal(t, a.Used(), 0)
		})
	}
}

// Guards against two holders that wait for the release of the same bytes, of which one would
// be refused although a third holder could have been evicted for it.
func TestEachWaitHasItsOwnEvictions(t *testing.T) {
	a := NewAccount(8 << 20)
	evicted := 0
	idle := make([]*Holder, 0, 3)
	for range 3 {
		h := a.Open(0)
		h.Enter(Reading, func() { evicted++ }, 0)
		assert.Assert(t, reserves(h, 2<<20, 0))
		idle = append(idle, h)
	}
	for want := 1; want <= 3; want++ {
		wait, err := a.Open(idleTime).Reserve(2<<20, idleTime)
		assert.NilError(t, err)
		assert.Assert(t, wait != nil)
		assert.Equal(t, evicted, want)
	}
	for _, h := range idle {
		h.Close()
	}
	assert.Equal(t, a.leaving, 0)
}

// Guards against a limit that the process can't keep: the largest live heap, the garbage
// beside it and the runtime must fit, and a body of 4 MB with the copy made while it grows.
func TestLimitFitsTheProcess(t *testing.T) {
	for _, megabytes := range []int{64, 112, 154, 512} {
		process := megabytes << 20
		limit := Limit(process)
		live := limit + baseBytes + process/CacheDivisor + process/ConnDivisor
		assert.Assert(t, live+live/2+runtimeBytes <= process, "%d MB", megabytes)
		assert.Assert(t, limit-limit/smallDivisor >= 6<<20, "%d MB: limit %d", megabytes, limit)
	}
}

// Guards against a few turns with endless outputs that leave no memory for others, and
// against outputs that fill the account.
func TestOutputsLeaveEachTurnItsShare(t *testing.T) {
	const (
		turns = 4
		share = 1 << 20
		limit = turns * share * outputDivisor
	)
	a := NewAccount(limit)
	open := make([]*Holder, 0, turns)
	for range turns {
		h := a.Open(0)
		h.Enter(Streaming, func() {}, 0)
		open = append(open, h)
	}
	assert.Assert(t, reserves(open[0], turns*share, 0))
	_, err := open[0].Reserve(1, 0)
	assert.ErrorIs(t, err, ErrRefused)
	for _, h := range open[1:] {
		assert.Assert(t, reserves(h, share, 0))
	}
	for _, h := range open {
		_, err := h.Reserve(share, 0)
		assert.ErrorIs(t, err, ErrRefused)
		assert.Assert(t, !h.Evicted())
	}
	assert.Assert(t, reserves(a.Open(0), 2*share, 0), "outputs leave no memory for a body")
	for _, h := range open {
		h.Close()
	}
	assert.Equal(t, a.collected, 0)
	assert.Equal(t, a.collectors, 0)
	assert.Equal(t, a.Used(), 2*share)
}
