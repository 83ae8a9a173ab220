package engine

import (
	"slices"
	"strings"
	"time"
)

const (
	// ProgramLive says that the program's home knows it as under way.
	ProgramLive ProgramState = iota + 1
	// ProgramEnded says that the program has ended.
	ProgramEnded
	// ProgramUnknown says that no home knows the program, also not from the
	// store.
	ProgramUnknown
	// ProgramUnclear says that no home answered for it.
	ProgramUnclear
)

const (
	// ReleaseEnded frees the prefix of a program that has ended.
	ReleaseEnded ReleaseKind = iota + 1
	// ReleasePaused frees the prefix of a program in a long tool pause.
	ReleasePaused
	// ReleaseDuplicate frees a shorter copy of a prefix that another engine
	// holds.
	ReleaseDuplicate
	// ReleaseOffload exports the prefix before it is freed.
	ReleaseOffload
)

type (
	// ProgramState is what is known of a program's life.
	ProgramState int

	// ReleaseKind says why a prefix is freed.
	ReleaseKind int

	// Release asks for a prefix to be freed.
	Release struct {
		Engine  string
		Program string
		Kind    ReleaseKind
	}

	// SweepLimits bound the sweeper.
	SweepLimits struct {
		// HoldTime is how long a paused program's prefix is kept for sure.
		HoldTime time.Duration
		// FreeShare is the share of an engine's cache below which paused
		// prefixes are let be.
		FreeShare float64
		// UnknownTime is how long a prefix that nobody knows is kept, for a
		// program whose home is just moving.
		UnknownTime time.Duration
		// RetryTime is when a release that had no effect is tried again.
		RetryTime time.Duration
		// Offload exports paused prefixes in place of dropping them.
		Offload bool
	}

	// Sweeper reconciles what engines hold with the programs that live. It is
	// not safe for concurrent use.
	Sweeper struct {
		limits   SweepLimits
		engines  map[string]*sweptEngine
		programs map[string]*sweptProgram
	}

	// CacheReport is one engine's list and the size of its cache.
	CacheReport struct {
		Engine string
		// Capacity is in tokens; zero means that it isn't known.
		Capacity int
		Entries  []CacheEntry
	}

	// ProgramStatus is what a program's home says of it.
	ProgramStatus struct {
		Program string
		State   ProgramState
		// Running says that a call of the program is in flight.
		Running bool
		// IdleFor is how long the program has been in a tool pause.
		IdleFor time.Duration
	}

	sweptEngine struct {
		capacity int
		held     int
		programs map[string]int
	}

	sweptProgram struct {
		state        ProgramState
		running      bool
		idleSince    time.Time
		unknownSince time.Time
		// asked is when a release was last asked for, by engine.
		asked map[string]time.Time
	}
)

// DefaultSweepLimits returns limits that free the memory of ended programs
// well within five seconds at a sweep a second.
func DefaultSweepLimits() SweepLimits {
	return SweepLimits{
		HoldTime:    30 * time.Second,
		FreeShare:   0.8,
		UnknownTime: 2 * time.Second,
		RetryTime:   time.Second,
	}
}

// NewSweeper returns a sweeper that knows nothing.
func NewSweeper(limits SweepLimits) *Sweeper {
	return &Sweeper{
		limits:   limits,
		engines:  make(map[string]*sweptEngine),
		programs: make(map[string]*sweptProgram),
	}
}

// ObserveCache takes an engine's whole list in place of what was known.
func (s *Sweeper) ObserveCache(c CacheReport) {
	e := &sweptEngine{capacity: c.Capacity, programs: make(map[string]int, len(c.Entries))}
	for _, entry := range c.Entries {
		e.programs[entry.Program] = entry.Tokens
		e.held += entry.Tokens
		s.program(entry.Program)
	}
	s.engines[c.Engine] = e
}

// ForgetEngine drops an engine that has gone.
func (s *Sweeper) ForgetEngine(engine string) { delete(s.engines, engine) }

// Held returns the programs that any engine holds, sorted. The caller asks
// their homes for them.
func (s *Sweeper) Held() []string {
	held := make(map[string]struct{})
	for _, e := range s.engines {
		for program := range e.programs {
			held[program] = struct{}{}
		}
	}
	out := make([]string, 0, len(held))
	for program := range held {
		out = append(out, program)
	}
	slices.Sort(out)
	return out
}

