package main

import (
	"regexp"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/stand"
)

// markerPattern finds the name that each call carries in its body.
var markerPattern = regexp.MustCompile(`#call:[^#]+#`)

type (
	// run is one run of a call as a stand-in saw it.
	run struct {
		upstream string
		program  string
		digest   string
		at       time.Time
	}

	// programRecord is one program as its caller saw it.
	programRecord struct {
		plan    plan
		id      string
		latency time.Duration
		ended   time.Time
		failed  bool
	}

	// ledger keeps what callers and stand-ins saw, independently of what the
	// instances under test say.
	ledger struct {
		mu       sync.Mutex
		buckets  []*bucket
		calls    []*callRecord
		programs []programRecord
		runs     map[string][]run
		managed  []attempt
	}
)

func newLedger(load load, now time.Time) *ledger {
	l := &ledger{runs: make(map[string][]run)}
	for _, team := range load.teams {
		l.buckets = append(l.buckets, newBucket(team.ratePerSecond, team.burst, now))
	}
	return l
}

// fillBuckets fills the buckets of all teams.
func (l *ledger) fillBuckets(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		b.advance(now)
		b.level = b.burst
	}
}

// take counts a call that is about to be sent against the team's grant.
func (l *ledger) take(team int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets[team].take(now)
}

func (l *ledger) giveBack(team int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets[team].giveBack(now)
}

func (l *ledger) addCall(c *callRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *ledger) addAttempt(c *callRecord, a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// addManaged keeps the last attempt at opening or closing a program.
func (l *ledger) addManaged(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.managed = append(l.managed, a)
}

func (l *ledger) addProgram(p programRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.programs = append(l.programs, p)
}

// observeEngine is told of each run by the engines.
func (l *ledger) observeEngine(r stand.EngineRunRecord) {
	last := r.Messages[len(r.Messages)-1].Content
	l.addRun(markerPattern.FindString(last), run{
		upstream: r.Engine,
		program:  r.Program,
		digest:   stand.AnswerDigest(r.Program, r.Messages),
		at:       r.At,
	})
}

// observeService is told of each run by the plain services.
func (l *ledger) observeService(r stand.ServiceRunRecord) {
	l.addRun(markerPattern.FindString(r.Body), run{upstream: r.Service, at: r.At})
}

func (l *ledger) addRun(marker string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[marker] = append(l.runs[marker], r)
}

// endedPrograms returns the names under which engines knew the programs, all
// of which their callers have closed.
func (l *ledger) endedPrograms() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	programs := make(map[string]bool)
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.program != "" {
				programs[r.program] = true
			}
		}
	}
	return programs
}
