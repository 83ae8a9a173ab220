package engine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/engine"
)

func report(name string, entries ...engine.CacheEntry) engine.CacheReport {
	return engine.CacheReport{Engine: name, Capacity: 1000, Entries: entries}
}

func TestSweeper(t *testing.T) {
	p := engine.CacheEntry{Program: "p", Tokens: 100}
	big := engine.CacheEntry{Program: "big", Tokens: 850}
	live := engine.ProgramStatus{Program: "p", State: engine.ProgramLive}
	bigLive := engine.ProgramStatus{Program: "big", State: engine.ProgramLive, Running: true}
	idle := func(s engine.ProgramStatus, d time.Duration) engine.ProgramStatus {
		s.IdleFor = d
		return s
	}
	state := func(s engine.ProgramState, running bool) engine.ProgramStatus {
		return engine.ProgramStatus{Program: "p", State: s, Running: running}
	}
	cases := []struct {
		name     string
		reports  []engine.CacheReport
		statuses []engine.ProgramStatus
		want     []engine.ReleaseKind
	}{
		{name: "ended", reports: []engine.CacheReport{report("e", p)}, statuses: []engine.ProgramStatus{state(engine.ProgramEnded, false)}, want: []engine.ReleaseKind{engine.ReleaseEnded}},
		{name: "ended with a call in flight", reports: []engine.CacheReport{report("e", p)}, statuses: []engine.ProgramStatus{state(engine.ProgramEnded, true)}},
		{name: "unknown to its home", reports: []engine.CacheReport{report("e", p)}, statuses: []engine.ProgramStatus{state(engine.ProgramUnknown, false)}, want: []engine.ReleaseKind{engine.ReleaseEnded}},
		{name: "no home responds", reports: []engine.CacheReport{report("e", p)}, statuses: []engine.ProgramStatus{state(engine.ProgramUnconfirmed, false)}},
		{name: "live", reports: []engine.CacheReport{report("e", p)}, statuses: []engine.ProgramStatus{live}},
		{name: "short pause in a full cache", reports: []engine.CacheReport{report("e", p, big)}, statuses: []engine.ProgramStatus{bigLive, idle(live, time.Second)}},
		{name: "long pause in a full cache", reports: []engine.CacheReport{report("e", p, big)}, statuses: []engine.ProgramStatus{bigLive, idle(live, time.Minute)}, want: []engine.ReleaseKind{engine.ReleasePaused}},
		{name: "long pause in an empty cache", reports: []engine.CacheReport{report("e", p)}, statuses: []engine.ProgramStatus{idle(live, time.Minute)}},
		{name: "shorter copy", reports: []engine.CacheReport{report("e", p), report("f", engine.CacheEntry{Program: "p", Tokens: 200})}, statuses: []engine.ProgramStatus{live}, want: []engine.ReleaseKind{engine.ReleaseDuplicate}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := engine.NewSweeper(engine.DefaultSweepLimits())
			for _, r := range c.reports {
				s.ObserveCache(r)
			}
			for _, status := range c.statuses {
				s.ObserveProgram(status, start)
			}
			releases := s.Tick(start.Add(2 * time.Second))
			got := make([]engine.ReleaseKind, 0, len(releases))
			for _, r := range releases {
				assert.Equal(t, r.Program, "p")
				assert.Equal(t, r.Engine, "e")
				got = append(got, r.Kind)
			}
			assert.DeepEqual(t, got, append([]engine.ReleaseKind{}, c.want...))
		})
	}
}

// TestEndedProgramsAreFreedInTime guards against memory leaks on engines when a
// program ends as its home crashes: no home responds for two seconds, then the
// new home doesn't know the program, and the first release is lost. The prefix
// is freed within five seconds.
func TestEndedProgramsAreFreedInTime(t *testing.T) {
	s := engine.NewSweeper(engine.DefaultSweepLimits())
	held := true
	requested := 0
	for second := range 6 {
		now := start.Add(time.Duration(second) * time.Second)
		r := report("e")
		if held {
			r = report("e", engine.CacheEntry{Program: "p", Tokens: 100})
		}
		s.ObserveCache(r)
		for _, program := range s.HeldPrograms() {
			state := engine.ProgramUnconfirmed
			if second >= 2 {
				state = engine.ProgramUnknown
			}
			s.ObserveProgram(engine.ProgramStatus{Program: program, State: state}, now)
		}
		for range s.Tick(now) {
			requested++
			held = requested < 2
		}
	}
	assert.Assert(t, !held, "%d releases requested", requested)
}
