package poison_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/poison"
)

type (
	// model is a fleet whose instances share one table, with a delay.
	model struct {
		random  *rand.Rand
		table   *poison.Table
		now     time.Duration
		events  []event
		engines []engine
		// ended counts the upstreams that a crashing request ended, heldOff the harmless
		// requests that were refused for it.
		ended   int
		heldOff int
		next    int
	}

	event struct {
		at  time.Duration
		run func()
	}

	engine struct {
		incarnation int64
		downUntil   time.Duration
		running     map[int]poison.Request
	}

	// run is one request of a caller.
	run struct {
		request poison.Request
		deadly  bool
		tries   int
	}
)

const (
	engineDownTime = 3 * time.Second
	// startTime is how long a request waits at an engine before it begins to run.
	startTime = 60 * time.Millisecond
	runTime   = 600 * time.Millisecond
	// spreadTime is how long a crash takes to be known by all instances.
	spreadTime = 20 * time.Millisecond
	maxTries   = 4
)

func (m *model) after(d time.Duration, run func()) {
	m.events = append(m.events, event{m.now + d, run})
}

func (m *model) play(until time.Duration) {
	for len(m.events) > 0 {
		i := 0
		for j := range m.events {
			if m.events[j].at < m.events[i].at {
				i = j
			}
		}
		e := m.events[i]
		m.events = slices.Delete(m.events, i, i+1)
		if e.at > until {
			return
		}
		m.now = e.at
		e.run()
	}
}

// send runs the request at a random engine that is up; every second try is the instance's
// own retry.
func (m *model) send(r run) {
	if m.table.HeldFor(r.request, m.now) > 0 {
		if !r.deadly {
			m.heldOff++
		}
		return
	}
	if r.tries%2 == 1 && m.table.Crashes(r.request) >= poison.RetryLimit || r.tries >= maxTries {
		return
	}
	up := make([]int, 0, len(m.engines))
	for i := range m.engines {
		if m.engines[i].downUntil <= m.now {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	i := up[m.random.IntN(len(up))]
	r.tries++
	m.next++
	id, incarnation := m.next, m.engines[i].incarnation
	m.engines[i].running[id] = r.request
	if r.deadly {
		m.after(startTime, func() { m.crash(i, incarnation) })
	}
	m.after(startTime+runTime, func() {
		if m.engines[i].incarnation != incarnation {
			return
		}
		delete(m.engines[i].running, id)
		m.table.Clear(r.request, "")
	})
	// The caller or its instance tries again if the engine ends.
	m.after(startTime+spreadTime, func() {
		if m.engines[i].incarnation != incarnation {
			m.send(r)
		}
	})
}

func (m *model) crash(i int, incarnation int64) {
	e := &m.engines[i]
	if e.incarnation != incarnation {
		return
	}
	m.ended++
	c := poison.Crash{Upstream: fmt.Sprint(i), Incarnation: incarnation}
	for _, r := range e.running {
		c.Requests = append(c.Requests, r)
	}
	slices.SortFunc(c.Requests, func(a, b poison.Request) int { return cmp.Compare(a.Exact, b.Exact) })
	*e = engine{incarnation: incarnation + 1, downUntil: m.now + engineDownTime, running: make(map[int]poison.Request)}
	m.after(spreadTime, func() { m.table.Record(c, m.now) })
}

// Guards against ending more than a few upstreams of a fleet, and against refusing harmless
// requests that ran beside crashes, under a load in which 3 of 100 requests crash upstreams.
func TestFleetUnderCrashingRequests(t *testing.T) {
	tests := []struct {
		name    string
		engines int
		// rate is how many requests come in a second.
		rate float64
	}{
		{"11 instances", 9, 32},
		{"90 instances", 48, 90},
		{"295 instances", 97, 800},
	}
	const (
		seeds       = 20
		maxEnded    = 6
		deadlyShare = 0.03
		bodies      = 9
	)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				m := &model{random: rand.New(rand.NewPCG(seed, 1)), table: poison.NewTable(), engines: make([]engine, tt.engines)}
				for i := range m.engines {
					m.engines[i].running = make(map[int]poison.Request)
				}
				for at, i := time.Duration(0), 1000; at < 10*time.Second; i++ {
					at += time.Duration(m.random.ExpFloat64() / tt.rate * float64(time.Second))
					r := run{request: poison.Request{Exact: poison.Fingerprint(2 * i), Path: poison.Fingerprint(2*i + 1)}}
					if m.random.Float64() < deadlyShare {
						r = run{request: poison.Request{Exact: poison.Fingerprint(2 + 2*m.random.IntN(bodies)), Path: 1}, deadly: true}
					}
					m.events = append(m.events, event{at, func() { m.send(r) }})
				}
				m.play(12 * time.Second)
				assert.Assert(t, m.ended <= maxEnded, "seed %d: %d upstreams ended", seed, m.ended)
				assert.Equal(t, m.heldOff, 0, "seed %d", seed)
			}
		})
	}
}
