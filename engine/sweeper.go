package engine

import (
	"slices"
	"strings"
	"time"
)

const (
	// ProgramLive means that the program's home reports it as running.
	ProgramLive ProgramState = iota + 1
	// ProgramEnded means that the program's home reports it as ended.
	ProgramEnded
	// ProgramUnknown means that the program's home responded but finds the
	// program neither in memory nor in the store.
	ProgramUnknown
	// ProgramUnconfirmed means that no home responded.
	ProgramUnconfirmed
)

const (
	// ReleaseEnded frees the prefix of an ended program.
	ReleaseEnded ReleaseKind = iota + 1
	// ReleasePaused frees the prefix of a program in a long tool pause.
	ReleasePaused
	// ReleaseDuplicate frees a shorter copy of a prefix that another engine
	// holds.
	ReleaseDuplicate
	// ReleaseOffload exports a paused program's prefix before it is freed.
	ReleaseOffload
)

type (
	// ProgramState is a program's state as far as its home reports it.
	ProgramState int

	// ReleaseKind is the reason why a prefix is freed.
	ReleaseKind int

	// Release is a request to free a prefix.
	Release struct {
		Engine  string
		Program string
		Kind    ReleaseKind
	}

	// SweepLimits are the sweeper's thresholds.
	SweepLimits struct {
		// PausedTTL is the minimum time that a paused program's prefix is kept.
		PausedTTL time.Duration
		// MaxOccupancy is the fraction of an engine's cache capacity up to which
		// paused prefixes are kept.
		MaxOccupancy float64
		// UnknownTTL is how long the prefix of an unknown program is kept, since
		// the program's home may be moving.
		UnknownTTL time.Duration
		// RetryInterval is the delay before a release without effect is repeated.
		RetryInterval time.Duration
		// Offload exports paused prefixes before they are freed.
		Offload bool
	}

	// Sweeper decides which cached prefixes the engines should free, from their
	// cache lists and the programs' states. It is not safe for concurrent use.
	Sweeper struct {
		limits   SweepLimits
		engines  map[string]*engineCache
		programs map[string]*programRecord
	}

	// CacheReport is one engine's cache list and capacity.
	CacheReport struct {
		Engine string
		// Capacity is in tokens; zero means unknown.
		Capacity int
		Entries  []CacheEntry
	}

	// ProgramStatus is a program's state as its home reports it.
	ProgramStatus struct {
		Program string
		State   ProgramState
		// Running is set if a call of the program is in flight.
		Running bool
		// IdleFor is how long the program has been in a tool pause.
		IdleFor time.Duration
	}

	engineCache struct {
		capacity   int
		heldTokens int
		programs   map[string]int
	}

	programRecord struct {
		state        ProgramState
		running      bool
		idleSince    time.Time
		unknownSince time.Time
		// requestedAt is when a release was last requested, by engine.
		requestedAt map[string]time.Time
	}
)

// DefaultSweepLimits returns limits that free the memory of ended programs
// within five seconds if Tick is called every second.
func DefaultSweepLimits() SweepLimits {
	return SweepLimits{
		PausedTTL:     30 * time.Second,
		MaxOccupancy:  0.8,
		UnknownTTL:    2 * time.Second,
		RetryInterval: time.Second,
	}
}

// NewSweeper returns a sweeper without engines or programs.
func NewSweeper(limits SweepLimits) *Sweeper {
	return &Sweeper{
		limits:   limits,
		engines:  make(map[string]*engineCache),
		programs: make(map[string]*programRecord),
	}
}

// ObserveCache replaces what is recorded of an engine's cache by its complete
// list.
func (s *Sweeper) ObserveCache(c CacheReport) {
	e := &engineCache{capacity: c.Capacity, programs: make(map[string]int, len(c.Entries))}
	for _, entry := range c.Entries {
		e.programs[entry.Program] = entry.Tokens
		e.heldTokens += entry.Tokens
		s.program(entry.Program)
	}
	s.engines[c.Engine] = e
}