// ObserveProgram takes what a home says of a program. A program that nobody
// knows has ended unless its home is just moving, so it is kept for
// SweepLimits.UnknownTime; where no home answered nothing changes.
func (s *Sweeper) ObserveProgram(status ProgramStatus, now time.Time) {
	p := s.programs[status.Program]
	if p == nil || status.State == ProgramUnclear {
		return
	}
	if status.State == ProgramUnknown && p.state != ProgramUnknown {
		p.unknownSince = now
	}
	p.state = status.State
	p.running = status.Running
	p.idleSince = now.Add(-status.IdleFor)
}

// Tick returns the releases that are due, in a fixed order.
func (s *Sweeper) Tick(now time.Time) []Release {
	longest := s.longest()
	var out []Release
	for _, name := range s.names() {
		out = s.sweep(name, longest, out, now)
	}
	s.forgetUnheld(longest)
	return out
}

// longest returns the length of each program's longest prefix on any engine.
func (s *Sweeper) longest() map[string]int {
	out := make(map[string]int, len(s.programs))
	for _, e := range s.engines {
		for program, tokens := range e.programs {
			out[program] = max(out[program], tokens)
		}
	}
	return out
}

func (s *Sweeper) sweep(name string, longest map[string]int, out []Release, now time.Time) []Release {
	e := s.engines[name]
	free := e.held
	for _, program := range s.oldestFirst(e) {
		kind := s.release(e, program, free, longest[program], now)
		if kind == 0 || !s.ask(program, name, now) {
			continue
		}
		free -= e.programs[program]
		out = append(out, Release{Engine: name, Program: program, Kind: kind})
	}
	return out
}

// release says why the program's prefix is to be freed; zero means it isn't.
func (s *Sweeper) release(e *sweptEngine, program string, held, longest int, now time.Time) ReleaseKind {
	p := s.programs[program]
	switch {
	case p.running:
		return 0
	case p.state == ProgramEnded:
		return ReleaseEnded
	case p.state == ProgramUnknown && now.Sub(p.unknownSince) >= s.limits.UnknownTime:
		return ReleaseEnded
	case p.state != ProgramLive:
		return 0
	case e.programs[program] < longest:
		return ReleaseDuplicate
	case now.Sub(p.idleSince) < s.limits.HoldTime || !s.full(e, held):
		return 0
	case s.limits.Offload:
		return ReleaseOffload
	default:
		return ReleasePaused
	}
}

// full says that the engine's cache is near the point where it evicts on its
// own, which would also hit programs that are in use.
func (s *Sweeper) full(e *sweptEngine, held int) bool {
	return e.capacity > 0 && float64(held) > s.limits.FreeShare*float64(e.capacity)
}

// ask says whether a release may be asked for now, and notes it.
func (s *Sweeper) ask(program, engine string, now time.Time) bool {
	p := s.programs[program]
	if at, ok := p.asked[engine]; ok && now.Sub(at) < s.limits.RetryTime {
		return false
	}
	if p.asked == nil {
		p.asked = make(map[string]time.Time)
	}
	p.asked[engine] = now
	return true
}

func (s *Sweeper) program(program string) *sweptProgram {
	p := s.programs[program]
	if p == nil {
		p = &sweptProgram{state: ProgramUnclear}
		s.programs[program] = p
	}
	return p
}

// forgetUnheld drops programs that no engine holds any more.
func (s *Sweeper) forgetUnheld(longest map[string]int) {
	for program := range s.programs {
		if _, ok := longest[program]; !ok {
			delete(s.programs, program)
		}
	}
}

func (s *Sweeper) names() []string {
	out := make([]string, 0, len(s.engines))
	for name := range s.engines {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// oldestFirst returns the engine's programs, the one idle for longest first.
func (s *Sweeper) oldestFirst(e *sweptEngine) []string {
	out := make([]string, 0, len(e.programs))
	for program := range e.programs {
		out = append(out, program)
	}
	slices.SortFunc(out, func(a, b string) int {
		if c := s.programs[a].idleSince.Compare(s.programs[b].idleSince); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return out
}