// ForgetEngine removes an engine.
func (s *Sweeper) ForgetEngine(engine string) { delete(s.engines, engine) }

// HeldPrograms returns the programs with a prefix on any engine, sorted. The caller
// requests their status from their homes.
func (s *Sweeper) HeldPrograms() []string {
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

// ObserveProgram applies the status that a home reports. An unknown program has
// ended unless its home is moving, so its prefix is kept for
// SweepLimits.UnknownTTL. ProgramUnconfirmed changes nothing.
func (s *Sweeper) ObserveProgram(status ProgramStatus, now time.Time) {
	p := s.programs[status.Program]
	if p == nil || status.State == ProgramUnconfirmed {
		return
	}
	if status.State == ProgramUnknown && p.state != ProgramUnknown {
		p.unknownSince = now
	}
	p.state = status.State
	p.running = status.Running
	p.idleSince = now.Add(-status.IdleFor)
}

// Tick returns the releases that are due, in a deterministic order.
func (s *Sweeper) Tick(now time.Time) []Release {
	longest := s.longestPrefixes()
	var out []Release
	for _, name := range s.engineNames() {
		out = s.sweep(name, longest, out, now)
	}
	s.forgetUnheld(longest)
	return out
}

// longestPrefixes returns the length of each program's longest prefix on any
// engine.
func (s *Sweeper) longestPrefixes() map[string]int {
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
	held := e.heldTokens
	for _, program := range s.oldestFirst(e) {
		kind := s.releaseKind(e, program, held, longest[program], now)
		if kind == 0 || !s.tryRelease(program, name, now) {
			continue
		}
		held -= e.programs[program]
		out = append(out, Release{Engine: name, Program: program, Kind: kind})
	}
	return out
}

// releaseKind returns why the program's prefix should be freed; zero keeps it.
func (s *Sweeper) releaseKind(e *engineCache, program string, held, longest int, now time.Time) ReleaseKind {
	p := s.programs[program]
	switch {
	case p.running:
		return 0
	case p.state == ProgramEnded:
		return ReleaseEnded
	case p.state == ProgramUnknown && now.Sub(p.unknownSince) >= s.limits.UnknownTTL:
		return ReleaseEnded
	case p.state != ProgramLive:
		return 0
	case e.programs[program] < longest:
		return ReleaseDuplicate
	case now.Sub(p.idleSince) < s.limits.PausedTTL || !s.nearCapacity(e, held):
		return 0
	case s.limits.Offload:
		return ReleaseOffload
	default:
		return ReleasePaused
	}
}

// nearCapacity reports whether the engine's cache is nearly full. A full one
// evicts by itself, and may evict prefixes of running programs too.
func (s *Sweeper) nearCapacity(e *engineCache, held int) bool {
	return e.capacity > 0 && float64(held) > s.limits.MaxOccupancy*float64(e.capacity)
}

// tryRelease reports whether a release may be requested now, and records it.
func (s *Sweeper) tryRelease(program, engine string, now time.Time) bool {
	p := s.programs[program]
	if at, ok := p.requestedAt[engine]; ok && now.Sub(at) < s.limits.RetryInterval {
		return false
	}
	if p.requestedAt == nil {
		p.requestedAt = make(map[string]time.Time)
	}
	p.requestedAt[engine] = now
	return true
}

// program returns the program's record, adding it if needed.
func (s *Sweeper) program(program string) *programRecord {
	p := s.programs[program]
	if p == nil {
		p = &programRecord{state: ProgramUnconfirmed}
		s.programs[program] = p
	}
	return p
}

// forgetUnheld removes the programs without a prefix on any engine.
func (s *Sweeper) forgetUnheld(longest map[string]int) {
	for program := range s.programs {
		if _, ok := longest[program]; !ok {
			delete(s.programs, program)
		}
	}
}

func (s *Sweeper) engineNames() []string {
	out := make([]string, 0, len(s.engines))
	for name := range s.engines {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// oldestFirst returns the engine's programs by idle time, the longest first.
func (s *Sweeper) oldestFirst(e *engineCache) []string {
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
